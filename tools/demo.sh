#!/usr/bin/env bash
# End-to-end demonstration on the local machine: starts entry hosts and stand-ins
# for the platform and the engines, applies a configuration, sends requests, kills
# a group member during streaming, waits for the repair and stops a gateway
# gracefully. Prints a summary; the exit code is 0 if every check passed.
set -u
cd "$(dirname "$0")/.." || exit 2
bash tools/install.sh || exit 2
bash tools/build.sh build || exit 2

BIN=$PWD/build
RUN=$PWD/demo-run
rm -rf "$RUN" && mkdir -p "$RUN"
. tools/demo_lib.sh
trap stop_processes EXIT

passed=0 failed=0
check() { # check DESCRIPTION COMMAND...
  local description=$1
  shift
  if "$@"; then
    passed=$((passed + 1)); echo "  ok    $description"
  else
    failed=$((failed + 1)); echo "  FAIL  $description"
  fi
}
contains() { grep -q -- "$2" <<<"$1"; }
# retry_for SECONDS COMMAND...: repeats a command until it succeeds.
retry_for() {
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$end" ] || return 1
    sleep 0.1
  done
}

echo "== stand-ins: object API, weight store, engines of two fabric domains, a plain service"
start_process store "$BIN/standins/standin-store"
STORE=$(address_of store)
start_process weights "$BIN/standins/standin-weights" --loads 8 --window-ms 500
start_process portal "$BIN/standins/standin-engine" --plain --host portal
for domain in fabric-a fabric-b; do
  start_engines "$domain" hall-${domain##*-} 1 5 --weights "$(address_of weights)" \
    --load-ms 300 --prefill-ms 30 --token-ms 20
done

echo "== entry hosts"
for n in 1 2 3; do start_entry_host "eh-$n" "$([ $n = 3 ] && echo hall-b || echo hall-a)" "[drain]\ngrace = 1s"; done
ADMINS=""
for n in 1 2 3; do ADMINS+="${ADMINS:+,}$(admin_address_of "eh-$n-gateway")"; done
printf '[operator]\nname = ruwan\n[store]\naddress = %s\n[entry_hosts]\nadmin = %s\n' \
  "$STORE" "$ADMINS" >"$RUN/ctl.ini"
ctl() { "$BIN/source/filbertctl" -s "$RUN/ctl.ini" "$@"; }

echo "== configuration"
cat >"$RUN/change.json" <<EOF
{"service/spectra-llm": {"type": "model", "downtime_weight": 0.9},
 "service/licence-portal": {"type": "plain", "backend_servers": ["$(address_of portal)"]},
 "model_version/spectra-1": {"service": "spectra-llm", "weight_bytes": 1000000},
 "adapter/interference": {"service": "spectra-llm"},
 "serving_group/spectra-main": {"service": "spectra-llm", "model_version": "spectra-1",
   "adapters": ["interference"], "replicas": 2, "members_per_replica": 4, "spares_per_domain": 1},
 "workspace/officers": {"key_sha256": "$(sha256_of officers-key)", "priority": 0,
   "entitlements": [{"service": "spectra-llm", "requests_per_second": 50},
                    {"service": "licence-portal", "requests_per_second": 50}]},
 "workspace/broadcasters": {"key_sha256": "$(sha256_of broadcasters-key)",
   "entitlements": [{"service": "spectra-llm", "requests_per_second": 20}]}}
EOF
check "a dry run prints the difference" contains "$(ctl apply -f "$RUN/change.json" --dry-run)" "+workspace/officers"
ctl apply -f "$RUN/change.json" --reason "first set" --wait
check "every entry host applied the configuration" test $? -eq 0
check "every entry host is ready" retry_for 20 bash -c \
  "[ \$('$BIN/source/filbertctl' -s '$RUN/ctl.ini' --json status | grep -c '\"ready\":true') -eq 3 ]"
check "two complete groups serve" retry_for 20 bash -c \
  "[ \$('$BIN/source/filbertctl' -s '$RUN/ctl.ini' --json status | grep -o '\"phase\":\"serving\"' | wc -l) -eq 2 ]"
ctl status

echo "== requests"
send_request() { # send_request ENTRY-HOST KEY PATH [curl options]
  local at=$1 key=$2 path=$3
  shift 3
  curl -s -m 60 -H "Authorization: Bearer $key" "http://$(caller_address_of "eh-$at-gateway")$path" "$@"
}
chat_request() { printf '{"model":"%s","stream":%s,"max_tokens":%s,"messages":[{"role":"user","content":"%s"}]}' "$@"; }
answer=$(send_request 1 officers-key /v1/chat/completions -d "$(chat_request spectra-llm false 8 'Review 12')")
check "a complete answer through entry host 1" contains "$answer" '"finish_reason":"length"'
answer=$(send_request 2 broadcasters-key /v1/chat/completions -d "$(chat_request interference true 8 'Complaint 7')")
check "a streamed answer of an adapter through entry host 2" contains "$answer" 'data: \[DONE\]'
answer=$(send_request 3 officers-key /services/licence-portal/licences/4S7AB)
check "a plain service through entry host 3" contains "$answer" '/licences/4S7AB'
first=$(send_request 1 officers-key /services/licence-portal/letters -H 'Idempotency-Key: letter-77' -d 'send')
check "a request with an idempotency key is executed" contains "$first" '/letters'
again=$(send_request 2 officers-key /services/licence-portal/letters -H 'Idempotency-Key: letter-77' -d 'send')
check "its repetition through another entry host gets the first answer" test "$first" = "$again"
runs=$(curl -s "http://$(address_of portal)/v1/executions" | grep -o '"request"' | wc -l)
check "the portal executed two requests, the repeated one once" test "$runs" -eq 2
answer=$(send_request 1 wrong-key /v1/chat/completions -d "$(chat_request spectra-llm false 8 x)")
check "an unknown key is refused with outcome not-run" contains "$answer" '"outcome":"not-run"'
answer=$(send_request 2 broadcasters-key /services/licence-portal/x)
check "a workspace without an entitlement is refused" contains "$answer" '"name":"over-entitlement"'

echo "== loss of a group member during streaming"
for n in 1 2 3 4 5 6; do
  send_request $((n % 3 + 1)) officers-key /v1/chat/completions \
    -d "$(chat_request spectra-llm true 100 "Long review $n")" >"$RUN/stream-$n.txt" &
  eval "STREAM_$n=$!"
done
sleep 0.8
victim=$(ctl --json status | grep '"domain"' | grep -o '"members":\["[^"]*","[^"]*' | head -1 | grep -o '[^"]*$')
victim_pid_name="PID_${victim//[-.]/_}"
echo "   killing $victim"
kill -9 "${!victim_pid_name}"
for n in 1 2 3 4 5 6; do eval "wait \$STREAM_$n"; done
for n in 1 2 3 4 5 6; do
  check "stream $n has each of its 100 tokens once and its end marker" bash -c \
    "[ \$(grep -c '^data: {' '$RUN/stream-$n.txt') -eq 100 ] && [ \$(grep -o '\"t[0-9]*-' '$RUN/stream-$n.txt' | sort -u | wc -l) -eq 100 ] && grep -q 'DONE' '$RUN/stream-$n.txt'"
done
check "the group is complete again with a spare" retry_for 20 bash -c \
  "[ \$('$BIN/source/filbertctl' -s '$RUN/ctl.ini' --json status | grep -o '\"phase\":\"serving\"' | wc -l) -eq 2 ]"
ctl status --explain
check "the audit trail names the lost member" contains "$(ctl audit)" "host $victim"

echo "== graceful stop"
send_request 1 officers-key /v1/chat/completions -d "$(chat_request spectra-llm true 60 'Last review')" >"$RUN/last.txt" &
last=$!
sleep 0.3
gateway=$PID_eh_1_gateway
kill -TERM "$gateway"
wait "$last"
check "a stream in flight during the stop completes" grep -q DONE "$RUN/last.txt"
wait "$gateway"
check "the stopped gateway exits with code 0" test $? -eq 0
stop_processes

echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]

#!/usr/bin/env bash
# Injects one fault at a time under load, prints group downtime and stranded
# accelerator time for a repair policy, and checks the histories of all processes.
# FAULT is kill, pause, store-down, domain or gateway-kill; the default is the
# first four.
#   measure_faults.sh [POLICY SPARES DOWNTIME-WEIGHT [FAULT...]]
. "$(dirname "$0")/measure_lib.sh"
policy=${1:-swap} spares=${2:-1} weight=${3:-0.9}
shift 3 2>/dev/null || true
faults=${*:-kill pause store-down domain}
now_us() { awk '{printf "%.0f", $1 * 1000000}' /proc/uptime; }
record_member_event() { echo "{\"event\":\"member\",\"host\":\"$1\",\"state\":\"$2\",\"at_us\":$(now_us)}" >>"$RUN/faults.lines"; }
pid_of() { local name="PID_${1//[-.]/_}"; echo "${!name}"; }
store_fault() { curl -s -X POST -d "$1" "http://$STORE/v1/fault" >/dev/null; }

# sample_groups FILE: appends the time in us, the number of serving replicas and
# the number of accelerators in no serving group every 100 ms, as the domains
# report them.
sample_groups() {
  while true; do
    ctl --json status 2>/dev/null |
      awk -v at="$(now_us)" '/"domain"/ {
        serving += gsub(/"phase":"serving"/, "&"); match($0, /"stranded_accelerators":[0-9]+/);
        stranded += substr($0, RSTART + 24, RLENGTH - 24); domains++}
        END {if (domains > 0) print at, serving + 0, stranded + 0}' >>"$1"
    sleep 0.1
  done
}

GATEWAY_EXTRA="[log]\nlevel = debug"
CONTROLLER_EXTRA="[log]\nlevel = debug\n[repair]\npolicy = $policy"
start_process store "$BIN/standins/standin-store"
STORE=$(address_of store)
start_process portal "$BIN/standins/standin-engine" --plain --host portal --plain-ms 20 --history
start_process weights "$BIN/standins/standin-weights" --loads 2 --window-ms 1000
for domain in a b; do
  start_engines "fabric-$domain" "dc-1" 1 9 --prefill-ms 30 --token-ms 20 \
    --slots 16 --load-ms 1000 --weights "$(address_of weights)" --history
done
start_entry_hosts 3
apply_resources 4 4 "$spares" "$weight" "$(address_of portal)"
wait_until_serving 3 4 || exit 1
sample_groups "$RUN/samples" &
sampler_pid=$!
PROCESS_IDS+=("$sampler_pid")
seed=10
for fault in $faults; do
  seed=$((seed + 1))
  run_load "$fault" "[run]" "seed = $seed" "duration = 20s" "requests_per_second = 30" \
    "deadline = 20s" "lines = $RUN/results-$fault.lines" \
    "[side_a]" "name = $fault" "entry_hosts = $(caller_addresses 3)" \
    "[mix]" "model = llm" "most_tokens = 60" "stream_percent = 60" "plain_percent = 15" \
    "keyed_percent = 15" "keyed_tries = 2" "plain_service = portal" \
    "workspaces = large-key:3 small-key:1" >"$RUN/summary-$fault" &
  load_pid=$!
  sleep 4
  victim=$(ctl --json status | grep -o '"members":\["[^"]*","[^"]*' | head -1 | grep -o '[^"]*$')
  fault_start_us=$(now_us)
  case $fault in
    kill) record_member_event "$victim" down; kill -9 "$(pid_of "$victim")" ;;
    pause)
      record_member_event "$victim" down
      kill -STOP "$(pid_of "$victim")"
      sleep 8
      record_member_event "$victim" up
      kill -CONT "$(pid_of "$victim")" ;;
    domain)
      for n in 1 2 3 4 5 6 7 8 9; do
        record_member_event "fabric-a-h$n" down; kill -STOP "$(pid_of "fabric-a-h$n")"
      done
      sleep 8
      for n in 1 2 3 4 5 6 7 8 9; do
        record_member_event "fabric-a-h$n" up; kill -CONT "$(pid_of "fabric-a-h$n")"
      done ;;
    store-down)
      store_fault '{"down":true}'
      sleep 10
      store_fault '{"down":false}' ;;
    gateway-kill) kill -9 "$PID_eh_2_gateway" ;;
  esac
  wait "$load_pid"
  cat "$RUN/summary-$fault"
  awk -v from="$fault_start_us" -v fault="$fault" -v policy="$policy" -v spares="$spares" '
    $1 >= from - 3000000 && $1 < from {before = $3; b++}
    $1 >= from {step = last ? ($1 - last) / 1e6 : 0; down += (4 - $2) * step; stranded += $3 * step; last = $1}
    END {printf "{\"event\":\"measures\",\"fault\":\"%s\",\"policy\":\"%s\",\"spares\":%d,\"group_downtime_s\":%.2f,\"stranded_accelerator_s\":%.1f}\n", fault, policy, spares, down, stranded}' "$RUN/samples"
  wait_until_serving 3 4 || { echo "{\"event\":\"not-healed\",\"fault\":\"$fault\"}"; ctl status --explain; }
done
kill "$sampler_pid" 2>/dev/null
"$BIN/source/filbert-history" "$RUN"/results-*.lines "$RUN"/*.log $([ -f "$RUN/faults.lines" ] && echo "$RUN/faults.lines")

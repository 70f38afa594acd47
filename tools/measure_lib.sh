# Shared by the measuring scripts: a small fleet with two services, on top of
# tools/demo_lib.sh.
set -u
cd "$(dirname "$0")/.." || exit 2
BIN=${BIN:-$PWD/build}
RUN=${RUN:-$PWD/demo-run}
rm -rf "$RUN" && mkdir -p "$RUN"
. tools/demo_lib.sh
trap stop_all EXIT

# start_fleet ENTRY-HOSTS: the store, a plain service, and entry hosts eh-1...
# Domains are started before with start_engines. $GATEWAY_EXTRA and
# $CONTROLLER_EXTRA are added to the settings.
start_entry_hosts() {
  local n
  for ((n = 1; n <= $1; n++)); do
    start_entry_host "eh-$n" "dc-$((n % 3 + 1))" "${GATEWAY_EXTRA:-}" "${CONTROLLER_EXTRA:-}"
  done
  local admins=""
  for ((n = 1; n <= $1; n++)); do admins+="${admins:+,}$(admin_of "eh-$n-gateway")"; done
  printf '[operator]\nname = measure\n[store]\naddress = %s\n[entry_hosts]\nadmin = %s\n' \
    "$STORE" "$admins" >"$RUN/ctl.ini"
}

ctl() { "$BIN/source/filbertctl" -s "$RUN/ctl.ini" "$@"; }

all_callers() { # all_callers N: callers' addresses, separated by commas
  local n list=""
  for ((n = 1; n <= $1; n++)); do list+="${list:+,}$(callers_of "eh-$n-gateway")"; done
  printf '%s' "$list"
}

# apply_resources REPLICAS MEMBERS SPARES WEIGHT PLAIN-ADDRESS
apply_resources() {
  cat >"$RUN/change.json" <<EOF
{"service/llm": {"type": "model", "downtime_weight": $4},
 "service/portal": {"type": "plain", "backend_servers": ["$5"], "max_in_flight": 10000},
 "model_version/v1": {"service": "llm"},
 "serving_group/main": {"service": "llm", "model_version": "v1", "replicas": $1,
   "members_per_replica": $2, "spares_per_domain": $3},
 "workspace/large": {"key_sha256": "$(sha256_of large-key)",
   "entitlements": [{"service": "llm", "requests_per_second": ${LARGE_RATE:-100000}},
                    {"service": "portal", "requests_per_second": 100000}]},
 "workspace/small": {"key_sha256": "$(sha256_of small-key)",
   "entitlements": [{"service": "llm", "requests_per_second": ${SMALL_RATE:-100000}},
                    {"service": "portal", "requests_per_second": 100000}]}}
EOF
  ctl apply -f "$RUN/change.json" --wait --seconds 20 >/dev/null
}

# wait_serving ENTRY-HOSTS GROUPS
wait_serving() {
  local tries=0
  until [ "$(ctl --json status | grep -c '"ready":true')" -eq "$1" ] &&
    [ "$(ctl --json status | grep -o '"phase":"serving"' | wc -l)" -eq "$2" ]; do
    tries=$((tries + 1))
    [ "$tries" -le 300 ] || { echo "the fleet does not serve" >&2; return 1; }
    sleep 0.1
  done
}

# load NAME LINES...: runs filbert-load with the INI lines, prints its summary.
load() {
  local name=$1
  shift
  printf '%s\n' "$@" >"$RUN/load-$name.ini"
  "$BIN/source/filbert-load" -s "$RUN/load-$name.ini"
}

# cpu_ticks PID: user and system time so far, in hundredths of a second.
cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
# peak_kb PID
peak_kb() { awk '/VmHWM/ {print $2}' "/proc/$1/status"; }

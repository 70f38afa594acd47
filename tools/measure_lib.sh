# Functions shared by the measure_*.sh scripts: a small fleet with two services,
# built on tools/demo_lib.sh.
set -u
cd "$(dirname "$0")/.." || exit 2
BIN=${BIN:-$PWD/build}
RUN=${RUN:-$PWD/demo-run}
rm -rf "$RUN" && mkdir -p "$RUN"
. tools/demo_lib.sh
trap stop_processes EXIT

# start_entry_hosts COUNT: starts entry hosts eh-1 to eh-COUNT and writes the
# settings of filbertctl. The store in $STORE and the engines must run already.
# $GATEWAY_EXTRA and $CONTROLLER_EXTRA are appended to the settings.
start_entry_hosts() {
  local n
  for ((n = 1; n <= $1; n++)); do
    start_entry_host "eh-$n" "dc-$((n % 3 + 1))" "${GATEWAY_EXTRA:-}" "${CONTROLLER_EXTRA:-}"
  done
  local admins=""
  for ((n = 1; n <= $1; n++)); do admins+="${admins:+,}$(admin_address_of "eh-$n-gateway")"; done
  printf '[operator]\nname = measure\n[store]\naddress = %s\n[entry_hosts]\nadmin = %s\n' \
    "$STORE" "$admins" >"$RUN/ctl.ini"
}

ctl() { "$BIN/source/filbertctl" -s "$RUN/ctl.ini" "$@"; }

caller_addresses() { # caller_addresses COUNT: comma-separated, of eh-1 to eh-COUNT
  local n list=""
  for ((n = 1; n <= $1; n++)); do list+="${list:+,}$(caller_address_of "eh-$n-gateway")"; done
  printf '%s' "$list"
}

# apply_resources REPLICAS MEMBERS SPARES DOWNTIME-WEIGHT PLAIN-ADDRESS: declares
# the services llm and portal and two workspaces.
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

# wait_until_serving ENTRY-HOSTS GROUPS: waits until exactly so many entry hosts
# are ready and so many groups serve; gives up after 300 retries at intervals of
# 0.1 s.
wait_until_serving() {
  local tries=0
  until [ "$(ctl --json status | grep -c '"ready":true')" -eq "$1" ] &&
    [ "$(ctl --json status | grep -o '"phase":"serving"' | wc -l)" -eq "$2" ]; do
    tries=$((tries + 1))
    [ "$tries" -le 300 ] || { echo "fleet not serving after $((tries - 1)) retries: expected $1 ready entry hosts and $2 serving groups" >&2; return 1; }
    sleep 0.1
  done
}

# run_load NAME LINES...: runs filbert-load with the INI lines, prints its summary.
run_load() {
  local name=$1
  shift
  printf '%s\n' "$@" >"$RUN/load-$name.ini"
  "$BIN/source/filbert-load" -s "$RUN/load-$name.ini"
}

# cpu_ticks PID: user and system time used so far, in hundredths of a second.
cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
# peak_rss_kb PID: maximum resident memory, in KiB.
peak_rss_kb() { awk '/VmHWM/ {print $2}' "/proc/$1/status"; }

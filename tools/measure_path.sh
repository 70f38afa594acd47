#!/usr/bin/env bash
# Compares the latency and throughput of one entry host with a direct connection
# to the backend server, and measures the processor time of its gateway.
#   measure_path.sh [SECONDS]
. "$(dirname "$0")/measure_lib.sh"
seconds=${1:-10}
start_process store "$BIN/standins/standin-store"
STORE=$(address_of store)
start_process portal "$BIN/standins/standin-engine" --plain --host portal --plain-ms 0
start_engines fabric-a dc-1 1 2 --prefill-ms 1 --token-ms 0 --slots 4000
start_entry_hosts 1
apply_resources 1 2 0 0.9 "$(address_of portal)"
wait_until_serving 1 1 || exit 1
gateway=$PID_eh_1_gateway

echo "# short requests: through the entry host (a) and direct (b), in one run"
for rate in 200 1000 2000 4000; do
  before=$(cpu_ticks "$gateway")
  run_load "short-$rate" "[run]" "duration = ${seconds}s" "requests_per_second = $rate" \
    "[side_a]" "name = gateway" "entry_hosts = $(caller_addresses 1)" \
    "[side_b]" "name = direct" "direct = true" "entry_hosts = $(address_of portal)" \
    "[mix]" "stream_percent = 0" "plain_percent = 100" "plain_idempotent = true" \
    "plain_service = portal" "workspaces = large-key:1"
  echo "{\"event\":\"cpu\",\"rate\":$rate,\"gateway_core_share\":$(awk "BEGIN {print ($(cpu_ticks "$gateway") - $before) / 100 / $seconds}")}"
done
echo "# streams"
for rate in 100 400 800; do
  before=$(cpu_ticks "$gateway")
  run_load "stream-$rate" "[run]" "duration = ${seconds}s" "requests_per_second = $rate" \
    "[side_a]" "name = gateway" "entry_hosts = $(caller_addresses 1)" \
    "[mix]" "model = llm" "most_tokens = 100" "workspaces = large-key:1"
  echo "{\"event\":\"cpu\",\"rate\":$rate,\"gateway_core_share\":$(awk "BEGIN {print ($(cpu_ticks "$gateway") - $before) / 100 / $seconds}")}"
done

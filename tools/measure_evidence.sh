#!/usr/bin/env bash
# Measures how the bound on the age of evidence affects the time to first token in
# three modes: every entry host is a monitor; one monitor; and one monitor, with
# each piece of an answer held until evidence newer than its arrival is there.
#   measure_evidence.sh [SECONDS]
. "$(dirname "$0")/measure_lib.sh"
seconds=${1:-10}
for mode in "all-monitors bound 3" "one-monitor bound 1" "one-monitor-confirm confirm 1"; do
  read -r name evidence monitors <<<"$mode"
  PEERS_EXTRA="monitors = $monitors\n"
  GATEWAY_EXTRA="[routing]\nevidence_mode = $evidence"
  SEEDS=""
  start_process store "$BIN/standins/standin-store"
  STORE=$(address_of store)
  start_process portal "$BIN/standins/standin-engine" --plain --host portal
  start_engines fabric-a dc-1 1 8 --prefill-ms 30 --token-ms 20 --load-ms 50
  start_entry_hosts 3
  apply_resources 2 4 0 0.9 "$(address_of portal)"
  wait_until_serving 3 2 || exit 1
  sleep 11
  run_load "$name" "[run]" "duration = ${seconds}s" "requests_per_second = 20" \
    "[side_a]" "name = $name" "entry_hosts = $(caller_addresses 3)" \
    "[mix]" "model = llm" "most_tokens = 32" "prefixes = 200" "prefix_skew_percent = 0" \
    "workspaces = large-key:1"
  stop_processes
done

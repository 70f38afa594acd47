#!/usr/bin/env bash
# Compares the routing policies round-robin and predicted: time to first token and
# prefix cache hits with skewed prefixes, and goodput up to twice the capacity.
#   [POLICIES="POLICY..."] measure_routing.sh [SECONDS]
. "$(dirname "$0")/measure_lib.sh"
seconds=${1:-15}
for policy in ${POLICIES:-round-robin predicted}; do
  GATEWAY_EXTRA="[routing]\npolicy = $policy"
  SEEDS=""
  start_process store "$BIN/standins/standin-store"
  STORE=$(address_of store)
  start_process portal "$BIN/standins/standin-engine" --plain --host portal --plain-ms 1
  for domain in a b; do
    start_engines "fabric-$domain" "dc-1" 1 4 --prefill-ms 150 --token-ms 5 \
      --slots 8 --cached-prefixes 8 --load-ms 50
  done
  start_entry_hosts 3
  LARGE_RATE=2000 SMALL_RATE=2000 apply_resources 4 2 0 0.9 "$(address_of portal)"
  wait_until_serving 3 4 || exit 1
  sleep 12 # longer than the slow start
  echo "# $policy, skewed prefixes"
  run_load "skew-$policy" "[run]" "seed = 7" "duration = ${seconds}s" "requests_per_second = 60" \
    "[side_a]" "name = $policy" "entry_hosts = $(caller_addresses 3)" \
    "[mix]" "model = llm" "most_tokens = 32" "prefixes = 24" "workspaces = large-key:1"
  for domain in a b; do
    for n in 1 2 3 4; do
      curl -s "http://$(address_of "fabric-$domain-h$n")/v1/stats"; echo
    done
  done | awk -F'[:,}]' '{for (i = 1; i < NF; i++) {if ($i ~ /hits/) h += $(i+1); if ($i ~ /misses/) m += $(i+1)}} END {printf "{\"event\":\"prefixes\",\"policy\":\"'"$policy"'\",\"hit_share\":%.3f}\n", h / (h + m)}'
  for rate in 80 160 320; do
    echo "# $policy, $rate requests/s, deadline 2 s, a large and a small workspace"
    run_load "over-$policy-$rate" "[run]" "seed = 9" "duration = ${seconds}s" \
      "requests_per_second = $rate" "deadline = 2s" \
      "[side_a]" "name = $policy-$rate" "entry_hosts = $(caller_addresses 3)" \
      "[mix]" "model = llm" "most_tokens = 32" "prefixes = 24" \
      "workspaces = large-key:9 small-key:1"
  done
  stop_processes
done

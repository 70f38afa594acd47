#!/usr/bin/env bash
# Measures the idle cost of the control plane per entry host (processor time,
# memory, traffic) for several numbers of entry hosts, and the delay until a
# configuration change is in force on all of them. GROUPS is per domain.
#   measure_control.sh ["ENTRY-HOSTS..." [GROUPS [SECONDS [WORKSPACES]]]]
. "$(dirname "$0")/measure_lib.sh"
sizes=${1:-3 6 12 24} groups=${2:-4} seconds=${3:-15} workspaces=${4:-2}
json_field() { grep -o "\"$1\":[0-9.]*" | head -1 | cut -d: -f2; }
status_of() { curl -s "http://$(admin_address_of "eh-$1-gateway")/status"; }
controller_status_of() { curl -s "http://$(admin_address_of "eh-$1-controller")/status"; }
sum_status() { # sum_status N FIELD
  local n total=0
  for ((n = 1; n <= $1; n++)); do total=$((total + $(status_of "$n" | json_field "$2"))); done
  echo "$total"
}
sum_controller_status() { # sum_controller_status N FIELD
  local n total=0
  for ((n = 1; n <= $1; n++)); do total=$((total + $(controller_status_of "$n" | json_field "$2"))); done
  echo "$total"
}
sum_cpu() { # sum_cpu N KIND
  local n name total=0
  for ((n = 1; n <= $1; n++)); do
    name="PID_eh_${n}_$2"; total=$((total + $(cpu_ticks "${!name}")))
  done
  echo "$total"
}
max_peak_rss_kb() { # max_peak_rss_kb N KIND
  local n name max_kb=0 kb
  for ((n = 1; n <= $1; n++)); do
    name="PID_eh_${n}_$2"; kb=$(peak_rss_kb "${!name}"); [ "$kb" -gt "$max_kb" ] && max_kb=$kb
  done
  echo "$max_kb"
}
store_calls() { curl -s "http://$STORE/v1/stats" | tr ',{}' '\n' | awk -F: '{s += $2} END {print s + 0}'; }
ratio() { awk "BEGIN {printf \"%.4f\", ($1) / ($2)}"; }

for size in $sizes; do
  SEEDS=""
  start_process store "$BIN/standins/standin-store"
  STORE=$(address_of store)
  start_process portal "$BIN/standins/standin-engine" --plain --host portal
  start_engines fabric-a dc-1 1 "$((groups * 4))" --load-ms 20
  start_engines fabric-b dc-2 1 "$((groups * 4))" --load-ms 20
  start_entry_hosts "$size"
  apply_resources "$((groups * 2))" 4 0 0.9 "$(address_of portal)"
  if [ "$workspaces" -gt 2 ]; then
    {
      printf '{'
      for ((w = 1; w <= workspaces; w++)); do
        [ "$w" -gt 1 ] && printf ','
        printf '"workspace/w%d":{"key_sha256":"%064d","entitlements":[{"service":"llm","requests_per_second":10}]}' "$w" "$w"
      done
      printf '}'
    } >"$RUN/many.json"
    ctl apply -f "$RUN/many.json" --wait >/dev/null
  fi
  wait_until_serving "$size" "$((groups * 2))" || exit 1
  sleep 5
  for kind in gateway controller; do eval "cpu_$kind=$(sum_cpu "$size" $kind)"; done
  peer_in_before=$(sum_status "$size" peer_bytes_in) peer_out_before=$(sum_status "$size" peer_bytes_out)
  member_bytes_before=$(sum_status "$size" member_bytes) controller_member_bytes_before=$(sum_controller_status "$size" member_bytes)
  store_calls_before=$(store_calls)
  sleep "$seconds"
  host_seconds="$size * $seconds"
  echo "{\"event\":\"rest\",\"entry_hosts\":$size,\"groups\":$((groups * 2)),\"members\":$((groups * 8)),\"workspaces\":$workspaces,\
\"gateway_core\":$(ratio "$(sum_cpu "$size" gateway) - $cpu_gateway" "100 * $host_seconds"),\
\"controller_core\":$(ratio "$(sum_cpu "$size" controller) - $cpu_controller" "100 * $host_seconds"),\
\"gateway_peak_mb\":$(ratio "$(max_peak_rss_kb "$size" gateway)" 1024),\"controller_peak_mb\":$(ratio "$(max_peak_rss_kb "$size" controller)" 1024),\
\"peer_in_bytes_s\":$(ratio "$(sum_status "$size" peer_bytes_in) - $peer_in_before" "$host_seconds"),\
\"peer_out_bytes_s\":$(ratio "$(sum_status "$size" peer_bytes_out) - $peer_out_before" "$host_seconds"),\
\"member_bytes_s\":$(ratio "$(sum_status "$size" member_bytes) - $member_bytes_before" "$host_seconds"),\
\"controller_member_bytes_s\":$(ratio "$(sum_controller_status "$size" member_bytes) - $controller_member_bytes_before" "$host_seconds"),\
\"members_watched\":$(ratio "$(sum_status "$size" members_watched)" "$size"),\
\"store_calls_s\":$(ratio "$(store_calls) - $store_calls_before" "$seconds")}"
  # 20 changes at intervals of at least 0.5 s. Measures the delay from acceptance
  # by the store until the last entry host applied the change.
  for ((i = 1; i <= 20; i++)); do
    echo "{\"workspace/probe\":{\"key_sha256\":\"$(sha256_of probe)\",\"priority\":$((i % 10))}}" >"$RUN/probe.json"
    ctl --json apply -f "$RUN/probe.json" >>"$RUN/accepted-$size.lines"
    sleep 0.5
  done
  sleep 2
  # An entry host may skip a generation, so the time that counts is when it first
  # had this generation or a later one.
  grep -h '"config-in-force"' "$RUN"/eh-*-gateway.log |
    sed 's/.*"at_us":\([0-9]*\).*"generation":\([0-9]*\).*"node":"\([^"]*\)".*/\3 \2 \1/' >"$RUN/in-force-$size"
  grep '"config-accepted"' "$RUN/accepted-$size.lines" | sed 's/.*"at_us":\([0-9]*\).*"generation":\([0-9]*\).*/\2 \1/' |
    awk 'NR == FNR {node[NR] = $1; gen[NR] = $2; at[NR] = $3; rows = NR; next} {
      delete first; n = 0
      for (i = 1; i <= rows; i++) if (gen[i] >= $1 && (!(node[i] in first) || at[i] < first[node[i]])) first[node[i]] = at[i]
      last = 0; for (name in first) {n++; if (first[name] > last) last = first[name]}
      print n, (last - $2) / 1000}' "$RUN/in-force-$size" - |
    awk -v size="$size" '$1 == size {print $2}' | sort -n |
    awk -v size="$size" '{v[NR] = $1} END {printf "{\"event\":\"in-force\",\"entry_hosts\":%d,\"changes\":%d,\"p50_ms\":%.0f,\"largest_ms\":%.0f}\n", size, NR, v[int((NR + 1) / 2)], v[NR]}'
  stop_processes
done

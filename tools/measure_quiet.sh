#!/usr/bin/env bash
# Measures false alarms of a fleet without load or faults: counts the control
# decisions after all groups serve, and the status readings in which a group was
# not complete.
#   measure_quiet.sh [SECONDS]
. "$(dirname "$0")/measure_lib.sh"
seconds=${1:-600}
GATEWAY_EXTRA="[log]\nlevel = debug"
start_process store "$BIN/standins/standin-store"
STORE=$(address_of store)
start_process portal "$BIN/standins/standin-engine" --plain --host portal
start_engines fabric-a dc-1 1 17 --load-ms 50
start_engines fabric-b dc-2 1 17 --load-ms 50
start_entry_hosts 6
apply_resources 8 4 1 0.9 "$(address_of portal)"
wait_until_serving 6 8 || exit 1
decisions_before=$(ctl --json audit | grep -c '"action"')
incomplete_readings=0 readings=0
end=$((SECONDS + seconds))
while [ "$SECONDS" -lt "$end" ]; do
  for n in 1 2 3 4 5 6; do
    readings=$((readings + 1))
    whole=$(curl -s "http://$(admin_address_of "eh-$n-gateway")/status" | grep -o '"whole":true' | wc -l)
    [ "$whole" -eq 8 ] || incomplete_readings=$((incomplete_readings + 1))
  done
  sleep 1
done
echo "{\"event\":\"quiet\",\"seconds\":$seconds,\"decisions\":$(($(ctl --json audit | grep -c '"action"') - decisions_before)),\"readings\":$readings,\"readings_with_a_group_not_whole\":$incomplete_readings}"

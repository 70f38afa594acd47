#!/usr/bin/env bash
# False alarms: a fleet without load and without faults for so many seconds; any
# decision after it serves, or any group that was not whole for a moment, counts.
. "$(dirname "$0")/measure_lib.sh"
seconds=${1:-600}
GATEWAY_EXTRA="[log]\nlevel = debug"
start store "$BIN/standins/standin-store"
STORE=$(address_of store)
start portal "$BIN/standins/standin-engine" --plain --host portal
start_engines fabric-a dc-1 1 17 --load-ms 50
start_engines fabric-b dc-2 1 17 --load-ms 50
start_entry_hosts 6
apply_resources 8 4 1 0.9 "$(address_of portal)"
wait_serving 6 8 || exit 1
before=$(ctl --json audit | grep -c '"action"')
bad=0 asked=0
end=$((SECONDS + seconds))
while [ "$SECONDS" -lt "$end" ]; do
  for n in 1 2 3 4 5 6; do
    asked=$((asked + 1))
    whole=$(curl -s "http://$(admin_of "eh-$n-gateway")/status" | grep -o '"whole":true' | wc -l)
    [ "$whole" -eq 8 ] || bad=$((bad + 1))
  done
  sleep 1
done
echo "{\"event\":\"quiet\",\"seconds\":$seconds,\"decisions\":$(($(ctl --json audit | grep -c '"action"') - before)),\"readings\":$asked,\"readings_with_a_group_not_whole\":$bad}"

# Functions shared by tools/demo.sh and the measure_*.sh scripts: start and stop
# stand-ins and entry hosts on 127.0.0.1 with ports chosen by the kernel.

PROCESS_IDS=()

# start_process NAME COMMAND...: starts a program in the background. Its standard
# output, which begins with the address or addresses it listens on, goes to
# $RUN/NAME.out, its log to $RUN/NAME.log and its process id to $PID_NAME, with
# underscores for other characters.
start_process() {
  local name=$1
  shift
  "$@" >"$RUN/$name.out" 2>"$RUN/$name.log" &
  PROCESS_IDS+=($!)
  eval "PID_${name//[-.]/_}=$!"
}

# wait_for_line FILE PATTERN: waits up to 10 s for a matching line.
wait_for_line() {
  local file=$1 pattern=$2 tries=0
  until grep -q "$pattern" "$file" 2>/dev/null; do
    tries=$((tries + 1))
    [ "$tries" -le 200 ] || { echo "$file: no line matches '$pattern' after 10 s" >&2; return 1; }
    sleep 0.05
  done
}

address_of() { wait_for_line "$RUN/$1.out" . && head -1 "$RUN/$1.out"; }
caller_address_of() { wait_for_line "$RUN/$1.out" callers && sed -n 's/^callers //p' "$RUN/$1.out"; }
peer_address_of() { wait_for_line "$RUN/$1.out" peers && sed -n 's/^peers //p' "$RUN/$1.out"; }
admin_address_of() { wait_for_line "$RUN/$1.out" admin && sed -n 's/^admin //p' "$RUN/$1.out"; }

stop_processes() {
  local pid
  for pid in "${PROCESS_IDS[@]}"; do kill "$pid" 2>/dev/null; done
  for pid in "${PROCESS_IDS[@]}"; do wait "$pid" 2>/dev/null; done
  PROCESS_IDS=()
}

# start_engines DOMAIN DATA_CENTRE FIRST COUNT [engine options]: starts engines
# named DOMAIN-h<N> and stores the platform's list of hosts of the domain.
start_engines() {
  local domain=$1 data_centre=$2 first=$3 count=$4 i name rows=""
  shift 4
  for ((i = first; i < first + count; i++)); do
    name="$domain-h$i"
    start_process "$name" "$BIN/standins/standin-engine" --host "$name" "$@"
  done
  for ((i = first; i < first + count; i++)); do
    name="$domain-h$i"
    rows+="${rows:+,}{\"name\":\"$name\",\"address\":\"$(address_of "$name")\",\"accelerators\":8,\"state\":\"live\"}"
  done
  put_object "platform/hosts/$domain" 0 \
    "{\"data_centre\":\"$data_centre\",\"hosts\":[$rows]}"
}

# put_object KEY REVISION JSON: writes an object if it has this revision.
put_object() {
  curl -sf -X PUT -H "If-Match: $2" --data-binary "$3" \
    "http://$STORE/v1/objects/$1" >/dev/null
}

# start_entry_host NAME DATA_CENTRE [GATEWAY-SETTINGS [CONTROLLER-SETTINGS]]:
# starts a gateway and a controller; the settings are appended to theirs. The
# first gateway becomes the seed of all later ones.
start_entry_host() {
  local name=$1 data_centre=$2 gateway_settings=${3:-} controller_settings=${4:-}
  printf '[node]\nname = %s\ndata_centre = %s\n[callers]\nlisten = 127.0.0.1:0\n[admin]\nlisten = 127.0.0.1:0\n[peers]\nlisten = 127.0.0.1:0\nkey = a key of the demo only\nseeds = %s\n%b[store]\naddress = %s\n%b\n' \
    "$name" "$data_centre" "${SEEDS:-}" "${PEERS_EXTRA:-}" "$STORE" "$gateway_settings" >"$RUN/$name-gateway.ini"
  start_process "$name-gateway" "$BIN/source/filbert-gateway" -s "$RUN/$name-gateway.ini"
  SEEDS=${SEEDS:-$(peer_address_of "$name-gateway")}
  printf '[node]\nname = %s\ndata_centre = %s\n[admin]\nlisten = 127.0.0.1:0\n[store]\naddress = %s\n[gateway]\npeers = %s\nkey = a key of the demo only\n%b\n' \
    "$name" "$data_centre" "$STORE" "$(peer_address_of "$name-gateway")" "$controller_settings" >"$RUN/$name-controller.ini"
  start_process "$name-controller" "$BIN/source/filbert-controller" -s "$RUN/$name-controller.ini"
}

# sha256_of TEXT: the value of key_sha256 for a workspace with this key.
sha256_of() { printf '%s' "$1" | sha256sum | cut -d' ' -f1; }

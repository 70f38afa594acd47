# Shared by tools/demo.sh and the measuring scripts: starts the stand-ins and
# entry hosts on 127.0.0.1 with ports chosen by the kernel, and ends them.

DEMO_PIDS=()

# Starts a program in the background; its first line of output, an address or a
# list of them, goes to $RUN/$1.out, its log to $RUN/$1.log.
start() {
  local name=$1
  shift
  "$@" >"$RUN/$name.out" 2>"$RUN/$name.log" &
  DEMO_PIDS+=($!)
  eval "PID_${name//[-.]/_}=$!"
}

# Waits until a file has a line that matches, for at most ten seconds.
wait_line() {
  local file=$1 pattern=$2 tries=0
  until grep -q "$pattern" "$file" 2>/dev/null; do
    tries=$((tries + 1))
    [ "$tries" -le 200 ] || { echo "no '$pattern' in $file" >&2; return 1; }
    sleep 0.05
  done
}

address_of() { wait_line "$RUN/$1.out" . && head -1 "$RUN/$1.out"; }
callers_of() { wait_line "$RUN/$1.out" callers && sed -n 's/^callers //p' "$RUN/$1.out"; }
peers_of() { wait_line "$RUN/$1.out" peers && sed -n 's/^peers //p' "$RUN/$1.out"; }
admin_of() { wait_line "$RUN/$1.out" admin && sed -n 's/^admin //p' "$RUN/$1.out"; }

stop_all() {
  local pid
  for pid in "${DEMO_PIDS[@]}"; do kill "$pid" 2>/dev/null; done
  for pid in "${DEMO_PIDS[@]}"; do wait "$pid" 2>/dev/null; done
  DEMO_PIDS=()
}

# start_engines DOMAIN DATA_CENTRE FIRST COUNT [engine options]: engines named
# DOMAIN-h<N>, and the platform's list of the domain's hosts.
start_engines() {
  local domain=$1 data_centre=$2 first=$3 count=$4 i name rows=""
  shift 4
  for ((i = first; i < first + count; i++)); do
    name="$domain-h$i"
    start "$name" "$BIN/standins/standin-engine" --host "$name" "$@"
  done
  for ((i = first; i < first + count; i++)); do
    name="$domain-h$i"
    rows+="${rows:+,}{\"name\":\"$name\",\"address\":\"$(address_of "$name")\",\"accelerators\":8,\"state\":\"live\"}"
  done
  put_object "platform/hosts/$domain" 0 \
    "{\"data_centre\":\"$data_centre\",\"hosts\":[$rows]}"
}

put_object() {
  curl -sf -X PUT -H "If-Match: $2" --data-binary "$3" \
    "http://$STORE/v1/objects/$1" >/dev/null
}

# start_entry_host NAME DATA_CENTRE [extra gateway settings]
start_entry_host() {
  local name=$1 data_centre=$2 extra=${3:-} extra_controller=${4:-}
  printf '[node]\nname = %s\ndata_centre = %s\n[callers]\nlisten = 127.0.0.1:0\n[admin]\nlisten = 127.0.0.1:0\n[peers]\nlisten = 127.0.0.1:0\nkey = a key of the demo only\nseeds = %s\n%b[store]\naddress = %s\n%b\n' \
    "$name" "$data_centre" "${SEEDS:-}" "${PEERS_EXTRA:-}" "$STORE" "$extra" >"$RUN/$name-gateway.ini"
  start "$name-gateway" "$BIN/source/filbert-gateway" -s "$RUN/$name-gateway.ini"
  SEEDS=${SEEDS:-$(peers_of "$name-gateway")}
  printf '[node]\nname = %s\ndata_centre = %s\n[admin]\nlisten = 127.0.0.1:0\n[store]\naddress = %s\n[gateway]\npeers = %s\nkey = a key of the demo only\n%b\n' \
    "$name" "$data_centre" "$STORE" "$(peers_of "$name-gateway")" "$extra_controller" >"$RUN/$name-controller.ini"
  start "$name-controller" "$BIN/source/filbert-controller" -s "$RUN/$name-controller.ini"
}

# sha256_of TEXT: what stands in a workspace's key_sha256.
sha256_of() { printf '%s' "$1" | sha256sum | cut -d' ' -f1; }

#!/usr/bin/env bash
# Fails if a decision library includes an adapter or a system header for I/O or
# reads a clock, if a name of the users' platform occurs in source/ or include/,
# or if a text is parsed without the limits of the base library.
set -eu
cd "$(dirname "$0")/.."
adapters='event_loop|http_server|http_client|store_client|store_watch|member_watch|peer_link|config_follower|log|metrics|program|gateway[a-z_]*|controller|operator_client|load_runner'
failed=0
for file in source/{base,settings,state,config_g,config_r,groups,routing,fleet,admission,request,keyed,peer_f,peer_m,peer_t,placement,exchange,history,load_p,site,server_d,replica,dispatch,gossip,poison,change,explain,backpressure,reach,forward}*.{cc,h} \
  include/filbertrack/{base,settings,state,config_g,config_r,groups,routing,fleet,admission,request,keyed,peer_f,peer_m,peer_t,placement,exchange,history,load_p,site,server_d,replica,dispatch,gossip,poison,change,explain,backpressure,reach,forward}*.h; do
  [ -e "$file" ] || continue
  if grep -nE "#include \"filbertrack/($adapters)\.h\"|#include <(event2|sys/socket|boost/(log|asio|histogram)|websocketpp)|steady_clock::now|system_clock::now" "$file"; then
    echo "$file: a decision library must not perform I/O or read a clock"
    failed=1
  fi
done
# Names of the users' platform may occur only in platform/ and its stand-ins.
platform_names='X-Attempt-Id|X-Runner-Id|X-Runner-Seal|X-Expect-Runner|X-Expect-Version|X-Tenant|X-Model|X-Token-Usage|X-Prompt-Prefix|X-Not-Executed|X-Deadline-Remaining|pathPrefix|trafficSplit|apiKeys|kvCapacityTokens|warmupS|loadS|closeMode|serializable|waitMs|Server-Limit|Server-Leaving'
platform_paths='"/objects/|"/order"|"/report"'
if grep -rnE "(^|[^A-Za-z])($platform_names)([^A-Za-z]|$)|$platform_paths" source include; then
  echo "names of the users' platform must not occur outside platform/"
  failed=1
fi
# ParseJson() and ParseCbor() bound the depth of a value.
if grep -rnE 'json::(parse|sax_parse|from_cbor|from_msgpack|from_bson|from_ubjson|accept)\(' \
  -i source include platform --include='*.cc' --include='*.h' |
  grep -vE '^source/base_(json|cbor)\.cc:'; then
  echo "text from outside must be parsed with ParseJson() or ParseCbor()"
  failed=1
fi
exit $failed

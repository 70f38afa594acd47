#!/usr/bin/env bash
# Fails if a decision library includes an adapter, a system header for I/O, or
# reads a clock.
set -eu
cd "$(dirname "$0")/.."
adapters='event_loop|http_server|http_client|store_client|store_watch|member_watch|peer_link|config_follower|log|metrics|program|gateway[a-z_]*|controller|operator_client|load_runner'
bad=0
for file in source/{base,settings,state,config_g,config_r,groups,routing,fleet,admission,request,keyed,peer_f,peer_m,peer_t,exchange,history,load_p,site,server_d,replica,dispatch,gossip,poison,change,explain,backpressure}*.{cc,h} \
  include/filbertrack/{base,settings,state,config_g,config_r,groups,routing,fleet,admission,request,keyed,peer_f,peer_m,peer_t,exchange,history,load_p,site,server_d,replica,dispatch,gossip,poison,change,explain,backpressure}*.h; do
  [ -e "$file" ] || continue
  if grep -nE "#include \"filbertrack/($adapters)\.h\"|#include <(event2|sys/socket|boost/(log|asio|histogram)|websocketpp)|steady_clock::now|system_clock::now" "$file"; then
    echo "$file: a decision library holds I/O or reads a clock"
    bad=1
  fi
done
# Names of the users' platform stand in platform/ and its stand-ins alone.
names='X-Attempt-Id|X-Runner-Id|X-Runner-Seal|X-Expect-Runner|X-Expect-Version|X-Tenant|X-Model|X-Token-Usage|X-Not-Executed|X-Deadline-Remaining|pathPrefix|trafficSplit|apiKeys|kvCapacityTokens|warmupS|loadS|closeMode|serializable|waitMs|Server-Limit|Server-Leaving'
paths='"/objects/|"/order"|"/report"'
if grep -rnE "(^|[^A-Za-z])($names)([^A-Za-z]|$)|$paths" source include; then
  echo "a name of the users' platform outside platform/"
  bad=1
fi
exit $bad

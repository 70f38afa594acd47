#include "filbertrack/gateway.h"

namespace filbertrack {

SettingsSchema GatewaySchema() {
  return SettingsSchema({
      {"node", "name", TextKey{"", true, {}},
       "Name of this entry host; must be unique in the fleet. Leases are held "
       "under it."},
      {"node", "data_centre", TextKey{"", true, {}},
       "Data centre of this entry host."},
      {"log", "level",
       TextKey{"info", false, {"debug", "info", "warning", "error"}},
       "Minimum level of the log lines that are written."},
      {"callers", "listen", AddressKey{"0.0.0.0:8080"},
       "Address for callers' requests."},
      {"callers", "max_body_bytes",
       IntegerKey{4 * 1024 * 1024, 1024, 64 * 1024 * 1024},
       "Maximum size of a request body, in bytes."},
      {"callers", "max_header_bytes", IntegerKey{16 * 1024, 1024, 1024 * 1024},
       "Maximum size of a request's headers, in bytes."},
      {"callers", "idle_timeout",
       DurationKey{Seconds(60), Seconds(1), Seconds(3600)},
       "Time after which a caller's connection without a request is closed."},
      {"callers", "default_deadline",
       DurationKey{Seconds(60), Milliseconds(10), Seconds(3600)},
       "Deadline of a request whose caller sets none, as the time from its "
       "arrival to the end of its response."},
      {"callers", "longest_deadline",
       DurationKey{Seconds(600), Seconds(1), Seconds(3600)},
       "Maximum deadline of a request; a later one that the caller sets is "
       "reduced to it."},
      {"admin", "listen", AddressKey{"127.0.0.1:8081"},
       "Address for health checks and status; in the gateway also for "
       "readiness checks and metrics."},
      {"store", "address", AddressKey{""},
       "Address of the platform's object API."},
      {"store", "timeout",
       DurationKey{Seconds(2), Milliseconds(10), Seconds(60)},
       "Timeout of a call to the object API."},
      {"store", "watch_wait",
       DurationKey{Seconds(30), Seconds(1), Seconds(300)},
       "Time for which the object API may hold a watch request open without a "
       "change."},
      {"peers", "listen", AddressKey{"0.0.0.0:8090"},
       "Address for requests of other entry hosts; published to them."},
      {"peers", "seeds", AddressListKey{},
       "Peer addresses of some entry hosts, from which the others are "
       "discovered."},
      {"peers", "key", TextKey{"", true, {}, 16},
       "Secret shared by all entry hosts; it authenticates their messages."},
      {"peers", "interval",
       DurationKey{Milliseconds(250), Milliseconds(20), Seconds(5)},
       "Interval at which this host queries its neighbours for changes."},
      {"peers", "neighbours", IntegerKey{2, 1, 16},
       "Number of entry hosts that this host queries in each interval."},
      {"peers", "monitors", IntegerKey{3, 1, 64},
       "Number of entry hosts that read the heartbeats of a group's members."},
      {"peers", "watchers", IntegerKey{2, 1, 64},
       "Number of entry hosts in each data centre that watch the object API; "
       "the others receive the objects from them."},
      {"keys", "partitions", IntegerKey{4, 1, 1024},
       "Number of partitions of the idempotency keys; must be the same on "
       "every entry host. With fewer partitions, each write covers more keys."},
      {"keys", "gather",
       DurationKey{Milliseconds(40), Milliseconds(0), Seconds(1)},
       "Minimum interval between two batch writes of a key partition."},
      {"keys", "retention",
       DurationKey{Seconds(86400), Seconds(60), Seconds(7 * 86400)},
       "Minimum time for which an idempotency key is remembered."},
      {"routing", "policy",
       TextKey{"predicted", false, {"predicted", "round-robin"}},
       "How the group for a request is chosen. predicted: by the shortest "
       "predicted time to first token; round-robin: in turn, the baseline for "
       "measurements."},
      {"routing", "evidence_bound",
       DurationKey{Seconds(1), Milliseconds(50), Seconds(10)},
       "Maximum age of the evidence that a group is whole. With older evidence "
       "the group gets no requests and its responses are not forwarded."},
      {"routing", "evidence_mode",
       TextKey{"bound", false, {"bound", "confirm"}},
       "When a part of a response is forwarded. bound: while the evidence is "
       "within evidence_bound; confirm: once there is evidence newer than the "
       "part's arrival."},
      {"routing", "beat_interval",
       DurationKey{Milliseconds(250), Milliseconds(20), Seconds(5)},
       "Interval at which group members send heartbeats."},
      {"routing", "wait_for_group",
       DurationKey{Seconds(5), Milliseconds(0), Seconds(60)},
       "Maximum time that a request is queued while no whole group is "
       "serving."},
      {"routing", "most_waiting", IntegerKey{10000, 0, 1000000},
       "Maximum number of queued requests for each service and adapter."},
      {"routing", "most_attempts", IntegerKey{4, 1, 10},
       "Maximum number of attempts for each request, including the first; an "
       "attempt that is known not to have run is not counted."},
      {"drain", "grace", DurationKey{Seconds(5), Milliseconds(0), Seconds(600)},
       "Time for which a stopping entry host still accepts requests, until the "
       "platform's load balancer has detected that it is not ready."},
  });
}

}  // namespace filbertrack

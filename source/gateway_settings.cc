#include "filbertrack/gateway.h"

namespace filbertrack {

SettingsSchema GatewaySchema() {
  return SettingsSchema({
      {"node", "name", TextKey{"", true, {}},
       "Name of this entry host, the only one of its kind in the fleet."},
      {"node", "data_centre", TextKey{"", true, {}},
       "Data centre that this entry host stands in."},
      {"log", "level",
       TextKey{"info", false, {"debug", "info", "warning", "error"}},
       "Lowest level that is written."},
      {"callers", "listen", AddressKey{"0.0.0.0:8080"},
       "Where callers' requests arrive."},
      {"callers", "max_body_bytes",
       IntegerKey{4 * 1024 * 1024, 1024, 64 * 1024 * 1024},
       "Largest body of a request, in bytes."},
      {"callers", "max_header_bytes", IntegerKey{16 * 1024, 1024, 1024 * 1024},
       "Largest set of headers of a request, in bytes."},
      {"callers", "idle_timeout",
       DurationKey{Seconds(60), Seconds(1), Seconds(3600)},
       "A caller's connection without a byte for this long is closed."},
      {"callers", "default_deadline",
       DurationKey{Seconds(60), Milliseconds(10), Seconds(3600)},
       "Time for a whole answer where the caller names none."},
      {"callers", "longest_deadline",
       DurationKey{Seconds(600), Seconds(1), Seconds(3600)},
       "Longest time that a caller may name."},
      {"admin", "listen", AddressKey{"127.0.0.1:8081"},
       "Where health, readiness, metrics and status are read."},
      {"store", "address", AddressKey{""},
       "Address of the platform's object API."},
      {"store", "timeout",
       DurationKey{Seconds(2), Milliseconds(10), Seconds(60)},
       "Longest wait for an answer of the object API."},
      {"store", "watch_wait",
       DurationKey{Seconds(30), Seconds(1), Seconds(300)},
       "How long the object API may hold a watch without a change."},
      {"routing", "policy",
       TextKey{"predicted", false, {"predicted", "round-robin"}},
       "How a group is chosen; round-robin is the baseline of measurements."},
      {"routing", "evidence_bound",
       DurationKey{Seconds(1), Milliseconds(50), Seconds(10)},
       "A group answers only while the evidence that it is whole is at most "
       "this old."},
      {"routing", "evidence_mode",
       TextKey{"bound", false, {"bound", "confirm"}},
       "confirm: each piece of an answer waits for evidence that is younger "
       "than its arrival."},
      {"routing", "beat_interval",
       DurationKey{Milliseconds(250), Milliseconds(20), Seconds(5)},
       "How often members write a line of evidence."},
      {"routing", "wait_for_group",
       DurationKey{Seconds(5), Milliseconds(0), Seconds(60)},
       "How long a request waits when no whole group serves."},
      {"routing", "most_waiting", IntegerKey{10000, 0, 1000000},
       "Requests of one service that may wait for room."},
      {"routing", "most_attempts", IntegerKey{4, 1, 10},
       "Attempts of one request, the first one included."},
      {"drain", "grace", DurationKey{Seconds(5), Milliseconds(0), Seconds(600)},
       "How long a stopping entry host still takes requests while the "
       "platform's balancer learns that it is unready."},
  });
}

}  // namespace filbertrack

#include "filbertrack/controller.h"

namespace filbertrack {

SettingsSchema ControllerSchema() {
  return SettingsSchema({
      {"node", "name", TextKey{"", true, {}},
       "Name of this entry host; leases are held under it."},
      {"node", "data_centre", TextKey{"", true, {}},
       "Data centre that this entry host stands in."},
      {"log", "level",
       TextKey{"info", false, {"debug", "info", "warning", "error"}},
       "Lowest level that is written."},
      {"admin", "listen", AddressKey{"127.0.0.1:8082"},
       "Where health and status are read."},
      {"gateway", "peers", AddressListKey{},
       "Peer address of this entry host's gateway, which the store's objects "
       "are read from; empty: the store itself is watched."},
      {"gateway", "key", TextKey{"", false, {}},
       "The secret that all entry hosts share."},
      {"gateway", "interval",
       DurationKey{Milliseconds(250), Milliseconds(20), Seconds(5)},
       "How often the gateway is asked."},
      {"store", "address", AddressKey{""},
       "Address of the platform's object API."},
      {"store", "timeout",
       DurationKey{Seconds(2), Milliseconds(10), Seconds(60)},
       "Longest wait for an answer of the object API."},
      {"store", "watch_wait",
       DurationKey{Seconds(30), Seconds(1), Seconds(300)},
       "How long the object API may hold a watch without a change."},
      {"lease", "duration",
       DurationKey{Seconds(6), Milliseconds(200), Seconds(120)},
       "How long a lease on a fabric domain lasts after a renewal began."},
      {"lease", "renew_every",
       DurationKey{Seconds(2), Milliseconds(50), Seconds(60)},
       "How often a lease is renewed."},
      {"lease", "order_life",
       DurationKey{Seconds(2), Milliseconds(50), Seconds(60)},
       "How long an order to an engine may travel."},
      {"repair", "policy", TextKey{"swap", false, {"swap", "rebuild"}},
       "swap replaces the lost member; rebuild forms the group anew and is the "
       "baseline of measurements."},
      {"repair", "beat_interval",
       DurationKey{Milliseconds(250), Milliseconds(20), Seconds(5)},
       "How often members write a line of evidence."},
      {"repair", "lost_after",
       DurationKey{Milliseconds(900), Milliseconds(100), Seconds(60)},
       "Silence after which a member counts as lost."},
      {"repair", "settle",
       DurationKey{Seconds(5), Milliseconds(0), Seconds(600)},
       "How long a host that was lost must be back before it gets a place."},
      {"repair", "drain_floor",
       DurationKey{Seconds(2), Milliseconds(0), Seconds(60)},
       "Shortest time that a draining group is kept."},
      {"repair", "drain_limit",
       DurationKey{Seconds(120), Seconds(1), Seconds(3600)},
       "Longest time that a draining group waits for requests in flight."},
  });
}

}  // namespace filbertrack

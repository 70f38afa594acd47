#include "filbertrack/controller.h"

namespace filbertrack {

SettingsSchema ControllerSchema() {
  return SettingsSchema({
      {"node", "name", TextKey{"", true, {}},
       "Name of this entry host; must be unique in the fleet. Leases are held "
       "under it."},
      {"node", "data_centre", TextKey{"", true, {}},
       "Data centre of this entry host."},
      {"log", "level",
       TextKey{"info", false, {"debug", "info", "warning", "error"}},
       "Minimum level of the log lines that are written."},
      {"admin", "listen", AddressKey{"127.0.0.1:8082"},
       "Address for health checks and status; in the gateway also for "
       "readiness checks and metrics."},
      {"gateway", "peers", AddressListKey{},
       "Peer address of this entry host's gateway, from which the store's "
       "objects are read; empty: the controller watches the store itself."},
      {"gateway", "key", TextKey{"", false, {}},
       "Secret shared by all entry hosts; it authenticates their messages."},
      {"gateway", "interval",
       DurationKey{Milliseconds(250), Milliseconds(20), Seconds(5)},
       "Interval at which the gateway is queried for changes."},
      {"store", "address", AddressKey{""},
       "Address of the platform's object API."},
      {"store", "timeout",
       DurationKey{Seconds(2), Milliseconds(10), Seconds(60)},
       "Timeout of a call to the object API."},
      {"store", "watch_wait",
       DurationKey{Seconds(30), Seconds(1), Seconds(300)},
       "Time for which the object API may hold a watch request open without a "
       "change."},
      {"lease", "duration",
       DurationKey{Seconds(6), Milliseconds(200), Seconds(120)},
       "Duration of a lease on a fabric domain, from the start of its last "
       "successful renewal."},
      {"lease", "renew_every",
       DurationKey{Seconds(2), Milliseconds(50), Seconds(60)},
       "Interval between the renewals of a lease."},
      {"lease", "order_life",
       DurationKey{Seconds(2), Milliseconds(50), Seconds(60)},
       "Maximum time that an order to an engine may be in transit. A domain "
       "whose lease has ended is acquired only this much later."},
      {"repair", "policy", TextKey{"swap", false, {"swap", "rebuild"}},
       "How a group that lost a member is repaired. swap: the member is "
       "replaced by a spare; rebuild: the group is dissolved and a new one "
       "formed, the baseline for measurements."},
      {"repair", "beat_interval",
       DurationKey{Milliseconds(250), Milliseconds(20), Seconds(5)},
       "Interval at which group members send heartbeats."},
      {"repair", "lost_after",
       DurationKey{Milliseconds(900), Milliseconds(100), Seconds(60)},
       "Time without a heartbeat after which a member counts as lost."},
      {"repair", "settle",
       DurationKey{Seconds(5), Milliseconds(0), Seconds(600)},
       "Time for which a host that was lost must be alive before it may join a "
       "group, so that a flapping host causes only one repair."},
      {"repair", "drain_floor",
       DurationKey{Seconds(2), Milliseconds(0), Seconds(60)},
       "Minimum duration of draining a group, so that routers that learn of it "
       "late have stopped sending."},
      {"repair", "drain_limit",
       DurationKey{Seconds(120), Seconds(1), Seconds(3600)},
       "Maximum duration of draining a group, even if requests are still in "
       "flight."},
  });
}

}  // namespace filbertrack

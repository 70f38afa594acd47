#pragma once

/// Single backend servers that accept no connections from this host, while most
/// servers do. Whether such a server has failed or only the way to it is cut is
/// not known here; other entry hosts may reach it.

#include <cstddef>
#include <map>
#include <set>
#include <vector>

#include "filbertrack/base_address.h"
#include "filbertrack/base_time.h"

namespace filbertrack {

struct ServerReachPolicy {
  /// Interval between probes of an unreachable server; doubles with each one
  /// that fails, up to the maximum, as most such servers have failed for good.
  Duration probe_interval = Milliseconds(200);
  Duration max_probe_interval = Milliseconds(1600);
  /// Probes that may start at a time.
  size_t max_probes = 16;
  /// Servers found unreachable within `sweep_window` after which all servers
  /// are probed, instead of losing a request to each of them.
  size_t servers_to_sweep = 3;
  Duration sweep_window = Seconds(1);
  /// Pause between two sweeps, and the largest number of servers probed.
  Duration sweep_pause = Seconds(2);
  size_t max_swept = 128;
  /// A server that accepted a probe is not probed again for silence alone
  /// within this time: its requests wait in its queue.
  Duration silence_pause = Seconds(4);
};

class ServerReach {
 public:
  explicit ServerReach(ServerReachPolicy policy) : m_policy(policy) {}

  /// A connection probe succeeded or failed. Returns whether the server became
  /// unreachable or reachable by it.
  bool OnProbed(const Address& server, bool accepted, TimePoint now);
  /// The server accepted a connection of a request.
  void OnConnected(const Address& server);
  /// Forgets all unreachable servers.
  void Clear() {
    m_unreachable.clear();
    m_probing.clear();
  }
  /// Forgets the servers that are not in `registered`.
  void Retain(const std::set<Address>& registered);

  /// Whether the silence of a server to the requests sent there is a reason to
  /// probe it.
  bool MayProbeSilent(const Address& server, TimePoint now) const;
  /// Unreachable servers whose next probe is due; marks it as started.
  std::vector<Address> TakeDueProbes(TimePoint now);
  /// Whether all servers are to be probed now; marks it as done.
  bool TakeSweep(TimePoint now);

  /// Servers that accept no connections.
  const std::set<Address>& unreachable() const { return m_unreachable; }
  const ServerReachPolicy& policy() const { return m_policy; }

 private:
  /// Returns whether the server was unreachable.
  bool Restore(const Address& server);

  ServerReachPolicy m_policy;
  std::set<Address> m_unreachable;
  struct Probing {
    TimePoint started;
    Duration interval{0};
  };
  std::map<Address, Probing> m_probing;
  /// When each server last accepted a probe.
  std::map<Address, TimePoint> m_accepted;
  /// When the latest servers became unreachable.
  std::vector<TimePoint> m_lost_at;
  TimePoint m_swept_at;
};

}  // namespace filbertrack

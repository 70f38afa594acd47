#pragma once

/// Backend servers that want no requests: for a time from this entry host, or
/// for good because they leave.
///
/// The load that it is made for: a server in need refuses whatever reaches it,
/// and every request that goes there first is late by a way there and back and
/// costs a retry. How long that lasts is for the server to say.

#include <map>
#include <optional>

#include "filbertrack/base_time.h"
#include "filbertrack/server_instance.h"

namespace filbertrack {

struct UnavailablePolicy {
  /// A server that leaves is remembered for so long after it last said so:
  /// longer than any takes to end.
  Duration leaving_ttl = Seconds(600);
};

class UnavailableServers {
 public:
  explicit UnavailableServers(UnavailablePolicy policy) : m_policy(policy) {}

  /// The server refused a request of this host and wants none for so long.
  void OnBackoff(const ServerInstance& server, Duration backoff, TimePoint now);
  /// True where it was not known.
  bool OnLeaving(const ServerInstance& server, TimePoint now);

  /// When the server asked for rest, how long it still lasts; 0: it is over.
  Duration RemainingBackoff(const ServerInstance& server, TimePoint now) const;
  bool IsLeaving(const ServerInstance& server) const {
    return m_leaving.contains(server);
  }
  size_t CountBackingOff(TimePoint now) const;
  size_t CountLeaving() const { return m_leaving.size(); }
  bool IsEmpty() const { return m_backoff.empty() && m_leaving.empty(); }

  void ForgetOld(TimePoint now);

 private:
  UnavailablePolicy m_policy;
  /// Until when.
  std::map<ServerInstance, TimePoint> m_backoff;
  /// When it last said so.
  std::map<ServerInstance, TimePoint> m_leaving;
};

}  // namespace filbertrack

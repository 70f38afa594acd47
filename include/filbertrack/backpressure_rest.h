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

struct RestPolicy {
  /// A server that leaves is remembered for so long after it last said so:
  /// longer than any takes to end.
  Duration leaving_life = Seconds(600);
};

class RestLedger {
 public:
  explicit RestLedger(RestPolicy policy) : m_policy(policy) {}

  /// The server refused a request of this host and wants none for so long.
  void OnRest(const ServerLife& server, Duration rest, TimePoint now);
  /// True where it was not known.
  bool OnLeaving(const ServerLife& server, TimePoint now);

  /// When the server asked for rest, how long it still lasts; 0: it is over.
  Duration RestOf(const ServerLife& server, TimePoint now) const;
  bool IsLeaving(const ServerLife& server) const {
    return m_leaving.contains(server);
  }
  size_t CountResting(TimePoint now) const;
  size_t CountLeaving() const { return m_leaving.size(); }
  bool IsEmpty() const { return m_resting.empty() && m_leaving.empty(); }

  void ForgetOld(TimePoint now);

 private:
  RestPolicy m_policy;
  /// Until when.
  std::map<ServerLife, TimePoint> m_resting;
  /// When it last said so.
  std::map<ServerLife, TimePoint> m_leaving;
};

}  // namespace filbertrack

#pragma once

/// Backend servers that accept no requests: from this entry host for a back-off
/// time, or from any host because they are shutting down.
///
/// An overloaded server refuses every request that reaches it, and each request
/// sent there first is delayed by a round trip and costs a retry. The server
/// determines how long to back off.

#include <map>
#include <optional>

#include "filbertrack/base_time.h"
#include "filbertrack/server_instance.h"

namespace filbertrack {

struct UnavailablePolicy {
  /// How long a server that is shutting down is remembered after it last
  /// announced that: longer than any shutdown takes.
  Duration leaving_ttl = Seconds(600);
};

class UnavailableServers {
 public:
  explicit UnavailableServers(UnavailablePolicy policy) : m_policy(policy) {}

  /// The server refused a request of this host and asked for none during
  /// `backoff`. A shorter back-off does not end a longer one.
  void OnBackoff(const ServerInstance& server, Duration backoff, TimePoint now);
  /// The server announced its shutdown. True if that was not known.
  bool OnLeaving(const ServerInstance& server, TimePoint now);

  /// How long the back-off of the server still lasts; 0: it has none.
  Duration RemainingBackoff(const ServerInstance& server, TimePoint now) const;
  bool IsLeaving(const ServerInstance& server) const {
    return m_leaving.contains(server);
  }
  size_t CountBackingOff(TimePoint now) const;
  size_t CountLeaving() const { return m_leaving.size(); }
  bool IsEmpty() const { return m_backoff.empty() && m_leaving.empty(); }

  /// Drops back-offs that are over and shutdowns older than leaving_ttl.
  void ForgetOld(TimePoint now);

 private:
  UnavailablePolicy m_policy;
  /// End of the back-off of each server.
  std::map<ServerInstance, TimePoint> m_backoff;
  /// When each server last announced its shutdown.
  std::map<ServerInstance, TimePoint> m_leaving;
};

}  // namespace filbertrack

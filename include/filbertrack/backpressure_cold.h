#pragma once

/// Paces requests to backend servers that are cold: they bear few requests a
/// second until they have warmed up, and end under well more.
///
/// The load that it is made for: all servers of a data centre turn cold at one
/// moment while a burst waits for places. Their places are free, so every entry
/// host would choose them. A few hosts each hold a part of what the server
/// bears, and none saves it up, so that no second holds more requests than it
/// bears whatever the hosts know of each other.

#include <map>
#include <optional>
#include <span>
#include <string>

#include "filbertrack/base_time.h"
#include "filbertrack/base_token_bucket.h"
#include "filbertrack/server_instance.h"

namespace filbertrack {

struct ColdState {
  ServerInstance server;
  /// Requests a second that it bears, from all entry hosts together.
  double per_second = 0;
  TimePoint until;
};

class ColdServers {
 public:
  /// `own` is the name of this entry host.
  explicit ColdServers(std::string own) : m_own(std::move(own)) {}

  /// `hosts` are all entry hosts with this one, each once. A server that was
  /// cold already keeps what it was sent; a later word replaces its end. True
  /// if it was not known to be cold.
  bool OnCold(const ColdState& state,
              std::span<const std::string> hosts,
              TimePoint now);

  /// Other entry hosts than before share what the servers bear.
  void SetHosts(std::span<const std::string> hosts, TimePoint now);

  void ForgetOld(TimePoint now);

  /// How long until this host may send a request; 0: now, or it is not cold.
  Duration UntilSend(const ServerInstance& server, TimePoint now) const;
  void OnSent(const ServerInstance& server, TimePoint now);

  bool IsEmpty() const { return m_servers.empty(); }
  size_t Count(TimePoint now) const;

 private:
  struct ColdServer {
    double per_second = 0;
    TimePoint until;
    /// nullopt: this host holds no part.
    std::optional<TokenBucket> bucket;
  };
  /// Gives this host its part of what the server bears.
  void AssignShare(const ServerInstance& server,
                   ColdServer& cold,
                   std::span<const std::string> hosts,
                   TimePoint now) const;

  std::string m_own;
  std::map<ServerInstance, ColdServer> m_servers;
};

}  // namespace filbertrack

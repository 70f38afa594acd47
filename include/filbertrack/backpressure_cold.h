#pragma once

/// Limits the rate of requests to cold backend servers. A cold server sustains
/// only a few requests per second until it has warmed up, and terminates under
/// substantially more.
///
/// The critical case is that all servers of a data centre turn cold at once
/// while a burst of requests waits for free slots: the slots of the cold
/// servers are free, so every entry host would choose them. A few entry hosts
/// each hold a share of the server's rate, and no host accumulates unused rate,
/// so the requests of any second stay within that rate whatever the hosts know
/// of each other.

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
  /// Requests per second that it sustains, from all entry hosts together.
  double per_second = 0;
  /// When the server will be warm.
  TimePoint until;
};

class ColdServers {
 public:
  /// `own` is the name of this entry host.
  explicit ColdServers(std::string own) : m_own(std::move(own)) {}

  /// Records that a server is cold. `hosts` are all entry hosts including this
  /// one, without duplicates. For a server that is known to be cold, `until` is
  /// replaced and its bucket keeps its tokens. True if it was not known to be
  /// cold.
  bool OnCold(const ColdState& state,
              std::span<const std::string> hosts,
              TimePoint now);

  /// The set of entry hosts changed: recomputes this host's shares.
  void SetHosts(std::span<const std::string> hosts, TimePoint now);

  /// Drops servers that are warm by now.
  void ForgetOld(TimePoint now);

  /// How long until this host may send a request to the server; 0 if it may now
  /// or the server is not cold.
  Duration UntilSend(const ServerInstance& server, TimePoint now) const;
  void OnSent(const ServerInstance& server, TimePoint now);

  bool IsEmpty() const { return m_servers.empty(); }
  size_t Count(TimePoint now) const;

 private:
  struct ColdServer {
    double per_second = 0;
    TimePoint until;
    /// nullopt: this host holds no share.
    std::optional<TokenBucket> bucket;
  };
  /// Sets the bucket of `cold` to this host's share of the server's rate.
  void AssignShare(const ServerInstance& server,
                   ColdServer& cold,
                   std::span<const std::string> hosts,
                   TimePoint now) const;

  std::string m_own;
  std::map<ServerInstance, ColdServer> m_servers;
};

}  // namespace filbertrack

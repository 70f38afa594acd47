#pragma once

/// Decides which backend servers this entry host may send a request to now,
/// from the rate limits, back-off times, cold starts and shutdowns that the
/// servers announce in their answers.

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "filbertrack/backpressure_cold.h"
#include "filbertrack/backpressure_limits.h"
#include "filbertrack/backpressure_rest.h"
#include "filbertrack/base_time.h"
#include "filbertrack/base_token_bucket.h"

namespace filbertrack {

struct BackpressurePolicy {
  LimitPolicy limits;
  UnavailablePolicy unavailable;
  /// How long an entry host keeps its share of the limits after it was last
  /// heard of: longer than a restart takes, and longer than a host that is too
  /// busy to exchange gossip goes on sending requests.
  Duration host_ttl = Seconds(10);
};

class Backpressure {
 public:
  /// `own` is the name of this entry host; `first_revision` as in LimitLedger.
  Backpressure(std::string own,
               BackpressurePolicy policy,
               uint64_t first_revision);

  /// Records what an answer, or another entry host, says of a server's limit.
  /// True if the limit of the server changed.
  bool OnAnswer(const LimitObservation& observation, TimePoint now);
  bool OnPeerUpdate(const LimitRecord& record, TimePoint now);

  /// The server refused a request of this host and asked for none during
  /// `backoff`.
  void OnBackoff(const ServerInstance& server,
                 Duration backoff,
                 TimePoint now) {
    m_unavailable.OnBackoff(server, backoff, now);
  }
  /// The server announced that it is cold. True if that was not known.
  bool OnCold(const ColdState& state, TimePoint now) {
    return m_cold.OnCold(state, m_hosts, now);
  }
  /// The server announced its shutdown. True if that was not known.
  bool OnLeaving(const ServerInstance& server, TimePoint now) {
    return m_unavailable.OnLeaving(server, now);
  }

  /// Sets the other entry hosts that gossip reports, or that the store lists,
  /// and removes expired state. Called regularly, since hosts and records
  /// expire by time.
  void SetFleet(std::span<const std::string> hosts, TimePoint now);

  /// No server restricts requests, which is the usual case.
  bool IsIdle() const {
    return m_buckets.empty() && m_unavailable.IsEmpty() && m_cold.IsEmpty();
  }
  bool MaySend(const ServerInstance& server, TimePoint now) const;
  /// How long until this host may send a request to the server; 0: now;
  /// nullopt: not in the foreseeable future, because this host holds no share
  /// of its limit or the server is shutting down.
  std::optional<Duration> UntilSend(const ServerInstance& server,
                                    TimePoint now) const;
  void OnSent(const ServerInstance& server, TimePoint now);

  /// Requests per second, from all entry hosts together; nullopt: the server
  /// names no limit.
  std::optional<double> LimitOf(const ServerInstance& server) const {
    return m_limits.LimitOf(server);
  }
  size_t CountLimited() const { return m_buckets.size(); }
  size_t CountBackingOff(TimePoint now) const {
    return m_unavailable.CountBackingOff(now);
  }
  size_t CountLeaving() const { return m_unavailable.CountLeaving(); }
  size_t CountCold(TimePoint now) const { return m_cold.Count(now); }

  /// The limits for a peer that has this host's records up to revision `known`.
  LimitUpdate Since(uint64_t known, TimePoint now) const {
    return m_limits.Since(known, now);
  }

 private:
  /// This host's share of a limit; nullopt: it holds none.
  using HostBucket = std::optional<TokenBucket>;

  /// Updates `m_last_seen` and `m_hosts`. True if the set of hosts changed.
  bool UpdateHosts(std::span<const std::string> hosts, TimePoint now);
  void SetBucket(const ServerInstance& server, TimePoint now);
  void SetBuckets(TimePoint now);

  std::string m_own;
  BackpressurePolicy m_policy;
  LimitLedger m_limits;
  UnavailableServers m_unavailable;
  ColdServers m_cold;
  /// One row per server that names a limit.
  std::map<ServerInstance, HostBucket> m_buckets;
  std::map<std::string, TimePoint, std::less<>> m_last_seen;
  /// This host's name, then the names in `m_last_seen`.
  std::vector<std::string> m_hosts;
};

}  // namespace filbertrack

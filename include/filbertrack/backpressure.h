#pragma once

/// Which backend servers an entry host may send a request to now, by what the
/// servers say in their answers.

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
  /// An entry host keeps its part of the limits for so long after it was last
  /// heard of: longer than a restart takes, and than a host that is too busy to
  /// be heard sends on.
  Duration host_ttl = Seconds(10);
};

class Backpressure {
 public:
  /// `own` is the name of this entry host; `first_revision` as in LimitLedger.
  Backpressure(std::string own,
               BackpressurePolicy policy,
               uint64_t first_revision);

  /// True if the limit of the server changed.
  bool OnAnswer(const LimitObservation& observation, TimePoint now);
  bool OnPeerUpdate(const LimitRecord& record, TimePoint now);

  /// The server refused a request of this host and wants none for so long.
  void OnBackoff(const ServerInstance& server,
                 Duration backoff,
                 TimePoint now) {
    m_unavailable.OnBackoff(server, backoff, now);
  }
  /// True if the server was not known to be cold.
  bool OnCold(const ColdState& state, TimePoint now) {
    return m_cold.OnCold(state, m_hosts, now);
  }
  /// The server says that it leaves; true where it was not known.
  bool OnLeaving(const ServerInstance& server, TimePoint now) {
    return m_unavailable.OnLeaving(server, now);
  }

  /// The other entry hosts that are heard, or known from the store.
  void SetFleet(std::span<const std::string> hosts, TimePoint now);

  /// No server asks for anything, as most of the time.
  bool IsIdle() const {
    return m_buckets.empty() && m_unavailable.IsEmpty() && m_cold.IsEmpty();
  }
  bool MaySend(const ServerInstance& server, TimePoint now) const;
  /// How long until a request may be sent to the server; nullopt: not by
  /// this host, as far as is known: others hold its limit, or it leaves.
  std::optional<Duration> UntilSend(const ServerInstance& server,
                                    TimePoint now) const;
  void OnSent(const ServerInstance& server, TimePoint now);

  /// Requests a second; nullopt: the server names no limit.
  std::optional<double> LimitOf(const ServerInstance& server) const {
    return m_limits.LimitOf(server);
  }
  size_t CountLimited() const { return m_buckets.size(); }
  size_t CountBackingOff(TimePoint now) const {
    return m_unavailable.CountBackingOff(now);
  }
  size_t CountLeaving() const { return m_unavailable.CountLeaving(); }
  size_t CountCold(TimePoint now) const { return m_cold.Count(now); }

  /// What the peer lacks that knows this host's words up to `known`.
  LimitUpdate Since(uint64_t known, TimePoint now) const {
    return m_limits.Since(known, now);
  }

 private:
  /// This host's part of a limit; nullopt: it holds none.
  using HostBucket = std::optional<TokenBucket>;

  /// True if other hosts than before are remembered.
  bool UpdateHosts(std::span<const std::string> hosts, TimePoint now);
  void SetBucket(const ServerInstance& server, TimePoint now);
  void SetBuckets(TimePoint now);

  std::string m_own;
  BackpressurePolicy m_policy;
  LimitLedger m_limits;
  UnavailableServers m_unavailable;
  ColdServers m_cold;
  /// Of each server that names a limit.
  std::map<ServerInstance, HostBucket> m_buckets;
  std::map<std::string, TimePoint, std::less<>> m_last_seen;
  /// The names in `m_heard`, and this host's.
  std::vector<std::string> m_hosts;
};

}  // namespace filbertrack

#include "filbertrack/backpressure.h"

#include <algorithm>

#include "filbertrack/backpressure_share.h"

namespace filbertrack {

Backpressure::Backpressure(std::string own,
                           BackpressurePolicy policy,
                           uint64_t first_revision)
    : m_own(std::move(own)),
      m_policy(policy),
      m_limits(policy.limits, first_revision),
      m_unavailable(policy.unavailable),
      m_cold(m_own),
      m_hosts{m_own} {}

bool Backpressure::OnAnswer(const LimitObservation& observation,
                            TimePoint now) {
  const bool changed = m_limits.OnAnswer(observation, now);
  if (changed) {
    SetBucket(observation.server, now);
  }
  return changed;
}

bool Backpressure::OnPeerUpdate(const LimitRecord& record, TimePoint now) {
  const bool changed = m_limits.OnPeerUpdate(record, now);
  if (changed) {
    SetBucket(record.server, now);
  }
  return changed;
}

void Backpressure::SetFleet(std::span<const std::string> hosts, TimePoint now) {
  const bool changed = UpdateHosts(hosts, now);
  m_unavailable.ForgetOld(now);
  m_cold.ForgetOld(now);
  const bool forgot = m_limits.ForgetOld(now);
  if (changed || forgot) {
    SetBuckets(now);
  }
}

bool Backpressure::UpdateHosts(std::span<const std::string> hosts,
                               TimePoint now) {
  bool changed = false;
  for (const std::string& host : hosts) {
    if (host != m_own) {
      changed = m_last_seen.insert_or_assign(host, now).second || changed;
    }
  }
  const auto is_gone = [this, now](const auto& row) {
    return now - row.second > m_policy.host_ttl;
  };
  changed = std::erase_if(m_last_seen, is_gone) > 0 || changed;
  if (changed) {
    m_hosts.assign(1, m_own);
    for (const auto& [host, at] : m_last_seen) {
      m_hosts.push_back(host);
    }
  }
  return changed;
}

void Backpressure::SetBuckets(TimePoint now) {
  std::erase_if(m_buckets, [this](const auto& row) {
    return !m_limits.LimitOf(row.first);
  });
  for (const ServerInstance& server : m_limits.LimitedServers()) {
    SetBucket(server, now);
  }
  m_cold.SetHosts(m_hosts, now);
}

void Backpressure::SetBucket(const ServerInstance& server, TimePoint now) {
  const std::optional<double> limit = m_limits.LimitOf(server);
  if (!limit) {
    m_buckets.erase(server);
    return;
  }
  filbertrack::SetBucket(m_buckets[server],
                         ShareOfLimit(*limit, server.id, m_own, m_hosts), now);
}

bool Backpressure::MaySend(const ServerInstance& server, TimePoint now) const {
  return UntilSend(server, now) == Duration(0);
}

std::optional<Duration> Backpressure::UntilSend(const ServerInstance& server,
                                                TimePoint now) const {
  if (m_unavailable.IsLeaving(server)) {
    // The store may report the shutdown seconds later, or never.
    return std::nullopt;
  }
  // A successful answer to an earlier request does not end the back-off, since
  // streams that began before it may complete during it.
  const Duration backoff = std::max(m_unavailable.RemainingBackoff(server, now),
                                    m_cold.UntilSend(server, now));
  const auto found = m_buckets.find(server);
  if (found == m_buckets.end()) {
    return backoff;
  }
  const HostBucket& bucket = found->second;
  return bucket ? std::optional(std::max(backoff, bucket->UntilNext(now)))
                : std::nullopt;
}

void Backpressure::OnSent(const ServerInstance& server, TimePoint now) {
  m_cold.OnSent(server, now);
  const auto found = m_buckets.find(server);
  if (found != m_buckets.end() && found->second) {
    // The bucket may be empty if the server was chosen just before its limit
    // was received.
    found->second->TryTake(now);
  }
}

}  // namespace filbertrack

#include "filbertrack/backpressure_cold.h"

#include <algorithm>

#include "filbertrack/backpressure_share.h"

namespace filbertrack {

void ColdServers::AssignShare(const ServerInstance& server,
                              ColdServer& cold,
                              std::span<const std::string> hosts,
                              TimePoint now) const {
  SetBucket(cold.bucket,
            ShareOfColdServer(cold.per_second, server.id, m_own, hosts), now);
}

bool ColdServers::OnCold(const ColdState& state,
                         std::span<const std::string> hosts,
                         TimePoint now) {
  const auto [row, is_new] = m_servers.try_emplace(state.server);
  ColdServer& cold = row->second;
  const bool changes = is_new || cold.per_second != state.per_second;
  cold.per_second = state.per_second;
  cold.until = state.until;
  if (changes) {
    AssignShare(state.server, cold, hosts, now);
  }
  return is_new;
}

void ColdServers::SetHosts(std::span<const std::string> hosts, TimePoint now) {
  for (auto& [server, cold] : m_servers) {
    AssignShare(server, cold, hosts, now);
  }
}

void ColdServers::ForgetOld(TimePoint now) {
  std::erase_if(m_servers,
                [now](const auto& row) { return row.second.until <= now; });
}

Duration ColdServers::UntilSend(const ServerInstance& server,
                                TimePoint now) const {
  const auto found = m_servers.find(server);
  if (found == m_servers.end() || found->second.until <= now) {
    return Duration(0);
  }
  const ColdServer& cold = found->second;
  // A host with no share, or a small one, may send once the server is warm.
  const Duration left = cold.until - now;
  return cold.bucket ? std::min(left, cold.bucket->UntilNext(now)) : left;
}

void ColdServers::OnSent(const ServerInstance& server, TimePoint now) {
  const auto found = m_servers.find(server);
  if (found != m_servers.end() && found->second.bucket) {
    found->second.bucket->TryTake(now);
  }
}

size_t ColdServers::Count(TimePoint now) const {
  return static_cast<size_t>(
      std::count_if(m_servers.begin(), m_servers.end(),
                    [now](const auto& row) { return row.second.until > now; }));
}

}  // namespace filbertrack

#include "filbertrack/backpressure_rest.h"

#include <algorithm>

namespace filbertrack {

void UnavailableServers::OnBackoff(const ServerInstance& server,
                                   Duration backoff,
                                   TimePoint now) {
  TimePoint& until = m_backoff[server];
  until = std::max(until, now + backoff);
}

bool UnavailableServers::OnLeaving(const ServerInstance& server,
                                   TimePoint now) {
  const auto [row, is_new] = m_leaving.try_emplace(server, now);
  row->second = now;
  return is_new;
}

Duration UnavailableServers::RemainingBackoff(const ServerInstance& server,
                                              TimePoint now) const {
  const auto found = m_backoff.find(server);
  return found == m_backoff.end() ? Duration(0)
                                  : std::max(Duration(0), found->second - now);
}

size_t UnavailableServers::CountBackingOff(TimePoint now) const {
  return static_cast<size_t>(
      std::count_if(m_backoff.begin(), m_backoff.end(),
                    [now](const auto& row) { return row.second > now; }));
}

void UnavailableServers::ForgetOld(TimePoint now) {
  std::erase_if(m_backoff,
                [now](const auto& row) { return row.second <= now; });
  std::erase_if(m_leaving, [this, now](const auto& row) {
    return now - row.second > m_policy.leaving_ttl;
  });
}

}  // namespace filbertrack

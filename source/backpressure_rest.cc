#include "filbertrack/backpressure_rest.h"

#include <algorithm>

namespace filbertrack {

void RestLedger::OnRest(const ServerLife& server,
                        Duration rest,
                        TimePoint now) {
  TimePoint& until = m_resting[server];
  until = std::max(until, now + rest);
}

bool RestLedger::OnLeaving(const ServerLife& server, TimePoint now) {
  const auto [row, is_new] = m_leaving.try_emplace(server, now);
  row->second = now;
  return is_new;
}

Duration RestLedger::RestOf(const ServerLife& server, TimePoint now) const {
  const auto found = m_resting.find(server);
  return found == m_resting.end() ? Duration(0)
                                  : std::max(Duration(0), found->second - now);
}

size_t RestLedger::CountResting(TimePoint now) const {
  return static_cast<size_t>(
      std::count_if(m_resting.begin(), m_resting.end(),
                    [now](const auto& row) { return row.second > now; }));
}

void RestLedger::ForgetOld(TimePoint now) {
  std::erase_if(m_resting,
                [now](const auto& row) { return row.second <= now; });
  std::erase_if(m_leaving, [this, now](const auto& row) {
    return now - row.second > m_policy.leaving_life;
  });
}

}  // namespace filbertrack

#include "filbertrack/gossip_exchange.h"

#include <algorithm>

namespace filbertrack {

void LoadExchange::UpdatePressure(double pressure) {
  m_busy = pressure >= m_policy.loaded_pressure;
}

Duration LoadExchange::Interval(size_t requesters,
                                size_t relays,
                                bool is_relay) const {
  if (!m_busy) {
    return is_relay ? m_policy.idle_remote_interval : m_policy.idle_interval;
  }
  const double answers = m_policy.max_answers_per_s *
                         static_cast<double>(std::max<size_t>(1, relays));
  const Duration min_interval =
      FromSeconds(static_cast<double>(requesters) / answers);
  return std::clamp(min_interval, m_policy.loaded_interval,
                    m_policy.idle_interval);
}

bool LoadExchange::TryBegin(Duration interval, TimePoint now) {
  if (m_last_start && now - *m_last_start < interval) {
    return false;
  }
  m_last_start = now;
  return true;
}

const std::string& LoadExchange::NextRelay(
    std::span<const std::string> relays) {
  ++m_next_relay;
  return relays[m_next_relay % relays.size()];
}

}  // namespace filbertrack

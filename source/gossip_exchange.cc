#include "filbertrack/gossip_exchange.h"

#include <algorithm>

namespace filbertrack {

void LoadExchange::NotePressure(double pressure) {
  m_busy = pressure >= m_policy.busy_pressure;
}

Duration LoadExchange::Interval(size_t askers,
                                size_t relays,
                                bool is_relay) const {
  if (!m_busy) {
    return is_relay ? m_policy.calm_far_interval : m_policy.calm_interval;
  }
  const double answers = m_policy.most_answers_per_s *
                         static_cast<double>(std::max<size_t>(1, relays));
  const Duration least = FromSeconds(static_cast<double>(askers) / answers);
  return std::clamp(least, m_policy.busy_interval, m_policy.calm_interval);
}

bool LoadExchange::TryBegin(Duration interval, TimePoint now) {
  if (m_began && now - *m_began < interval) {
    return false;
  }
  m_began = now;
  return true;
}

const std::string& LoadExchange::NextRelay(
    std::span<const std::string> relays) {
  ++m_turn;
  return relays[m_turn % relays.size()];
}

}  // namespace filbertrack

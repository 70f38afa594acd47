#include "filbertrack/backpressure_limits.h"

namespace filbertrack {

bool LimitLedger::OnAnswer(const LimitReading& reading, TimePoint now) {
  const auto known = m_words.find(reading.server);
  if (reading.limit) {
    const bool same =
        known != m_words.end() && known->second.limit == *reading.limit;
    m_words[reading.server] = {*reading.limit, now};
    return !same;
  }
  if (known == m_words.end() || reading.sent <= known->second.at) {
    return false;
  }
  m_words.erase(known);
  return true;
}

std::optional<double> LimitLedger::LimitOf(const ServerLife& server) const {
  const auto known = m_words.find(server);
  return known == m_words.end() ? std::nullopt
                                : std::optional(known->second.limit);
}

}  // namespace filbertrack

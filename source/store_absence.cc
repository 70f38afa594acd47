#include "filbertrack/store_absence.h"

namespace filbertrack {

void StoreOutageDetector::OnLost(TimePoint since) {
  if (!m_lost) {
    m_lost = since;
    m_was_outage.reset();
    m_peers_ahead_at.reset();
  }
}

void StoreOutageDetector::OnPeersAhead(TimePoint now) {
  if (m_lost && !m_was_outage) {
    m_peers_ahead_at = now;
  }
}

bool StoreOutageDetector::OnReturned(TimePoint now) {
  if (!m_lost) {
    return false;
  }
  Decide(now);
  m_lost.reset();
  return *m_was_outage;
}

void StoreOutageDetector::Decide(TimePoint now) {
  if (m_was_outage) {
    return;
  }
  const bool others_had_it = m_peers_ahead_at && *m_peers_ahead_at - *m_lost >=
                                                     m_policy.propagation_time;
  m_was_outage = now - *m_lost >= m_policy.min_outage && !others_had_it;
}

bool StoreOutageDetector::OnAnswered(TimePoint at) {
  if (!m_lost || m_was_outage) {
    return false;
  }
  Decide(at);
  return *m_was_outage;
}

}  // namespace filbertrack

#include "filbertrack/store_absence.h"

namespace filbertrack {

void StoreOutageDetector::OnLost(TimePoint now) {
  if (!m_lost) {
    m_lost = now;
    m_peers_ahead_at.reset();
  }
}

void StoreOutageDetector::OnPeersAhead(TimePoint now) {
  if (m_lost) {
    m_peers_ahead_at = now;
  }
}

bool StoreOutageDetector::OnReturned(TimePoint now) {
  if (!m_lost) {
    return false;
  }
  const TimePoint lost = *m_lost;
  m_lost.reset();
  if (!m_peers_ahead_at) {
    return true;
  }
  // No registration expires in so short a time, so none needs to be kept.
  const bool is_short = now - lost < m_policy.propagation_time;
  return !is_short && *m_peers_ahead_at - lost < m_policy.propagation_time;
}

}  // namespace filbertrack

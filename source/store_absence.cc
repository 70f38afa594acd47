#include "filbertrack/store_absence.h"

namespace filbertrack {

void StoreAbsence::OnLost(TimePoint now) {
  if (!m_lost) {
    m_lost = now;
    m_peers_knew_more.reset();
  }
}

void StoreAbsence::OnPeersKnewMore(TimePoint now) {
  if (m_lost) {
    m_peers_knew_more = now;
  }
}

bool StoreAbsence::OnReturned(TimePoint now) {
  if (!m_lost) {
    return false;
  }
  const TimePoint lost = *m_lost;
  m_lost.reset();
  if (!m_peers_knew_more) {
    return true;
  }
  // Nothing lapses in an absence as short as this, so nothing need be kept.
  const bool is_short = now - lost < m_policy.under_way;
  return !is_short && *m_peers_knew_more - lost < m_policy.under_way;
}

}  // namespace filbertrack

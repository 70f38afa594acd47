#include "filbertrack/store_absence.h"

#include <algorithm>

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
  m_was_outage = now - *m_lost >= m_policy.min_outage && !others_had_it &&
                 !RulesOutReturn(now);
  if (*m_was_outage) {
    m_returned = now;
    CorrectReturn();
  }
}

void StoreOutageDetector::OnAnswered(TimePoint at) {
  if (m_lost) {
    Decide(at);
  }
  OnPeerService({at, at});
}

void StoreOutageDetector::OnPeerService(const StoreService& service) {
  if (service.since > service.until) {
    return;
  }
  if (!m_service ||
      service.since > m_service->until + m_policy.max_answer_gap) {
    m_service = service;
  } else if (m_service->since <= service.until + m_policy.max_answer_gap) {
    m_service->since = std::min(m_service->since, service.since);
    m_service->until = std::max(m_service->until, service.until);
  }
  CorrectReturn();
}

void StoreOutageDetector::CorrectReturn() {
  if (!m_returned) {
    return;
  }
  if (RulesOutReturn(*m_returned)) {
    m_returned.reset();
  } else if (m_service &&
             m_service->until >= *m_returned - m_policy.max_answer_gap) {
    m_returned = std::min(*m_returned, m_service->since);
  }
}

bool StoreOutageDetector::OnPeerSawReturn(TimePoint returned) {
  const bool is_new =
      !m_returned || returned > *m_returned + m_policy.same_return;
  if (!is_new || RulesOutReturn(returned)) {
    return false;
  }
  m_returned = returned;
  CorrectReturn();
  return true;
}

bool StoreOutageDetector::RulesOutReturn(TimePoint returned) const {
  return m_service && m_service->since <= returned - m_policy.min_outage &&
         m_service->until >= returned - m_policy.max_answer_gap;
}

}  // namespace filbertrack

#include "filbertrack/site_view_guard.h"

namespace filbertrack {

void ViewGuard::OnTick(TimePoint now) {
  Update(now);
  m_ticked_at = now;
}

bool ViewGuard::IsOutdated(TimePoint now) {
  Update(now);
  return m_outdated_since.has_value();
}

void ViewGuard::OnConfirmed(TimePoint asked) {
  if (m_outdated_since && asked >= *m_outdated_since) {
    m_outdated_since.reset();
  }
}

void ViewGuard::Update(TimePoint now) {
  if (m_outdated_since && now - *m_outdated_since >= m_policy.max_wait) {
    m_outdated_since.reset();
  }
  if (m_ticked_at && now - *m_ticked_at > m_policy.max_pause) {
    m_last_pause = now - *m_ticked_at;
    m_outdated_since = now;
    m_ticked_at = now;
  }
}

}  // namespace filbertrack

#include "filbertrack/request_retry_budget.h"

#include <algorithm>
#include <cmath>

namespace filbertrack {

void RetryBudget::OnRequest(TimePoint now) {
  Refresh(now);
  m_recent += 1;
  Earn(m_policy.earned_per_request);
}

void RetryBudget::SetPolicy(const RetryBudgetPolicy& policy, TimePoint now) {
  Refresh(now);
  m_policy = policy;
  m_saved = std::min(m_saved, Bound());
}

void RetryBudget::SetMostSaved(double most) {
  m_policy.most_saved = most;
  m_saved = std::min(m_saved, Bound());
}

bool RetryBudget::CanSpend(TimePoint now) {
  Refresh(now);
  return m_saved >= 1;
}

bool RetryBudget::TrySpend(TimePoint now) {
  if (!CanSpend(now)) {
    return false;
  }
  m_saved -= 1;
  return true;
}

void RetryBudget::Earn(double amount) {
  m_saved = std::min(Bound(), m_saved + amount);
}

double RetryBudget::Bound() const {
  return m_policy.carry > Duration(0)
             ? m_policy.most_saved + m_policy.earned_per_request * m_recent
             : m_policy.most_saved;
}

void RetryBudget::Refresh(TimePoint now) {
  if (m_policy.carry > Duration(0)) {
    m_recent *=
        std::exp(-ToSeconds(now - m_updated) / ToSeconds(m_policy.carry));
  }
  Earn(ToSeconds(now - m_updated) * m_policy.earned_per_second);
  m_updated = now;
}

}  // namespace filbertrack

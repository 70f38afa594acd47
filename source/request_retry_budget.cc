#include "filbertrack/request_retry_budget.h"

#include <algorithm>

namespace filbertrack {

void RetryBudget::OnRequest(TimePoint now) {
  Refresh(now);
  Earn(m_policy.earned_per_request);
}

void RetryBudget::SetPolicy(const RetryBudgetPolicy& policy, TimePoint now) {
  Refresh(now);
  m_policy = policy;
  m_saved = std::min(m_saved, policy.most_saved);
}

void RetryBudget::SetMostSaved(double most) {
  m_policy.most_saved = most;
  m_saved = std::min(m_saved, most);
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
  m_saved = std::min(m_policy.most_saved, m_saved + amount);
}

void RetryBudget::Refresh(TimePoint now) {
  Earn(ToSeconds(now - m_updated) * m_policy.earned_per_second);
  m_updated = now;
}

}  // namespace filbertrack

#include "filbertrack/request_retry_budget.h"

#include <algorithm>

namespace filbertrack {

void RetryBudget::OnRequest(TimePoint now) {
  Refill(now);
  Earn(m_policy.earned_per_request);
}

void RetryBudget::SetPolicy(const RetryBudgetPolicy& policy, TimePoint now) {
  Refill(now);
  m_policy = policy;
  m_saved = std::min(m_saved, policy.max_saved);
}

void RetryBudget::SetMaxSaved(double max_saved) {
  m_policy.max_saved = max_saved;
  m_saved = std::min(m_saved, max_saved);
}

bool RetryBudget::CanSpend(TimePoint now) {
  Refill(now);
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
  m_saved = std::min(m_policy.max_saved, m_saved + amount);
}

void RetryBudget::Refill(TimePoint now) {
  Earn(ToSeconds(now - m_updated) * m_policy.earned_per_second);
  m_updated = now;
}

}  // namespace filbertrack

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

RetryBudget& RetryBudgets::Of(std::string_view service, TimePoint now) {
  const auto found = m_budgets.find(service);
  if (found != m_budgets.end()) {
    return found->second;
  }
  return m_budgets.emplace(service, RetryBudget(m_policy, now)).first->second;
}

void RetryBudgets::OnRequest(std::string_view service, TimePoint now) {
  Of(service, now).OnRequest(now);
}

bool RetryBudgets::CanSpend(std::string_view service, TimePoint now) {
  return Of(service, now).CanSpend(now);
}

bool RetryBudgets::TrySpend(std::string_view service, TimePoint now) {
  return Of(service, now).TrySpend(now);
}

void RetryBudgets::SetPolicy(const RetryBudgetPolicy& policy, TimePoint now) {
  m_policy = policy;
  for (auto& [service, budget] : m_budgets) {
    budget.SetPolicy(policy, now);
  }
}

void RetryBudgets::SetMaxSaved(double max_saved) {
  m_policy.max_saved = max_saved;
  for (auto& [service, budget] : m_budgets) {
    budget.SetMaxSaved(max_saved);
  }
}

}  // namespace filbertrack

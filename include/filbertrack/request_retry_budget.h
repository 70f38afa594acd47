#pragma once

/// A token bucket for retries: each first attempt earns a fraction of a retry.
/// When many requests fail together, retries remain a small share of the load
/// and cannot turn a failure into an overload.

#include <map>
#include <string>
#include <string_view>

#include "filbertrack/base_time.h"

namespace filbertrack {

struct RetryBudgetPolicy {
  double earned_per_request = 0.2;
  double max_saved = 50;
  /// Earned regardless of load, so that a host with little traffic may retry at
  /// all.
  double earned_per_second = 1;
};

class RetryBudget {
 public:
  RetryBudget(RetryBudgetPolicy policy, TimePoint now)
      : m_policy(policy), m_saved(policy.max_saved), m_updated(now) {}

  void OnRequest(TimePoint now);

  /// Replaces the policy. The saved retries are kept, up to the new limit, so
  /// that a reload of the settings does not refill the budget.
  void SetPolicy(const RetryBudgetPolicy& policy, TimePoint now);

  /// Sets the limit of saved retries; the excess is dropped.
  void SetMaxSaved(double max_saved);

  bool CanSpend(TimePoint now);

  /// Spends one retry. Returns false if none is left.
  bool TrySpend(TimePoint now);

 private:
  void Earn(double amount);
  void Refill(TimePoint now);

  RetryBudgetPolicy m_policy;
  double m_saved;
  TimePoint m_updated;
};

/// A budget for each service, so that the requests for one earn no retries of
/// another. Budgets are kept for all services that had a request.
class RetryBudgets {
 public:
  explicit RetryBudgets(RetryBudgetPolicy policy) : m_policy(policy) {}

  /// As the members of RetryBudget, for the budget of `service`.
  void OnRequest(std::string_view service, TimePoint now);
  bool CanSpend(std::string_view service, TimePoint now);
  bool TrySpend(std::string_view service, TimePoint now);

  /// As the members of RetryBudget, for all budgets.
  void SetPolicy(const RetryBudgetPolicy& policy, TimePoint now);
  void SetMaxSaved(double max_saved);

 private:
  RetryBudget& Of(std::string_view service, TimePoint now);

  RetryBudgetPolicy m_policy;
  std::map<std::string, RetryBudget, std::less<>> m_budgets;
};

}  // namespace filbertrack

#pragma once

/// A budget for retries: each first attempt earns a part of a retry. When many
/// requests fail together, retries stay a small share of the load and cannot
/// turn one failure into an overload.

#include "filbertrack/base_time.h"

namespace filbertrack {

struct RetryBudgetPolicy {
  double earned_per_request = 0.2;
  double max_saved = 50;
  /// Earned without load, so that a quiet host may retry at all.
  double earned_per_second = 1;
};

class RetryBudget {
 public:
  RetryBudget(RetryBudgetPolicy policy, TimePoint now)
      : m_policy(policy), m_saved(policy.max_saved), m_updated(now) {}

  void OnRequest(TimePoint now);

  /// What is saved stays, up to the new bound: a policy that is read again must
  /// not hand out a second budget.
  void SetPolicy(const RetryBudgetPolicy& policy, TimePoint now);

  /// The most retries that are saved up from now on.
  void SetMaxSaved(double max_saved);

  bool CanSpend(TimePoint now);

  /// Spends one retry; false where none is left.
  bool TrySpend(TimePoint now);

 private:
  void Earn(double amount);
  void Refill(TimePoint now);

  RetryBudgetPolicy m_policy;
  double m_saved;
  TimePoint m_updated;
};

}  // namespace filbertrack

#include "filbertrack/admission_parts.h"

#include <algorithm>
#include <cmath>

namespace filbertrack {

void EntitlementParts::SetBase(const EntitlementKey& key,
                               double requests_per_second) {
  m_parts[key].base = requests_per_second;
}

void EntitlementParts::OnDemand(const EntitlementKey& key,
                                const LoanPolicy& policy,
                                TimePoint now) {
  Part& part = m_parts[key];
  part.demand =
      DemandNow(part, policy, now) + 1 / ToSeconds(policy.demand_window);
  part.demand_at = now;
}

double EntitlementParts::DemandNow(const Part& part,
                                   const LoanPolicy& policy,
                                   TimePoint now) {
  const double age = ToSeconds(now - part.demand_at);
  return part.demand * std::exp(-age / ToSeconds(policy.demand_window));
}

std::vector<EntitlementParts::LoanRequest> EntitlementParts::LoanRequests(
    std::string_view lender,
    const LoanPolicy& policy,
    TimePoint now) {
  std::vector<LoanRequest> requests;
  for (const auto& [key, part] : m_parts) {
    const double available = std::max(
        0.0, part.base + Borrowed(part, lender, now) - Lent(part, "", now));
    const double request = DemandNow(part, policy, now) - available;
    if (request >= policy.min_loan_rate) {
      requests.push_back({key, request});
    }
  }
  return requests;
}

double EntitlementParts::Grant(std::string_view borrower,
                               const EntitlementKey& key,
                               double requested,
                               const LoanPolicy& policy,
                               TimePoint now) {
  const auto found = m_parts.find(key);
  if (found == m_parts.end() || !(requested > 0)) {
    return 0;
  }
  Part& part = found->second;
  // Borrowed rates are not lent on: loans passed around a cycle of hosts would
  // keep renewing each other after the first lender needs its rate back.
  const double own = part.base - Lent(part, borrower, now);
  const double unused = own - DemandNow(part, policy, now);
  const double granted =
      std::min(requested, std::max(0.0, unused) * (1 - policy.kept_share));
  if (granted <= 0) {
    return 0;
  }
  std::vector<Loan>& lent = part.lent[std::string(borrower)];
  std::erase_if(lent, [now](const Loan& loan) { return loan.ends <= now; });
  lent.push_back({granted, now + policy.loan_ttl});
  return granted;
}

void EntitlementParts::OnGranted(std::string_view lender,
                                 const EntitlementKey& key,
                                 double requests_per_second,
                                 const LoanPolicy& policy,
                                 TimePoint asked_at) {
  Loan& loan = m_parts[key].borrowed[std::string(lender)];
  const TimePoint ends = asked_at + policy.loan_ttl;
  // Ignores a reply that arrives after the reply to a later request.
  if (ends > loan.ends) {
    loan = {requests_per_second, ends};
  }
}

double EntitlementParts::Usable(const EntitlementKey& key,
                                TimePoint now) const {
  const auto found = m_parts.find(key);
  if (found == m_parts.end()) {
    return 0;
  }
  const Part& part = found->second;
  return std::max(0.0, part.base - Lent(part, "", now)) +
         Borrowed(part, "", now);
}

double EntitlementParts::Lent(const Part& part,
                              std::string_view except_host,
                              TimePoint now) {
  double sum = 0;
  for (const auto& [borrower, loans] : part.lent) {
    if (borrower == except_host) {
      continue;
    }
    double largest = 0;
    for (const Loan& loan : loans) {
      largest = loan.ends > now ? std::max(largest, loan.rate) : largest;
    }
    sum += largest;
  }
  return sum;
}

double EntitlementParts::Borrowed(const Part& part,
                                  std::string_view except_host,
                                  TimePoint now) {
  double sum = 0;
  for (const auto& [lender, loan] : part.borrowed) {
    sum += lender != except_host && loan.ends > now ? loan.rate : 0;
  }
  return sum;
}

}  // namespace filbertrack

#pragma once

/// Parts of entitlements lent between entry hosts by demand. A lender stops
/// using what it lends before it answers; a loan runs out at the borrower no
/// later than at the lender, because the borrower counts from its question and
/// the lender from its answer. So the sum in use never passes the whole, also
/// when answers are lost or late, and an unused part comes back by age.

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "filbertrack/base_time.h"

namespace filbertrack {

/// An entitlement: workspace and service.
using EntitlementKey = std::pair<std::string, std::string>;

struct LoanPolicy {
  Duration loan_ttl = Seconds(2);
  /// Demand is averaged over about this long.
  Duration demand_window = Seconds(1);
  /// A lender keeps this part of what it does not use.
  double kept_share = 0.25;
  /// Wishes below this are not worth a message, in requests per second.
  double min_loan_rate = 0.05;
};

class EntitlementParts {
 public:
  /// Requests per second that this host may use without loans.
  void SetBase(const EntitlementKey& key, double requests_per_second);

  /// A caller's request, admitted or not.
  void OnDemand(const EntitlementKey& key,
                const LoanPolicy& policy,
                TimePoint now);

  /// What to ask of one lender: demand above what is left without that lender's
  /// present loans.
  struct LoanRequest {
    EntitlementKey key;
    double requests_per_second = 0;
  };
  std::vector<LoanRequest> LoanRequests(std::string_view lender,
                                        const LoanPolicy& policy,
                                        TimePoint now);

  /// Lends to `borrower` what is wished and not used here; it replaces an
  /// earlier loan to the same borrower. Returns the rate lent; 0 for none.
  double Grant(std::string_view borrower,
               const EntitlementKey& key,
               double requested,
               const LoanPolicy& policy,
               TimePoint now);

  /// `lender` granted a loan on a question that was asked at `asked_at`.
  void OnGranted(std::string_view lender,
                 const EntitlementKey& key,
                 double requests_per_second,
                 const LoanPolicy& policy,
                 TimePoint asked_at);

  /// Requests per second that this host may use now.
  double Usable(const EntitlementKey& key, TimePoint now) const;

 private:
  struct Loan {
    double rate = 0;
    TimePoint ends;
  };
  struct Part {
    double base = 0;
    double demand = 0;  ///< Requests per second, smoothed.
    TimePoint demand_at;
    std::map<std::string, Loan, std::less<>> borrowed;
    /// All that have not run out: a borrower may still use an earlier one.
    std::map<std::string, std::vector<Loan>, std::less<>> lent;
  };

  static double Lent(const Part& part,
                     std::string_view except_host,
                     TimePoint now);
  static double Borrowed(const Part& part,
                         std::string_view except_host,
                         TimePoint now);
  static double DemandNow(const Part& part,
                          const LoanPolicy& policy,
                          TimePoint now);

  std::map<EntitlementKey, Part> m_parts;
};

}  // namespace filbertrack

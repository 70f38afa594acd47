#pragma once

/// Lends parts of entitlements between entry hosts on demand. A lender reduces
/// its own rate before it replies. A loan expires at the borrower no later than
/// at the lender, because the borrower counts from when it sent the request and
/// the lender from when it replied. The sum of the rates in use therefore never
/// exceeds the entitlement, even if replies are lost or delayed, and a loan
/// returns to its lender by expiry, without a message.

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "filbertrack/base_time.h"

namespace filbertrack {

/// Workspace and service of an entitlement.
using EntitlementKey = std::pair<std::string, std::string>;

struct LoanPolicy {
  Duration loan_ttl = Seconds(2);
  /// Time constant of the exponential average of demand.
  Duration demand_window = Seconds(1);
  /// Fraction of its unused rate that a lender does not lend.
  double kept_share = 0.25;
  /// Smaller loans are not requested, in requests per second.
  double min_loan_rate = 0.05;
};

/// The rates that one entry host may use: its own, less loans granted, plus
/// loans received.
class EntitlementParts {
 public:
  /// Sets the requests per second that this host may use without loans.
  void SetBase(const EntitlementKey& key, double requests_per_second);

  /// Records a caller's request, whether or not it is admitted.
  void OnDemand(const EntitlementKey& key,
                const LoanPolicy& policy,
                TimePoint now);

  /// A loan to request from one lender: the demand in excess of what this host
  /// may use without that lender's current loans.
  struct LoanRequest {
    EntitlementKey key;
    double requests_per_second = 0;
  };
  std::vector<LoanRequest> LoanRequests(std::string_view lender,
                                        const LoanPolicy& policy,
                                        TimePoint now);

  /// Lends `borrower` up to `requested` of the rate that is unused here. The
  /// loan replaces an earlier one to the same borrower. Returns the rate lent
  /// in requests per second; 0 for none.
  double Grant(std::string_view borrower,
               const EntitlementKey& key,
               double requested,
               const LoanPolicy& policy,
               TimePoint now);

  /// `lender` granted a loan in reply to a request sent at `asked_at`.
  void OnGranted(std::string_view lender,
                 const EntitlementKey& key,
                 double requests_per_second,
                 const LoanPolicy& policy,
                 TimePoint asked_at);

  /// Requests per second that this host may use now, including loans.
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
    /// All loans that have not expired: a borrower that has not received the
    /// latest reply may still use an earlier one.
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

#pragma once

/// How many requests a second each workspace may send to each service through
/// this entry host: the host's part of the entitlement, loans included.

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "filbertrack/admission_bucket.h"
#include "filbertrack/base_time.h"
#include "filbertrack/config_resources.h"

namespace filbertrack {

struct Admitted {};
struct OverEntitlement {
  Duration retry_after{0};
};
using AdmissionDecision = std::variant<Admitted, OverEntitlement>;

class AdmissionLimits {
 public:
  /// `share` is this host's part of every entitlement, from 0 to 1.
  void SetShare(const Resources& resources, double share, TimePoint now);

  /// Adds to the host's part of one entitlement, in requests per second, what
  /// it has borrowed less what it has lent.
  void SetLoan(std::string_view workspace,
               std::string_view service,
               double requests_per_second,
               TimePoint now);

  AdmissionDecision TryAdmit(std::string_view workspace,
                             std::string_view service,
                             TimePoint now);

  /// Entitled requests per second over all hosts; the weight in fair queueing.
  double EntitledRate(std::string_view workspace,
                      std::string_view service) const;

  /// This host's present rate, loans included.
  double CurrentRate(std::string_view workspace,
                     std::string_view service) const;

 private:
  struct Limit {
    double entitled = 0;
    double share = 0;
    double loan = 0;
    TokenBucket bucket;
  };
  using Key = std::pair<std::string, std::string>;

  static void ApplyRate(Limit& limit, TimePoint now);
  const Limit* Find(std::string_view workspace, std::string_view service) const;

  std::map<Key, Limit> m_limits;
};

}  // namespace filbertrack

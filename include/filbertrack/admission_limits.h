#pragma once

/// How many requests a second each workspace may send to each service through
/// this entry host: a token bucket an entitlement, filled at the host's present
/// part of it.

#include <map>
#include <variant>

#include "filbertrack/admission_parts.h"
#include "filbertrack/base_time.h"
#include "filbertrack/base_token_bucket.h"
#include "filbertrack/config_resources.h"

namespace filbertrack {

struct Admitted {};
struct OverEntitlement {
  Duration retry_after{0};
};
using AdmissionDecision = std::variant<Admitted, OverEntitlement>;

class AdmissionLimits {
 public:
  /// Takes over the declared entitlements; what is no longer declared is no
  /// longer admitted.
  void Declare(const Resources& resources, TimePoint now);

  /// Sets what this host may use of one entitlement from now on.
  void SetRate(const EntitlementKey& key,
               double requests_per_second,
               TimePoint now);

  AdmissionDecision TryAdmit(const EntitlementKey& key, TimePoint now);

  /// Requests per second over all hosts; the weight in fair queueing.
  double Entitled(const EntitlementKey& key) const;

  /// All declared entitlements, in requests per second over all hosts.
  std::map<EntitlementKey, double> Declared() const;

 private:
  struct Limit {
    double entitled = 0;
    TokenBucket bucket;
  };

  std::map<EntitlementKey, Limit> m_limits;
};

}  // namespace filbertrack

#pragma once

/// Limits the requests per second that each workspace may send to each service
/// through this entry host, with one token bucket per entitlement. A bucket is
/// filled at this host's current share of the entitlement.

#include <map>
#include <variant>

#include "filbertrack/admission_parts.h"
#include "filbertrack/base_time.h"
#include "filbertrack/base_token_bucket.h"
#include "filbertrack/config_resources.h"

namespace filbertrack {

struct Admitted {};
/// The request exceeds this host's share of the entitlement, or no entitlement
/// is declared.
struct OverEntitlement {
  Duration retry_after{0};
};
using AdmissionDecision = std::variant<Admitted, OverEntitlement>;

class AdmissionLimits {
 public:
  /// Replaces the declared entitlements. Buckets of entitlements that remain
  /// keep their tokens and rate; new ones admit nothing until SetRate().
  void Declare(const Resources& resources, TimePoint now);

  /// Sets the rate that this host may use of one entitlement. Does nothing if
  /// the entitlement is not declared.
  void SetRate(const EntitlementKey& key,
               double requests_per_second,
               TimePoint now);

  AdmissionDecision TryAdmit(const EntitlementKey& key, TimePoint now);

  /// Requests per second over all hosts, used as the weight in fair queueing; 0
  /// if not declared.
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

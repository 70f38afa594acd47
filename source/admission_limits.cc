#include "filbertrack/admission_limits.h"

namespace filbertrack {

namespace {

/// Capacity of a bucket, in seconds of its rate.
constexpr double kBurstSeconds = 1;
/// Sent to a caller while this host has no share of the entitlement.
constexpr Duration kRetryWithoutShare = Seconds(1);

}  // namespace

void AdmissionLimits::Declare(const Resources& resources, TimePoint now) {
  std::map<EntitlementKey, Limit> limits;
  for (const auto& [name, workspace] : resources.workspaces) {
    for (const Entitlement& entitlement : workspace.entitlements) {
      const EntitlementKey key{name, entitlement.service};
      const auto known = m_limits.find(key);
      const TokenBucket bucket = known == m_limits.end()
                                     ? TokenBucket(0, 1, now)
                                     : known->second.bucket;
      limits.emplace(key, Limit{entitlement.requests_per_second, bucket});
    }
  }
  m_limits = std::move(limits);
}

void AdmissionLimits::SetRate(const EntitlementKey& key,
                              double requests_per_second,
                              TimePoint now) {
  const auto limit = m_limits.find(key);
  if (limit != m_limits.end()) {
    limit->second.bucket.SetRate(requests_per_second,
                                 requests_per_second * kBurstSeconds, now);
  }
}

AdmissionDecision AdmissionLimits::TryAdmit(const EntitlementKey& key,
                                            TimePoint now) {
  const auto found = m_limits.find(key);
  if (found == m_limits.end() || found->second.bucket.per_second() <= 0) {
    return OverEntitlement{kRetryWithoutShare};
  }
  TokenBucket& bucket = found->second.bucket;
  if (!bucket.TryTake(now)) {
    return OverEntitlement{bucket.UntilNext(now)};
  }
  return Admitted{};
}

double AdmissionLimits::Entitled(const EntitlementKey& key) const {
  const auto found = m_limits.find(key);
  return found == m_limits.end() ? 0 : found->second.entitled;
}

std::map<EntitlementKey, double> AdmissionLimits::Declared() const {
  std::map<EntitlementKey, double> declared;
  for (const auto& [key, limit] : m_limits) {
    declared.emplace(key, limit.entitled);
  }
  return declared;
}

}  // namespace filbertrack

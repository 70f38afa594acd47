#include "filbertrack/admission_limits.h"

#include <algorithm>
#include <cmath>
#include <variant>

namespace filbertrack {

namespace {

constexpr double kBurstSeconds = 1;
constexpr Duration kRetryWithoutPart = Seconds(1);

}  // namespace

void AdmissionLimits::SetShare(const Resources& resources,
                               double share,
                               TimePoint now) {
  std::map<Key, Limit> limits;
  for (const auto& [name, workspace] : resources.workspaces) {
    for (const Entitlement& entitlement : workspace.entitlements) {
      const Key key{name, entitlement.service};
      const auto known = m_limits.find(key);
      Limit limit = known == m_limits.end()
                        ? Limit{0, 0, 0, TokenBucket(0, 1, now)}
                        : known->second;
      const bool is_new = known == m_limits.end();
      limit.entitled = entitlement.requests_per_second;
      limit.share = limit.entitled * share;
      if (is_new) {
        limit.bucket =
            TokenBucket(limit.share, limit.share * kBurstSeconds, now);
      }
      ApplyRate(limit, now);
      limits.emplace(key, limit);
    }
  }
  m_limits = std::move(limits);
}

void AdmissionLimits::SetLoan(std::string_view workspace,
                              std::string_view service,
                              double requests_per_second,
                              TimePoint now) {
  const auto limit =
      m_limits.find(Key{std::string(workspace), std::string(service)});
  if (limit == m_limits.end() || limit->second.loan == requests_per_second) {
    return;
  }
  limit->second.loan = requests_per_second;
  ApplyRate(limit->second, now);
}

AdmissionDecision AdmissionLimits::TryAdmit(std::string_view workspace,
                                            std::string_view service,
                                            TimePoint now) {
  const auto found =
      m_limits.find(Key{std::string(workspace), std::string(service)});
  if (found == m_limits.end()) {
    return OverEntitlement{kRetryWithoutPart};
  }
  Limit& limit = found->second;
  if (limit.bucket.per_second() <= 0) {
    return OverEntitlement{kRetryWithoutPart};
  }
  if (!limit.bucket.TryTake(now)) {
    return OverEntitlement{limit.bucket.UntilNext(now)};
  }
  return Admitted{};
}

double AdmissionLimits::EntitledRate(std::string_view workspace,
                                     std::string_view service) const {
  const Limit* limit = Find(workspace, service);
  return limit == nullptr ? 0 : limit->entitled;
}

double AdmissionLimits::CurrentRate(std::string_view workspace,
                                    std::string_view service) const {
  const Limit* limit = Find(workspace, service);
  return limit == nullptr ? 0 : std::max(0.0, limit->share + limit->loan);
}

void AdmissionLimits::ApplyRate(Limit& limit, TimePoint now) {
  const double rate = std::max(0.0, limit.share + limit.loan);
  limit.bucket.SetRate(rate, rate * kBurstSeconds, now);
}

const AdmissionLimits::Limit* AdmissionLimits::Find(
    std::string_view workspace,
    std::string_view service) const {
  const auto limit =
      m_limits.find(Key{std::string(workspace), std::string(service)});
  return limit == m_limits.end() ? nullptr : &limit->second;
}

}  // namespace filbertrack

#include "filbertrack/backpressure_share.h"

#include <algorithm>
#include <cmath>

#include "filbertrack/base_hash.h"

namespace filbertrack {

namespace {

/// Requests that may be sent at once in addition to one second of the limit.
constexpr double kBurstRequests = 3;
/// A lower limit is raised to this many requests per second: without answers
/// from the server, no host would learn that the limit has ended.
constexpr double kMinPerSecond = 0.2;

/// Fraction of a cold server's requests per second that the holders may send at
/// the same moment. Their sustained rate takes the remainder.
constexpr double kColdBurstPart = 1.0 / 3;
/// Requests sent over this many seconds may arrive within one second.
constexpr double kColdWindowSeconds = 1.1;
/// Minimum sustained rate as a fraction of the server's requests per second,
/// for servers that sustain hardly one.
constexpr double kMinColdPart = 0.5;

/// Whether `own` is among the `holders` hosts with the highest rendezvous
/// weight for `server`, which hold a share.
bool HoldsShare(double holders,
                std::string_view server,
                std::string_view own,
                std::span<const std::string> hosts) {
  const uint64_t weight = RendezvousWeight(server, own);
  const auto before = std::count_if(
      hosts.begin(), hosts.end(), [weight, server](const std::string& host) {
        return RendezvousWeight(server, host) > weight;
      });
  return static_cast<double>(before) < holders;
}

}  // namespace

RateShare ShareOfLimit(double limit_per_second,
                       std::string_view server,
                       std::string_view own,
                       std::span<const std::string> hosts) {
  const double rate = std::max(limit_per_second, kMinPerSecond);
  const double burst = rate + kBurstRequests;
  const double holders =
      std::min(std::floor(burst), static_cast<double>(hosts.size()));
  if (!HoldsShare(holders, server, own, hosts)) {
    return {};
  }
  return {rate / holders, burst / holders};
}

void SetBucket(std::optional<TokenBucket>& bucket,
               const RateShare& share,
               TimePoint now) {
  if (share.per_second <= 0) {
    bucket.reset();
  } else if (bucket) {
    bucket->SetRate(share.per_second, share.burst, now);
  } else {
    bucket = TokenBucket::Empty(share.per_second, share.burst, now);
  }
}

RateShare ShareOfColdServer(double capacity_per_second,
                            std::string_view server,
                            std::string_view own,
                            std::span<const std::string> hosts) {
  const double holders =
      std::clamp(std::floor(capacity_per_second * kColdBurstPart), 1.0,
                 static_cast<double>(std::max<size_t>(1, hosts.size())));
  if (!HoldsShare(holders, server, own, hosts)) {
    return {};
  }
  const double rate =
      std::max((capacity_per_second - holders) / kColdWindowSeconds,
               capacity_per_second * kMinColdPart);
  return {rate / holders, 1};
}

}  // namespace filbertrack

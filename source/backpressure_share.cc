#include "filbertrack/backpressure_share.h"

#include <algorithm>
#include <cmath>

#include "filbertrack/base_hash.h"

namespace filbertrack {

namespace {

/// Requests at once beyond a second of the limit.
constexpr double kBurstRequests = 3;
/// A server that names a lower limit gets this many requests a second: without
/// any answer nobody would learn that the limit has ended.
constexpr double kMinPerSecond = 0.2;

/// Part of what a cold server bears in a second that its holders may send at
/// the same moment; the rest is their rate after that.
constexpr double kColdBurstPart = 1.0 / 3;
/// Requests sent over this many seconds may arrive within one.
constexpr double kColdWindowSeconds = 1.1;
/// Of a server that bears hardly one request a second, at least this part is
/// used.
constexpr double kMinColdPart = 0.5;

/// Whether `own` is among the hosts, so many of them, that hold a part.
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

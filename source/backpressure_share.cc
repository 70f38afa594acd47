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
constexpr double kLeastPerSecond = 0.2;

}  // namespace

RateShare ShareOfLimit(double limit_per_second,
                       std::string_view server,
                       std::string_view own,
                       std::span<const std::string> hosts) {
  const double rate = std::max(limit_per_second, kLeastPerSecond);
  const double burst = rate + kBurstRequests;
  const double holders =
      std::min(std::floor(burst), static_cast<double>(hosts.size()));
  const uint64_t weight = RendezvousWeight(server, own);
  const auto before = std::count_if(
      hosts.begin(), hosts.end(), [weight, server](const std::string& host) {
        return RendezvousWeight(server, host) > weight;
      });
  if (static_cast<double>(before) >= holders) {
    return {};
  }
  return {rate / holders, burst / holders};
}

}  // namespace filbertrack

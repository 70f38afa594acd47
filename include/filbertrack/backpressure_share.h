#pragma once

/// Divides the rate limit of a backend server over the entry hosts.
///
/// A server that names a limit soon has the fewest requests of all servers of
/// its model, so every entry host would choose it at once: each would stay
/// within the limit, and all together far exceed it. Instead a few hosts each
/// hold a share of the rate. The shares add up to the limit however many hosts
/// there are and whatever they know of each other's requests.

#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "filbertrack/base_time.h"
#include "filbertrack/base_token_bucket.h"

namespace filbertrack {

/// One entry host's share of a limit.
struct RateShare {
  /// Requests per second; 0: this host holds no share.
  double per_second = 0;
  /// Requests that may be sent at once after an idle time.
  double burst = 0;
};

/// The share of `own` in the limit of `server`. The bursts of all hosts
/// together are one second of the limit plus three requests. The hosts that
/// hold a share are chosen by rendezvous hashing, and are as many as can each
/// have a burst of at least one request. `hosts` are all entry hosts including
/// `own`, without duplicates.
RateShare ShareOfLimit(double limit_per_second,
                       std::string_view server,
                       std::string_view own,
                       std::span<const std::string> hosts);

/// Applies `share` to `bucket`. It becomes nullopt if the share is 0. A new
/// bucket starts empty, because all holders start at the same moment.
void SetBucket(std::optional<TokenBucket>& bucket,
               const RateShare& share,
               TimePoint now);

/// The share of `own` in the rate that a cold server sustains. All hosts
/// together send no more than `capacity_per_second` requests in any second,
/// including the first.
RateShare ShareOfColdServer(double capacity_per_second,
                            std::string_view server,
                            std::string_view own,
                            std::span<const std::string> hosts);

}  // namespace filbertrack

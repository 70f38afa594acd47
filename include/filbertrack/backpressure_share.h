#pragma once

/// Divides the rate limit of a backend server over the entry hosts.
///
/// The load that it is made for: a server that names a limit is the emptiest of
/// its model soon after, so all entry hosts would send to it at once, each
/// within a limit of its own. Each of a few hosts holds a part of the rate, so
/// that parts add up to the limit however many hosts there are and whatever
/// they know of each other's requests.

#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "filbertrack/base_time.h"
#include "filbertrack/base_token_bucket.h"

namespace filbertrack {

/// One entry host's part of a limit.
struct RateShare {
  /// Requests a second; 0: this host holds no part.
  double per_second = 0;
  /// Requests that may be sent at once after a pause.
  double burst = 0;
};

/// All hosts together may send at once what the limit allows in a second, and
/// three requests more. Hosts are chosen by rendezvous hashing, so many that
/// each may send at least one request at once. `hosts` are all entry hosts with
/// `own`, each once.
RateShare ShareOfLimit(double limit_per_second,
                       std::string_view server,
                       std::string_view own,
                       std::span<const std::string> hosts);

/// Gives `pace` the part: nullopt where this host holds none, a bucket without
/// a token where it had none before, since all holders begin at one moment.
void SetBucket(std::optional<TokenBucket>& bucket,
               const RateShare& share,
               TimePoint now);

/// One entry host's part of what a cold server bears, so that all hosts
/// together send no more than that in any second, the first one included.
RateShare ShareOfColdServer(double capacity_per_second,
                            std::string_view server,
                            std::string_view own,
                            std::span<const std::string> hosts);

}  // namespace filbertrack

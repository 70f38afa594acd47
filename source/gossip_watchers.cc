#include "filbertrack/gossip_watchers.h"

#include <algorithm>
#include <cmath>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace filbertrack {

namespace {

/// Returns whether listed hosts count as alive: shortly after the start, while
/// fewer than half of them are known to be.
bool CountsListedHosts(const WatchView& view, const WatchPolicy& policy) {
  return view.since_start < policy.listed_grace_period &&
         view.live.size() * 2 < view.listed.size();
}

std::vector<FleetHost> Candidates(const WatchView& view,
                                  const WatchPolicy& policy) {
  std::vector<FleetHost> hosts(view.live.begin(), view.live.end());
  if (CountsListedHosts(view, policy)) {
    std::unordered_set<std::string_view> live;
    for (const FleetHost& host : view.live) {
      live.insert(host.name);
    }
    for (const FleetHost& host : view.listed) {
      if (!live.contains(host.name)) {
        hosts.push_back(host);
      }
    }
  }
  hosts.push_back(view.own);
  return hosts;
}

/// Share of the hosts whose start is spread over `first_start_spread`. The
/// others wait until its end, by which time they know the live hosts.
constexpr double kSpreadShare = 0.5;

/// Returns how long after its start a host waits for messages of the others.
Duration StartDelay(const WatchView& view, const WatchPolicy& policy) {
  const Duration weak = std::min(
      policy.max_wait, policy.weak_host_delay / std::max(1, view.own.capacity));
  if (!view.first_start) {
    return weak;
  }
  // Expected share of all hosts that would be chosen before this one.
  const double before =
      1 - std::ldexp(static_cast<double>(WatchWeight(view.own.name)), -64);
  const Duration rank =
      Scale(policy.first_start_spread, std::min(1.0, before / kSpreadShare));
  return std::max(weak, rank);
}

}  // namespace

bool ShouldWatch(const WatchView& view, const WatchPolicy& policy) {
  const Duration wait = StartDelay(view, policy);
  const bool too_early = view.since_start < wait ||
                         (!view.has_list && view.since_start < policy.max_wait);
  if (too_early) {
    return false;
  }
  std::vector<FleetHost> all = Candidates(view, policy);
  std::vector<FleetHost> able = all;
  std::erase_if(able, [](const FleetHost& host) { return host.store_fails; });
  // Watchers that cannot reach the store keep trying, so that the role returns
  // to them when it is back; other hosts replace them meanwhile.
  const auto first = ChooseWatchers(std::move(all), policy.watchers);
  const auto replacements = ChooseWatchers(std::move(able), policy.watchers);
  const auto has = [&view](const std::vector<std::string>& hosts) {
    return std::find(hosts.begin(), hosts.end(), view.own.name) != hosts.end();
  };
  return has(first) || has(replacements);
}

}  // namespace filbertrack

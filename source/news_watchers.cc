#include "filbertrack/news_watchers.h"

#include <algorithm>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace filbertrack {

namespace {

std::vector<FleetHost> Candidates(const WatchView& view,
                                  const WatchPolicy& policy) {
  std::vector<FleetHost> hosts(view.heard.begin(), view.heard.end());
  if (TrustsList(view.since_start, view.listed.size(), view.heard.size(),
                 policy)) {
    std::unordered_set<std::string_view> heard;
    for (const FleetHost& host : view.heard) {
      heard.insert(host.name);
    }
    for (const FleetHost& host : view.listed) {
      if (!heard.contains(host.name)) {
        hosts.push_back(host);
      }
    }
  }
  hosts.push_back(view.own);
  return hosts;
}

}  // namespace

bool TrustsList(Duration since_start,
                size_t listed,
                size_t heard,
                const WatchPolicy& policy) {
  return since_start < policy.trusts_list && heard * 2 < listed;
}

bool ShouldWatch(const WatchView& view, const WatchPolicy& policy) {
  const Duration wait = std::min(
      policy.longest_wait, policy.weak_wait / std::max(1, view.own.capacity));
  const bool too_early =
      view.since_start < wait ||
      (!view.has_list && view.since_start < policy.longest_wait);
  if (too_early) {
    return false;
  }
  std::vector<FleetHost> all = Candidates(view, policy);
  std::vector<FleetHost> able = all;
  std::erase_if(able, [](const FleetHost& host) { return host.store_fails; });
  // Those that cannot reach the store keep trying, so that the watch returns to
  // them; others stand in meanwhile.
  const auto first = ChooseWatchers(std::move(all), policy.watchers);
  const auto stand_in = ChooseWatchers(std::move(able), policy.watchers);
  const auto has = [&view](const std::vector<std::string>& hosts) {
    return std::find(hosts.begin(), hosts.end(), view.own.name) != hosts.end();
  };
  return has(first) || has(stand_in);
}

}  // namespace filbertrack

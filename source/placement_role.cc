#include "filbertrack/placement_role.h"

#include <algorithm>
#include <utility>

#include "filbertrack/base_hash.h"

namespace filbertrack {

std::string ChoosePlacer(const PoolKey& pool, std::span<const FleetHost> live) {
  // A service's name holds no space, so that different pools differ here.
  const std::string item = "placer " + pool.service + ' ' + pool.model;
  const FleetHost* best = nullptr;
  uint64_t best_weight = 0;
  for (const FleetHost& host : live) {
    const uint64_t weight = RendezvousWeight(item, host.name);
    const bool better =
        best == nullptr || IsStronger(host.capacity, best->capacity) ||
        (!IsStronger(best->capacity, host.capacity) &&
         std::pair(weight, host.name) > std::pair(best_weight, best->name));
    if (better) {
      best = &host;
      best_weight = weight;
    }
  }
  return best == nullptr ? std::string() : best->name;
}

std::vector<std::string> RankPlacers(const PoolKey& pool,
                                     std::span<const FleetHost> live) {
  std::vector<std::string> ranking;
  std::vector<FleetHost> left(live.begin(), live.end());
  while (ranking.size() < kRankedPlacers && !left.empty()) {
    ranking.push_back(ChoosePlacer(pool, left));
    std::erase_if(left, [&ranking](const FleetHost& host) {
      return host.name == ranking.back();
    });
  }
  return ranking;
}

}  // namespace filbertrack

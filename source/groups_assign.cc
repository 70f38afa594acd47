#include "filbertrack/groups_assign.h"

#include <algorithm>

namespace filbertrack {

namespace {

constexpr double kKeepSparesMinWeight = 0.5;

bool CountsAsReplica(const Group& group) {
  return group.phase != GroupPhase::kBroken &&
         group.drain_goal != DrainGoal::kDissolve;
}

/// Serving groups by descending downtime weight, the order in which they are
/// assigned hosts.
std::vector<const ServingGroup*> ByDowntimeWeight(const Resources& resources) {
  std::vector<const ServingGroup*> order;
  for (const auto& [name, group] : resources.serving_groups) {
    order.push_back(&group);
  }
  std::stable_sort(
      order.begin(), order.end(),
      [&resources](const auto* left, const auto* right) {
        return resources.services.at(left->service).downtime_weight >
               resources.services.at(right->service).downtime_weight;
      });
  return order;
}

struct FreeHostCount {
  std::string_view domain;
  int free = 0;
};

FreeHostCount* FindMostFree(std::vector<FreeHostCount>& counts, int needed) {
  FreeHostCount* best = nullptr;
  for (FreeHostCount& count : counts) {
    if (count.free >= needed && (best == nullptr || count.free > best->free)) {
      best = &count;
    }
  }
  return best;
}

bool DiffersFromDeclared(const Group& group, const ServingGroup& declared) {
  return group.model_version != declared.model_version ||
         group.adapters != declared.adapters;
}

}  // namespace

Assignment AssignReplicas(const Resources& resources,
                          const DomainSummaries& domains) {
  Assignment wanted;
  std::vector<FreeHostCount> free;
  for (const auto& [name, domain] : domains) {
    free.push_back({name, domain.state.free_hosts});
  }
  for (const ServingGroup* declared : ByDowntimeWeight(resources)) {
    int missing = declared->replicas;
    for (const auto& [name, domain] : domains) {
      for (const Group& group : domain.state.groups) {
        if (missing > 0 && group.serving_group == declared->name &&
            CountsAsReplica(group)) {
          ++wanted[name][declared->name];
          --missing;
        }
      }
    }
    const bool keeps_spares =
        resources.services.at(declared->service).downtime_weight >=
        kKeepSparesMinWeight;
    const int reserve = keeps_spares ? declared->spares_per_domain : 0;
    while (missing > 0) {
      FreeHostCount* target =
          FindMostFree(free, declared->members_per_replica + reserve);
      if (target == nullptr) {
        break;
      }
      ++wanted[std::string(target->domain)][declared->name];
      target->free -= declared->members_per_replica;
      --missing;
    }
    // A replica that fits nowhere else stays assigned to the domain where it
    // broke, so that it is repaired once hosts return.
    for (const auto& [name, domain] : domains) {
      for (const Group& group : domain.state.groups) {
        if (missing > 0 && group.serving_group == declared->name &&
            group.phase == GroupPhase::kBroken) {
          ++wanted[name][declared->name];
          --missing;
        }
      }
    }
  }
  return wanted;
}

std::vector<std::string> RolloutCandidates(const Resources& resources,
                                           const DomainSummaries& domains,
                                           std::string_view domain) {
  std::vector<std::string> names;
  for (const auto& [name, declared] : resources.serving_groups) {
    bool all_serve = true;
    std::string_view first_old;
    for (const auto& [domain_name, summary] : domains) {
      for (const Group& group : summary.state.groups) {
        if (group.serving_group != name) {
          continue;
        }
        all_serve = all_serve && group.phase == GroupPhase::kServing;
        if (first_old.empty() && DiffersFromDeclared(group, declared)) {
          first_old = domain_name;
        }
      }
    }
    if (all_serve && first_old == domain) {
      names.push_back(name);
    }
  }
  return names;
}

}  // namespace filbertrack

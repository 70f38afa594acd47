#include "filbertrack/entry_placement_rule.h"

#include <algorithm>
#include <map>

namespace filbertrack {

namespace {

/// A host with less capacity cannot take part in a load exchange every 60 ms.
constexpr int kMinExchangeCapacity = 2;

/// Hosts that are draining announce a capacity of 0, which says nothing about
/// their strength.
bool IsWeak(const FleetHost& host) {
  return host.capacity > 0 && host.capacity < kMinExchangeCapacity;
}

std::set<std::string, std::less<>> ServicesWithPriorities(
    const Catalog& catalog) {
  std::map<std::string_view, int> first_priority;
  std::set<std::string, std::less<>> services;
  for (const Route& route : catalog.routes()) {
    for (const TrafficShare& share : route.shares) {
      const auto [known, is_new] =
          first_priority.emplace(share.service, route.priority);
      if (!is_new && known->second != route.priority) {
        services.insert(share.service);
      }
    }
  }
  return services;
}

}  // namespace

PlacementMode PlacementModeOf(const Settings& settings) {
  const std::string& mode = settings.Text("placement", "mode");
  if (mode == "on") {
    return PlacementMode::kOn;
  }
  return mode == "off" ? PlacementMode::kOff : PlacementMode::kAuto;
}

std::set<std::string, std::less<>> PlacedServices(PlacementMode mode,
                                                  const Catalog& catalog,
                                                  const PlacementFleet& fleet) {
  std::set<std::string, std::less<>> placed;
  if (mode == PlacementMode::kOff ||
      (mode == PlacementMode::kAuto && fleet.regions > 1)) {
    return placed;
  }
  const bool all = mode == PlacementMode::kOn ||
                   std::any_of(fleet.hosts.begin(), fleet.hosts.end(), IsWeak);
  const std::set<std::string, std::less<>> with_priorities =
      ServicesWithPriorities(catalog);
  for (const auto& [name, service] : catalog.services()) {
    if (service.engine && (all || with_priorities.contains(name))) {
      placed.insert(name);
    }
  }
  return placed;
}

}  // namespace filbertrack

#include <doctest/doctest.h>

#include <vector>

#include "filbertrack/entry_placement_rule.h"

namespace filbertrack {
namespace {

using Names = std::set<std::string, std::less<>>;

/// Services "a" and "b" with an engine and the plain service "p".
Catalog MakeCatalog(int priority_of_second_route) {
  CatalogParts parts;
  for (const char* name : {"a", "b", "p"}) {
    ServiceProfile service;
    service.name = name;
    if (service.name != "p") {
      service.engine.emplace();
    }
    parts.services[name] = service;
  }
  const auto add_route = [&parts](const std::string& service, int priority) {
    Route route;
    route.name = "r" + std::to_string(parts.routes.size());
    route.hostname = "h";
    route.path_prefix = "/" + route.name + "/";
    route.shares = {{service, 1}};
    route.priority = priority;
    parts.routes.push_back(route);
  };
  add_route("a", 1);
  add_route("a", priority_of_second_route);
  add_route("b", 2);
  add_route("p", 0);
  add_route("p", 3);
  return Catalog(std::move(parts));
}

std::vector<FleetHost> MakeFleet(const std::vector<int>& capacities) {
  std::vector<FleetHost> hosts;
  hosts.reserve(capacities.size());
  for (const int capacity : capacities) {
    hosts.push_back({"e" + std::to_string(hosts.size()), "z", capacity});
  }
  return hosts;
}

TEST_CASE(
    "placement is off where neither priorities nor weak hosts ask for it") {
  // Guards against a change of behaviour in deployments that do not need
  // placement.
  const auto hosts = MakeFleet({2, 100});
  CHECK(
      PlacedServices(PlacementMode::kAuto, MakeCatalog(1), {hosts, 1}).empty());
}

TEST_CASE("placement is on for a service whose routes differ in priority") {
  // Guards against urgent requests that wait behind others, since no host sees
  // all of them; plain services are not placed.
  const auto hosts = MakeFleet({2, 100});
  CHECK(PlacedServices(PlacementMode::kAuto, MakeCatalog(0), {hosts, 1}) ==
        Names{"a"});
}

TEST_CASE("placement is on for all services with an engine beside weak hosts") {
  // Guards against weak hosts that choose targets by loads they cannot exchange
  // often enough. A draining host announces no capacity and is not weak.
  const auto weak = MakeFleet({1, 100});
  CHECK(PlacedServices(PlacementMode::kAuto, MakeCatalog(1), {weak, 1}) ==
        Names{"a", "b"});
  const auto draining = MakeFleet({0, 100});
  CHECK(PlacedServices(PlacementMode::kAuto, MakeCatalog(1), {draining, 1})
            .empty());
}

TEST_CASE("placement is off with several regions unless it is set to on") {
  // Guards against one host that decides for regions whose requests may not
  // share servers.
  const auto weak = MakeFleet({1, 100});
  CHECK(
      PlacedServices(PlacementMode::kAuto, MakeCatalog(0), {weak, 2}).empty());
  CHECK(PlacedServices(PlacementMode::kOn, MakeCatalog(1), {weak, 2}) ==
        Names{"a", "b"});
  CHECK(PlacedServices(PlacementMode::kOff, MakeCatalog(0), {weak, 1}).empty());
}

}  // namespace
}  // namespace filbertrack

#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "filbertrack/placement_client.h"
#include "filbertrack/placement_placer.h"
#include "filbertrack/placement_role.h"

namespace filbertrack {
namespace {

TEST_CASE("role: the strongest hosts place, whatever the order of the list") {
  // A weak host that places a pool delays every request of the fleet.
  std::vector<FleetHost> hosts;
  hosts.reserve(97);
  for (int i = 0; i < 97; ++i) {
    hosts.push_back(
        {"h" + std::to_string(i), "dc", i % 16 == 0 ? 100 : 2, false});
  }
  const std::string placer = ChoosePlacer({"llm", "m"}, hosts);
  const auto is_placer = [&placer](const FleetHost& host) {
    return host.name == placer;
  };
  CHECK(std::find_if(hosts.begin(), hosts.end(), is_placer)->capacity == 100);
  std::reverse(hosts.begin(), hosts.end());
  CHECK(ChoosePlacer({"llm", "m"}, hosts) == placer);
  // A loss of another host moves no pool.
  std::erase_if(hosts, [&placer](const FleetHost& host) {
    return host.name != placer && host.capacity == 100;
  });
  CHECK(ChoosePlacer({"llm", "m"}, hosts) == placer);
  CHECK(ChoosePlacer({"llm", "m"}, {}).empty());
}

}  // namespace
}  // namespace filbertrack

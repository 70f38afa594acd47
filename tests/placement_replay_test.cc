#include <doctest/doctest.h>

#include "placement_replay_goal.h"

namespace filbertrack {
namespace {

TEST_CASE("replay: a burst of 1.25 is placed nearly as well as possible") {
  ReplayScenario scenario;
  scenario.burst = 1.25;
  CheckGoal(Compare(scenario));
}

TEST_CASE("replay: a burst of 1.6 is placed nearly as well as possible") {
  // By reported loads, too many requests are admitted, and they delay those
  // that could be in time.
  ReplayScenario scenario;
  scenario.burst = 1.6;
  CheckGoal(Compare(scenario));
}

TEST_CASE("replay: entry hosts stop in turn, placers first") {
  // Each placer that drains hands its pool to the next one.
  ReplayScenario scenario;
  scenario.stops_hosts = true;
  CheckGoal(Compare(scenario));
}

TEST_CASE("replay: no kind is served less often than a less urgent one") {
  // The less urgent kind has a longer objective, so it can use places that the
  // urgent one cannot and would fill them first.
  ReplayScenario scenario;
  scenario.burst = 1.6;
  scenario.kinds = {{0, 714, 115, Milliseconds(250), 0.7},
                    {2, 714, 115, Milliseconds(1000), 0.3}};
  scenario.capacity = kCapacity;
  const ReplayResult result = PlacementReplay(scenario).Run();
  const auto& urgent = result.by_priority.at(0);
  const auto& other = result.by_priority.at(2);
  MESSAGE("urgent: served " << urgent.ServedShare() << " of " << urgent.offered
                            << ", late " << urgent.late << "; other: served "
                            << other.ServedShare() << " of " << other.offered
                            << ", late " << other.late);
  CHECK(urgent.ServedShare() >= other.ServedShare() - 0.05);
  // None starves.
  CHECK(other.ServedShare() > 0.05);
  CHECK(result.most_requests <= kMaxRequests);
}

}  // namespace
}  // namespace filbertrack

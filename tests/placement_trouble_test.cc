#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "placement_replay_goal.h"

namespace filbertrack {
namespace {

TEST_CASE("targets gone: the rest is placed nearly as well as possible") {
  // What was granted there fails, and the rest must not be filled beyond their
  // slots by the requests that come back.
  ReplayScenario scenario;
  scenario.loses_targets = true;
  CheckGoal(Compare(scenario));
}

TEST_CASE("placer killed: a burst is placed nearly as well as possible") {
  // Its askers choose by reported loads until they agree on the next placer.
  ReplayScenario scenario;
  scenario.kills_placer = true;
  CheckGoal(Compare(scenario));
}

}  // namespace
}  // namespace filbertrack

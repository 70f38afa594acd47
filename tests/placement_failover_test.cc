#include <doctest/doctest.h>

#include <cstdlib>
#include <string>

#include "placement_replay_goal.h"

/// Failures of the host that places, at several moments of a burst. The
/// environment variable PLACEMENT_SEEDS runs each case with that many seeds.

namespace filbertrack {
namespace {

using Kind = ReplayFault::Kind;

/// Time from a failure until no host asks the failed one any more.
constexpr Duration kMoveGoal = Milliseconds(100);

void CheckFailover(const std::vector<ReplayFault>& faults) {
  const char* seeds = std::getenv("PLACEMENT_SEEDS");
  const int count = seeds == nullptr ? 1 : std::atoi(seeds);
  for (int i = 0; i < count; ++i) {
    ReplayScenario scenario;
    scenario.seed = 11 + static_cast<uint64_t>(i);
    scenario.faults = faults;
    CAPTURE(scenario.seed);
    const Compared compared = Compare(scenario);
    CheckGoal(compared);
    CHECK(compared.placed.stray_decisions == 0);
    CHECK(compared.placed.moved_after <= kMoveGoal);
  }
}

TEST_CASE("failover: the placer is killed early or late in a burst") {
  // Guards against a loss that depends on the moment of the failure.
  for (const int at : {2100, 2700, 3100, 4300}) {
    CAPTURE(at);
    CheckFailover({{.kind = Kind::kKilled, .at = Milliseconds(at)}});
  }
}

TEST_CASE("failover: the next in rank is killed soon after the placer") {
  // Guards against askers that wait for a second host which is gone as well.
  for (const int later : {0, 50, 300}) {
    CAPTURE(later);
    CheckFailover(
        {{.kind = Kind::kKilled, .at = Milliseconds(3000)},
         {.kind = Kind::kKilled, .at = Milliseconds(3000 + later), .rank = 1}});
  }
}

TEST_CASE("failover: the placer is frozen and wakes") {
  // Guards against two hosts that each fill the targets.
  for (const int length : {200, 1000, 1700}) {
    CAPTURE(length);
    CheckFailover({{.kind = Kind::kFrozen,
                    .at = Milliseconds(2600),
                    .length = Milliseconds(length)}});
  }
}

TEST_CASE("failover: the placer is cut off from half of the askers, one way") {
  // Guards against two hosts that place for one half each and know nothing of
  // the other.
  CheckFailover({{.kind = Kind::kNoReplies,
                  .at = Milliseconds(3000),
                  .length = Seconds(1)}});
  CheckFailover({{.kind = Kind::kNoRequests,
                  .at = Milliseconds(3000),
                  .length = Seconds(1)}});
}

TEST_CASE("failover: the placer restarts before it is missed") {
  // Guards against askers that come back to a process which knows no loads.
  CheckFailover({{.kind = Kind::kRestarted,
                  .at = Milliseconds(3000),
                  .length = Milliseconds(600)}});
}

}  // namespace
}  // namespace filbertrack

#pragma once

/// Compares the schedulers of the replay and checks the goal of the design.

#include <doctest/doctest.h>

#include "placement_replay.h"

namespace filbertrack {

/// Requests per second that 27 targets carry with all slots taken: 34 slots, 23
/// passes of 56.6 ms with 5 steps each.
inline constexpr double kCapacity = 27 * 34 / (23 * 0.0566);
/// The goal of the design, relative to a scheduler that knows everything.
inline constexpr double kGoal = 0.92;
/// 34 slots and a tenth.
inline constexpr int kMaxRequests = 37;

inline void Print(const std::string& name, const ReplayResult& result) {
  MESSAGE(
      name << ": of " << result.all.offered << " in time " << result.all.in_time
           << ", late " << result.all.late << ", refused " << result.all.refused
           << ", failed " << result.all.failed << ", most requests at a target "
           << result.most_requests << ", fallbacks " << result.fallbacks
           << ", moved after " << ToMilliseconds(result.moved_after) << " ms");
}

struct Compared {
  ReplayResult reported;
  ReplayResult placed;
  ReplayResult omniscient;
};

inline Compared Compare(ReplayScenario scenario) {
  scenario.capacity = kCapacity;
  const auto run = [&scenario](ReplayScheduler scheduler) {
    scenario.scheduler = scheduler;
    return PlacementReplay(scenario).Run();
  };
  Compared compared{
      run(ReplayScheduler::kReported), run(ReplayScheduler::kPlaced), {}};
  // Requests that come later slow down those that were placed. The margin for
  // that is the one that turns out best.
  for (const int margin : {20, 30, 40}) {
    scenario.margin = Milliseconds(margin);
    const ReplayResult result = run(ReplayScheduler::kOmniscient);
    if (result.all.in_time > compared.omniscient.all.in_time) {
      compared.omniscient = result;
    }
  }
  Print("reported loads", compared.reported);
  Print("placed", compared.placed);
  Print("omniscient", compared.omniscient);
  return compared;
}

inline void CheckGoal(const Compared& compared) {
  CHECK(compared.placed.all.in_time >= kGoal * compared.omniscient.all.in_time);
  CHECK(compared.placed.most_requests <= kMaxRequests);
  CHECK(compared.placed.all.in_time > compared.reported.all.in_time);
}

}  // namespace filbertrack

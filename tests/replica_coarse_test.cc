#include <doctest/doctest.h>

#include <optional>

#include "filbertrack/replica_demand.h"
#include "replica_run.h"

/// When groups are planned as coarse groups.

namespace filbertrack {
namespace {

EngineProfile EngineOf(int large, int small) {
  EngineProfile engine = *MakeService().engine;
  engine.models[0].members = large;
  engine.models[1].members = small;
  return engine;
}

TEST_CASE("groups are coarse where they are large and few") {
  CHECK(HasCoarseGroups(EngineOf(8, 4), 171));
  // Pairs of leftover hosts form a group of two.
  CHECK(!HasCoarseGroups(EngineOf(8, 2), 171));
  // 20 groups of 8: one lost group takes 5%.
  CHECK(HasCoarseGroups(EngineOf(8, 4), 319));
  CHECK(!HasCoarseGroups(EngineOf(8, 4), 320));
  // One model with few groups is enough.
  EngineProfile uneven = EngineOf(8, 4);
  uneven.models[0].share = 0.1;
  CHECK(HasCoarseGroups(uneven, 900));
}

/// What the controller of a fleet decides about coarse groups.
std::optional<bool> DecideFor(CoarseGroups setting, int large, int small) {
  PlannerRun run(1);
  run.service.engine = EngineOf(large, small);
  run.policy.coarse_groups = setting;
  run.PassFor(Seconds(5));
  return run.memory.coarse_groups;
}

TEST_CASE("the setting decides about coarse groups, or else the models") {
  CHECK(DecideFor(CoarseGroups::kAuto, 8, 4) == true);
  CHECK(DecideFor(CoarseGroups::kAuto, 4, 2) == false);
  CHECK(DecideFor(CoarseGroups::kYes, 4, 2) == true);
  CHECK(DecideFor(CoarseGroups::kNo, 8, 4) == false);
}

TEST_CASE("losses of hosts do not change the kind of planning in a term") {
  // Guards against a fleet that switches to coarse planning while a domain is
  // dark: moves would compete with its repair.
  PlannerRun run(1);
  run.service.engine = EngineOf(4, 4);
  for (int i = 0; i < 130; ++i) {
    run.fleet.AddHost("d" + std::to_string(3 + i / 10), false, "");
  }
  run.PassFor(Seconds(5));
  CHECK(run.memory.coarse_groups == false);
  for (auto& [id, host] : run.fleet.hosts()) {
    host.alive = host.server.domain != "d3";
  }
  run.PassFor(Seconds(5));
  CHECK(run.memory.coarse_groups == false);
  run.TakeOver();
  run.PassFor(Seconds(1));
  CHECK(run.memory.coarse_groups == true);
}

TEST_CASE("without usable hosts, nothing is decided about coarse groups") {
  PlannerRun run(1);
  run.service.engine = EngineOf(8, 4);
  for (auto& [id, host] : run.fleet.hosts()) {
    host.server.draining = true;
  }
  run.PassFor(Seconds(5));
  CHECK(!run.memory.coarse_groups.has_value());
}

}  // namespace
}  // namespace filbertrack

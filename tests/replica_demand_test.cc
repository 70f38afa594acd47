#include <doctest/doctest.h>

#include <cmath>
#include <deque>
#include <limits>

#include "replica_mix.h"

/// Groups that follow the demand for their models.

namespace filbertrack {
namespace {

/// Hosts that a load needs if its groups have all of their slots taken.
double HostsWhenFull(const Mix& mix, std::string_view name, double factor) {
  const EngineProfile engine = MakeEngine(mix);
  const ModelProfile& model = *engine.FindModel(name);
  return factor * LoadOf(mix, name).rate / TrueRate(mix, model, 34) *
         model.members;
}

TEST_CASE("the hosts that the loads of two deployments need") {
  CHECK(HostsWhenFull(kHints, "small", 1) == doctest::Approx(53).epsilon(0.02));
  CHECK(HostsWhenFull(kHints, "large", 1) == doctest::Approx(30).epsilon(0.02));
  CHECK(HostsWhenFull(kHints, "small", 1.6) ==
        doctest::Approx(85).epsilon(0.02));
  CHECK(HostsWhenFull(kCheckIn, "small", 1) ==
        doctest::Approx(47).epsilon(0.02));
  CHECK(HostsWhenFull(kCheckIn, "large", 1) ==
        doctest::Approx(46).epsilon(0.02));
  CHECK(HostsWhenFull(kCheckIn, "small", 1.55) ==
        doctest::Approx(72).epsilon(0.02));
  CHECK(HostsWhenFull(kCheckIn, "large", 1.55) ==
        doctest::Approx(70).epsilon(0.02));
}

TEST_CASE("a model's need follows from its pressure") {
  const EngineProfile engine = MakeEngine(kHints);
  const ModelProfile& small = *engine.FindModel("small");
  const auto needed = [&engine, &small](double pressure) {
    return HostsNeeded(engine, small, 10, pressure, 0.7);
  };
  CHECK(needed(0) == 0);
  CHECK(needed(0.7) == doctest::Approx(40));
  // A group completes less than in proportion to its requests.
  CHECK(needed(0.35) > 20);
  CHECK(needed(1) < 40 / 0.7);
  // Above 1, requests are refused: half of them at a pressure of 2.
  CHECK(needed(2) == doctest::Approx(2 * needed(1)));
}

TEST_CASE("without published times, the need is proportional to the pressure") {
  const EngineProfile engine = *MakeCoarseService().engine;
  CHECK(HostsNeeded(engine, engine.models[0], 10, 0.35, 0.7) ==
        doctest::Approx(40));
}

/// The replay 60 s after the mix of requests differs from the shares.
Replay RunMix(CoarseGroups setting) {
  Replay run(kHints, setting);
  run.PassFor(Seconds(20));
  run.Run(Seconds(60), Mean, Mean);
  return run;
}

TEST_CASE("whole groups follow the mix of requests") {
  Replay off = RunMix(CoarseGroups::kNo);
  CHECK(off.Groups("large") == 9);
  CHECK(off.Groups("small") == 18);
  Replay on = RunMix(CoarseGroups::kYes);
  CHECK(on.Groups("large") >= 5);
  CHECK(on.Groups("small") >= 24);
  // A move closes a group only when the hosts have the weights of another
  // group, and the donor model keeps its need of 4 groups and one more.
  CHECK(on.fewest_large >= 5);
  CHECK(on.fewest_small == 18);
  CHECK(on.fleet.violations().empty());
  // Moving four groups of 8 by whole groups takes 32 loads.
  CHECK(on.loads <= 24);
  MESSAGE("groups of 8 and 4: ", on.Groups("large"), " and ",
          on.Groups("small"), " after ", on.loads, " loads; last change ",
          ToSeconds(on.last_change - kStart) - 20, " s after that of the mix");
}

/// Loads, and orders to close groups for moves, in 60 s of a load that is
/// balanced but for bursts of the small model every 15 s.
int MovesInBursts(Duration delay) {
  Replay run(kCheckIn, CoarseGroups::kYes);
  run.policy.move_delay = delay;
  run.PassFor(Seconds(20));
  for (int i = 0; i < 4; ++i) {
    run.Run(Seconds(15), Mean, Burst);
  }
  return run.closed_for_move + run.loads;
}

TEST_CASE("a burst of 3 s moves nothing") {
  CHECK(MovesInBursts(Seconds(3)) == 0);
  CHECK(MovesInBursts(kStep) > 0);
}

/// Same, in 120 s of a load that is balanced but for opposite waves of the
/// models.
int MovesOnWave(Duration delay, Duration memory) {
  Replay run(kCheckIn, CoarseGroups::kYes);
  run.policy.move_delay = delay;
  run.policy.move_memory = memory;
  run.PassFor(Seconds(20));
  run.Run(Seconds(120), Wave, OppositeWave);
  return run.closed_for_move + run.loads;
}

TEST_CASE("a wave with a period of 15 s moves nothing") {
  const ReplicaPolicy policy;
  CHECK(MovesOnWave(policy.move_delay, policy.move_memory) == 0);
  CHECK(MovesOnWave(kStep, kStep) > 0);
}

/// Groups of the models over 60 s, as mean of several seeds, and their fewest.
struct GroupsOverTime {
  double large = 0;
  double small = 0;
  int fewest_large = std::numeric_limits<int>::max();
  double loads = 0;
  double closed = 0;
  double refused_large = 0;
  double refused_small = 0;
};

constexpr int kSeeds = 5;
constexpr int kLossSteps = 30;

/// Lets two to three joined hosts fail; adds their ids to `lost`.
void LoseHosts(Replay& run, int step, std::deque<std::string>& lost) {
  int left = 2 + step % 2;
  while (left > 0) {
    FakeFleet::Host& host = run.fleet.Random();
    const auto& membership = host.server.membership;
    if (host.alive && membership && !IsStandbyGroup(membership->group)) {
      host.alive = false;
      lost.push_back(host.server.id);
      --left;
    }
  }
}

/// Lets two to three lost hosts return without weights.
void ReturnHosts(Replay& run, int step, std::deque<std::string>& lost) {
  for (int i = 0; i < 2 + step % 2 && !lost.empty(); ++i) {
    FakeFleet::Host& host = run.fleet.hosts().at(lost.front());
    FakeFleet::Restart(host);
    host.server.staged.clear();
    host.alive = true;
    lost.pop_front();
  }
}

/// Hosts are lost every 2 s for 20 s, from 20 s after the mix changed, while
/// moves are under way. Each returns after 10 s.
GroupsOverTime GroupsUnderLosses(CoarseGroups setting) {
  GroupsOverTime groups;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Replay run(kHints, setting, seed);
    run.PassFor(Seconds(20));
    std::deque<std::string> lost;
    for (int step = 0; step < kLossSteps; ++step) {
      if (step >= 15) {
        ReturnHosts(run, step, lost);
      }
      if (step >= 10 && step < 20) {
        LoseHosts(run, step, lost);
      }
      // Bursts of 3 s every 15 s, as in Burst().
      const double at = 2.0 * step;
      run.Run(Seconds(2), Mean, [at](double seconds) {
        return Burst(std::fmod(at + seconds, 15));
      });
      groups.large += run.Groups("large");
      groups.small += run.Groups("small");
    }
    groups.fewest_large = std::min(groups.fewest_large, run.fewest_large);
    groups.refused_large += run.refused_total["large"] / kSeeds;
    groups.refused_small += run.refused_total["small"] / kSeeds;
    groups.loads += static_cast<double>(run.loads) / kSeeds;
    groups.closed += static_cast<double>(run.closed_for_move) / kSeeds;
    CHECK(run.fleet.violations().empty());
  }
  groups.large /= kSeeds * kLossSteps;
  groups.small /= kSeeds * kLossSteps;
  MESSAGE("under losses: groups of 8 and 4: ", groups.large, " (fewest ",
          groups.fewest_large, ") and ", groups.small, ", loads ", groups.loads,
          ", groups closed for moves ", groups.closed, ", refused ",
          groups.refused_large, " and ", groups.refused_small);
  return groups;
}

TEST_CASE("groups follow the mix while hosts are lost") {
  // Guards against moves that take a group which the donor model needs after
  // its next losses, and against moves that stop for the rest of the day.
  const GroupsOverTime off = GroupsUnderLosses(CoarseGroups::kNo);
  const GroupsOverTime on = GroupsUnderLosses(CoarseGroups::kYes);
  CHECK(on.closed >= 1);
  CHECK(on.small >= off.small + 0.5);
  CHECK(on.refused_large + on.refused_small <
        0.5 * (off.refused_large + off.refused_small));
}

TEST_CASE("another controller continues a move") {
  // Guards against weights that are loaded again, and against a closed group
  // that stays closed, when the controller changes at any time of a move.
  for (const int seconds : {9, 15, 20, 21, 22}) {
    Replay run(kHints, CoarseGroups::kYes);
    run.PassFor(Seconds(20));
    run.Run(Seconds(seconds), Mean, Mean);
    run.TakeOver();
    run.Run(Seconds(70 - seconds), Mean, Mean);
    CHECK(run.Groups("large") >= 5);
    CHECK(run.Groups("small") >= 22);
    CHECK(run.loads <= 30);
    CHECK(run.fleet.violations().empty());
  }
}

struct MostLoads {
  /// That begin within 5 s.
  size_t in_window = 0;
  size_t at_once = 0;
};

/// Loads from 20 s after the mix changed. Then 45% of the hosts are replaced,
/// nine at a time; the controller changes `at` later.
MostLoads LoadsOverChange(Duration at) {
  Replay run(kHints, CoarseGroups::kYes);
  run.PassFor(Seconds(20));
  run.Run(Seconds(20), Mean, Mean);
  const TimePoint start = run.now;
  std::deque<TimePoint> begun;
  MostLoads most;
  auto next = run.fleet.hosts().begin();
  for (int step = 0; step < 300; ++step) {
    for (int i = 0; step % 10 == 0 && step < 90 && i < 9; ++i, ++next) {
      FakeFleet::Restart(next->second);
      next->second.server.staged.clear();
    }
    if (run.now - start == at) {
      run.TakeOver();
    }
    std::map<std::string, std::pair<TimePoint, uint64_t>> before;
    for (const auto& [id, host] : run.fleet.hosts()) {
      before[id] = {host.staged_at.value_or(TimePoint{}), host.newest_epoch};
    }
    run.Run(kStep, Mean, Mean);
    size_t at_once = 0;
    for (const auto& [id, host] : run.fleet.hosts()) {
      const auto& [staged_at, epoch] = before.at(id);
      const auto& membership = host.server.membership;
      const bool joins_cold = host.loads && membership &&
                              membership->state == MembershipState::kJoining;
      at_once += host.staged_at || joins_cold;
      const bool stages = host.staged_at && *host.staged_at != staged_at;
      const bool joins = host.loads && host.newest_epoch != epoch;
      if (stages || joins) {
        begun.push_back(run.now);
      }
    }
    while (!begun.empty() && run.now - begun.front() > Seconds(5)) {
      begun.pop_front();
    }
    most.in_window = std::max(most.in_window, begun.size());
    most.at_once = std::max(most.at_once, at_once);
  }
  CHECK(run.fleet.violations().empty());
  return most;
}

TEST_CASE("loads keep to the ceiling over a change of the controller") {
  // Guards against a new controller that starts its loads beside those which
  // the earlier one has just started.
  for (int seconds = 0; seconds < 20; ++seconds) {
    CAPTURE(seconds);
    const MostLoads most = LoadsOverChange(Seconds(seconds));
    CHECK(most.in_window <= 14 * 5);
    CHECK(most.at_once <= 21);
  }
}

TEST_CASE("a move is abandoned once the need is over") {
  Replay run(kHints, CoarseGroups::kYes);
  run.PassFor(Seconds(20));
  run.Run(Seconds(12), Mean, Mean);
  REQUIRE(run.loads > 0);
  const auto less = [](double) { return 0.3; };
  run.Run(Seconds(40), Mean, less);
  CHECK(run.closed_for_move == 0);
  CHECK(run.Groups("large") == 9);
  CHECK(run.Groups("small") == 18);
}

/// Runs a load whose mix differs from the shares for 120 s, in which groups
/// take up to `close` to close. Checks that each group that was closed for a
/// move became groups of the other model.
void CheckMovesLast(const Mix& mix, double large_share, Duration close) {
  Replay run(mix, CoarseGroups::kYes);
  run.service.engine->models[0].share = large_share;
  run.service.engine->models[1].share = 1 - large_share;
  run.fleet.SetCloseTime(close);
  run.PassFor(Seconds(20));
  const int large = run.Groups("large");
  const int small = run.Groups("small");
  run.Run(Seconds(120), Mean, Mean);
  const int moved =
      std::max(large - run.Groups("large"), small - run.Groups("small"));
  CHECK(run.closed_for_move > 0);
  CHECK(run.closed_for_move == moved);
  CHECK(run.fleet.violations().empty());
}

TEST_CASE("hosts of a donor group do not form it again") {
  // Guards against a group that is closed and formed again in turn: its hosts
  // have the weights of the donor model in memory, and that model is short of
  // a group by its share, which follows the demand by a factor of 2 at most.
  const Mix few_large{{10, 1668, 80.3}, {600, 714, 115}};
  const Mix many_large{{150, 1668, 80.3}, {60, 714, 115}};
  const Mix balanced{{120, 1668, 80.3}, {100, 714, 115}};
  for (const Duration close : {Duration(0), Seconds(3)}) {
    CheckMovesLast(few_large, 0.5, close);
    CheckMovesLast(kHints, 0.9, close);
    // Two groups of 4 are closed for one of 8 and do not close together.
    CheckMovesLast(many_large, 0.5, close);
    CheckMovesLast(balanced, 0.2, close);
  }
}

}  // namespace
}  // namespace filbertrack

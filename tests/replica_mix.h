#pragma once

/// Replays the planner under a load whose mix of models may differ from their
/// shares.

#include <cmath>
#include <functional>
#include <limits>
#include <map>
#include <numbers>
#include <optional>

#include "filbertrack/replica_demand.h"
#include "replica_run.h"

namespace filbertrack {

/// Requests per second for one model, and their mean tokens.
struct ModelLoad {
  double rate = 0;
  double prompt_tokens = 0;
  double answer_tokens = 0;
};

/// The loads for a large and a small model.
struct Mix {
  ModelLoad large;
  ModelLoad small;
};

/// The two deployments of docs/design/demand-and-placement.md.
inline constexpr Mix kHints{{53.5, 1668, 80.3}, {347, 714, 115}};
inline constexpr Mix kCheckIn{{81.7, 1667, 80.4}, {305, 714, 115}};

/// Engine of the deployments, which publishes the mean tokens of `mix`.
inline EngineProfile MakeEngine(const Mix& mix) {
  EngineProfile engine;
  engine.slots = 34;
  engine.step = Duration(6070);
  engine.step_per_request = Duration(241);
  engine.prompt_tokens_per_second = 46000;
  engine.chunk_tokens = 2048;
  engine.stride = 5;
  engine.loads_per_second = 14;
  engine.loads_at_once = 21;
  engine.models = {{"large", 8, 0.5, 1, Seconds(16), Milliseconds(1600)},
                   {"small", 4, 0.5, 0.6, Seconds(12), Milliseconds(1100)}};
  const double requests = mix.large.rate + mix.small.rate;
  engine.usual_prompt_tokens = (mix.large.rate * mix.large.prompt_tokens +
                                mix.small.rate * mix.small.prompt_tokens) /
                               requests;
  engine.usual_answer_tokens = (mix.large.rate * mix.large.answer_tokens +
                                mix.small.rate * mix.small.answer_tokens) /
                               requests;
  return engine;
}

inline const ModelLoad& LoadOf(const Mix& mix, std::string_view model) {
  return model == "large" ? mix.large : mix.small;
}

/// Requests per second that a group completes of the requests in `mix`.
inline double TrueRate(const Mix& mix,
                       const ModelProfile& model,
                       double requests) {
  EngineProfile engine = MakeEngine(mix);
  engine.usual_prompt_tokens = LoadOf(mix, model.name).prompt_tokens;
  engine.usual_answer_tokens = LoadOf(mix, model.name).answer_tokens;
  return GroupRate(engine, model, requests);
}

using Factor = std::function<double(double)>;

/// A fleet of 171 hosts in nine domains under a load that may change.
struct Replay : PlannerRun {
  Replay(const Mix& load, CoarseGroups setting, uint64_t seed = 1)
      : PlannerRun(seed), mix(load) {
    service.engine = MakeEngine(load);
    policy.coarse_groups = setting;
    fleet.SetModelTimes("small", Seconds(12), Milliseconds(1600));
    for (int domain = 0; domain < 9; ++domain) {
      // PlannerRun adds ten hosts to each of three domains.
      for (int i = domain < 3 ? 10 : 0; i < 19; ++i) {
        fleet.AddHost("d" + std::to_string(domain), false, "");
      }
    }
  }

  /// Number of serving groups of a model.
  int Groups(std::string_view model) {
    int count = 0;
    for (const auto& [id, host] : fleet.hosts()) {
      const auto& membership = host.server.membership;
      bool serves = host.alive && membership && membership->rank == 0 &&
                    membership->state == MembershipState::kOpen &&
                    host.server.model == model;
      for (const std::string& member : host.group_members) {
        const FakeFleet::Host& other = fleet.hosts().at(member);
        serves = serves && other.alive && other.server.membership &&
                 other.server.membership->group == membership->group;
      }
      count += serves;
    }
    return count;
  }

  /// Advances the requests under way by one step and reports the pressures.
  void Serve(double large_factor, double small_factor) {
    const double step = ToSeconds(kStep);
    pressure.clear();
    for (const ModelProfile& model : service.engine->models) {
      const int groups = Groups(model.name);
      if (groups == 0) {
        continue;
      }
      const double slots = 34.0 * groups;
      double& requests = under_way[model.name];
      double& refused = refused_share[model.name];
      const double factor = model.name == "large" ? large_factor : small_factor;
      const double arrived = factor * LoadOf(mix, model.name).rate * step;
      requests -= step * groups * TrueRate(mix, model, requests / groups);
      requests = std::max(0.0, requests) + arrived;
      const double excess = std::max(0.0, requests - slots);
      requests -= excess;
      refused_total[model.name] += excess;
      // Decays over 1 s like the counts of the entry hosts.
      refused += step * (excess / std::max(arrived, 1e-9) - refused);
      pressure[model.name] =
          std::min(4.0, requests / slots / std::max(1 - refused, 1e-3));
    }
  }

  /// Runs under the loads of the mix times a factor for each model, which are
  /// functions of the seconds since this call.
  void Run(Duration time, const Factor& large, const Factor& small) {
    const TimePoint start = now;
    while (now < start + time) {
      const double seconds = ToSeconds(now - start);
      Serve(large(seconds), small(seconds));
      std::map<std::string, std::optional<TimePoint>> staging;
      for (const auto& [id, host] : fleet.hosts()) {
        staging[id] = host.staged_at;
      }
      Pass(0);
      for (const auto& [id, host] : fleet.hosts()) {
        loads += host.staged_at && host.staged_at != staging[id];
      }
      const int small_groups = Groups("small");
      fewest_large = std::min(fewest_large, Groups("large"));
      fewest_small = std::min(fewest_small, small_groups);
      if (small_groups != last_small) {
        last_small = small_groups;
        last_change = now;
      }
    }
  }

  Mix mix;
  std::map<std::string, double> under_way;
  std::map<std::string, double> refused_share;
  /// Requests refused since the start.
  std::map<std::string, double> refused_total;
  /// Loads of weights since the start.
  int loads = 0;
  int fewest_large = std::numeric_limits<int>::max();
  int fewest_small = std::numeric_limits<int>::max();
  /// Latest change of the small model's serving groups.
  TimePoint last_change;
  int last_small = 0;
};

inline double Mean(double /*seconds*/) {
  return 1;
}

inline double Burst(double seconds) {
  return seconds < 3 ? 1.6 : 1;
}

inline double Wave(double seconds) {
  return 1 + 0.55 * std::sin(2 * std::numbers::pi * seconds / 15);
}

inline double OppositeWave(double seconds) {
  return 2 - Wave(seconds);
}

}  // namespace filbertrack

#pragma once

/// Places the requests of one service and model for all entry hosts. The loads
/// of the targets are exact, since the placer knows what it granted and is told
/// what ended.
///
/// The critical case is a burst in excess of the capacity of all targets: a
/// choice by reported loads admits too many requests, which block those that
/// could be in time. Here a request that finds no place waits in one queue
/// while it can still be in time, and is refused otherwise.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "filbertrack/admission_queue.h"
#include "filbertrack/dispatch_selector.h"
#include "filbertrack/placement_message.h"

namespace filbertrack {

using TargetLoads = std::map<std::string, TargetLoad, std::less<>>;

/// Returns the settings of TargetSelector for a placer: all targets are
/// compared and the loads are exact.
DispatchPolicy PlacerDispatchPolicy();

struct PlacementPolicy {
  DispatchPolicy dispatch = PlacerDispatchPolicy();
  /// Waiting asks of a pool. They must be scanned within a fraction of a
  /// millisecond.
  size_t max_waiting = 256;
  /// One grant in this many goes to the longest waiting ask of the lowest
  /// priority, so that none starves.
  int lowest_priority_interval = 10;
  /// How long the loads of hosts that have not synced are estimated: the time
  /// in which all live hosts learn of a new placer.
  Duration unsynced_time = Milliseconds(1500);
  Duration min_retry_after = Milliseconds(50);
  Duration max_retry_after = Seconds(2);
  /// Time constant of the exponential decay of counts, such as the rate of
  /// endings. Shorter than a burst of 3 s, longer than the time of a request.
  Duration decay_time = Seconds(1);
};

struct PlacementCounts {
  uint64_t granted = 0;
  uint64_t queued = 0;
  uint64_t refused = 0;
  /// Requests granted or reported that have not ended.
  size_t outstanding = 0;
  /// Askers whose loads are known.
  size_t synced_askers = 0;
  /// Waiting asks by priority.
  std::map<int, size_t> waiting;
};

class PlacementPool {
 public:
  struct Answered {
    std::string asker;
    PlacementAnswer answer;
  };

  PlacementPool(PoolKey key, PlacementPolicy policy, uint64_t seed);

  const PoolKey& key() const { return m_key; }

  /// Replaces the targets; those of other pools are ignored.
  void SetTargets(std::span<const DispatchTarget> targets,
                  const Catalog& catalog,
                  TimePoint now);
  bool HasTarget(std::string_view id) const;

  /// Replaces the estimated loads of askers that have not synced. They count
  /// until `unsynced_time` after the first call.
  void SetUnsynced(const TargetLoads& loads, TimePoint now);

  PlacementAnswer Ask(std::string_view asker,
                      const PlacementAsk& ask,
                      TimePoint now);
  /// Events of unknown requests are ignored, except PlacementSent.
  void Report(std::string_view asker,
              const PlacementEvent& event,
              TimePoint now);
  /// Replaces the loads of `asker` and drops its queued asks. Loads at targets
  /// of other pools must not be included.
  void Sync(std::string_view asker,
            uint64_t incarnation,
            std::span<const PlacementLoad> loads,
            TimePoint now);
  /// The asker has gone or restarted: drops its loads and queued asks.
  void Forget(std::string_view asker, TimePoint now);

  /// Returns grants and refusals for queued asks. To be called after Report(),
  /// Sync() and Forget(), and at NextDue().
  std::vector<Answered> Serve(TimePoint now);
  /// Answers all queued asks with ChooseLocally, for a placer that drains.
  std::vector<Answered> Release();
  std::optional<TimePoint> NextDue() const;

  /// The queued asks of `asker` with their positions.
  std::vector<PlacementQueued> ListQueued(std::string_view asker) const;

  PlacementCounts counts() const;

 private:
  PoolKey m_key;
  PlacementPolicy m_policy;
};

}  // namespace filbertrack

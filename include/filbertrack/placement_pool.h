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
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "filbertrack/dispatch_selector.h"
#include "filbertrack/placement_message.h"
#include "filbertrack/placement_queue.h"

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
  /// Share of the pool's slots from which no late request is admitted: when
  /// all slots are wanted, a few are free at any time, between an ending and
  /// the next grant.
  double taken_share = 0.9;
  /// A request must be predicted in time with this multiple of the mean error
  /// of predictions to spare while slots are taken, since another one could use
  /// the place in time.
  double spared_errors = 2.0;
  /// Time from the decision on a waiting ask until its request is sent, within
  /// the region.
  Duration delivery = Milliseconds(2);
  Duration min_retry_after = Milliseconds(50);
  Duration max_retry_after = Seconds(2);
  /// Time constant of the exponential decay of counts, such as those of refused
  /// asks. Shorter than a burst of 3 s, so that the counts describe it, and
  /// about the time of a request.
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
  /// of other pools must not be included. `has_moved`: the asker asked another
  /// placer before.
  void Sync(std::string_view asker,
            uint64_t incarnation,
            std::span<const PlacementLoad> loads,
            TimePoint now,
            bool has_moved = false);

  /// While confined, a target gets only as many requests as the askers that
  /// moved here had there, and one more: the earlier placer still counts those.
  void SetConfined(bool is_confined);
  bool is_confined() const { return m_is_confined; }

  /// What was learned so far; nullopt: too little.
  std::optional<PlacementEstimate> Estimate() const;
  /// Starts with what an earlier placer learned, unless this one knows better.
  void AdoptEstimate(const PlacementEstimate& estimate, TimePoint now);
  /// A request of `asker` that was granted or reported; null if there is none.
  const PlacementLoad* FindLoad(std::string_view asker, uint64_t id) const;
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
  /// A request that was granted or reported.
  struct Load {
    PlacementLoad load;
    /// 0: not known, so the first event trains no estimate.
    Duration predicted{0};
    /// When it was granted or sent; nullopt: not known.
    std::optional<TimePoint> since;
    /// The part of `predicted` that the engine profile explains, without the
    /// corrections by measurements.
    Duration by_profile{0};
    /// It is in the loads of the selector, that is, its target is known.
    bool is_counted = false;
    /// The target should have read the prompt, so it is not in the loads.
    bool is_read = false;
  };
  struct Asker {
    uint64_t incarnation = 0;
    bool is_synced = false;
    std::map<uint64_t, Load> loads;
  };
  /// Recent asks of one priority, decayed exponentially.
  struct Kind {
    double granted = 0;
    double refused = 0;

    double Asks() const { return granted + refused; }
    double ServedShare() const { return granted / Asks(); }
  };
  using Loads = std::map<uint64_t, Load>;

  /// Grants the ask if it has a place now, and refuses it otherwise.
  PlacementAnswer Place(const WaitingAsk& waiting, TimePoint now);
  PlacementAnswer Refuse(const WaitingAsk& waiting,
                         DispatchDenial reason,
                         TimePoint now);
  /// Lets the ask wait if it can be in time; otherwise refuses it. Asks that
  /// must make way for it are refused by the next Serve().
  PlacementAnswer Wait(WaitingAsk waiting, TimePoint now);
  void AnswerWaiting(uint64_t ticket, PlacementAnswer answer, TimePoint now);
  /// Refuses the least urgent asks that have no prospect of a place in time.
  void ShedHopeless(TimePoint now);
  void ServeExpired(TimePoint now);
  /// Grants a place to one waiting ask; returns false if none has a place.
  bool ServeOne(TimePoint now);
  /// Asks of the priority are served more often than more urgent ones, if
  /// `waiting` more of them are served.
  bool IsOverServed(int priority, size_t waiting = 0) const;
  /// The ask of the lowest priority whose turn it is; nullopt: none.
  std::optional<uint64_t> FindNeglected() const;

  /// Expected time between two endings in the pool; nullopt: not known.
  std::optional<Duration> EndingInterval(TimePoint now) const;
  /// Expected time until `ahead` more asks and then one of `priority` are
  /// served; nullopt: not known.
  std::optional<Duration> ExpectedWait(int priority,
                                       size_t ahead,
                                       TimePoint now) const;
  Duration RetryAfter(const PlacementAsk& ask, TimePoint now);
  void DecayKinds(TimePoint now);

  void AddLoad(const std::string& asker, Load load);
  void RemoveLoad(Asker& asker,
                  Loads::iterator load,
                  DispatchResult result,
                  TimePoint now);
  void OnEnded(Asker& asker, const PlacementEnded& ended, TimePoint now);
  void OnFirst(Asker& asker, const PlacementFirst& first);
  Duration Overhead() const;
  bool AreSlotsTaken(TimePoint now) const;
  /// Changes the bounds of targets while confined.
  void ShiftBounds(const Loads& before, const Loads& after);
  /// Time at which the target of a synced load should have read its prompt.
  TimePoint ReadTime(const PlacementLoad& load, TimePoint now) const;
  Duration Margin() const;
  void CountLoad(Load& load);
  /// Takes the prompt off the load of its target.
  void TakePromptOff(Load& load);
  /// Takes off the prompts that the targets should have read. First events come
  /// long after that, and targets would seem to have a backlog of prompts.
  void TakePromptsOff(TimePoint now);
  /// Drops an ask or a load of this id.
  void Drop(std::string_view asker, uint64_t id, TimePoint now);
  void EndEstimate(TimePoint now);

  PoolKey m_key;
  PlacementPolicy m_policy;
  TargetSelector m_selector;
  std::mt19937_64 m_random;
  std::map<std::string, Asker, std::less<>> m_askers;
  PlacementQueue m_queue;
  /// Answers of the next Serve().
  std::vector<Answered> m_answered;
  std::map<int, Kind> m_kinds;
  TimePoint m_kinds_updated;
  /// Smoothed time of an answered request at its target.
  Duration m_request_time{0};
  TimePoint m_last_end;
  /// Smoothed absolute error of predictions.
  Duration m_error{0};
  /// Requests by the time at which their target should have read the prompt.
  std::multimap<TimePoint, std::pair<std::string, uint64_t>> m_prompt_reads;
  size_t m_outstanding = 0;
  bool m_is_confined = false;
  /// Most requests by target while confined.
  std::map<std::string, int, std::less<>> m_bounds;
  /// Grants past a waiting ask of a lower priority, since the last one that it
  /// got out of turn.
  int m_grants_since_lowest = 0;
  /// Latest failure by target.
  std::map<std::string, TimePoint, std::less<>> m_last_failures;
  /// End of the estimate of unsynced loads; nullopt before the first one.
  std::optional<TimePoint> m_estimate_end;
  bool m_has_estimate = false;
  PlacementCounts m_counts;
};

}  // namespace filbertrack

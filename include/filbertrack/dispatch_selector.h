#pragma once

/// Chooses the backend server, or the head of a group, that takes a request,
/// and refuses requests that no target can answer in time. The load that this
/// entry host places on a target is counted exactly; the load placed by other
/// entry hosts is what they report by gossip.
///
/// The critical case is a burst in excess of the total capacity, in which one
/// more request would delay all running ones beyond their service-level
/// objective (SLO). A request is accepted if its first event is predicted in
/// time at the best of a few targets; otherwise it is refused at once, with the
/// time after which capacity should be available.

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "filbertrack/backpressure.h"
#include "filbertrack/base_address.h"
#include "filbertrack/base_time.h"
#include "filbertrack/site_catalog.h"

namespace filbertrack {

/// A backend server or group that answers requests.
struct DispatchTarget {
  /// Id of the backend server, or of the head of the group.
  std::string id;
  Address address;
  std::string service;
  /// Empty for plain services.
  std::string model;
  std::string data_centre;
  int slots = 1;
  /// Connections that it accepts from all entry hosts together; 0: not known.
  int max_connections = 0;
  /// Start of the process, Unix ms; 0: not known.
  uint64_t process_start_ms = 0;
  /// Its data centre is evacuated, so it takes no requests.
  bool evacuated = false;
  /// Region of its data centre; empty: there is only one.
  std::string region{};
};

inline ServerInstance InstanceOf(const DispatchTarget& target) {
  return {target.id, target.process_start_ms};
}

/// Load at a target.
struct TargetLoad {
  int requests = 0;
  /// Prompt tokens that the target has not processed yet, as far as known.
  double prompt_tokens = 0;
};

struct DispatchQuery {
  std::string_view service;
  std::string_view model;
  double prompt_tokens = 0;
  /// Time until the SLO for the first event expires; negative once it has.
  Duration time_to_slo{0};
  /// Time until the caller gives up.
  Duration time_left{0};
  /// Targets that this request was sent to already; null: none.
  const std::set<std::string, std::less<>>* excluded = nullptr;
  /// Servers that accept no connections from this host; null: none.
  const std::set<Address>* unreachable = nullptr;
  /// Targets of this data centre are preferred while one of them is predicted
  /// to meet the SLO; empty: no preference. Loads from the local data centre
  /// are about 100 ms old and others about 500 ms, in which time a target
  /// receives several requests.
  std::string_view local_data_centre;
  /// Tells which targets accept no request now; null: all accept requests.
  const Backpressure* backpressure = nullptr;
  /// Regions that the route and the workspace of the request allow. If both
  /// name regions, a target must be in both lists. Empty: any region.
  std::span<const std::string> route_regions;
  std::span<const std::string> workspace_regions;
};

enum class DispatchDenial {
  /// No target serves the model, or all that do were tried.
  kNoneServing,
  /// Targets serve the model, but none is predicted to answer in time.
  kAllBusy,
  /// Every remaining target asked for no requests at present.
  kAllHeldBack,
  /// All targets of the model are in evacuated data centres.
  kAllEvacuated,
  /// No target serves the model in the regions allowed for the request.
  kNoneInRegions,
};

struct DispatchChoice {
  DispatchTarget target;
  Duration predicted{0};
  /// Requests at the target when it was chosen: those of this host, and those
  /// that other hosts reported, on average `loads_age` ago.
  int own_requests = 0;
  int other_requests = 0;
  Duration loads_age{0};
};

struct DispatchRefusal {
  DispatchDenial reason = DispatchDenial::kNoneServing;
  Duration retry_after{0};
  /// For kAllBusy: predicted time to first event at the best target.
  Duration predicted{0};
};

using DispatchDecision = std::variant<DispatchChoice, DispatchRefusal>;

enum class DispatchResult {
  kAnswered,
  /// The target did not run the request.
  kRefused,
  /// The answer was interrupted, missing or an error.
  kFailed,
  /// The caller disconnected, or the deadline passed.
  kAbandoned,
};

struct DispatchPolicy {
  /// Targets drawn at random for one request; the best of them is chosen. Loads
  /// of other entry hosts are up to 150 ms old: if every host compared all
  /// targets, all would send to the same one until the next gossip message. The
  /// cost of a choice is independent of the fleet size.
  size_t candidates = 3;
  /// How long a target is skipped after a failure; doubles with each
  /// consecutive failure, up to max_failure_pause.
  Duration failure_pause = Milliseconds(300);
  Duration max_failure_pause = Seconds(4);
  /// If more than this fraction of the targets of a model is paused, paused
  /// targets are used as well, as the cause is unlikely to be the targets.
  double min_in_use = 0.5;
  /// A paused target whose answers failed this often in a row is not used even
  /// then, while there is any other. One that fails at once has the fewest
  /// requests, so it would be chosen before all sound ones.
  int persistent_failures = 3;
  /// While any target has free slots, a request is accepted if its predicted
  /// time is at most this multiple of its time to SLO: it delays few others, a
  /// late answer is still of use to the caller, and the prediction may be too
  /// high.
  double slo_factor = 2.0;
  /// The same multiple once all slots are taken: a late request then delays all
  /// requests behind it.
  double saturated_slo_factor = 1.0;
  /// How many targets are examined for one that meets the SLO before a request
  /// is refused, since a small random draw misses the last targets with
  /// capacity. Bounds the cost of a refusal.
  size_t max_candidates = 64;
  /// A target from this wider search of max_candidates targets is used only up
  /// to this fraction of its slots: among many targets, one that appears free
  /// is probably being chosen by other entry hosts as well.
  double max_slot_share = 0.85;
  /// Estimates the requests that other hosts have not reported yet. Off where
  /// the loads are exact: the estimate would take every slow first event for a
  /// request that is counted already.
  bool estimates_unseen = true;
  /// A target gets no request that would exceed this multiple of its slots; 0:
  /// no bound other than the predicted time.
  double max_requests_per_slot = 0;

  // Switches for measuring the effect of single mechanisms.

  /// Up to max_candidates targets are examined before a request is refused.
  bool looks_wider = true;
  /// Failing targets are skipped for failure_pause.
  bool pauses_failing = true;
  /// Predictions are corrected by the times measured at each target.
  bool learns_speed = true;

  /// Retry-after time if no target serves the model: about the time that
  /// replacing a lost group member takes.
  Duration repair_time = Milliseconds(1500);
  /// Lower bound of the retry-after time: a caller that is accepted after it
  /// may still be answered within its SLO.
  Duration min_retry_after = Milliseconds(50);
  Duration max_retry_after = Seconds(2);
  /// Time constant of the exponential decay of accepted and refused requests:
  /// shorter than loading model weights takes, longer than a burst of a second.
  Duration activity_decay_time = Seconds(3);
  /// Upper bound of the pressure: retries of refused callers are counted as new
  /// requests, so higher values carry little information.
  double max_pressure = 3;
  /// Weight of the latest measurement in exponential averages.
  double smoothing = 0.2;
  /// Least weight in averages over all targets of a model, of which the first
  /// measurements form the plain mean; 0: `smoothing`. With the measurements of
  /// a whole fleet, `smoothing` would follow the last few requests.
  double model_smoothing = 0;
};

/// Chooses targets for the requests of one entry host and tracks their load.
class TargetSelector {
 public:
  TargetSelector(DispatchPolicy policy, uint64_t seed)
      : m_policy(policy), m_random(seed) {}

  /// Replaces the targets in use. Measurements of targets that remain are kept
  /// unless the target's process was restarted.
  void SetTargets(std::vector<DispatchTarget> targets,
                  const Catalog& catalog,
                  TimePoint now);

  /// Replaces the loads of other entry hosts; targets that are not named have
  /// none. A further `unreported_hosts` hosts have not reported yet. Each is
  /// assumed to have as much load as this one, spread evenly: after a restart
  /// of the whole fleet all callers return at once, and hosts that assumed idle
  /// targets would send them several times their capacity. `as_of` is the mean
  /// time at which the loads were measured.
  void SetRemoteLoads(
      const std::map<std::string, TargetLoad, std::less<>>& loads,
      size_t unreported_hosts,
      TimePoint as_of);

  DispatchDecision Choose(const DispatchQuery& query, TimePoint now);

  /// The choice of target `id` that another host made for the request, with
  /// its prediction and its count of requests there. nullopt: the request may
  /// not be sent there from this host, because the target is not known, was
  /// evacuated or tried, or accepts no request now.
  std::optional<DispatchChoice> ConfirmChoice(std::string_view id,
                                              const DispatchQuery& query,
                                              Duration predicted,
                                              int requests,
                                              TimePoint now) const;
  /// Targets of the query's model that ConfirmChoice() would not confirm, and
  /// those that failed lately, unless so many failed that the targets are
  /// unlikely to be the cause. nullopt: no target is usable.
  std::optional<std::vector<std::string>> UnusableTargets(
      const DispatchQuery& query,
      TimePoint now) const;
  /// Counts a request whose target was chosen, or which was refused, by another
  /// host, for the pressure of its model.
  void RecordPlacement(const DispatchQuery& query, bool placed, TimePoint now) {
    RecordOutcome(query, placed, now);
  }

  void OnSent(std::string_view id, double prompt_tokens);
  /// The first event of an answer came `measured` after the request was sent.
  void OnFirstEvent(std::string_view id,
                    double prompt_tokens,
                    Duration predicted,
                    Duration measured);
  /// `prompt_pending`: no first event had come.
  void OnEnded(std::string_view id,
               double prompt_tokens,
               bool prompt_pending,
               DispatchResult result,
               TimePoint now);

  /// Bounds the requests at each target; targets that are not named get none.
  /// Null: no bounds.
  void SetRequestBounds(const std::map<std::string, int, std::less<>>* bounds);
  struct TakenSlots {
    double requests = 0;
    double slots = 0;
  };
  /// Requests and slots of a model's targets that are used: while targets are
  /// skipped because they failed, nobody can use their free slots. A target
  /// has no more slots than its bound.
  TakenSlots CountTakenSlots(std::string_view service,
                             std::string_view model,
                             TimePoint now) const;
  /// Whether a target that is used may take one more request.
  bool HasRoom(std::string_view service,
               std::string_view model,
               TimePoint now) const;
  /// Requests at a target as far as known; 0 if there is none.
  int CountRequests(std::string_view id) const;
  /// Sets the learned overhead of a model of which nothing was measured yet.
  void SeedOverhead(std::string_view service,
                    std::string_view model,
                    Duration overhead);

  /// Forgets the failures of all targets, as their cause was this host's link.
  void ClearFailures();

  /// Whether targets that the query allows are left, and all of them are among
  /// the unreachable servers.
  bool AreAllUnreachable(const DispatchQuery& query) const;

  /// This host's load at every target where it has requests.
  std::vector<std::pair<std::string, TargetLoad>> OwnLoads() const;

  bool HasTarget(std::string_view id) const;

  size_t CountTargets() const;

  /// Mean age of the loads reported by other hosts.
  Duration LoadsAge(TimePoint now) const { return now - m_remote_at; }

  /// Demand for a model relative to the slots of its targets: 1 if all slots
  /// are taken, more if requests are refused, at most max_pressure. nullopt:
  /// the model has no target.
  std::optional<double> Pressure(std::string_view service,
                                 std::string_view model,
                                 TimePoint now) const;
  /// The highest pressure of all models and plain services; 0 without targets.
  double MaxPressure(TimePoint now) const;

  /// Predicted time to first event at target `id`; 0 if there is none.
  Duration Predict(std::string_view id, double prompt_tokens) const;
  /// The shortest predicted time to first event at the targets of a model once
  /// each has a free slot; nullopt if there is none.
  std::optional<Duration> PredictFreed(std::string_view service,
                                       std::string_view model,
                                       double prompt_tokens) const;
  /// The part of the predicted times of a model that its engine profile does
  /// not explain.
  Duration LearnedOverhead(std::string_view service,
                           std::string_view model) const;
  /// Measured divided by predicted time of a target; 1 if there is none.
  double Slowness(std::string_view id) const;

 private:
  struct ModelActivity;
  struct Entry {
    DispatchTarget target;
    /// Null for plain services. Points into `m_engines`.
    const EngineProfile* engine = nullptr;
    double pace = 1;
    bool in_use = true;
    TargetLoad own;
    TargetLoad remote;
    /// Measured divided by predicted time, smoothed; 1: as predicted.
    double slowness = 1;
    int failures = 0;
    TimePoint last_failure;
    /// Failures since the target last answered, or refused to run a request.
    int failed_answers = 0;
    /// Most requests that it may have; nullopt: no bound.
    std::optional<int> bound;
    /// Activity of its service and model.
    ModelActivity* activity = nullptr;
  };
  using Targets = std::vector<Entry*>;
  /// Targets of one service and model.
  struct Group {
    Targets all;
    std::map<std::string, Targets, std::less<>> by_data_centre;
  };
  /// Recent requests and measurements of one service and model.
  struct ModelActivity {
    /// Requests accepted and refused, decayed exponentially.
    double placed = 0;
    double refused = 0;
    /// Requests at a chosen target that no host had reported yet, smoothed.
    double unseen = 0;
    /// Measurements that the overhead is made of.
    int measurements = 0;
    /// Time to first event in excess of the engine profile while slots are
    /// free: the network round trip, and engine overhead that it does not
    /// publish.
    Duration overhead{0};
    TimePoint updated;
    /// Start of the current series of refusals, and the latest refusal. A gap
    /// longer than the decay time ends a series.
    TimePoint refusing_since;
    TimePoint last_refusal;
  };
  struct Best {
    const Entry* entry = nullptr;
    Duration time{0};
  };

  Entry* Find(std::string_view id);
  const Entry* Find(std::string_view id) const;
  double PressureOf(const std::string& key,
                    const Group& group,
                    TimePoint now) const;
  static std::string GroupKey(std::string_view service, std::string_view model);
  bool IsPaused(const Entry& entry, TimePoint now) const;
  /// Mean time between two requests that end at a full target.
  Duration SlotReleaseInterval(const Entry& entry) const;
  /// Updates the activity of the model from a first event that came `late`
  /// after its prediction: the overhead if the target had free slots, otherwise
  /// the number of unreported requests. In a large fleet one host has few
  /// measurements per target but many per model, so the common part is learned
  /// per model and only the rest as the target's slowness.
  void LearnModel(Entry& entry, Duration late);
  static Duration Overhead(const Entry& entry);
  /// Requests at the target, including the estimate of unreported ones.
  static double CountRequests(const Entry& entry);
  static bool IsFull(const Entry& entry);
  /// One more request would exceed max_requests_per_slot.
  bool IsAtLimit(const Entry& entry) const;
  /// Whether the target is paused and has failed persistently.
  bool IsFailing(const Entry& entry, TimePoint now) const;
  /// Which targets are skipped because they failed.
  enum class SkipRule { kPaused, kFailing, kNone };
  /// Paused targets; only failing ones if most are paused, and none if all are
  /// failing.
  SkipRule SkipRuleOf(const Targets& targets, TimePoint now) const;
  bool IsSkipped(const Entry& entry, SkipRule rule, TimePoint now) const;
  bool AreAllSlotsTaken(const Targets& targets,
                        const DispatchQuery& query,
                        TimePoint now) const;
  /// The longest predicted time to first event at which a request is accepted
  /// at the target.
  Duration MaxWait(const Entry& entry,
                   const Group& group,
                   const DispatchQuery& query,
                   TimePoint now) const;
  Duration PredictEntry(const Entry& entry, double prompt_tokens) const;
  /// The same with `requests` at the target.
  Duration PredictWith(const Entry& entry,
                       double requests,
                       double prompt_tokens) const;
  /// The target is outside the regions allowed for the request.
  static bool IsOutsideRegions(const Entry& entry, const DispatchQuery& query);
  /// This host cannot connect to the target.
  static bool IsUnreachable(const Entry& entry, const DispatchQuery& query);
  /// The request was sent to the target already or may not be sent there.
  static bool IsExcluded(const Entry& entry, const DispatchQuery& query);
  /// The request was sent to the target already.
  static bool WasTried(const Entry& entry, const DispatchQuery& query);
  /// The target asked for no requests at present.
  static bool IsHeldBack(const Entry& entry,
                         const DispatchQuery& query,
                         TimePoint now);
  DispatchRefusal RefuseWithoutTarget(const Group& group,
                                      const DispatchQuery& query,
                                      TimePoint now);
  /// Up to `limit` eligible targets in order from a random start, without
  /// paused ones unless none else is left or too many are paused.
  Targets DrawCandidates(const Targets& targets,
                         const DispatchQuery& query,
                         size_t limit,
                         TimePoint now);
  /// Adds an estimate of the load that `unreported_hosts` have at `targets`.
  void AddEstimatedLoads(Targets& targets, size_t unreported_hosts);
  void RecordOutcome(const DispatchQuery& query, bool placed, TimePoint now);
  /// Retry-after time of a caller that finds all targets busy. It is short at
  /// first, since every answer frees a slot, and then grows with the time that
  /// callers have been refused so far, as an overload that has lasted is likely
  /// to last as long again. With a constant short time most callers would retry
  /// into the same burst, be refused again and give up.
  Duration RetryAfter(const DispatchQuery& query, TimePoint now);
  /// The target with the shortest predicted time among some drawn at random, or
  /// `best` if none is better.
  Best FindBest(const Targets& targets,
                const DispatchQuery& query,
                TimePoint now,
                Best best);
  /// The first target, from a random start, that is below max_slot_share and is
  /// predicted to meet the SLO, or `best` if there is none.
  Best FindRoom(const Targets& targets,
                const DispatchQuery& query,
                TimePoint now,
                Best best);

  DispatchPolicy m_policy;
  std::mt19937_64 m_random;
  /// Owns the profiles that the entries point to.
  std::map<std::string, EngineProfile, std::less<>> m_engines;
  std::map<std::string, std::unique_ptr<Entry>, std::less<>> m_entries;
  std::unordered_map<std::string, Group> m_groups;
  /// Keys of groups that have evacuated targets.
  std::set<std::string> m_evacuated_groups;
  std::unordered_map<std::string, ModelActivity> m_activity;
  /// Mean time at which the remote loads were measured.
  TimePoint m_remote_at;
};

}  // namespace filbertrack

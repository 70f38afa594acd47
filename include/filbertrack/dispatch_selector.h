#pragma once

/// Chooses the backend server, or the head of a group, that takes a request,
/// and turns away what no one can answer in time. It counts this entry host's
/// own work exactly; what other entry hosts have there is told by them.
///
/// The load that it is made for: a burst over all capacity, where a request
/// more would make every request that runs late. A request is taken while its
/// first event is expected in time at the best of a few targets; otherwise it
/// is turned away at once, with the time after which there should be room.

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

/// One place that answers requests.
struct DispatchTarget {
  /// Of the backend server, or of the head of the group.
  std::string id;
  Address address;
  std::string service;
  /// Empty for plain services.
  std::string model;
  std::string data_centre;
  int slots = 1;
  /// Connections that it accepts from all entry hosts.
  int max_connections = 0;
  /// Start of the process, Unix ms; 0: not told.
  uint64_t process_start_ms = 0;
  /// Its data centre is evacuated: it takes no request.
  bool evacuated = false;
  /// Region of its data centre; empty: there is only one.
  std::string region{};
};

inline ServerInstance InstanceOf(const DispatchTarget& target) {
  return {target.id, target.process_start_ms};
}

/// Work at a target.
struct TargetLoad {
  int requests = 0;
  /// Tokens of prompts that are not read yet, as far as is known.
  double prompt_tokens = 0;
};

struct DispatchQuery {
  std::string_view service;
  std::string_view model;
  double prompt_tokens = 0;
  /// The first event is on time until this much after now.
  Duration time_to_slo{0};
  /// The caller has gone after this.
  Duration time_left{0};
  /// Targets that this request was sent to already.
  const std::set<std::string, std::less<>>* excluded = nullptr;
  /// Targets of this data centre go first while one of them answers in time;
  /// empty: all are alike. Loads of the own data centre are some 100 ms old,
  /// others half a second, in which a target gets several requests.
  std::string_view local_data_centre;
  /// Knows which targets ask for no request now; null: none does.
  const Backpressure* backpressure = nullptr;
  /// Regions that the request may reach by its route, and by its workspace;
  /// where both name some, both bind. Empty: any.
  std::span<const std::string> route_regions;
  std::span<const std::string> workspace_regions;
};

enum class DispatchDenial {
  /// Nothing serves the model now.
  kNoneServing,
  /// Targets serve, and none would answer before the caller has gone.
  kAllBusy,
  /// Targets serve, and each that is left asked for no request now.
  kAllHeldBack,
  /// What serves the model stands in data centres that are evacuated.
  kAllEvacuated,
  /// Nothing serves the model in the regions that the request may reach.
  kNoneInRegions,
};

struct DispatchChoice {
  DispatchTarget target;
  Duration predicted{0};
  /// Requests there when it was chosen: of this host, and of the others as they
  /// told so long ago.
  int own_requests = 0;
  int other_requests = 0;
  Duration loads_age{0};
};

struct DispatchRefusal {
  DispatchDenial reason = DispatchDenial::kNoneServing;
  Duration retry_after{0};
  /// Where all are busy: what the best of them would have taken.
  Duration predicted{0};
};

using DispatchDecision = std::variant<DispatchChoice, DispatchRefusal>;

enum class DispatchResult {
  kAnswered,
  /// It did not run the request.
  kRefused,
  /// The answer broke off, never came, or was an error.
  kFailed,
  /// The caller left, or the time was up.
  kAbandoned,
};

struct DispatchPolicy {
  /// Targets drawn at random for one request, of which the best is taken. Loads
  /// of other entry hosts are up to 150 ms old: were all targets looked at, all
  /// hosts would send to the same one until the next news. The cost does not
  /// grow with the fleet.
  size_t candidates = 3;
  /// A target that failed is left out for this long, doubled with each failure
  /// in a row.
  Duration failure_pause = Milliseconds(300);
  Duration max_failure_pause = Seconds(4);
  /// At least this part of the targets of a model stays in use whatever fails.
  double min_in_use = 0.5;
  /// While places are free somewhere, a request is taken up to this many times
  /// its aim: it makes few wait, a late answer is still worth something to the
  /// caller, and a prediction may be too high.
  double slo_factor = 2.0;
  /// The same once all places are taken: who is let in late then makes
  /// everybody behind late.
  double saturated_slo_factor = 1.0;
  /// Before a request is turned away, so many targets are looked at for one
  /// that answers within its aim: a draw of a few misses the last ones that
  /// have room. It bounds the cost of a refusal.
  size_t max_candidates = 64;
  /// Such a target is taken while so much of its slots is taken at the most: of
  /// many targets, the one that looks free is most likely one that others are
  /// just filling.
  double max_slot_share = 0.85;

  // Switches, to measure what each mechanism is worth.

  /// More targets are looked at before a request is refused.
  bool looks_wider = true;
  /// Targets that fail are paused.
  bool pauses_failing = true;
  /// Predictions follow what was measured at each target.
  bool learns_speed = true;

  /// A caller is told to come back after this where nothing serves: about the
  /// time that a swap of a lost member takes.
  Duration repair_time = Milliseconds(1500);
  /// The shortest time that is told: a caller who is placed then may still be
  /// answered within its aim.
  Duration min_retry_after = Milliseconds(50);
  Duration max_retry_after = Seconds(2);
  /// Requests of this long ago count about a third in the pressure: shorter
  /// than a load of weights takes, longer than a burst of a second.
  Duration activity_decay_time = Seconds(3);
  /// Pressure is told up to this: what callers ask again is counted anew, so
  /// that more says little.
  double max_pressure = 3;
  /// Weight of the latest measurement in running means.
  double smoothing = 0.2;
};

class TargetSelector {
 public:
  TargetSelector(DispatchPolicy policy, uint64_t seed)
      : m_policy(policy), m_random(seed) {}

  /// Targets in use from now on. What is known of those that stay is kept.
  void SetTargets(std::vector<DispatchTarget> targets,
                  const Catalog& catalog,
                  TimePoint now);

  /// What other entry hosts have at the targets; at those that are not named
  /// they have nothing. `unheard` more hosts exist that told nothing yet; each
  /// is taken to have as much as this one, evenly spread. After a start of the
  /// whole fleet callers come back all at once, and hosts that take the groups
  /// for idle would send them several times what they can do. `true_at`: when
  /// the loads were so at their hosts, in the mean.
  void SetRemoteLoads(
      const std::map<std::string, TargetLoad, std::less<>>& loads,
      size_t unreported_hosts,
      TimePoint as_of);

  DispatchDecision Choose(const DispatchQuery& query, TimePoint now);

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

  /// Own work at every target that has any.
  std::vector<std::pair<std::string, TargetLoad>> OwnLoads() const;

  bool HasTarget(std::string_view id) const;

  size_t CountTargets() const;

  /// Mean time since the work of other hosts was as it is counted.
  Duration LoadsAge(TimePoint now) const { return now - m_remote_at; }

  /// How much of what its targets can do at once is asked of a model: 1 where
  /// all slots are taken, more where requests are turned away. nullopt: it has
  /// no target.
  std::optional<double> Pressure(std::string_view service,
                                 std::string_view model,
                                 TimePoint now) const;
  /// The highest pressure of all models and plain services; 0: no targets.
  double MaxPressure(TimePoint now) const;

  /// Time to the first event at `id` of a prompt of so many tokens.
  Duration Predict(std::string_view id, double prompt_tokens) const;

 private:
  struct ModelActivity;
  struct Entry {
    DispatchTarget target;
    /// Null for plain services.
    const EngineProfile* engine = nullptr;
    double pace = 1;
    bool in_use = true;
    TargetLoad own;
    TargetLoad remote;
    /// Measured over predicted time, smoothed; 1 is as predicted.
    double slowness = 1;
    int failures = 0;
    TimePoint last_failure;
    /// Of its service and model.
    ModelActivity* activity = nullptr;
  };
  using Targets = std::vector<Entry*>;
  /// Targets of one service and model.
  struct Group {
    Targets all;
    std::map<std::string, Targets, std::less<>> by_data_centre;
  };
  /// What was seen of a model lately.
  struct ModelActivity {
    /// Requests that asked for it, older ones counting less.
    double placed = 0;
    double refused = 0;
    /// Requests at a target that was chosen that nobody had told of, smoothed.
    double unseen = 0;
    /// Time of a first event beyond what the profile explains, where places are
    /// free: the way there and back, and what the engine does not publish.
    Duration overhead{0};
    TimePoint updated;
    /// Since when refusals have come without a long pause, and the latest one.
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
  /// Time in which one of the requests of a full target ends.
  Duration SlotReleaseInterval(const Entry& entry) const;
  /// Learns of the model from a first event that came this much after its
  /// prediction: its overhead where places are free, otherwise how many
  /// requests were there that nobody had told of. One target tells a host
  /// little of itself in a large fleet, and all targets of a model much of the
  /// model; what is left is the target's own speed.
  void LearnModel(Entry& entry, Duration late);
  static Duration Overhead(const Entry& entry);
  /// Requests at the target, with those that nobody told of.
  static double CountRequests(const Entry& entry);
  static bool IsFull(const Entry& entry);
  static bool AreAllSlotsTaken(const Targets& targets,
                               const DispatchQuery& query,
                               TimePoint now);
  /// A request that would wait longer than this for its first event at the
  /// target is refused.
  Duration MaxWait(const Entry& entry,
                   const Group& group,
                   const DispatchQuery& query,
                   TimePoint now) const;
  Duration PredictEntry(const Entry& entry, double prompt_tokens) const;
  /// The request may not reach the target's region.
  static bool IsOutsideRegions(const Entry& entry, const DispatchQuery& query);
  /// The request was sent there already, or may not be sent there.
  static bool IsExcluded(const Entry& entry, const DispatchQuery& query);
  /// The request was sent there already.
  static bool WasTried(const Entry& entry, const DispatchQuery& query);
  /// The target asked for no request now.
  static bool IsHeldBack(const Entry& entry,
                         const DispatchQuery& query,
                         TimePoint now);
  DispatchRefusal RefuseWithoutTarget(const Group& group,
                                      const DispatchQuery& query,
                                      TimePoint now);
  Targets DrawCandidates(const Targets& targets,
                         const DispatchQuery& query,
                         size_t limit,
                         TimePoint now);
  /// The best of some drawn at random, or `best` where none is better.
  void AddEstimatedLoads(Targets& targets, size_t unreported_hosts);
  void RecordOutcome(const DispatchQuery& query, bool placed, TimePoint now);
  /// When a caller that finds all busy may come back. At first at once, as a
  /// place comes free with each answer; then after as long as callers have been
  /// refused so far, for what lasts will last. Told the same short time
  /// throughout, most would come back into the same burst, be refused again and
  /// give up.
  Duration RetryAfter(const DispatchQuery& query, TimePoint now);
  Best FindBest(const Targets& targets,
                const DispatchQuery& query,
                TimePoint now,
                Best best);
  /// The first one, from a random start, that has clear room and answers within
  /// the aim, or `best` where none does.
  Best FindRoom(const Targets& targets,
                const DispatchQuery& query,
                TimePoint now,
                Best best);

  DispatchPolicy m_policy;
  std::mt19937_64 m_random;
  /// Keeps the profiles that the entries point to.
  std::map<std::string, EngineProfile, std::less<>> m_engines;
  std::map<std::string, std::unique_ptr<Entry>, std::less<>> m_entries;
  std::unordered_map<std::string, Group> m_groups;
  /// Services and models with targets that are evacuated, as keys of groups.
  std::set<std::string> m_evacuated_groups;
  std::unordered_map<std::string, ModelActivity> m_activity;
  TimePoint m_remote_at;
};

/// Time of one pass of an engine with `requests` writing and a chunk of
/// prompts to read, at the pace of the model.
Duration PassTime(const EngineProfile& engine,
                  double pace,
                  double requests,
                  double chunk_tokens);

}  // namespace filbertrack

#pragma once

/// Chooses the group that serves a request: the one with the shortest predicted
/// time to first token among a few candidates. Load reports are delayed and the
/// same for all entry hosts. A choice among few random candidates that counts
/// this host's own requests in flight keeps the hosts from sending to the same
/// idle group at once.

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "filbertrack/base_time.h"
#include "filbertrack/settings.h"

namespace filbertrack {

/// A target of requests: a group, addressed by its first member, or a plain
/// backend server.
struct RouteTarget {
  std::string id;
  uint64_t epoch = 0;
  std::string service;
  std::string data_centre;
  std::set<std::string, std::less<>> adapters;
  Address address;
  /// Latest time at which the group was whole, that is, all members were known
  /// to be alive and in the group's epoch; nullopt: never, or a member is known
  /// to be missing. Not used for plain servers.
  std::optional<TimePoint> whole_at;
  /// Latest time at which a member was known to be missing.
  TimePoint lost_at;
  /// False for plain servers, which have no members and always count as whole.
  bool needs_evidence = true;
  bool leaving = false;
};

/// The latest load report of a target, and when this host received it.
struct LoadReport {
  int running = 0;
  int queued = 0;
  int slots = 1;
  /// Time of a prefill without a cached prefix.
  Duration prefill{0};
  TimePoint read_at;
  std::set<std::string, std::less<>> cached_prefixes;
};

/// What this host measured at a target, and its own requests there.
struct TargetHistory {
  int in_flight = 0;
  /// Requests sent minus requests ended since the current report was received.
  int change_since_report = 0;
  /// Measured divided by predicted time to first token, smoothed; 1: as
  /// predicted or faster.
  double slowness = 1;
  /// Time that a request occupies the target, smoothed; 0: not measured.
  Duration service_time{0};
  /// Beginning of slow start, from which the usable capacity of the target
  /// grows.
  TimePoint serving_since;
  /// Prefixes that this host sent to the target, and when. Kept for
  /// cache_report_lag, after which the target's reports show what is cached.
  std::map<std::string, TimePoint, std::less<>> sent_prefixes;
  /// Consecutive failures.
  int failures = 0;
  TimePoint last_failure;
};

struct RouteCandidate {
  RouteTarget target;
  LoadReport load;
  TargetHistory history;
};

/// The properties of a request that determine the choice.
struct RouteQuery {
  std::string service;
  std::string adapter;
  std::string prefix;  ///< Hash of the beginning of the prompt; may be empty.
  std::string data_centre;
  TimePoint deadline;
  /// Targets already tried for this request.
  std::set<std::string, std::less<>> excluded;
};

/// Uses the targets in turn; the baseline for measurements.
struct RoundRobin {
  size_t next = 0;
};

/// Chooses the shortest predicted time to first token.
struct PredictedFirstToken {
  /// Random candidates in addition to the target that the prefix hashes to and
  /// those that have it cached.
  int random_candidates = 2;
  /// Added to the prediction for a target in another data centre.
  Duration other_data_centre_cost = Milliseconds(3);
  /// Upper bound of the delay of cache reports. A prefix counts as cached for
  /// this long after it was sent to a target.
  Duration cache_report_lag = Seconds(1);
  /// Time of a prefill with a cached prefix, as a fraction of a full prefill.
  double cached_prefill_share = 0.15;
  /// Time until a target that begins to serve may use its full capacity.
  Duration slow_start = Seconds(10);
  /// How long a target is skipped after a failure; doubles with each
  /// consecutive failure, up to max_failure_pause.
  Duration failure_pause = Milliseconds(250);
  Duration max_failure_pause = Seconds(10);
  /// Maximum number of requests queued at a target, as a fraction of its slots.
  double queue_share = 1.0;
};

using RoutePolicy = std::variant<RoundRobin, PredictedFirstToken>;

struct RouteLimits {
  /// Maximum age of the evidence that a group is whole. With older evidence the
  /// group gets no requests and its answers are not forwarded.
  Duration evidence_bound = Seconds(1);
};

enum class RouteRefusal {
  /// No group of the service is known to be whole, or all were tried.
  kNoneServing,
  /// Groups serve the service, but all are full or paused after failures, or
  /// the best of those examined would answer after the deadline.
  kAllBusy,
};

struct RouteChoice {
  size_t index = 0;
  Duration predicted{0};
  /// The prediction without the slowness factor, as input of LearnFirstToken().
  Duration unscaled{0};
};

struct RouteDenial {
  RouteRefusal reason;
  /// Retry-after time for the caller.
  Duration retry_after{0};
};

using RouteDecision = std::variant<RouteChoice, RouteDenial>;

/// Whether `target` may get requests and its answers be forwarded now: it is a
/// plain server, or the evidence that it is whole is recent enough.
bool IsWhole(const RouteTarget& target,
             const RouteLimits& limits,
             TimePoint now);

/// Predicted time to first token, not corrected by the target's slowness.
Duration PredictFirstToken(const RouteCandidate& candidate,
                           const RouteQuery& query,
                           const PredictedFirstToken& policy,
                           TimePoint now);

RouteDecision ChooseRoute(RoutePolicy& policy,
                          std::span<const RouteCandidate> candidates,
                          const RouteQuery& query,
                          const RouteLimits& limits,
                          TimePoint now,
                          std::mt19937_64& random);

/// Updates the slowness by a first token that took `measured`; `predicted` is
/// the unscaled prediction. Also ends a series of failures.
void LearnFirstToken(TargetHistory& history,
                     Duration predicted,
                     Duration measured);
void LearnServiceTime(TargetHistory& history, Duration measured);
/// Records a prefix that was sent to the target and drops expired ones.
void LearnSentPrefix(TargetHistory& history,
                     const std::string& prefix,
                     const PredictedFirstToken& policy,
                     TimePoint now);
void LearnFailure(TargetHistory& history, TimePoint now);

}  // namespace filbertrack

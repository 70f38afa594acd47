#pragma once

/// Chooses the group that takes a request: the one with the smallest predicted
/// time to first token among a few candidates. Reports of load lag, and every
/// entry host sees the same ones; a choice among few random candidates, counted
/// with this host's own work in flight, keeps all of them from sending to the
/// same idle group at once.

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

/// One place that can answer: a group by its first member, or a plain backend
/// server.
struct RouteTarget {
  std::string id;
  uint64_t epoch = 0;
  std::string service;
  std::string data_centre;
  std::set<std::string, std::less<>> adapters;
  Address address;
  /// All members were alive and in the group's epoch at this time; nullopt:
  /// never, or one is known to be missing. Plain servers have no evidence.
  std::optional<TimePoint> whole_at;
  /// A member was known to be missing at this time.
  TimePoint lost_at;
  bool needs_evidence = true;
  bool leaving = false;
};

/// What a target last reported, and when this host read it.
struct LoadReport {
  int running = 0;
  int queued = 0;
  int slots = 1;
  Duration prefill{0};
  TimePoint read_at;
  std::set<std::string, std::less<>> cached_prefixes;
};

/// This host's own experience with a target.
struct TargetHistory {
  int in_flight = 0;
  /// Requests sent less requests ended since the report in use was read.
  int change_since_report = 0;
  /// Measured over predicted time to first token, smoothed; 1 is as predicted.
  double slowness = 1;
  /// Smoothed time that a request occupies the target.
  Duration service_time{0};
  /// Start of slow start; the target's share grows from here.
  TimePoint serving_since;
  /// Prefixes that this host sent there, and when; a report that was read
  /// later than that tells whether they are still cached.
  std::map<std::string, TimePoint, std::less<>> sent_prefixes;
  /// Failures in a row without a success between them.
  int failures = 0;
  TimePoint last_failure;
};

struct RouteCandidate {
  RouteTarget target;
  LoadReport load;
  TargetHistory history;
};

/// What of a request matters for the choice.
struct RouteQuery {
  std::string service;
  std::string adapter;
  std::string prefix;  ///< Hash of the prompt's beginning; may be empty.
  std::string data_centre;
  TimePoint deadline;
  /// Targets already tried for this request.
  std::set<std::string, std::less<>> excluded;
};

/// One target after the other: the baseline for measurements.
struct RoundRobin {
  size_t next = 0;
};

/// Smallest predicted time to first token.
struct PredictedFirstToken {
  /// Random candidates beside the one that the prefix hashes to.
  int random_candidates = 2;
  Duration other_data_centre_cost = Milliseconds(3);
  /// Cache events come late by up to this; until then a prefix counts as cached
  /// where it was sent.
  Duration cache_report_lag = Seconds(1);
  /// Prefill with a cached prefix takes this part of a whole one.
  double cached_prefill_share = 0.15;
  Duration slow_start = Seconds(10);
  /// A target that failed is left out for this long, doubled with each failure.
  Duration failure_pause = Milliseconds(250);
  Duration max_failure_pause = Seconds(10);
  /// In flight above the target's slots, as a part of them.
  double queue_share = 1.0;
};

using RoutePolicy = std::variant<RoundRobin, PredictedFirstToken>;

struct RouteLimits {
  /// A group is used, and its answers are forwarded, only while the evidence
  /// that it is whole is at most this old.
  Duration evidence_bound = Seconds(1);
};

enum class RouteRefusal {
  /// No whole group of the service is known.
  kNoneServing,
  /// Groups serve, and none could answer before the deadline.
  kAllBusy,
};

struct RouteChoice {
  size_t index = 0;
  Duration predicted{0};
  /// The prediction without the target's slowness, for learning that.
  Duration unscaled{0};
};

struct RouteDenial {
  RouteRefusal reason;
  /// When a caller should come back.
  Duration retry_after{0};
};

using RouteDecision = std::variant<RouteChoice, RouteDenial>;

/// Whether an answer of `target` may be forwarded now.
bool IsWhole(const RouteTarget& target,
             const RouteLimits& limits,
             TimePoint now);

/// Predicted time to first token of a target that is as quick as it reports.
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

/// Learns from a first token that took `measured` where the unscaled prediction
/// was `predicted`.
void LearnFirstToken(TargetHistory& history,
                     Duration predicted,
                     Duration measured);
void LearnServiceTime(TargetHistory& history, Duration measured);
/// Remembers a prefix that was sent; forgets old ones.
void LearnSentPrefix(TargetHistory& history,
                     const std::string& prefix,
                     const PredictedFirstToken& policy,
                     TimePoint now);
void LearnFailure(TargetHistory& history, TimePoint now);

}  // namespace filbertrack

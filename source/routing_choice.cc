#include "filbertrack/routing_choice.h"

#include <algorithm>
#include <cmath>

#include "filbertrack/base_hash.h"

namespace filbertrack {

namespace {

constexpr double kSmoothing = 0.2;
/// Upper bound of a target's slowness. Only requests lower the slowness towards
/// 1 again, so some must still reach the target and show when it has recovered.
constexpr double kMaxSlowness = 20;
constexpr Duration kMinServiceTime = Milliseconds(10);
/// Usable fraction of the capacity at the beginning of slow start.
constexpr double kInitialShare = 0.1;

double Smooth(double before, double measured) {
  return before + kSmoothing * (measured - before);
}

/// Requests at the target: the reported number plus the change of this host's
/// own requests since that report, and at least this host's requests in flight.
int EstimatedLoad(const RouteCandidate& candidate) {
  if (!candidate.target.needs_evidence) {
    // Plain servers send no reports, so change_since_report is never reset and
    // the server could appear full for ever.
    return candidate.history.in_flight;
  }
  const int reported = candidate.load.running + candidate.load.queued;
  return std::max(reported + candidate.history.change_since_report,
                  candidate.history.in_flight);
}

/// Usable fraction of a target's capacity. It grows during slow start, so that
/// a cold target does not receive the whole backlog at once.
double SlowStartShare(const RouteCandidate& candidate,
                      const PredictedFirstToken& policy,
                      TimePoint now) {
  const double age = ToSeconds(now - candidate.history.serving_since);
  return std::clamp(age / ToSeconds(policy.slow_start), kInitialShare, 1.0);
}

bool HasRoom(const RouteCandidate& candidate,
             const PredictedFirstToken& policy,
             TimePoint now) {
  const double room = candidate.load.slots * (1 + policy.queue_share) *
                      SlowStartShare(candidate, policy, now);
  return EstimatedLoad(candidate) < std::max(1.0, std::floor(room));
}

bool IsPaused(const TargetHistory& history,
              const PredictedFirstToken& policy,
              TimePoint now) {
  if (history.failures == 0) {
    return false;
  }
  const int doublings = std::min(history.failures - 1, 16);
  const Duration pause = std::min(policy.failure_pause * (1 << doublings),
                                  policy.max_failure_pause);
  return now < history.last_failure + pause;
}

bool HasPrefix(const RouteCandidate& candidate,
               std::string_view prefix,
               const PredictedFirstToken& policy,
               TimePoint now) {
  if (prefix.empty()) {
    return false;
  }
  if (candidate.load.cached_prefixes.contains(prefix)) {
    return true;
  }
  const auto sent = candidate.history.sent_prefixes.find(prefix);
  return sent != candidate.history.sent_prefixes.end() &&
         now - sent->second < policy.cache_report_lag;
}

std::vector<size_t> ServingTargets(std::span<const RouteCandidate> candidates,
                                   const RouteQuery& query,
                                   const RouteLimits& limits,
                                   TimePoint now) {
  std::vector<size_t> serving;
  for (size_t i = 0; i < candidates.size(); ++i) {
    const RouteTarget& target = candidates[i].target;
    const bool has_adapter =
        query.adapter.empty() || target.adapters.contains(query.adapter);
    if (target.service == query.service && has_adapter && !target.leaving &&
        IsWhole(target, limits, now) && !query.excluded.contains(target.id)) {
      serving.push_back(i);
    }
  }
  return serving;
}

/// The target with the highest rendezvous weight for the prefix. All entry
/// hosts compute the same one without communication, so its cache serves all
/// requests with the prefix.
size_t AffinityTarget(std::span<const RouteCandidate> candidates,
                      const std::vector<size_t>& serving,
                      std::string_view prefix) {
  return *std::max_element(
      serving.begin(), serving.end(), [&](size_t left, size_t right) {
        return RendezvousWeight(prefix, candidates[left].target.id) <
               RendezvousWeight(prefix, candidates[right].target.id);
      });
}

std::vector<size_t> DrawCandidates(std::span<const RouteCandidate> candidates,
                                   std::vector<size_t> open,
                                   const RouteQuery& query,
                                   const PredictedFirstToken& policy,
                                   TimePoint now,
                                   std::mt19937_64& random) {
  std::vector<size_t> drawn;
  if (!query.prefix.empty()) {
    drawn.push_back(AffinityTarget(candidates, open, query.prefix));
  }
  for (const size_t i : open) {
    if (HasPrefix(candidates[i], query.prefix, policy, now)) {
      drawn.push_back(i);
    }
  }
  std::shuffle(open.begin(), open.end(), random);
  const size_t count =
      std::min(open.size(), static_cast<size_t>(policy.random_candidates));
  drawn.insert(drawn.end(), open.begin(),
               open.begin() + static_cast<ptrdiff_t>(count));
  return drawn;
}

/// The lowest slowness among the targets. Slowness common to all of them is
/// caused by load, which the prediction includes already; only the excess over
/// the others identifies a straggler.
double LowestSlowness(std::span<const RouteCandidate> candidates,
                      const std::vector<size_t>& open) {
  double lowest = kMaxSlowness;
  for (const size_t i : open) {
    lowest = std::min(lowest, candidates[i].history.slowness);
  }
  return lowest;
}

Duration ShortestServiceTime(std::span<const RouteCandidate> candidates,
                             const std::vector<size_t>& serving) {
  Duration shortest = Seconds(1);
  for (const size_t i : serving) {
    const Duration time = candidates[i].history.service_time /
                          std::max(1, candidates[i].load.slots);
    shortest = std::min(shortest, std::max(time, kMinServiceTime));
  }
  return shortest;
}

RouteDecision ChooseRoundRobin(RoundRobin& policy,
                               const std::vector<size_t>& serving) {
  return RouteChoice{serving[policy.next++ % serving.size()], Duration(0),
                     Duration(0)};
}

RouteDecision ChoosePredicted(const PredictedFirstToken& policy,
                              std::span<const RouteCandidate> candidates,
                              const std::vector<size_t>& serving,
                              const RouteQuery& query,
                              TimePoint now,
                              std::mt19937_64& random) {
  std::vector<size_t> open;
  for (const size_t i : serving) {
    if (HasRoom(candidates[i], policy, now) &&
        !IsPaused(candidates[i].history, policy, now)) {
      open.push_back(i);
    }
  }
  const RouteDenial busy{RouteRefusal::kAllBusy,
                         ShortestServiceTime(candidates, serving)};
  if (open.empty()) {
    return busy;
  }
  const double lowest = LowestSlowness(candidates, open);
  RouteChoice best;
  bool found = false;
  for (const size_t i :
       DrawCandidates(candidates, open, query, policy, now, random)) {
    const Duration unscaled =
        PredictFirstToken(candidates[i], query, policy, now);
    const double scale = candidates[i].history.slowness / lowest;
    const auto predicted = Duration(
        static_cast<int64_t>(scale * static_cast<double>(unscaled.count())));
    if (!found || predicted < best.predicted) {
      best = {i, predicted, unscaled};
      found = true;
    }
  }
  if (now + best.predicted > query.deadline) {
    return busy;
  }
  return best;
}

}  // namespace

bool IsWhole(const RouteTarget& target,
             const RouteLimits& limits,
             TimePoint now) {
  if (!target.needs_evidence) {
    return true;
  }
  return target.whole_at && now - *target.whole_at <= limits.evidence_bound;
}

Duration PredictFirstToken(const RouteCandidate& candidate,
                           const RouteQuery& query,
                           const PredictedFirstToken& policy,
                           TimePoint now) {
  const LoadReport& load = candidate.load;
  const bool cached = HasPrefix(candidate, query.prefix, policy, now);
  const double prefill =
      ToSeconds(load.prefill) * (cached ? policy.cached_prefill_share : 1);
  const int slots = std::max(1, load.slots);
  const int work = EstimatedLoad(candidate);
  const double service_time =
      ToSeconds(std::max(candidate.history.service_time, kMinServiceTime));
  const double waiting = std::max(0, work + 1 - slots) * service_time / slots;
  // Concurrent prefills at a target share its processors.
  const double sharing = 1 + static_cast<double>(work) / slots;
  const Duration distance = candidate.target.data_centre == query.data_centre
                                ? Duration(0)
                                : policy.other_data_centre_cost;
  const double seconds = prefill * sharing + waiting;
  return distance + FromSeconds(seconds);
}

RouteDecision ChooseRoute(RoutePolicy& policy,
                          std::span<const RouteCandidate> candidates,
                          const RouteQuery& query,
                          const RouteLimits& limits,
                          TimePoint now,
                          std::mt19937_64& random) {
  const std::vector<size_t> serving =
      ServingTargets(candidates, query, limits, now);
  if (serving.empty()) {
    return RouteDenial{RouteRefusal::kNoneServing, Seconds(1)};
  }
  if (auto* round_robin = std::get_if<RoundRobin>(&policy)) {
    return ChooseRoundRobin(*round_robin, serving);
  }
  return ChoosePredicted(std::get<PredictedFirstToken>(policy), candidates,
                         serving, query, now, random);
}

void LearnFirstToken(TargetHistory& history,
                     Duration predicted,
                     Duration measured) {
  const double floor = ToSeconds(kMinServiceTime);
  const double expected = std::max(floor, ToSeconds(predicted));
  const double ratio = std::max(floor, ToSeconds(measured)) / expected;
  history.slowness =
      std::clamp(Smooth(history.slowness, ratio), 1.0, kMaxSlowness);
  history.failures = 0;
}

void LearnServiceTime(TargetHistory& history, Duration measured) {
  if (history.service_time == Duration(0)) {
    history.service_time = measured;
    return;
  }
  history.service_time = Duration(static_cast<int64_t>(
      Smooth(static_cast<double>(history.service_time.count()),
             static_cast<double>(measured.count()))));
}

void LearnSentPrefix(TargetHistory& history,
                     const std::string& prefix,
                     const PredictedFirstToken& policy,
                     TimePoint now) {
  if (prefix.empty()) {
    return;
  }
  std::erase_if(history.sent_prefixes, [&policy, now](const auto& entry) {
    return now - entry.second >= policy.cache_report_lag;
  });
  history.sent_prefixes[prefix] = now;
}

void LearnFailure(TargetHistory& history, TimePoint now) {
  ++history.failures;
  history.last_failure = now;
}

}  // namespace filbertrack

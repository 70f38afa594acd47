#include <algorithm>
#include <cmath>

#include "filbertrack/dispatch_selector.h"

/// Part of TargetSelector: predicts the time to first event and corrects the
/// prediction by measured times.

namespace filbertrack {

namespace {

/// Upper bound of a target's slowness relative to its profile, so that some
/// requests still reach it and show when it has recovered.
constexpr double kMaxSlowness = 10;
/// Lower bound of the slowness for targets with an engine profile, whose
/// published step times state their speed.
constexpr double kMinSlowness = 0.5;
/// Assumed time of a request at a plain backend server before the first
/// measurement. Plain services publish no times.
constexpr Duration kPlainRequestTime = Milliseconds(60);
/// Lower bound of the slowness for plain services, which differ in speed far
/// more than engines do.
constexpr double kMinPlainSlowness = 0.01;
/// Fraction of taken slots from which a target may be full because of requests
/// that other hosts have not reported yet.
constexpr double kNearlyFullShare = 0.7;
/// Upper bound of the estimate of unreported requests at a target, as a
/// fraction of its slots. A first event later than that shows a slow or stalled
/// target.
constexpr double kMaxUnseen = 0.5;
constexpr double kPerMillion = 1e-6;

}  // namespace

Duration TargetSelector::Overhead(const Entry& entry) {
  const bool known = entry.engine != nullptr && entry.activity != nullptr;
  return known ? entry.activity->overhead : Duration(0);
}

double TargetSelector::CountRequests(const Entry& entry) {
  const double reported = entry.own.requests + entry.remote.requests;
  return reported + (entry.activity == nullptr ? 0 : entry.activity->unseen);
}

Duration TargetSelector::SlotReleaseInterval(const Entry& entry) const {
  // While all slots are taken, each pass also processes prompts of requests
  // that replaced completed ones.
  const EngineProfile& engine = *entry.engine;
  const double slots = std::max(1, entry.target.slots);
  const double passes =
      std::max(1.0, engine.usual_answer_tokens / std::max(1, engine.stride));
  const double prompt_tokens_per_pass =
      slots * engine.usual_prompt_tokens / passes;
  return Scale(PassTime(engine, entry.pace, slots, prompt_tokens_per_pass),
               passes / slots);
}

Duration TargetSelector::PredictEntry(const Entry& entry,
                                      double prompt_tokens) const {
  return PredictWith(entry, CountRequests(entry), prompt_tokens);
}

Duration TargetSelector::PredictWith(const Entry& entry,
                                     double requests,
                                     double prompt_tokens) const {
  const double slots = std::max(1, entry.target.slots);
  const double waiting = std::max(0.0, requests + 1 - slots);
  if (entry.engine == nullptr) {
    return Scale(kPlainRequestTime, (1 + waiting / slots) * entry.slowness);
  }
  const EngineProfile& engine = *entry.engine;
  const double generating = std::min(requests, slots);
  // Prompts are processed in order of arrival, one chunk per pass, alongside
  // the steps of requests that generate tokens.
  const double backlog =
      entry.own.prompt_tokens + entry.remote.prompt_tokens + prompt_tokens;
  const double chunk = std::max(1, engine.chunk_tokens);
  const double passes = std::max(1.0, backlog / chunk);
  const Duration pass_time =
      PassTime(engine, entry.pace, generating, backlog / passes);
  const double pairs = prompt_tokens * prompt_tokens / 2;
  const Duration attention =
      Scale(engine.prompt_per_million_pairs, pairs * kPerMillion * entry.pace);
  // A request in excess of the slots waits for that many running requests to
  // complete.
  const Duration queue = Scale(SlotReleaseInterval(entry), waiting);
  // The pass in progress must end first; on average it is half over.
  const Duration current_pass =
      generating > 0 ? PassTime(engine, entry.pace, generating, 0) / 2
                     : Duration(0);
  return Scale(Scale(pass_time, passes) + attention + current_pass + queue,
               entry.slowness) +
         Overhead(entry);
}

Duration TargetSelector::Predict(std::string_view id,
                                 double prompt_tokens) const {
  const Entry* entry = Find(id);
  return entry == nullptr ? Duration(0) : PredictEntry(*entry, prompt_tokens);
}

std::optional<Duration> TargetSelector::PredictFreed(
    std::string_view service,
    std::string_view model,
    double prompt_tokens) const {
  std::optional<Duration> least;
  const auto group = m_groups.find(GroupKey(service, model));
  if (group == m_groups.end()) {
    return least;
  }
  for (const Entry* entry : group->second.all) {
    const double requests =
        std::min(CountRequests(*entry), entry->target.slots - 1.0);
    const Duration time = PredictWith(*entry, requests, prompt_tokens);
    least = least ? std::min(*least, time) : time;
  }
  return least;
}

Duration TargetSelector::LearnedOverhead(std::string_view service,
                                         std::string_view model) const {
  const auto found = m_activity.find(GroupKey(service, model));
  return found == m_activity.end() ? Duration(0) : found->second.overhead;
}

void TargetSelector::SeedOverhead(std::string_view service,
                                  std::string_view model,
                                  Duration overhead) {
  ModelActivity& activity = m_activity[GroupKey(service, model)];
  if (activity.measurements == 0 && m_policy.model_smoothing > 0) {
    activity.overhead = overhead;
    activity.measurements = static_cast<int>(1 / m_policy.model_smoothing);
  }
}

double TargetSelector::Slowness(std::string_view id) const {
  const Entry* entry = Find(id);
  return entry == nullptr ? 1 : entry->slowness;
}

void TargetSelector::OnFirstEvent(std::string_view id,
                                  double prompt_tokens,
                                  Duration predicted,
                                  Duration measured) {
  Entry* entry = Find(id);
  if (entry == nullptr) {
    return;
  }
  entry->own.prompt_tokens =
      std::max(0.0, entry->own.prompt_tokens - prompt_tokens);
  entry->failures = 0;
  entry->failed_answers = 0;
  if (!m_policy.learns_speed) {
    return;
  }
  LearnModel(*entry, measured - predicted);
  const Duration overhead = Overhead(*entry);
  const double unscaled = ToSeconds(predicted - overhead) / entry->slowness;
  if (unscaled <= 0) {
    return;
  }
  const double ratio = ToSeconds(measured - overhead) / unscaled;
  entry->slowness = std::clamp(
      entry->slowness + m_policy.smoothing * (ratio - entry->slowness),
      entry->engine == nullptr ? kMinPlainSlowness : kMinSlowness,
      kMaxSlowness);
}

void TargetSelector::LearnModel(Entry& entry, Duration late) {
  if (entry.engine == nullptr || entry.activity == nullptr) {
    return;
  }
  ModelActivity& activity = *entry.activity;
  const double slots = entry.target.slots;
  const Duration release_interval = SlotReleaseInterval(entry);
  const double max_extra_requests = slots * kMaxUnseen;
  if (late > Scale(release_interval, max_extra_requests)) {
    // The target stalled or is slow, which says nothing about the others.
    return;
  }
  if (CountRequests(entry) < slots * kNearlyFullShare) {
    ++activity.measurements;
    const double weight =
        m_policy.model_smoothing > 0
            ? std::max(m_policy.model_smoothing, 1.0 / activity.measurements)
            : m_policy.smoothing;
    activity.overhead =
        std::max(Duration(0), activity.overhead + Scale(late, weight));
    return;
  }
  if (!m_policy.estimates_unseen) {
    return;
  }
  const double extra_requests =
      ToSeconds(late) / std::max(ToSeconds(release_interval), 1e-6);
  activity.unseen =
      std::clamp(activity.unseen + m_policy.smoothing * extra_requests, 0.0,
                 max_extra_requests);
}

}  // namespace filbertrack

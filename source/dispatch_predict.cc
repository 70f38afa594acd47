#include <algorithm>
#include <cmath>

#include "filbertrack/dispatch_selector.h"

/// The part of the board that predicts when a first event comes, and learns
/// from when it came.

namespace filbertrack {

namespace {

/// A target is never predicted slower than this many times its profile, so
/// that some requests still reach it and can show that it has recovered.
constexpr double kMostSlowness = 10;
/// And never faster than this part of the engine's published step times, which
/// name its pace.
constexpr double kLeastSlowness = 0.5;
/// Time of a request at a plain backend server where nothing was measured yet.
/// No page publishes it; services differ by far more than engines do.
constexpr Duration kPlainWork = Milliseconds(60);
constexpr double kLeastPlainSlowness = 0.01;
/// From so many of its slots on a target may be full by what is not told yet.
constexpr double kFullShare = 0.7;
/// Most requests at a target, as a part of its slots, that a late first event
/// is laid to; beyond it the target is slow.
constexpr double kMostUnseen = 0.5;
constexpr double kPerThousand = 1e-3;
constexpr double kPerMillion = 1e-6;

}  // namespace

Duration PassTime(const EngineProfile& engine,
                  double pace,
                  double requests,
                  double chunk_tokens) {
  const double context =
      requests * (engine.usual_prompt_tokens + engine.usual_answer_tokens / 2);
  const double step =
      ToSeconds(engine.step) + ToSeconds(engine.step_per_request) * requests +
      ToSeconds(engine.step_per_1k_context) * context * kPerThousand;
  const double steps = requests > 0 ? step * engine.stride : 0;
  const double reading =
      chunk_tokens / std::max(1.0, engine.prompt_tokens_per_second);
  return FromSeconds(pace * (steps + reading));
}

Duration DispatchBoard::Overhead(const Entry& entry) {
  const bool known = entry.engine != nullptr && entry.recent != nullptr;
  return known ? entry.recent->overhead : Duration(0);
}

double DispatchBoard::CountRequests(const Entry& entry) {
  const double told = entry.own.requests + entry.remote.requests;
  return told + (entry.recent == nullptr ? 0 : entry.recent->unseen);
}

Duration DispatchBoard::PlaceTime(const Entry& entry) const {
  // While all slots are taken, each pass also reads the prompts of those that
  // took the place of others.
  const EngineProfile& engine = *entry.engine;
  const double slots = std::max(1, entry.target.slots);
  const double passes =
      std::max(1.0, engine.usual_answer_tokens / std::max(1, engine.stride));
  const double read_a_pass = slots * engine.usual_prompt_tokens / passes;
  return Scale(PassTime(engine, entry.pace, slots, read_a_pass),
               passes / slots);
}

Duration DispatchBoard::PredictEntry(const Entry& entry,
                                     double prompt_tokens) const {
  const double requests = CountRequests(entry);
  const double slots = std::max(1, entry.target.slots);
  const double waiting = std::max(0.0, requests + 1 - slots);
  if (entry.engine == nullptr) {
    return Scale(kPlainWork, (1 + waiting / slots) * entry.slowness);
  }
  const EngineProfile& engine = *entry.engine;
  const double writing = std::min(requests, slots);
  // Prompts are read a chunk a pass, in the order of arrival, between the steps
  // of those that write.
  const double backlog =
      entry.own.prompt_tokens + entry.remote.prompt_tokens + prompt_tokens;
  const double chunk = std::max(1, engine.chunk_tokens);
  const double passes = std::max(1.0, backlog / chunk);
  const Duration bare = PassTime(engine, entry.pace, writing, backlog / passes);
  const double pairs = prompt_tokens * prompt_tokens / 2;
  const Duration pairing =
      Scale(engine.prompt_per_million_pairs, pairs * kPerMillion * entry.pace);
  // A request above the slots waits until so many of those that run have
  // written their answers.
  const Duration queue = Scale(PlaceTime(entry), waiting);
  // The pass that runs has to end first; it is half over in the mean.
  const Duration present =
      writing > 0 ? PassTime(engine, entry.pace, writing, 0) / 2 : Duration(0);
  return Scale(Scale(bare, passes) + pairing + present + queue,
               entry.slowness) +
         Overhead(entry);
}

Duration DispatchBoard::Predict(std::string_view id,
                                double prompt_tokens) const {
  const Entry* entry = Find(id);
  return entry == nullptr ? Duration(0) : PredictEntry(*entry, prompt_tokens);
}

void DispatchBoard::OnFirstEvent(std::string_view id,
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
  if (!m_policy.learns_speed) {
    return;
  }
  LearnModel(*entry, measured - predicted);
  const Duration overhead = Overhead(*entry);
  const double bare = ToSeconds(predicted - overhead) / entry->slowness;
  if (bare <= 0) {
    return;
  }
  const double ratio = ToSeconds(measured - overhead) / bare;
  entry->slowness = std::clamp(
      entry->slowness + m_policy.smoothing * (ratio - entry->slowness),
      entry->engine == nullptr ? kLeastPlainSlowness : kLeastSlowness,
      kMostSlowness);
}

void DispatchBoard::LearnModel(Entry& entry, Duration late) {
  if (entry.engine == nullptr || entry.recent == nullptr) {
    return;
  }
  Recent& recent = *entry.recent;
  const double slots = entry.target.slots;
  const Duration place = PlaceTime(entry);
  const double most = slots * kMostUnseen;
  if (late > Scale(place, most)) {
    // It stood still or is slow; neither is said of the others by that.
    return;
  }
  if (CountRequests(entry) < slots * kFullShare) {
    recent.overhead = std::max(
        Duration(0), recent.overhead + Scale(late, m_policy.smoothing));
    return;
  }
  const double places = ToSeconds(late) / std::max(ToSeconds(place), 1e-6);
  recent.unseen =
      std::clamp(recent.unseen + m_policy.smoothing * places, 0.0, most);
}

}  // namespace filbertrack

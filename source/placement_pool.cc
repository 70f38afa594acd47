#include "filbertrack/placement_pool.h"

#include <algorithm>

#include "placement_visit.h"

/// The loads of PlacementPool. Its decisions are in placement_pool_serve.cc.

namespace filbertrack {

namespace {

/// More targets are not compared; a pool of that size is not placed.
constexpr size_t kMaxTargets = 64;
/// One request above the slots of a target hides the time in which an ending is
/// reported and the next request arrives. More would delay requests behind
/// others that are less urgent.
constexpr double kMaxRequestsPerSlot = 1.05;
/// Weights of the latest measurement in averages over one target and over all.
/// The averages cover about a second of 26 requests per second at a target and
/// 50 requests of all targets.
constexpr double kTargetSmoothing = 0.05;
constexpr double kModelSmoothing = 0.02;
/// Weight of the latest request in the mean time of a request.
constexpr double kSmoothing = 0.05;
/// Requests of a confined placer at a target beyond those that its askers
/// brought. Serves a low load; the earlier placer's bound leaves room for it.
constexpr int kUnbroughtRequests = 1;

}  // namespace

DispatchPolicy PlacerDispatchPolicy() {
  DispatchPolicy policy;
  policy.candidates = kMaxTargets;
  policy.looks_wider = false;
  policy.estimates_unseen = false;
  policy.smoothing = kTargetSmoothing;
  policy.model_smoothing = kModelSmoothing;
  policy.max_requests_per_slot = kMaxRequestsPerSlot;
  return policy;
}

PlacementPool::PlacementPool(PoolKey key, PlacementPolicy policy, uint64_t seed)
    : m_key(std::move(key)),
      m_policy(policy),
      m_selector(policy.dispatch, seed),
      m_random(seed),
      m_queue(policy.max_waiting) {}

void PlacementPool::SetTargets(std::span<const DispatchTarget> targets,
                               const Catalog& catalog,
                               TimePoint now) {
  std::vector<DispatchTarget> own;
  for (const DispatchTarget& target : targets) {
    if (target.service == m_key.service && target.model == m_key.model) {
      own.push_back(target);
    }
  }
  for (const DispatchTarget& target : own) {
    m_bounds.try_emplace(target.id, kUnbroughtRequests);
  }
  m_selector.SetTargets(std::move(own), catalog, now);
  for (auto& [name, asker] : m_askers) {
    for (auto& [id, load] : asker.loads) {
      CountLoad(load);
    }
  }
  m_selector.SetRequestBounds(m_is_confined ? &m_bounds : nullptr);
}

void PlacementPool::SetConfined(bool is_confined) {
  if (is_confined && !m_is_confined) {
    for (auto& [target, bound] : m_bounds) {
      bound = m_selector.CountRequests(target) + kUnbroughtRequests;
    }
  }
  m_is_confined = is_confined;
  m_selector.SetRequestBounds(is_confined ? &m_bounds : nullptr);
}

void PlacementPool::ShiftBounds(const Loads& before, const Loads& after) {
  for (const auto& [id, load] : before) {
    --m_bounds[load.load.target];
  }
  for (const auto& [id, load] : after) {
    ++m_bounds[load.load.target];
  }
  m_selector.SetRequestBounds(&m_bounds);
}

std::optional<PlacementEstimate> PlacementPool::Estimate() const {
  if (m_request_time == Duration(0)) {
    return std::nullopt;
  }
  return PlacementEstimate{m_key, m_request_time, Overhead(), m_error};
}

void PlacementPool::AdoptEstimate(const PlacementEstimate& estimate,
                                  TimePoint now) {
  if (m_request_time == Duration(0)) {
    // Without an ending so far, the targets would seem to have stalled.
    m_last_end = std::max(m_last_end, now);
    m_request_time = estimate.request_time;
    m_error = estimate.error;
    m_selector.SeedOverhead(m_key.service, m_key.model, estimate.overhead);
  }
}

bool PlacementPool::HasTarget(std::string_view id) const {
  return m_selector.HasTarget(id);
}

void PlacementPool::SetUnsynced(const TargetLoads& loads, TimePoint now) {
  if (!m_estimate_end) {
    m_estimate_end = now + m_policy.unsynced_time;
  }
  if (now < *m_estimate_end) {
    m_selector.SetRemoteLoads(loads, 0, now);
    m_has_estimate = true;
  }
}

void PlacementPool::EndEstimate(TimePoint now) {
  if (m_has_estimate && now >= *m_estimate_end) {
    m_selector.SetRemoteLoads({}, 0, now);
    m_has_estimate = false;
  }
}

Duration PlacementPool::Overhead() const {
  return m_selector.LearnedOverhead(m_key.service, m_key.model);
}

bool PlacementPool::AreSlotsTaken(TimePoint now) const {
  const auto taken =
      m_selector.CountTakenSlots(m_key.service, m_key.model, now);
  return taken.requests >= taken.slots * m_policy.taken_share;
}

TimePoint PlacementPool::ReadTime(const PlacementLoad& load,
                                  TimePoint now) const {
  return now - load.age +
         std::max(
             Duration(0),
             m_selector.Predict(load.target, load.prompt_tokens) - Overhead());
}

Duration PlacementPool::Margin() const {
  return Scale(m_error, m_policy.spared_errors);
}

void PlacementPool::CountLoad(Load& load) {
  const PlacementLoad& request = load.load;
  if (!load.is_counted && m_selector.HasTarget(request.target)) {
    const bool is_pending = request.prompt_pending && !load.is_read;
    m_selector.OnSent(request.target, is_pending ? request.prompt_tokens : 0);
    load.is_counted = true;
  }
}

void PlacementPool::TakePromptOff(Load& load) {
  const PlacementLoad& request = load.load;
  if (load.is_counted && request.prompt_pending && !load.is_read) {
    m_selector.OnEnded(request.target, request.prompt_tokens, true,
                       DispatchResult::kAbandoned, TimePoint{});
    m_selector.OnSent(request.target, 0);
  }
  load.is_read = true;
}

void PlacementPool::TakePromptsOff(TimePoint now) {
  while (!m_prompt_reads.empty() && m_prompt_reads.begin()->first <= now) {
    const auto [asker, id] = m_prompt_reads.begin()->second;
    m_prompt_reads.erase(m_prompt_reads.begin());
    const auto found = m_askers.find(asker);
    if (found == m_askers.end()) {
      continue;
    }
    const auto load = found->second.loads.find(id);
    if (load != found->second.loads.end()) {
      TakePromptOff(load->second);
    }
  }
}

void PlacementPool::AddLoad(const std::string& name, Load load) {
  Asker& asker = m_askers[name];
  const uint64_t id = load.load.id;
  if (load.since && load.predicted > Duration(0) && load.load.prompt_pending) {
    if (load.by_profile == Duration(0)) {
      load.by_profile = Scale(load.predicted - Overhead(),
                              1 / m_selector.Slowness(load.load.target));
    }
    m_prompt_reads.emplace(*load.since + load.predicted - Overhead(),
                           std::pair(name, id));
  }
  CountLoad(load);
  m_outstanding += asker.loads.insert_or_assign(id, std::move(load)).second;
}

void PlacementPool::RemoveLoad(Asker& asker,
                               Loads::iterator load,
                               DispatchResult result,
                               TimePoint now) {
  const PlacementLoad& request = load->second.load;
  if (load->second.is_counted) {
    const bool is_pending = request.prompt_pending && !load->second.is_read;
    m_selector.OnEnded(request.target, request.prompt_tokens, is_pending,
                       result, now);
  }
  asker.loads.erase(load);
  --m_outstanding;
}

void PlacementPool::Drop(std::string_view asker, uint64_t id, TimePoint now) {
  if (const auto ticket = m_queue.Find(asker, id)) {
    m_queue.Take(*ticket, now);
  }
  const auto found = m_askers.find(asker);
  if (found == m_askers.end()) {
    return;
  }
  const auto load = found->second.loads.find(id);
  if (load != found->second.loads.end()) {
    RemoveLoad(found->second, load, DispatchResult::kAbandoned, now);
  }
}

void PlacementPool::Report(std::string_view asker,
                           const PlacementEvent& event,
                           TimePoint now) {
  std::visit(
      Overloaded{[&](const PlacementSent& sent) {
                   Drop(asker, sent.id, now);
                   // The target may be another pool's, which knows it.
                   if (m_selector.HasTarget(sent.target)) {
                     const Duration predicted =
                         m_selector.Predict(sent.target, sent.prompt_tokens);
                     AddLoad(std::string(asker),
                             {{sent.id, sent.target, sent.prompt_tokens, true},
                              predicted,
                              now});
                   }
                 },
                 [&](const PlacementFirst& first) {
                   if (const auto found = m_askers.find(asker);
                       found != m_askers.end()) {
                     OnFirst(found->second, first);
                   }
                 },
                 [&](const PlacementEnded& ended) {
                   if (const auto found = m_askers.find(asker);
                       found != m_askers.end()) {
                     OnEnded(found->second, ended, now);
                   }
                 },
                 [&](const PlacementWithdrawn& withdrawn) {
                   Drop(asker, withdrawn.id, now);
                 }},
      event);
}

void PlacementPool::OnFirst(Asker& asker, const PlacementFirst& first) {
  const auto found = asker.loads.find(first.id);
  if (found == asker.loads.end() || !found->second.load.prompt_pending) {
    return;
  }
  Load& load = found->second;
  TakePromptOff(load);
  load.load.prompt_pending = false;
  if (load.is_counted && load.by_profile > Duration(0)) {
    // Compared with what would be predicted now. The averages would oscillate
    // if they followed errors that were corrected since the grant: 140 requests
    // wait for their first event at 700 requests per second.
    const Duration predicted =
        Scale(load.by_profile, m_selector.Slowness(load.load.target)) +
        Overhead();
    m_selector.OnFirstEvent(load.load.target, 0, predicted, first.measured);
    const Duration error = std::chrono::abs(first.measured - load.predicted);
    m_error += Scale(error - m_error, kModelSmoothing);
  }
}

void PlacementPool::OnEnded(Asker& asker,
                            const PlacementEnded& ended,
                            TimePoint now) {
  const auto found = asker.loads.find(ended.id);
  if (found == asker.loads.end()) {
    return;
  }
  const Load& load = found->second;
  DispatchResult result = ended.result;
  if (result == DispatchResult::kAnswered && load.since) {
    const Duration took = now - *load.since;
    m_request_time =
        m_request_time == Duration(0)
            ? took
            : m_request_time + Scale(took - m_request_time, kSmoothing);
  } else if (result == DispatchResult::kFailed ||
             result == DispatchResult::kRefused) {
    // All requests at a target that is lost end at once. Counted one by one,
    // they would pause it for the longest time.
    TimePoint& last = m_last_failures[load.load.target];
    if (load.since && *load.since <= last) {
      result = DispatchResult::kAbandoned;
    } else {
      last = now;
    }
  }
  m_last_end = now;
  RemoveLoad(asker, found, result, now);
}

void PlacementPool::Sync(std::string_view asker,
                         uint64_t incarnation,
                         std::span<const PlacementLoad> loads,
                         TimePoint now,
                         bool has_moved) {
  for (const uint64_t ticket : m_queue.FindAll(asker)) {
    m_queue.Take(ticket, now);
  }
  Asker& own = m_askers[std::string(asker)];
  // Ids of another process mean other requests.
  const Loads replaced = own.loads;
  const Loads earlier = own.incarnation == incarnation ? own.loads : Loads();
  while (!own.loads.empty()) {
    RemoveLoad(own, own.loads.begin(), DispatchResult::kAbandoned, now);
  }
  for (const PlacementLoad& load : loads) {
    Load own_load;
    const auto found = earlier.find(load.id);
    if (found != earlier.end() && found->second.load.target == load.target) {
      own_load = found->second;
      own_load.is_counted = false;
    }
    own_load.load = load;
    if (!own_load.since && load.age > Duration(0)) {
      own_load.since = now - load.age;
      if (load.prompt_pending) {
        m_prompt_reads.emplace(ReadTime(load, now),
                               std::pair(std::string(asker), load.id));
      }
    }
    AddLoad(std::string(asker), std::move(own_load));
  }
  TakePromptsOff(now);
  own.incarnation = incarnation;
  own.is_synced = true;
  if (m_is_confined && has_moved) {
    ShiftBounds(replaced, own.loads);
  }
}

const PlacementLoad* PlacementPool::FindLoad(std::string_view asker,
                                             uint64_t id) const {
  const auto found = m_askers.find(asker);
  if (found == m_askers.end()) {
    return nullptr;
  }
  const auto load = found->second.loads.find(id);
  return load == found->second.loads.end() ? nullptr : &load->second.load;
}

void PlacementPool::Forget(std::string_view asker, TimePoint now) {
  for (const uint64_t ticket : m_queue.FindAll(asker)) {
    m_queue.Take(ticket, now);
  }
  const auto found = m_askers.find(asker);
  if (found == m_askers.end()) {
    return;
  }
  while (!found->second.loads.empty()) {
    RemoveLoad(found->second, found->second.loads.begin(),
               DispatchResult::kAbandoned, now);
  }
  m_askers.erase(found);
}

std::vector<PlacementQueued> PlacementPool::ListQueued(
    std::string_view asker) const {
  std::vector<PlacementQueued> queued;
  for (const uint64_t ticket : m_queue.FindAll(asker)) {
    queued.push_back({m_queue.Get(ticket).ask.id, m_queue.Position(ticket)});
  }
  return queued;
}

PlacementCounts PlacementPool::counts() const {
  PlacementCounts counts = m_counts;
  counts.outstanding = m_outstanding;
  counts.synced_askers = static_cast<size_t>(
      std::count_if(m_askers.begin(), m_askers.end(),
                    [](const auto& row) { return row.second.is_synced; }));
  counts.waiting = m_queue.CountByPriority();
  return counts;
}

}  // namespace filbertrack

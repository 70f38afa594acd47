#include <algorithm>
#include <cmath>

#include "filbertrack/placement_pool.h"

/// Part of PlacementPool: grants, the queue and refusals.

namespace filbertrack {

namespace {

/// Fraction of the grants that the lowest priority gets at least, so that its
/// wait can be estimated while more urgent asks take every place.
constexpr double kMinGrantShare = 0.1;
/// Asks of a priority before its served share is compared with others.
constexpr double kMinAsks = 5;
/// A waiting ask is refused early only if its expected wait exceeds what it can
/// wait by this factor, since the estimate varies with single endings.
constexpr double kHopeless = 1.5;
/// Asks passed over in one Serve() because the targets that they may use are
/// full. Bounds its cost.
constexpr int kMaxPassedOver = 4;
/// Intervals between endings without any ending, after which the targets are
/// assumed to have stalled. Endings come in groups at the end of a pass.
constexpr int kStalledIntervals = 50;
/// Factor of the retry-after time of callers that are urgent or came back.
constexpr double kShorterRetry = 0.7;

}  // namespace

PlacementAnswer PlacementPool::Ask(std::string_view asker,
                                   const PlacementAsk& ask,
                                   TimePoint now) {
  EndEstimate(now);
  TakePromptsOff(now);
  Drop(asker, ask.id, now);
  WaitingAsk waiting;
  waiting.asker = asker;
  waiting.ask = ask;
  waiting.excluded.insert(ask.excluded.begin(), ask.excluded.end());
  waiting.arrived = now;
  // Those that wait are served first, also if this ask could use a place that
  // they cannot, for instance since its SLO is longer.
  if (!m_queue.HasAsUrgent(ask.priority)) {
    PlacementAnswer answer = Place(waiting, now);
    const auto* refusal = std::get_if<PlacementRefusal>(&answer);
    if (refusal == nullptr || refusal->reason != DispatchDenial::kAllBusy) {
      m_counts.refused += refusal == nullptr ? 0 : 1;
      return answer;
    }
    waiting.predicted = refusal->predicted;
  }
  return Wait(std::move(waiting), now);
}

PlacementAnswer PlacementPool::Place(const WaitingAsk& waiting, TimePoint now) {
  const PlacementAsk& ask = waiting.ask;
  const Duration waited = now - waiting.arrived;
  DispatchQuery query;
  query.service = m_key.service;
  query.model = m_key.model;
  query.prompt_tokens = ask.prompt_tokens;
  query.time_to_slo = ask.time_to_slo - waited;
  query.time_left = ask.time_left - waited;
  if (AreSlotsTaken(now)) {
    // Its objective may be longer, so that it finds a place where an urgent
    // request would be late, and places never become free for those.
    if (IsOverServed(ask.priority)) {
      return PlacementRefusal{ask.id, DispatchDenial::kAllBusy, {}, {}};
    }
    query.time_left = std::min(query.time_left, query.time_to_slo - Margin());
  }
  query.excluded = &waiting.excluded;
  query.route_regions = ask.route_regions;
  query.workspace_regions = ask.workspace_regions;
  const auto decision = m_selector.Choose(query, now);
  if (const auto* refusal = std::get_if<DispatchRefusal>(&decision)) {
    return PlacementRefusal{ask.id, refusal->reason, refusal->retry_after,
                            refusal->predicted};
  }
  const auto& choice = std::get<DispatchChoice>(decision);
  AddLoad(waiting.asker, {{ask.id, choice.target.id, ask.prompt_tokens, true},
                          choice.predicted,
                          now});
  DecayKinds(now);
  m_kinds[ask.priority].granted += 1;
  ++m_counts.granted;
  const auto lowest = m_queue.LongestOfLowest();
  if (lowest && m_queue.Get(*lowest).ask.priority > ask.priority) {
    ++m_grants_since_lowest;
  }
  return PlacementGrant{ask.id, choice.target.id, choice.predicted,
                        choice.own_requests + choice.other_requests};
}

PlacementAnswer PlacementPool::Refuse(const WaitingAsk& waiting,
                                      DispatchDenial reason,
                                      TimePoint now) {
  const PlacementAsk& ask = waiting.ask;
  DecayKinds(now);
  m_kinds[ask.priority].refused += 1;
  ++m_counts.refused;
  return PlacementRefusal{ask.id, reason, RetryAfter(ask, now),
                          waiting.predicted};
}

PlacementAnswer PlacementPool::Wait(WaitingAsk waiting, TimePoint now) {
  const PlacementAsk& ask = waiting.ask;
  const auto freed =
      m_selector.PredictFreed(m_key.service, m_key.model, ask.prompt_tokens);
  const Duration longest = std::min(ask.time_to_slo, ask.time_left) -
                           freed.value_or(Duration(0)) - Margin() -
                           m_policy.delivery;
  if (waiting.predicted == Duration(0)) {
    waiting.predicted = freed.value_or(Duration(0));
  }
  const auto expected = ExpectedWait(
      ask.priority, m_queue.CountAhead(ask.priority, ask.workspace), now);
  const bool is_over_served =
      AreSlotsTaken(now) &&
      IsOverServed(ask.priority, m_queue.Count(ask.priority) + 1);
  if (!freed || !expected || *expected > longest || is_over_served) {
    return Refuse(waiting, DispatchDenial::kAllBusy, now);
  }
  if (m_queue.full()) {
    const auto victim = m_queue.FindVictim(ask.priority, ask.workspace);
    if (!victim) {
      return Refuse(waiting, DispatchDenial::kAllBusy, now);
    }
    const WaitingAsk dropped = m_queue.Take(*victim, now);
    m_answered.push_back(
        {dropped.asker, Refuse(dropped, DispatchDenial::kAllBusy, now)});
  }
  waiting.latest_start = now + longest;
  const uint64_t id = ask.id;
  const uint64_t ticket = m_queue.Push(std::move(waiting), now);
  ++m_counts.queued;
  return PlacementQueued{id, m_queue.Position(ticket)};
}

void PlacementPool::AnswerWaiting(uint64_t ticket,
                                  PlacementAnswer answer,
                                  TimePoint now) {
  m_answered.push_back({m_queue.Take(ticket, now).asker, std::move(answer)});
}

std::vector<PlacementPool::Answered> PlacementPool::Serve(TimePoint now) {
  EndEstimate(now);
  TakePromptsOff(now);
  ServeExpired(now);
  while (ServeOne(now)) {
  }
  ShedHopeless(now);
  return std::exchange(m_answered, {});
}

void PlacementPool::ServeExpired(TimePoint now) {
  while (const auto ticket = m_queue.FindExpired(now)) {
    const WaitingAsk waiting = m_queue.Take(*ticket, now);
    // While slots are free, a late request is still served.
    PlacementAnswer answer = Place(waiting, now);
    if (std::holds_alternative<PlacementRefusal>(answer)) {
      answer = Refuse(waiting, DispatchDenial::kAllBusy, now);
    }
    m_answered.push_back({waiting.asker, std::move(answer)});
  }
}

bool PlacementPool::ServeOne(TimePoint now) {
  if (const auto neglected = FindNeglected()) {
    PlacementAnswer answer = Place(m_queue.Get(*neglected), now);
    if (std::holds_alternative<PlacementGrant>(answer)) {
      m_grants_since_lowest = 0;
      AnswerWaiting(*neglected, std::move(answer), now);
      return true;
    }
  }
  std::vector<WaitingAsk> passed_over;
  bool is_served = false;
  while (const auto head = m_queue.Head()) {
    PlacementAnswer answer = Place(m_queue.Get(*head), now);
    const auto* refusal = std::get_if<PlacementRefusal>(&answer);
    if (refusal == nullptr || refusal->reason != DispatchDenial::kAllBusy) {
      m_counts.refused += refusal == nullptr ? 0 : 1;
      AnswerWaiting(*head, std::move(answer), now);
      is_served = true;
      break;
    }
    // An ask that may use only some targets must not block the others.
    const bool is_bound = !m_queue.Get(*head).excluded.empty();
    if (!is_bound && m_queue.size() > 1 &&
        m_selector.HasRoom(m_key.service, m_key.model, now)) {
      // It waited too long for the place that is free. To wait on would keep
      // the place from those behind it that can still be in time.
      AnswerWaiting(*head,
                    Refuse(m_queue.Get(*head), DispatchDenial::kAllBusy, now),
                    now);
      continue;
    }
    if (!is_bound || passed_over.size() >= kMaxPassedOver) {
      break;
    }
    passed_over.push_back(m_queue.Take(*head, now));
  }
  for (WaitingAsk& waiting : passed_over) {
    m_queue.Push(std::move(waiting), now);
  }
  return is_served;
}

std::optional<uint64_t> PlacementPool::FindNeglected() const {
  const auto ticket = m_queue.LongestOfLowest();
  if (!ticket ||
      m_grants_since_lowest + 1 < m_policy.lowest_priority_interval) {
    return std::nullopt;
  }
  return IsOverServed(m_queue.Get(*ticket).ask.priority) ? std::nullopt
                                                         : ticket;
}

bool PlacementPool::IsOverServed(int priority, size_t waiting) const {
  const auto own = m_kinds.find(priority);
  if (own == m_kinds.end() || own->second.Asks() < kMinAsks) {
    return false;
  }
  const auto more = static_cast<double>(waiting);
  const double share =
      (own->second.granted + more) / (own->second.Asks() + more);
  for (auto kind = m_kinds.begin(); kind != own; ++kind) {
    if (kind->second.Asks() >= kMinAsks && kind->second.ServedShare() < share) {
      return true;
    }
  }
  return false;
}

void PlacementPool::ShedHopeless(TimePoint now) {
  while (const auto ticket = m_queue.LeastUrgent()) {
    const WaitingAsk& waiting = m_queue.Get(*ticket);
    const auto ahead = static_cast<size_t>(m_queue.Position(*ticket) - 1);
    const auto expected = ExpectedWait(waiting.ask.priority, ahead, now);
    if (expected && *expected <= Scale(waiting.latest_start - now, kHopeless)) {
      return;
    }
    const WaitingAsk dropped = m_queue.Take(*ticket, now);
    m_answered.push_back(
        {dropped.asker, Refuse(dropped, DispatchDenial::kAllBusy, now)});
  }
}

std::vector<PlacementPool::Answered> PlacementPool::Release() {
  for (const uint64_t ticket : m_queue.All()) {
    const uint64_t id = m_queue.Get(ticket).ask.id;
    AnswerWaiting(ticket, ChooseLocally{id}, TimePoint{});
  }
  return std::exchange(m_answered, {});
}

std::optional<TimePoint> PlacementPool::NextDue() const {
  if (!m_answered.empty()) {
    return TimePoint{};
  }
  std::optional<TimePoint> due = m_queue.NextExpiry();
  if (m_has_estimate) {
    due = due ? std::min(*due, *m_estimate_end) : *m_estimate_end;
  }
  return due;
}

std::optional<Duration> PlacementPool::EndingInterval(TimePoint now) const {
  if (m_request_time == Duration(0) || m_outstanding == 0) {
    return std::nullopt;
  }
  const Duration usual = m_request_time / static_cast<int64_t>(m_outstanding);
  const Duration since_last = now - m_last_end;
  return since_last > usual * kStalledIntervals ? since_last : usual;
}

std::optional<Duration> PlacementPool::ExpectedWait(int priority,
                                                    size_t ahead,
                                                    TimePoint now) const {
  const auto interval = EndingInterval(now);
  if (!interval) {
    return std::nullopt;
  }
  // More urgent asks that are still to come take their share of the places.
  double urgent = 0;
  double all = 0;
  for (const auto& [other, kind] : m_kinds) {
    urgent += other < priority ? kind.granted : 0;
    all += kind.granted;
  }
  const double share = all > 0 ? std::max(kMinGrantShare, 1 - urgent / all) : 1;
  return Scale(*interval, static_cast<double>(ahead + 1) / share);
}

Duration PlacementPool::RetryAfter(const PlacementAsk& ask, TimePoint now) {
  const auto interval = EndingInterval(now);
  if (!interval) {
    return m_policy.max_retry_after;
  }
  // Callers that were refused come back and need places as well.
  double ahead =
      static_cast<double>(m_queue.CountAhead(ask.priority, ask.workspace));
  for (const auto& [priority, kind] : m_kinds) {
    ahead += priority <= ask.priority ? kind.refused : 0;
  }
  const bool is_urgent =
      m_kinds.size() > 1 && m_kinds.begin()->first == ask.priority;
  const double part = std::uniform_real_distribution<double>(0.5, 1)(m_random) *
                      (is_urgent ? kShorterRetry : 1) *
                      (ask.came_back ? kShorterRetry : 1);
  return std::clamp(Scale(*interval, ahead * part), m_policy.min_retry_after,
                    m_policy.max_retry_after);
}

void PlacementPool::DecayKinds(TimePoint now) {
  const double kept = std::exp(-ToSeconds(now - m_kinds_updated) /
                               ToSeconds(m_policy.decay_time));
  for (auto& [priority, kind] : m_kinds) {
    kind.granted *= kept;
    kind.refused *= kept;
  }
  m_kinds_updated = now;
}

}  // namespace filbertrack

#include "filbertrack/placement_client.h"

#include <algorithm>
#include <set>

#include "placement_visit.h"

namespace filbertrack {

namespace {

/// In the past at any time: due at once.
constexpr TimePoint kAtOnce{};

uint64_t IdOf(const PlacementAnswer& answer) {
  return std::visit([](const auto& item) { return item.id; }, answer);
}

void SetEarliest(std::optional<TimePoint>& due, TimePoint time) {
  due = due ? std::min(*due, time) : time;
}

}  // namespace

PlacementClient::PlacementClient(std::string name,
                                 uint64_t incarnation,
                                 Policy policy)
    : m_name(std::move(name)), m_incarnation(incarnation), m_policy(policy) {}

bool PlacementClient::TryAsk(PlacementAsk ask, TimePoint now) {
  const auto pool = m_pools.find(ask.pool);
  if (pool == m_pools.end() || pool->second.placer.empty()) {
    return false;
  }
  const std::string& placer = pool->second.placer;
  ask.prompt_tokens = ClampTokens(ask.prompt_tokens);
  const uint64_t id = ask.id;
  m_links[placer].asks.push_back(id);
  m_asks[id] = {placer, std::move(ask), now, now};
  return true;
}

void PlacementClient::Withdraw(uint64_t id, TimePoint now) {
  if (const auto load = m_loads.find(id); load != m_loads.end()) {
    AddEvent(load->second.pool, PlacementWithdrawn{id}, now);
    m_loads.erase(load);
  }
  const auto ask = m_asks.find(id);
  if (ask == m_asks.end()) {
    return;
  }
  if (ask->second.is_sent) {
    AddEvent(ask->second.ask.pool, PlacementWithdrawn{id}, now);
  } else {
    std::erase(m_links[ask->second.placer].asks, id);
  }
  m_asks.erase(ask);
}

void PlacementClient::OnEvent(const PoolKey& pool,
                              PlacementEvent event,
                              TimePoint now) {
  const bool is_known = std::visit(
      Overloaded{
          [&](PlacementSent& sent) {
            sent.prompt_tokens = ClampTokens(sent.prompt_tokens);
            Withdraw(sent.id, now);
            m_loads[sent.id] = {
                pool, {sent.id, sent.target, sent.prompt_tokens, true}, now};
            return true;
          },
          [&](const PlacementFirst& first) {
            const auto load = m_loads.find(first.id);
            if (load != m_loads.end()) {
              load->second.load.prompt_pending = false;
            }
            return load != m_loads.end();
          },
          [&](const PlacementEnded& ended) {
            return m_loads.erase(ended.id) > 0;
          },
          [&](const PlacementWithdrawn& withdrawn) {
            Withdraw(withdrawn.id, now);
            return false;
          }},
      event);
  if (is_known) {
    AddEvent(pool, std::move(event), now);
  }
}

void PlacementClient::AddEvent(const PoolKey& pool,
                               PlacementEvent event,
                               TimePoint now) {
  const std::string placer = PlacerOf(pool);
  if (!placer.empty()) {
    AddEvent(m_links[placer], std::move(event), now);
  }
}

void PlacementClient::AddEvent(Link& link,
                               PlacementEvent event,
                               TimePoint now) {
  if (link.needs_sync) {
    // The next message contains the loads after this event.
    return;
  }
  if (link.events.empty()) {
    link.events_due = now + m_policy.event_delay;
  }
  link.events.push_back(std::move(event));
}

bool PlacementClient::HasQueued(std::string_view placer) const {
  return std::any_of(m_asks.begin(), m_asks.end(), [placer](const auto& row) {
    return row.second.position > 0 && row.second.placer == placer;
  });
}

std::optional<TimePoint> PlacementClient::SendDue(std::string_view placer,
                                                  const Link& link) const {
  if (link.in_flight) {
    return std::nullopt;
  }
  if (link.is_checked) {
    return kAtOnce;
  }
  if (link.pause > Duration(0)) {
    const bool is_retried = !link.is_replaced && RanksBeforePlacer(placer);
    return is_retried ? std::optional(link.paused_until) : std::nullopt;
  }
  if (!IsUsed(placer)) {
    return std::nullopt;
  }
  if (link.needs_sync || !link.asks.empty()) {
    return kAtOnce;
  }
  std::optional<TimePoint> due;
  if (!link.events.empty()) {
    due = link.events_due;
  }
  if (HasQueued(placer)) {
    SetEarliest(due, link.check_due);
  }
  return due;
}

std::vector<std::pair<std::string, PlacementRequest>>
PlacementClient::TakeMessages(TimePoint now) {
  std::vector<std::pair<std::string, PlacementRequest>> messages;
  for (auto& [placer, link] : m_links) {
    const auto due = SendDue(placer, link);
    if (due && *due <= now) {
      messages.emplace_back(placer, MakeRequest(placer, link, now));
    }
  }
  return messages;
}

PlacementRequest PlacementClient::MakeRequest(std::string_view placer,
                                              Link& link,
                                              TimePoint now) {
  PlacementRequest request;
  request.asker = m_name;
  request.incarnation = m_incarnation;
  request.sequence = ++link.sequence;
  // A placer that is asked for nothing must keep what it knows: while this host
  // asks another one, it cannot tell which requests have ended.
  request.is_sync = link.needs_sync && IsAskedOrAlone(placer);
  if (request.is_sync) {
    for (const auto& [id, load] : m_loads) {
      const auto pool = m_pools.find(load.pool);
      if (pool != m_pools.end() && IsAskedOrAlone(placer, pool->second)) {
        request.loads.push_back(load.load);
        request.loads.back().age = now - load.since;
      }
    }
    AddMoved(placer, request);
    link.needs_sync = false;
  }
  request.events.swap(link.events);
  for (const uint64_t id : link.asks) {
    Ask& ask = m_asks.at(id);
    ask.is_sent = true;
    request.asks.push_back(ask.ask);
    const Duration waited = now - ask.arrived;
    request.asks.back().time_to_slo -= waited;
    request.asks.back().time_left -= waited;
  }
  link.asks.clear();
  link.is_checked = false;
  link.in_flight = InFlight{link.sequence, now};
  link.check_due = now + m_policy.queue_check;
  return request;
}

void PlacementClient::Release(const Ask& ask,
                              PlacementFallback cause,
                              std::vector<Decided>& decided) const {
  decided.push_back(
      {ask.ask.id, ChooseLocally{ask.ask.id}, ask.placer, ask.position, cause});
}

void PlacementClient::Pause(std::string_view placer,
                            Link& link,
                            PlacementFallback cause,
                            TimePoint now,
                            std::vector<Decided>& decided) {
  link.events.clear();
  link.in_flight.reset();
  link.needs_sync = true;
  link.pause = link.pause > Duration(0)
                   ? std::min(link.pause * 2, m_policy.longest_pause)
                   : m_policy.first_pause;
  link.paused_until = now + link.pause;
  link.cause = cause;
  link.is_checked = false;
  for (auto& [key, pool] : m_pools) {
    // The message may have been lost.
    pool.is_moved = pool.is_moved || pool.placer == placer;
  }
  UpdatePlacers(cause, now, decided);
}

bool PlacementClient::Apply(std::string_view placer,
                            const PlacementAnswer& answer,
                            bool may_move,
                            TimePoint now,
                            std::vector<Decided>& decided) {
  const uint64_t id = IdOf(answer);
  const auto found = m_asks.find(id);
  if (found == m_asks.end() || !found->second.is_sent ||
      found->second.placer != placer) {
    // Not an answer to an ask of this process that is still pending. A grant
    // that was delivered twice is in use; a refusal needs no answer.
    return m_loads.contains(id) ||
           std::holds_alternative<PlacementRefusal>(answer) ||
           std::holds_alternative<ChooseLocally>(answer);
  }
  Ask& ask = found->second;
  if (const auto* queued = std::get_if<PlacementQueued>(&answer)) {
    ask.position = std::max(1, queued->position);
    return true;
  }
  if (const auto* grant = std::get_if<PlacementGrant>(&answer)) {
    m_loads[id] = {
        ask.ask.pool, {id, grant->target, ask.ask.prompt_tokens, true}, now};
    decided.push_back({id, *grant, ask.placer, ask.position});
  } else if (const auto* refusal = std::get_if<PlacementRefusal>(&answer)) {
    decided.push_back({id, *refusal, ask.placer, ask.position});
  } else if (may_move && HasNext(ask)) {
    // Goes to the next host with all asks of this placer, see Pause().
    return true;
  } else {
    Release(ask, PlacementFallback::kDeclined, decided);
  }
  m_asks.erase(found);
  return true;
}

void PlacementClient::ReleaseForgotten(const std::string& placer,
                                       const PlacementReply& reply,
                                       std::vector<Decided>& decided) {
  std::set<uint64_t> mentioned;
  for (const PlacementAnswer& answer : reply.answers) {
    mentioned.insert(IdOf(answer));
  }
  std::erase_if(m_asks, [&](const auto& row) {
    const Ask& ask = row.second;
    if (!ask.is_sent || ask.placer != placer || mentioned.contains(row.first)) {
      return false;
    }
    Release(ask, PlacementFallback::kForgotten, decided);
    return true;
  });
}

std::vector<PlacementClient::Decided> PlacementClient::OnReply(
    const std::string& placer,
    const PlacementReply* reply,
    TimePoint now) {
  std::vector<Decided> decided;
  const auto found = m_links.find(placer);
  if (found == m_links.end() || !found->second.in_flight) {
    return decided;
  }
  Link& link = found->second;
  if (reply == nullptr) {
    Pause(placer, link, PlacementFallback::kNoReply, now, decided);
    return decided;
  }
  if (reply->sequence != link.in_flight->sequence) {
    // Late: its asks were decided and the next message is a sync.
    return decided;
  }
  link.in_flight.reset();
  for (const PlacementAnswer& answer : reply->answers) {
    if (!Apply(placer, answer, !reply->places, now, decided)) {
      AddEvent(link, PlacementWithdrawn{IdOf(answer)}, now);
    }
  }
  for (const PlacementEstimate& estimate : reply->estimates) {
    if (const auto pool = m_pools.find(estimate.pool); pool != m_pools.end()) {
      pool->second.estimate = estimate;
    }
  }
  if (!reply->places) {
    Pause(placer, link, PlacementFallback::kDeclined, now, decided);
    return decided;
  }
  ReleaseForgotten(placer, *reply, decided);
  if (link.pause > Duration(0)) {
    Resume(link);
    UpdatePlacers(PlacementFallback::kPlacerChanged, now, decided);
  }
  if (reply->wants_sync) {
    link.needs_sync = true;
    link.events.clear();
  }
  return decided;
}

std::vector<PlacementClient::Decided> PlacementClient::OnNotice(
    const PlacementNotice& notice,
    PlacementNoticeReply& reply,
    TimePoint now) {
  std::vector<Decided> decided;
  bool declines = false;
  for (const PlacementAnswer& answer : notice.answers) {
    if (!Apply(notice.placer, answer, true, now, decided)) {
      reply.declined.push_back(IdOf(answer));
    }
    declines = declines || (std::holds_alternative<ChooseLocally>(answer) &&
                            m_asks.contains(IdOf(answer)));
  }
  if (declines) {
    Pause(notice.placer, m_links[notice.placer], PlacementFallback::kDeclined,
          now, decided);
  }
  for (const std::string& host : notice.replaced) {
    if (!RanksBefore(host, notice.placer)) {
      continue;
    }
    Link& link = m_links[host];
    if (link.pause == Duration(0)) {
      Pause(host, link, PlacementFallback::kNoReply, now, decided);
    }
    // Does not hold if the sender is paused as well.
    link.is_replaced = !IsPaused(notice.placer);
  }
  return decided;
}

std::vector<PlacementClient::Decided> PlacementClient::Expire(TimePoint now) {
  std::vector<Decided> decided;
  decided.swap(m_decided);
  std::set<std::string, std::less<>> late;
  for (const auto& [placer, link] : m_links) {
    if (link.in_flight &&
        link.in_flight->sent + m_policy.answer_timeout <= now) {
      late.insert(placer);
    }
  }
  for (const auto& [id, ask] : m_asks) {
    if (ask.position == 0 && ask.asked + m_policy.answer_timeout <= now) {
      late.insert(ask.placer);
    }
  }
  for (const std::string& placer : late) {
    Pause(placer, m_links[placer], PlacementFallback::kNoReply, now, decided);
  }
  return decided;
}

std::optional<TimePoint> PlacementClient::NextDue() const {
  std::optional<TimePoint> due;
  if (!m_decided.empty()) {
    due = kAtOnce;
  }
  for (const auto& [placer, link] : m_links) {
    if (const auto send = SendDue(placer, link)) {
      SetEarliest(due, *send);
    }
    if (link.in_flight) {
      SetEarliest(due, link.in_flight->sent + m_policy.answer_timeout);
    }
  }
  for (const auto& [id, ask] : m_asks) {
    if (ask.position == 0) {
      SetEarliest(due, ask.asked + m_policy.answer_timeout);
    }
  }
  return due;
}

}  // namespace filbertrack

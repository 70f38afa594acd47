#include "filbertrack/placement_placer.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace filbertrack {

Placer::Placer(std::string name,
               uint64_t incarnation,
               PlacementPolicy policy,
               uint64_t seed)
    : m_name(std::move(name)),
      m_incarnation(incarnation),
      m_policy(policy),
      m_seed(seed) {}

void Placer::SetTargets(std::span<const DispatchTarget> targets,
                        const Catalog& catalog,
                        TimePoint now) {
  for (const Pools* pools : {&m_pools, &m_standby}) {
    for (const auto& [key, pool] : *pools) {
      pool->SetTargets(targets, catalog, now);
    }
  }
}

void Placer::SetUnsynced(const TargetLoads& by_gossip,
                         size_t hosts,
                         TimePoint now) {
  if (&by_gossip != &m_loads_by_gossip) {
    m_loads_by_gossip = by_gossip;
  }
  m_gossip_hosts = hosts;
  for (auto& [key, pool] : m_pools) {
    const size_t synced = std::min(hosts, pool->counts().synced_askers);
    const double share = static_cast<double>(hosts - synced) /
                         static_cast<double>(std::max<size_t>(1, hosts));
    TargetLoads loads;
    for (const auto& [target, load] : by_gossip) {
      loads[target] = {static_cast<int>(std::lround(load.requests * share)),
                       load.prompt_tokens * share};
    }
    pool->SetUnsynced(loads, now);
  }
}

PlacementReply Placer::OnRequest(const PlacementRequest& request,
                                 TimePoint now) {
  PlacementReply reply{m_name, m_incarnation, request.sequence,
                       true,   false,         {}};
  if (request.is_sync && !m_drains && !IsReplaced()) {
    for (const PoolKey& key : request.moved) {
      Activate(key);
    }
  }
  if (m_drains || IsReplaced() || m_pools.empty()) {
    reply.places = false;
    for (const PlacementAsk& ask : request.asks) {
      reply.answers.emplace_back(ChooseLocally{ask.id});
    }
    return reply;
  }
  auto found = m_sessions.find(request.asker);
  if (found != m_sessions.end() &&
      request.incarnation < found->second.incarnation) {
    // Late, of a process that has ended.
    return reply;
  }
  if (found != m_sessions.end() &&
      request.incarnation > found->second.incarnation) {
    Forget(request.asker, now);
    found = m_sessions.end();
  }
  const bool is_new = found == m_sessions.end();
  Session& session = is_new ? m_sessions[request.asker] : found->second;
  if (!is_new && request.sequence <= session.sequence) {
    return request.sequence == session.sequence ? session.last_reply : reply;
  }
  const bool is_next = !is_new && request.sequence == session.sequence + 1;
  session.incarnation = request.incarnation;
  session.sequence = request.sequence;
  session.wants_sync = !request.is_sync && (session.wants_sync || !is_next);
  if (request.is_sync) {
    Sync(request, session, now);
    OnMoved(request, now);
  }
  for (const PlacementEvent& event : request.events) {
    for (auto& [key, pool] : m_pools) {
      pool->Report(request.asker, event, now);
    }
  }
  // Places that the events freed belong to those that wait.
  Serve(now);
  for (const PlacementAsk& ask : request.asks) {
    const auto pool = m_pools.find(ask.pool);
    const PlacementAnswer answer =
        pool == m_pools.end() ? PlacementAnswer(ChooseLocally{ask.id})
                              : pool->second->Ask(request.asker, ask, now);
    if (!std::holds_alternative<PlacementQueued>(answer)) {
      reply.answers.push_back(answer);
    }
  }
  Serve(now);
  AddEarlierAsks(request.asker, session, reply);
  AddEstimates(session, reply, now);
  reply.wants_sync = session.wants_sync;
  session.last_reply = reply;
  return reply;
}

void Placer::Sync(const PlacementRequest& request,
                  const Session& session,
                  TimePoint now) {
  std::set<uint64_t> listed;
  for (const PlacementLoad& load : request.loads) {
    listed.insert(load.id);
  }
  std::vector<uint64_t> unconfirmed;
  for (const auto* answers : {&session.pending, &session.in_notice}) {
    for (const PlacementAnswer& answer : *answers) {
      const auto* grant = std::get_if<PlacementGrant>(&answer);
      if (grant != nullptr && !listed.contains(grant->id)) {
        unconfirmed.push_back(grant->id);
      }
    }
  }
  for (auto& [key, pool] : m_pools) {
    std::vector<PlacementLoad> loads;
    for (const uint64_t id : unconfirmed) {
      if (const PlacementLoad* load = pool->FindLoad(request.asker, id)) {
        loads.push_back(*load);
      }
    }
    std::copy_if(request.loads.begin(), request.loads.end(),
                 std::back_inserter(loads),
                 [&pool = *pool](const PlacementLoad& load) {
                   return pool.HasTarget(load.target);
                 });
    const bool has_moved = std::find(request.moved.begin(), request.moved.end(),
                                     key) != request.moved.end();
    pool->Sync(request.asker, request.incarnation, loads, now, has_moved);
  }
}

void Placer::AddEarlierAsks(std::string_view asker,
                            Session& session,
                            PlacementReply& reply) const {
  reply.answers.insert(reply.answers.end(), session.in_notice.begin(),
                       session.in_notice.end());
  reply.answers.insert(reply.answers.end(), session.pending.begin(),
                       session.pending.end());
  session.pending.clear();
  for (const auto& [key, pool] : m_pools) {
    for (const PlacementQueued& queued : pool->ListQueued(asker)) {
      reply.answers.emplace_back(queued);
    }
  }
}

void Placer::AddEstimates(Session& session,
                          PlacementReply& reply,
                          TimePoint now) {
  if (now - session.estimates_sent < kEstimateInterval) {
    return;
  }
  for (const auto& [key, pool] : m_pools) {
    if (const auto estimate = pool->Estimate()) {
      reply.estimates.push_back(*estimate);
      session.estimates_sent = now;
    }
  }
}

void Placer::Serve(TimePoint now) {
  for (auto& [key, pool] : m_pools) {
    Deliver(pool->Serve(now));
  }
}

void Placer::Deliver(std::vector<PlacementPool::Answered> answered) {
  for (PlacementPool::Answered& item : answered) {
    const auto session = m_sessions.find(item.asker);
    if (session != m_sessions.end()) {
      session->second.pending.push_back(std::move(item.answer));
    }
  }
}

std::vector<std::pair<std::string, PlacementNotice>> Placer::TakeNotices(
    TimePoint now) {
  UpdateParts(now);
  if (!m_drains) {
    Serve(now);
  }
  std::vector<std::pair<std::string, PlacementNotice>> notices;
  AddClaims(notices, now);
  for (auto& [asker, session] : m_sessions) {
    if (session.pending.empty() || !session.in_notice.empty() ||
        m_claims_in_flight.contains(asker)) {
      continue;
    }
    session.in_notice.swap(session.pending);
    notices.emplace_back(
        asker, PlacementNotice{m_name, m_incarnation, session.in_notice});
  }
  return notices;
}

void Placer::OnNoticeReply(std::string_view asker,
                           const PlacementNoticeReply* reply,
                           TimePoint now) {
  if (const auto claim = m_claims_in_flight.find(asker);
      claim != m_claims_in_flight.end()) {
    m_claims_in_flight.erase(claim);
  }
  const auto session = m_sessions.find(asker);
  if (session == m_sessions.end()) {
    return;
  }
  const auto answers = std::exchange(session->second.in_notice, {});
  if (reply != nullptr) {
    for (const uint64_t id : reply->declined) {
      Withdraw(asker, id, now);
    }
    return;
  }
  session->second.wants_sync = true;
  for (const PlacementAnswer& answer : answers) {
    if (const auto* grant = std::get_if<PlacementGrant>(&answer)) {
      Withdraw(asker, grant->id, now);
    }
  }
}

void Placer::Withdraw(std::string_view asker, uint64_t id, TimePoint now) {
  for (auto& [key, pool] : m_pools) {
    pool->Report(asker, PlacementWithdrawn{id}, now);
  }
}

void Placer::Forget(std::string_view asker, TimePoint now) {
  for (auto& [key, pool] : m_pools) {
    pool->Forget(asker, now);
  }
  for (auto& [key, part] : m_parts) {
    part.came.erase(std::string(asker));
    part.reporters.erase(std::string(asker));
  }
  const auto session = m_sessions.find(asker);
  if (session != m_sessions.end()) {
    m_sessions.erase(session);
  }
}

void Placer::Drain(TimePoint) {
  m_drains = true;
  for (auto& [key, pool] : m_pools) {
    Deliver(pool->Release());
  }
}

std::optional<TimePoint> Placer::NextDue() const {
  std::optional<TimePoint> due;
  for (const auto& [asker, session] : m_sessions) {
    if (!session.pending.empty() && session.in_notice.empty() &&
        !m_claims_in_flight.contains(asker)) {
      return TimePoint{};
    }
  }
  const auto add = [&due](TimePoint time) {
    due = due ? std::min(*due, time) : time;
  };
  for (const std::string& host : m_hosts) {
    if (const auto claim = ClaimDue(host)) {
      add(*claim);
    }
  }
  for (const auto& [key, part] : m_parts) {
    const auto pool = m_pools.find(key);
    if (pool != m_pools.end() && pool->second->is_confined() &&
        part.confined_until) {
      add(*part.confined_until);
    }
  }
  for (const auto& [key, pool] : m_pools) {
    const auto pool_due = m_drains ? std::nullopt : pool->NextDue();
    if (pool_due) {
      due = due ? std::min(*due, *pool_due) : *pool_due;
    }
  }
  return due;
}

}  // namespace filbertrack

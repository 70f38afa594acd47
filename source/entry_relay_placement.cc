#include "entry_request_log.h"
#include "filbertrack/entry_relay.h"

/// EntryRelay: placement of the request by one entry host for all.

namespace filbertrack {

bool EntryRelay::TryPlace(bool is_retry, TimePoint now) {
  RequestPlacer* placer = m_context.placer;
  if (placer == nullptr ||
      !placer->Places(m_request.service, m_request.facts.model)) {
    return false;
  }
  m_pool = {m_request.service, m_request.facts.model};
  if (!m_placement) {
    m_placement.emplace();
  }
  m_placement->by.clear();
  m_placement->position = 0;
  if (NeedsRetry(is_retry) &&
      !m_context.retries.CanSpend(m_request.service, now)) {
    // SeekLocally() refuses the request.
    return false;
  }
  const DispatchQuery query = MakeQuery(now);
  const auto unusable = m_context.selector.UnusableTargets(query, now);
  if (!unusable) {
    // SeekLocally() refuses the request and knows the reason.
    return false;
  }
  const uint64_t id = placer->NextId();
  PlacementAsk ask = MakeAsk(id, query);
  ask.excluded = *unusable;
  if (!placer->TryAsk(std::move(ask),
                      [this](const PlacementDecision& decision) {
                        OnDecision(decision);
                      })) {
    return false;
  }
  m_ask = PendingAsk{id, is_retry, now};
  return true;
}

PlacementAsk EntryRelay::MakeAsk(uint64_t id,
                                 const DispatchQuery& query) const {
  PlacementAsk ask;
  ask.id = id;
  ask.pool = m_pool;
  ask.prompt_tokens = query.prompt_tokens;
  ask.time_to_slo = query.time_to_slo;
  ask.time_left = query.time_left;
  ask.priority = m_request.priority;
  ask.workspace = m_request.workspace;
  ask.route_regions = m_request.route->regions;
  ask.workspace_regions.assign(m_request.workspace_regions.begin(),
                               m_request.workspace_regions.end());
  return ask;
}

void EntryRelay::WithdrawAsk() {
  if (m_ask && m_context.placer != nullptr) {
    m_context.placer->Withdraw(m_ask->id);
  }
  m_ask.reset();
}

/// Carries out the decision on an ask, one overload for each kind.
struct PlacementActions {
  EntryRelay& relay;
  bool is_retry;

  void operator()(const PlacementGrant& grant) const {
    relay.OnGrant(grant, is_retry);
  }
  void operator()(const PlacementRefusal& refusal) const {
    if (refusal.reason == DispatchDenial::kAllBusy) {
      const TimePoint now = MonotonicNow();
      relay.m_context.selector.RecordPlacement(relay.MakeQuery(now), false,
                                               now);
    }
    relay.RefuseWithoutTarget(
        {refusal.reason, refusal.retry_after, refusal.predicted});
  }
  void operator()(const ChooseLocally&) const {
    relay.m_placement->by.clear();
    relay.SeekAgainLocally(is_retry);
  }
};

void EntryRelay::OnDecision(const PlacementDecision& decision) {
  if (!m_ask || m_finished) {
    return;
  }
  const PendingAsk ask = *m_ask;
  m_ask.reset();
  m_placement->by = decision.by;
  m_placement->waited += MonotonicNow() - ask.asked_at;
  m_placement->position = decision.position;
  std::visit(PlacementActions{*this, ask.is_retry}, decision.decision);
}

void EntryRelay::OnGrant(const PlacementGrant& grant, bool is_retry) {
  const TimePoint now = MonotonicNow();
  if (now >= m_request.deadline) {
    m_context.placer->Withdraw(grant.id);
    Feed(DeadlinePassed{});
    return;
  }
  const DispatchQuery query = MakeQuery(now);
  const auto choice = m_context.selector.ConfirmChoice(
      grant.target, query, grant.predicted, grant.requests, now);
  if (!choice || !m_context.reach.monitor().reachable() ||
      m_context.view.IsOutdated(now)) {
    m_context.placer->Withdraw(grant.id);
    m_context.placer->OnGrantUnused();
    m_placement->by.clear();
    SeekAgainLocally(is_retry);
    return;
  }
  // The request may have been blocked since it was asked for.
  if (!CheckAdmission(now)) {
    m_context.placer->Withdraw(grant.id);
    Feed(NoTarget{ResultCode::kRequestEndsServers});
    return;
  }
  if (NeedsRetry(is_retry) &&
      !m_context.retries.TrySpend(m_request.service, now)) {
    m_context.placer->Withdraw(grant.id);
    Feed(NoTarget{ResultCode::kAttemptRefused});
    return;
  }
  m_context.selector.RecordPlacement(query, true, now);
  m_granted_id = grant.id;
  Send(*choice);
}

void EntryRelay::SeekAgainLocally(bool is_retry) {
  const TimePoint now = MonotonicNow();
  // A process that was stopped can read the decision before the deadline timer
  // runs.
  if (now >= m_request.deadline) {
    Feed(DeadlinePassed{});
    return;
  }
  if (DeferIfOutdated(is_retry, now)) {
    return;
  }
  if (!CheckAdmission(now)) {
    Feed(NoTarget{ResultCode::kRequestEndsServers});
    return;
  }
  if (ForwardOrRefuse(is_retry, now)) {
    return;
  }
  SeekLocally(is_retry, now);
}

void EntryRelay::ReportSent() {
  m_reported_id = std::exchange(m_granted_id, 0);
  RequestPlacer* placer = m_context.placer;
  if (m_reported_id != 0 || placer == nullptr ||
      !placer->Places(m_request.service, m_request.facts.model)) {
    return;
  }
  m_pool = {m_request.service, m_request.facts.model};
  m_reported_id = placer->NextId();
  placer->Report(m_pool, PlacementSent{m_reported_id, m_choice->target.id,
                                       m_request.facts.prompt_tokens});
  if (!m_placement) {
    m_placement.emplace();
  }
  // This attempt was chosen by this host, whoever chose earlier ones.
  m_placement->by.clear();
}

void EntryRelay::ReportFirst(Duration measured) {
  if (m_reported_id != 0 && m_context.placer != nullptr) {
    m_context.placer->Report(
        m_pool, PlacementFirst{m_reported_id, m_choice->target.id, measured});
  }
}

void EntryRelay::ReportEnded(DispatchResult result) {
  if (m_reported_id != 0 && m_context.placer != nullptr) {
    m_context.placer->Report(m_pool,
                             PlacementEnded{m_reported_id, m_choice->target.id,
                                            !m_attempt_first_event, result});
  }
  m_reported_id = 0;
}

}  // namespace filbertrack

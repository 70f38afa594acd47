#include <algorithm>

#include "entry_request_log.h"
#include "filbertrack/entry_relay.h"

/// EntryRelay: forwards the request to another entry host while this one
/// reaches no backend server.

namespace filbertrack {

namespace {

constexpr int kFirstRedirect = 300;
/// Retry-after time of requests that no entry host can serve: a few checks of
/// whether servers are reachable again.
constexpr Duration kUnreachableRetryAfter = Milliseconds(400);

}  // namespace

const ForwardPeer* EntryRelay::ChooseForwardPeer(TimePoint now) const {
  return m_context.forward.choice().Choose(
      {m_request.service, &m_tried_hosts, m_request.route->regions,
       m_request.workspace_regions},
      now);
}

bool EntryRelay::ForwardOrRefuse(bool is_retry, TimePoint now) {
  const ReachMonitor& monitor = m_context.reach.monitor();
  const bool some_reachable =
      monitor.reachable()
          ? !m_context.selector.AreAllUnreachable(MakeQuery(now))
          : !monitor.all_failed();
  if (monitor.reachable() && some_reachable) {
    return false;
  }
  const ForwardPeer* peer =
      m_request.forwarded ? nullptr : ChooseForwardPeer(now);
  if (peer == nullptr) {
    if (some_reachable && !m_request.forwarded) {
      return false;
    }
    m_retry_after = kUnreachableRetryAfter;
    Feed(NoTarget{ResultCode::kServersUnreachable});
    return true;
  }
  if (NeedsRetry(is_retry) &&
      !m_context.retries.TrySpend(m_request.service, now)) {
    Feed(NoTarget{ResultCode::kAttemptRefused});
    return true;
  }
  Forward(*peer, now);
  return true;
}

bool EntryRelay::ForwardIfBusy(const DispatchDecision& decision,
                               TimePoint now) {
  if (m_request.forwarded || m_context.reach.unreachable_servers().empty()) {
    return false;
  }
  const auto* choice = std::get_if<DispatchChoice>(&decision);
  const auto* refusal = std::get_if<DispatchRefusal>(&decision);
  const bool is_busy = choice != nullptr
                           ? choice->predicted > MakeQuery(now).time_to_slo
                           : refusal->reason == DispatchDenial::kAllBusy;
  const ForwardPeer* peer = is_busy ? ChooseForwardPeer(now) : nullptr;
  if (peer != nullptr) {
    Forward(*peer, now);
  }
  return peer != nullptr;
}

void EntryRelay::Forward(const ForwardPeer& peer, TimePoint now) {
  m_forwarded_to = peer.name;
  m_last_forwarded_to = peer.name;
  m_tried_hosts.insert(peer.name);
  ResetAttempt(now);
  ++m_context.forward.forwarded;
  m_context.forward.choice().OnSent(peer.name);
  // Before the attempt is opened, which counts as a server that may run it.
  HttpCallRequest call = MakeForwardedCall(peer, now);
  Feed(RequestForwarded{ForwardableAttempts(m_state, m_policy)});
  LogForwarded(m_request, peer.name);
  m_call = m_context.forward.http().Start(peer.address, std::move(call),
                                          CallEvents());
}

HttpCallRequest EntryRelay::MakeForwardedCall(const ForwardPeer& peer,
                                              TimePoint now) const {
  ForwardedCall forwarded;
  forwarded.from = m_context.forward.own_name();
  forwarded.age = now - m_request.arrived;
  forwarded.time_left = std::max(Duration(0), m_request.deadline - now);
  forwarded.attempts = ForwardableAttempts(m_state, m_policy);
  forwarded.config_version = m_request.catalog->version();
  forwarded.last_event = m_request.facts.last_event;
  if (m_state.answer_started) {
    forwarded.last_event = m_resume_from - 1;
  }
  HttpCallRequest call;
  call.method_text = m_exchange->method_text();
  call.target = std::string(m_exchange->target());
  call.body = m_exchange->body();
  for (const auto& header : m_exchange->Headers()) {
    if (!IsHopByHop(header.first) &&
        !EqualHeaderNames(header.first, kForwardedHeader)) {
      call.headers.push_back(header);
    }
  }
  call.headers.emplace_back(
      kForwardedHeader,
      EncodeForwardedCall(
          forwarded, {m_context.forward.secret(), peer.token, call.method_text,
                      call.target, m_request.facts.request_id, call.body}));
  call.connect_timeout = m_context.times.forward_connect_timeout;
  call.fresh_connection = !m_state.traits.idempotent;
  return call;
}

void EntryRelay::OnForwardHead(int status, const HttpHeaders& headers) {
  m_last_byte = MonotonicNow();
  m_attempt_status = status;
  const std::string_view refusal = FindHeader(headers, kForwardRefusalHeader);
  if (!refusal.empty()) {
    OnForwardRefusal(refusal);
    return;
  }
  const AnswerFacts facts = m_context.header_codec.ReadAnswer(status, headers);
  const bool is_other_request = !facts.request_id.empty() &&
                                facts.request_id != m_request.facts.request_id;
  const bool unsealed = status < kFirstRedirect && !facts.sealed;
  AttemptHead head;
  head.status = status;
  head.request_id_matches = !is_other_request && !unsealed;
  // The other host has used up its attempts.
  head.is_final = m_state.attempts + m_state.forwarded_attempts - 1 >=
                  m_policy.max_attempts;
  FeedHead(head, headers);
}

void EntryRelay::OnForwardRefusal(std::string_view text) {
  const TimePoint now = MonotonicNow();
  const Result<ForwardRefusal> refusal = DecodeForwardRefusal(text);
  if (!refusal) {
    Feed(AttemptFailed{true});
    return;
  }
  const bool elsewhere = MayBeAcceptedElsewhere(refusal->code);
  if (elsewhere) {
    m_context.forward.choice().OnRefused(m_forwarded_to, m_request.service,
                                         now);
  }
  m_end_reason = ResultCodeInfo(refusal->code).name;
  m_retry_after = refusal->retry_after.value_or(Duration(0));
  m_may_have_arrived = m_may_have_arrived || refusal->attempts > 0;
  Feed(ForwardRefused{refusal->code, refusal->outcome, refusal->attempts,
                      elsewhere});
}

void EntryRelay::EndForward(bool failed) {
  if (m_forwarded_to.empty()) {
    return;
  }
  if (failed) {
    const TimePoint now = MonotonicNow();
    LogAttemptEnded({m_request, m_forwarded_to, m_end_reason, m_attempt_status,
                     now - m_sent_at, now - m_last_byte, std::nullopt,
                     m_digest});
  }
  m_context.forward.choice().OnEnded(m_forwarded_to);
  m_forwarded_to.clear();
}

void EntryRelay::OnServerUnreachable(const Address& server) {
  if (m_finished || !m_choice || !(m_choice->target.address == server)) {
    return;
  }
  m_end_reason = "server unreachable";
  if (!m_is_sent) {
    Feed(AttemptFailed{false});
    return;
  }
  // With bytes of the answer here, the open connection works.
  if (m_state.traits.idempotent && m_attempt_status == 0 &&
      HasAttemptsLeft(m_state, m_policy) &&
      m_context.retries.CanSpend(m_request.service, MonotonicNow())) {
    Feed(filbertrack::TargetLost{});
  }
}

void EntryRelay::OnServersUnreachable() {
  if (m_finished || !m_choice) {
    return;
  }
  m_end_reason = "servers unreachable";
  if (!m_is_sent) {
    Feed(AttemptFailed{false});
    return;
  }
  const TimePoint now = MonotonicNow();
  const bool may_repeat = m_state.traits.idempotent &&
                          (!m_state.answer_started ||
                           m_request.route->repeat == RepeatRule::kResumable) &&
                          HasAttemptsLeft(m_state, m_policy);
  const bool has_way =
      m_request.forwarded
          ? !m_state.answer_started
          : ChooseForwardPeer(now) != nullptr &&
                m_context.retries.CanSpend(m_request.service, now);
  // Otherwise the attempt is left to run, as the connection may work again
  // before the caller gives up.
  if (may_repeat && has_way &&
      !m_context.reach.monitor().open_connections_work()) {
    Feed(filbertrack::TargetLost{});
  }
}

}  // namespace filbertrack

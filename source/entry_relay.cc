#include "filbertrack/entry_relay.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "entry_request_log.h"
#include "filbertrack/dispatch_connections.h"

namespace filbertrack {

namespace {

/// Unsent bytes of a stream at which reading from the server is paused.
constexpr size_t kMaxUnsentBytes = 256 * 1024;
/// Sends allowed on top of the attempts, for servers that refuse to run the
/// request. Such refusals are cheap, but after a few the fleet is full.
constexpr int kSendsBeyondAttempts = 2;
constexpr int kNotRunStatus = 503;
constexpr int kBadGateway = 502;
constexpr int kGatewayTimeout = 504;

ResultCode CodeOf(DispatchDenial denial) {
  switch (denial) {
    case DispatchDenial::kNoneServing:
      return ResultCode::kNoServingGroup;
    case DispatchDenial::kAllBusy:
      return ResultCode::kOverloaded;
    case DispatchDenial::kAllHeldBack:
      return ResultCode::kServersBackingOff;
    case DispatchDenial::kAllEvacuated:
      return ResultCode::kEvacuated;
    case DispatchDenial::kNoneInRegions:
      return ResultCode::kNoServerInRegions;
  }
  return ResultCode::kOverloaded;
}

}  // namespace

int RefusalStatus(ResultCode code, Outcome outcome) {
  if (code == ResultCode::kUnauthorized || code == ResultCode::kNotFound) {
    return ResultCodeInfo(code).http_status;
  }
  if (outcome == Outcome::kNotRun) {
    return kNotRunStatus;
  }
  return code == ResultCode::kDeadlinePassed ? kGatewayTimeout : kBadGateway;
}

void RefuseCall(HttpExchange& exchange,
                const CallHeaderCodec& header_codec,
                std::string_view request_id,
                ResultCode code,
                Outcome outcome,
                std::optional<Duration> retry_after,
                const ForwardRefusal* forward_refusal) {
  const ResultCodeRow& row = ResultCodeInfo(code);
  const nlohmann::json body = {{"code", static_cast<int>(code)},
                               {"name", row.name},
                               {"message", row.meaning},
                               {"outcome", OutcomeName(outcome)}};
  HttpHeaders headers = header_codec.RefusalHeaders(request_id, retry_after);
  headers.emplace_back("Content-Type", "application/json");
  if (forward_refusal != nullptr) {
    headers.emplace_back(kForwardRefusalHeader,
                         EncodeForwardRefusal(*forward_refusal));
  }
  exchange.Reply(RefusalStatus(code, outcome), headers, body.dump());
}

/// Carries out the actions of the state machine, one overload each.
struct EntryActions {
  EntryRelay& relay;

  void operator()(const SeekTarget& action) const {
    relay.Seek(action.is_retry, action.resume_from);
  }
  void operator()(const CloseAttempt& action) const {
    relay.CloseAttempt(action.failed);
  }
  void operator()(const ForwardToken&) const {}
  void operator()(const ForwardPiece& action) const {
    relay.ForwardBytes(action.raw);
  }
  void operator()(const FinishStream&) const { relay.FinishStream(); }
  void operator()(const ForwardAnswer&) const { relay.ForwardAnswer(); }
  void operator()(const filbertrack::Refuse& action) const {
    relay.Refuse(action.code, action.outcome);
  }
  void operator()(const AbortStream& action) const {
    // The missing last chunk shows the caller that the answer is incomplete; it
    // can resume after the events that it has received.
    relay.m_exchange->Abort();
    relay.Finish({action.code, Outcome::kUnknown, relay.m_answer_status});
  }
};

EntryRelay::EntryRelay(RelayContext& context,
                       EntryRequest request,
                       std::shared_ptr<HttpExchange> exchange,
                       OnEnd on_end)
    : m_context(context),
      m_request(std::move(request)),
      m_exchange(std::move(exchange)),
      m_on_end(std::move(on_end)) {
  const Route& route = *m_request.route;
  RequestTraits& traits = m_state.traits;
  traits.idempotent = MayRepeat(route.repeat);
  traits.shape =
      IsStream(route.repeat) ? AnswerShape::kTokenStream : AnswerShape::kWhole;
  traits.pass_any_status = !traits.idempotent;
  traits.relays_last_error = true;
  traits.ends_with_framing = true;
  traits.deadline = m_request.deadline;
  m_policy.max_attempts =
      std::max(1, m_request.forwarded ? m_request.forwarded->attempts
                                      : route.max_attempts);
  m_policy.max_sends = m_policy.max_attempts + kSendsBeyondAttempts;
  if (m_request.facts.last_event) {
    m_state.next_token = *m_request.facts.last_event + 1;
  }
}

EntryRelay::~EntryRelay() {
  *m_alive = false;
  WithdrawAsk();
  DiscardAnswerBody();
}

void EntryRelay::Start() {
  const TimePoint now = MonotonicNow();
  m_exchange->OnCallerDisconnected([this] { Feed(CallerDisconnected{}); });
  m_deadline_timer =
      m_context.loop.After(std::max(Duration(0), m_request.deadline - now),
                           [this] { Feed(DeadlinePassed{}); });
  const std::shared_ptr<bool> alive = m_alive;
  for (const RequestAction& action : StartRequest(m_state, now)) {
    if (*alive) {
      std::visit(EntryActions{*this}, action);
    }
  }
}

void EntryRelay::Feed(const RequestEvent& event) {
  const std::shared_ptr<bool> alive = m_alive;
  const auto actions = StepRequest(m_state, event, m_policy, MonotonicNow());
  for (const RequestAction& action : actions) {
    if (*alive && !m_finished) {
      std::visit(EntryActions{*this}, action);
    }
  }
  if (*alive && m_state.ended && !m_finished) {
    // The caller disconnected, so there is nobody to answer.
    Finish({ResultCode::kCallerDisconnected, m_state.known, 0});
  }
}

void EntryRelay::Seek(bool is_retry, uint64_t resume_from) {
  const TimePoint now = MonotonicNow();
  // Used at once or not at all: by a later attempt the target may have left.
  const auto failover_choice = std::exchange(m_failover_choice, std::nullopt);
  m_resume_from = resume_from;
  if (DeferIfOutdated(is_retry, now)) {
    return;
  }
  const bool resumes = m_state.answer_started;
  if (resumes && m_request.route->repeat != RepeatRule::kResumable) {
    Feed(NoTarget{ResultCode::kStreamInterrupted});
    return;
  }
  // Checked before the retry budget, so that a blocked request does not use up
  // the retries of others.
  if (!CheckAdmission(now)) {
    Feed(NoTarget{ResultCode::kRequestEndsServers});
    return;
  }
  if (ForwardOrRefuse(is_retry, now)) {
    return;
  }
  if (!resumes && TryPlace(is_retry, now)) {
    return;
  }
  SeekLocally(is_retry, now, failover_choice);
}

bool EntryRelay::DeferIfOutdated(bool is_retry, TimePoint now) {
  return m_context.view.DeferIfOutdated(now, [this, alive = m_alive, is_retry] {
    if (*alive && !m_finished) {
      Seek(is_retry, m_resume_from);
    }
  });
}

void EntryRelay::SeekLocally(
    bool is_retry,
    TimePoint now,
    const std::optional<DispatchChoice>& failover_choice) {
  if (NeedsRetry(is_retry) &&
      !m_context.retries.TrySpend(m_request.service, now)) {
    Feed(NoTarget{ResultCode::kAttemptRefused});
    return;
  }
  const DispatchDecision decision =
      failover_choice ? DispatchDecision(*failover_choice) : ChooseTarget(now);
  if (ForwardIfBusy(decision, now)) {
    return;
  }
  if (const auto* choice = std::get_if<DispatchChoice>(&decision)) {
    Send(*choice);
    return;
  }
  RefuseWithoutTarget(std::get<DispatchRefusal>(decision));
}

void EntryRelay::RefuseWithoutTarget(const DispatchRefusal& refusal) {
  m_retry_after = refusal.retry_after;
  if (refusal.reason == DispatchDenial::kAllBusy) {
    m_refused_prediction = refusal.predicted;
  }
  Feed(NoTarget{CodeOf(refusal.reason)});
}

DispatchQuery EntryRelay::MakeQuery(TimePoint now) const {
  DispatchQuery query;
  query.service = m_request.service;
  query.model = m_request.facts.model;
  query.prompt_tokens = m_request.facts.prompt_tokens;
  // An interrupted stream can no longer meet its latency target, so any target
  // that can resume it before the caller gives up is accepted.
  query.time_left = m_request.deadline - now;
  query.time_to_slo =
      m_state.answer_started
          ? query.time_left
          : m_request.arrived + m_request.route->target_latency - now;
  query.excluded = &m_tried_targets;
  query.local_data_centre = m_context.local_data_centre;
  if (!m_context.reach.unreachable_servers().empty()) {
    query.unreachable = &m_context.reach.unreachable_servers();
  }
  query.backpressure = m_context.backpressure.Active();
  query.route_regions = m_request.route->regions;
  query.workspace_regions = m_request.workspace_regions;
  return query;
}

DispatchDecision EntryRelay::ChooseTarget(TimePoint now) {
  return m_context.selector.Choose(MakeQuery(now), now);
}

bool EntryRelay::CanFailOver(TimePoint now) {
  if (!HasAttemptsLeft(m_state, m_policy) || m_state.position_lost ||
      !m_context.retries.CanSpend(m_request.service, now)) {
    return false;
  }
  const DispatchDecision decision = ChooseTarget(now);
  const auto* choice = std::get_if<DispatchChoice>(&decision);
  m_failover_choice = choice == nullptr ? std::nullopt : std::optional(*choice);
  return choice != nullptr;
}

void EntryRelay::Send(const DispatchChoice& choice) {
  const TimePoint now = MonotonicNow();
  m_choice = choice;
  m_last_target = choice.target.id;
  m_tried_targets.insert(choice.target.id);
  if (m_trial) {
    m_context.poison.BeginTrial(*m_trial, now);
  }
  ResetAttempt(now);
  m_context.selector.OnSent(choice.target.id, m_request.facts.prompt_tokens);
  m_context.backpressure.OnSent(choice.target, now);
  ReportSent();
  Feed(TargetChosen{});
  PlacedLogLine line{m_request,
                     choice,
                     m_state.sends,
                     std::nullopt,
                     m_context.servers_revision,
                     now - m_context.servers_at,
                     m_context.backpressure.LimitOf(choice.target),
                     m_placement};
  if (m_state.answer_started) {
    line.resumes_at = m_resume_from;
  }
  LogPlaced(line);
  HttpCallEvents events = CallEvents();
  // The target may leave while the connection is being established.
  events.may_send = [this] {
    return !m_context.view.IsOutdated(MonotonicNow()) &&
           m_context.selector.HasTarget(m_choice->target.id);
  };
  m_call = m_context.http.Start(choice.target.address, MakeCall(choice, now),
                                std::move(events));
}

HttpCallEvents EntryRelay::CallEvents() {
  HttpCallEvents events;
  events.on_head = [this](int status, const HttpHeaders& headers) {
    OnHead(status, headers);
  };
  events.on_bytes = [this](std::string_view bytes) { OnBytes(bytes); };
  events.on_end = [this](int) { OnComplete(); };
  events.on_failure = [this](bool may_have_left) { OnFailure(may_have_left); };
  events.on_sent = [this] { m_is_sent = true; };
  return events;
}

void EntryRelay::ResetAttempt(TimePoint now) {
  m_sent_at = now;
  m_last_byte = now;
  m_is_sent = false;
  m_attempt_first_event = false;
  m_survival_reported = 0;
  m_ends_with_connection = false;
  m_attempt_status = 0;
  m_not_run = false;
  m_backoff.reset();
  m_end_reason = "broke off";
  m_splitter = StreamSplitter(!m_stream_started);
  DiscardAnswerBody();
}

void EntryRelay::DiscardAnswerBody() {
  m_context.collected.Remove(m_answer_body.size());
  m_answer_body = {};
  m_context.collected.Remove(std::exchange(m_counted_stream_bytes, 0));
}

HttpCallRequest EntryRelay::MakeCall(const DispatchChoice& choice,
                                     TimePoint now) const {
  ForwardFacts facts;
  facts.time_left = m_request.deadline - now;
  facts.server = choice.target.id;
  facts.workspace = m_request.workspace;
  facts.priority = m_request.priority;
  if (m_state.answer_started) {
    facts.last_event = m_resume_from - 1;
  } else {
    facts.last_event = m_request.facts.last_event;
  }
  HttpCallRequest call;
  call.method_text = m_exchange->method_text();
  call.target = std::string(m_exchange->target());
  call.headers = m_context.header_codec.ForwardHeaders(*m_exchange, facts);
  call.body = m_exchange->body();
  call.connect_timeout = m_context.times.connect_timeout;
  // The server may be closing an idle connection at this moment; it would then
  // be unknown whether the request ran, and it could not be repeated.
  call.fresh_connection = !m_state.traits.idempotent;
  call.max_kept =
      KeptConnections(choice.target.max_connections, m_context.entry_hosts);
  return call;
}

void EntryRelay::CloseAttempt(bool failed) {
  m_call.reset();
  m_retry_timer.reset();
  m_paused = false;
  EndForward(failed);
  if (!m_choice) {
    return;
  }
  m_may_have_arrived = m_may_have_arrived || m_is_sent;
  if (failed) {
    const TimePoint now = MonotonicNow();
    LogAttemptEnded({m_request, m_choice->target.id, m_end_reason,
                     m_attempt_status, now - m_sent_at, now - m_last_byte,
                     m_backoff, m_digest});
  }
  // While no server is reachable, a failure is not one of the target.
  const bool is_target_failure =
      failed && m_context.reach.monitor().reachable();
  const bool is_abandoned = failed || (m_state.ended && !m_attempt_first_event);
  DispatchResult result = DispatchResult::kAnswered;
  if (m_not_run) {
    result = DispatchResult::kRefused;
  } else if (is_target_failure) {
    result = DispatchResult::kFailed;
  } else if (is_abandoned) {
    result = DispatchResult::kAbandoned;
  }
  m_context.selector.OnEnded(m_choice->target.id, m_request.facts.prompt_tokens,
                             !m_attempt_first_event, result, MonotonicNow());
  ReportEnded(result);
  m_choice.reset();
}

void EntryRelay::RecordFirstEvent(TimePoint now) {
  if (!m_attempt_first_event && m_choice) {
    m_attempt_first_event = true;
    m_attempt_first_event_at = now;
    m_context.selector.OnFirstEvent(m_choice->target.id,
                                    m_request.facts.prompt_tokens,
                                    m_choice->predicted, now - m_sent_at);
    ReportFirst(now - m_sent_at);
  }
  if (!m_first_event) {
    m_first_event = now;
  }
}

void EntryRelay::ForwardBytes(std::string_view bytes) {
  const TimePoint now = MonotonicNow();
  if (m_first_event) {
    m_longest_pause =
        std::max(m_longest_pause.value_or(Duration(0)), now - m_last_event);
  }
  m_last_event = now;
  RecordFirstEvent(now);
  if (!m_stream_started) {
    m_stream_started = true;
    m_exchange->StartStream(m_answer_status, m_answer_headers);
  }
  m_exchange->Send(bytes);
  if (m_exchange->UnsentBytes() > kMaxUnsentBytes) {
    UpdateReadPause(false);
  }
}

void EntryRelay::UpdateReadPause(bool pauses) {
  if (m_call == nullptr) {
    return;
  }
  const size_t max_unsent = pauses ? 0 : kMaxUnsentBytes;
  const bool paused = m_exchange->UnsentBytes() > max_unsent;
  if (paused == m_paused) {
    return;
  }
  m_paused = paused;
  m_last_byte = MonotonicNow();
  m_call->SetReading(!paused);
}

void EntryRelay::FinishStream() {
  ReportServed();
  if (!m_stream_started) {
    m_exchange->StartStream(m_answer_status, m_answer_headers);
  }
  m_exchange->Send(m_splitter.Rest());
  m_exchange->End();
  Finish({ResultCode::kOk, Outcome::kRan, m_answer_status});
}

void EntryRelay::ForwardAnswer() {
  ReportServed();
  RecordFirstEvent(MonotonicNow());
  m_exchange->Reply(m_answer_status, m_answer_headers, m_answer_body);
  Finish({ResultCode::kOk, Outcome::kRan, m_answer_status});
}

void EntryRelay::Refuse(ResultCode code, Outcome outcome) {
  std::optional<Duration> retry_after;
  // Retrying helps in neither case.
  const bool is_final = code == ResultCode::kDeadlinePassed ||
                        code == ResultCode::kRequestEndsServers;
  if (outcome == Outcome::kNotRun && !is_final) {
    retry_after = m_retry_after;
  }
  m_sent_retry_after = retry_after;
  const ForwardRefusal forward_refusal{code, outcome, m_state.attempts,
                                       retry_after};
  RefuseCall(*m_exchange, m_context.header_codec, m_request.facts.request_id,
             code, outcome, retry_after,
             m_request.forwarded ? &forward_refusal : nullptr);
  Finish({code, outcome, RefusalStatus(code, outcome)});
}

void EntryRelay::TargetLost(std::string_view target) {
  if (!m_choice || m_choice->target.id != target) {
    return;
  }
  const bool can_continue =
      !m_state.answer_started || CanFailOver(MonotonicNow());
  if (m_state.traits.idempotent && can_continue) {
    m_end_reason = "its group lost a member";
    Feed(filbertrack::TargetLost{});
  }
}

void EntryRelay::OnHostStops() {
  m_end_reason = "this entry host stops";
  Feed(HostStops{});
}

void EntryRelay::CheckSilence(TimePoint now) {
  const RelayTimes& times = m_context.times;
  if (!m_choice || !m_state.traits.idempotent || !times.moves_silent ||
      m_paused) {
    return;
  }
  const Duration max_silence =
      Scale(m_request.route->longest_pause, times.silence_factor);
  // Before its first event a request may be waiting in a queue, so silence
  // counts only if the target is no longer serving.
  const bool silent =
      m_attempt_first_event
          ? m_request.route->repeat == RepeatRule::kResumable &&
                now - m_last_byte > std::max(max_silence, times.min_silence)
          : !m_context.selector.HasTarget(m_choice->target.id) &&
                now - m_last_byte > times.min_silence;
  if (silent && (!m_state.answer_started || CanFailOver(now))) {
    m_end_reason = "silent";
    Feed(filbertrack::TargetLost{});
  }
}

void EntryRelay::Finish(const EntryResult& end) {
  m_finished = true;
  m_deadline_timer.reset();
  WithdrawAsk();
  // The selector counts the request at its target until the attempt is closed.
  CloseAttempt(false);
  m_exchange->OnCallerDisconnected(nullptr);
  m_on_end(*this, end);
}

}  // namespace filbertrack

#include "filbertrack/gateway_relay.h"

#include <algorithm>
#include <array>

#include <strings.h>

namespace filbertrack {

namespace {

/// A caller that does not read its stream is disconnected once this many bytes
/// are unsent, so that it cannot occupy more memory.
constexpr size_t kMaxUnsentBytes = 1024 * 1024;
constexpr size_t kMaxAnswerBytes = 8 * 1024 * 1024;

/// Headers that apply to a single connection or that the relay sets itself.
constexpr auto kStrippedHeaders = std::to_array<std::string_view>(
    {"connection", "keep-alive", "transfer-encoding", "content-length", "host",
     "authorization", "te", "trailer", "upgrade", "proxy-connection",
     "filbert-request-id", "filbert-outcome", "filbert-code", "filbert-group",
     "filbert-epoch", "filbert-load", "filbert-prefix", "expect"});

bool EqualsIgnoringCase(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         strncasecmp(left.data(), right.data(), left.size()) == 0;
}

HttpHeaders ForwardableHeaders(const HttpHeaders& headers) {
  HttpHeaders forwardable;
  for (const auto& [name, value] : headers) {
    const bool stripped =
        std::any_of(kStrippedHeaders.begin(), kStrippedHeaders.end(),
                    [&name = name](std::string_view entry) {
                      return EqualsIgnoringCase(name, entry);
                    });
    if (!stripped) {
      forwardable.emplace_back(name, value);
    }
  }
  return forwardable;
}

}  // namespace

/// Carries out the actions of the request state machine, one overload for each.
struct RelayActions {
  Relay& relay;

  void operator()(const SeekTarget& action) const {
    relay.m_resume_from = action.resume_from;
    relay.m_host.Seek(relay.m_id, action.is_retry);
  }
  void operator()(const filbertrack::CloseAttempt& action) const {
    relay.CloseAttempt(action.failed);
  }
  void operator()(const ForwardToken& action) const {
    relay.ForwardToken(action.event);
  }
  void operator()(const ForwardPiece&) const {}
  void operator()(const FinishStream&) const {
    relay.m_exchange->Send("data: [DONE]\n\n");
    relay.m_exchange->End();
    relay.Finish({ResultCode::kOk, Outcome::kRan, 200, "", ""});
  }
  void operator()(const filbertrack::ForwardAnswer&) const {
    relay.ForwardAnswer();
  }
  void operator()(const filbertrack::Refuse& action) const {
    relay.Refuse(action.code, action.outcome);
  }
  void operator()(const AbortStream& action) const {
    // Omits the final chunk, so that a client that does not parse events can
    // also tell this response from a complete one.
    relay.m_exchange->Send(
        "event: error\ndata: " +
        RefusalBody(action.code, Outcome::kUnknown, relay.m_request_id) +
        "\n\n");
    relay.m_exchange->Abort();
    relay.Finish({action.code, Outcome::kUnknown, 200, "", ""});
  }
};

Relay::Relay(EventLoop& loop,
             HttpClient& http,
             RelayHost& host,
             RequestPolicy policy,
             uint64_t id,
             std::string request_id,
             CallerRequest request,
             std::shared_ptr<HttpExchange> exchange,
             TimePoint now)
    : m_loop(loop),
      m_http(http),
      m_host(host),
      m_policy(policy),
      m_id(id),
      m_request_id(std::move(request_id)),
      m_request(std::move(request)),
      m_exchange(std::move(exchange)) {
  m_state.traits.idempotent = m_request.idempotent;
  m_state.traits.shape =
      m_request.streaming ? AnswerShape::kTokenStream : AnswerShape::kWhole;
  m_state.traits.pass_any_status =
      m_request.service_type == ServiceType::kPlain;
  m_state.traits.deadline = m_request.deadline;
  m_deadline = m_loop.After(m_request.deadline - now,
                            [this] { Feed(DeadlinePassed{}); });
  m_exchange->OnCallerDisconnected([this] { Feed(CallerDisconnected{}); });
}

void Relay::Start() {
  Run(StartRequest(m_state, MonotonicNow()));
}

void Relay::TargetFound(const AttemptTarget& target) {
  m_target = target;
  m_attempt_began = MonotonicNow();
  m_first_token_seen = false;
  m_forwarded = ForwardSpan();
  m_splitter = SseParser();
  m_answer_status = 0;
  m_answer_headers.clear();
  m_answer_body.clear();
  m_held.clear();
  m_host.AttemptStarted(m_id, target);
  Feed(TargetChosen{});
  HttpCallEvents events;
  events.on_head = [this](int status, const HttpHeaders& headers) {
    OnHead(status, headers);
  };
  events.on_bytes = [this](std::string_view bytes) { OnBytes(bytes); };
  events.on_end = [this](int) { QueueEvent(AttemptComplete{}); };
  events.on_failure = [this](bool bytes_may_have_left) {
    Feed(AttemptFailed{bytes_may_have_left});
  };
  m_call =
      m_http.Start(target.address, MakeCall(m_resume_from), std::move(events));
}

void Relay::TargetDenied(ResultCode code, Duration retry_after) {
  m_retry_after = retry_after;
  Feed(NoTarget{code});
}

void Relay::OnEvidence() {
  if (!m_target) {
    return;
  }
  const TimePoint now = MonotonicNow();
  if (m_host.Check(*m_target, now, now) == TargetCheck::kLost) {
    Feed(TargetLost{});
    return;
  }
  FlushHeld();
}

HttpCallRequest Relay::MakeCall(uint64_t resume_from) const {
  HttpCallRequest call;
  const bool plain = m_request.service_type == ServiceType::kPlain;
  if (plain) {
    call.method = m_exchange->method();
    call.target = m_request.service_target;
    call.headers = ForwardableHeaders(m_exchange->Headers());
    call.body = m_exchange->body();
  } else {
    call.method = HttpMethod::kPost;
    call.target = std::string(kChatPath);
    call.headers = {{"Content-Type", "application/json"},
                    {"Filbert-Group", m_target->id},
                    {"Filbert-Epoch", std::to_string(m_target->epoch)},
                    {"Filbert-Prefix", m_request.prefix}};
    call.body = BodyForAttempt(m_request, resume_from);
  }
  call.headers.emplace_back("Filbert-Request-Id", m_request_id);
  call.headers.emplace_back("Filbert-Workspace", m_request.workspace);
  call.fresh_connection = !m_request.idempotent;
  return call;
}

void Relay::Feed(const RequestEvent& event) {
  Run(StepRequest(m_state, event, m_policy, MonotonicNow()));
}

void Relay::Run(const std::vector<RequestAction>& actions) {
  for (const RequestAction& action : actions) {
    std::visit(RelayActions{*this}, action);
    if (m_finished) {
      return;
    }
  }
  if (m_state.ended && !m_finished) {
    // The caller has disconnected, so no response is sent.
    Finish({ResultCode::kCallerDisconnected,
            m_state.attempts == 0 ? Outcome::kNotRun : Outcome::kUnknown, 0, "",
            ""});
  }
}

void Relay::QueueEvent(RequestEvent event) {
  m_held.push_back({MonotonicNow(), std::move(event)});
  FlushHeld();
}

void Relay::FlushHeld() {
  // A group with a missing member must not answer. Events are forwarded in the
  // order of their arrival, and only if the evidence about the group is recent
  // enough. If there is no such evidence in time, the attempt ends as lost.
  while (!m_held.empty() && m_target && !m_finished) {
    const TimePoint now = MonotonicNow();
    const TargetCheck check =
        m_host.Check(*m_target, m_held.front().arrived, now);
    if (check == TargetCheck::kHold) {
      return;
    }
    if (check == TargetCheck::kLost) {
      Feed(TargetLost{});
      return;
    }
    const RequestEvent event = std::move(m_held.front().event);
    m_held.pop_front();
    Feed(event);
  }
}

void Relay::OnHead(int status, const HttpHeaders& headers) {
  m_answer_status = status;
  m_answer_headers = headers;
  const std::string_view load = FindHeader(headers, "Filbert-Load");
  if (!load.empty() && m_target) {
    m_host.LoadSeen(*m_target, load);
  }
  const std::string_view id = FindHeader(headers, "Filbert-Request-Id");
  AttemptHead head;
  head.status = status;
  head.says_not_run = FindHeader(headers, "Filbert-Outcome") == "not-run";
  // Engines return the id of the request that they answer. A plain service may
  // omit it, but an id that it returns must match.
  const bool requires_id =
      !m_state.traits.pass_any_status && !head.says_not_run && status < 300;
  head.request_id_matches = id == m_request_id || (id.empty() && !requires_id);
  Feed(head);
}

void Relay::OnBytes(std::string_view bytes) {
  const bool is_token_stream =
      m_state.traits.shape == AnswerShape::kTokenStream &&
      m_answer_status < 300;
  if (!is_token_stream) {
    m_answer_body += bytes;
    if (m_answer_body.size() > kMaxAnswerBytes) {
      Feed(AttemptFailed{true});
    }
    return;
  }
  for (SseEvent& event : m_splitter.Push(bytes)) {
    if (!m_first_token_seen) {
      m_first_token_seen = true;
      m_host.FirstToken(*m_target, MonotonicNow() - m_attempt_began);
    }
    QueueEvent(AttemptToken{std::move(event)});
    if (m_finished || !m_target) {
      return;
    }
  }
  if (!m_splitter.valid()) {
    Feed(AttemptFailed{true});
  }
}

void Relay::CloseAttempt(bool failed) {
  m_call.reset();
  m_held.clear();
  if (m_target) {
    const AttemptTarget target = *m_target;
    m_target.reset();
    if (failed) {
      m_failed_targets.insert(target.id);
    }
    m_host.AttemptEnded(m_id, target, failed, MonotonicNow() - m_attempt_began,
                        m_forwarded);
  }
}

void Relay::RecordForwarded() {
  m_forwarded.last = MonotonicNow();
  if (!m_forwarded.first) {
    m_forwarded.first = m_forwarded.last;
  }
}

void Relay::ForwardToken(const SseEvent& event) {
  if (!m_stream_started) {
    m_stream_started = true;
    m_exchange->StartStream(200, {{"Content-Type", "text/event-stream"},
                                  {"Cache-Control", "no-store"},
                                  {"Filbert-Request-Id", m_request_id}});
  }
  RecordForwarded();
  m_exchange->Send(FormatSseEvent(event));
  if (m_exchange->UnsentBytes() > kMaxUnsentBytes) {
    const std::shared_ptr<HttpExchange> exchange = m_exchange;
    m_loop.Post([exchange] { exchange->Abort(); });
    Feed(CallerDisconnected{});
  }
}

void Relay::ForwardAnswer() {
  RecordForwarded();
  HttpHeaders headers = ForwardableHeaders(m_answer_headers);
  headers.emplace_back("Filbert-Request-Id", m_request_id);
  headers.emplace_back("Filbert-Outcome", OutcomeName(Outcome::kRan));
  m_exchange->Reply(m_answer_status, headers, m_answer_body);
  Finish({ResultCode::kOk, Outcome::kRan, m_answer_status,
          std::move(m_answer_body),
          std::string(FindHeader(m_answer_headers, "Content-Type"))});
}

void Relay::Refuse(ResultCode code, Outcome outcome) {
  SendRefusal(*m_exchange, code, outcome, m_request_id, m_retry_after);
  Finish({code, outcome, ResultCodeInfo(code).http_status, "", ""});
}

void Relay::Finish(RelayResult result) {
  m_finished = true;
  m_deadline.reset();
  m_host.CancelSeek(m_id);
  CloseAttempt(false);
  m_host.Ended(m_id, std::move(result));
}

void SendRefusal(HttpExchange& exchange,
                 ResultCode code,
                 Outcome outcome,
                 std::string_view request_id,
                 Duration retry_after) {
  HttpHeaders headers = {
      {"Content-Type", "application/json"},
      {"Filbert-Request-Id", std::string(request_id)},
      {"Filbert-Outcome", std::string(OutcomeName(outcome))},
      {"Filbert-Code", std::to_string(static_cast<int>(code))}};
  if (retry_after > Duration(0)) {
    // Rounded up to whole seconds: a caller that retries earlier would be
    // refused again.
    const int64_t seconds =
        (retry_after + Seconds(1) - Duration(1)) / Seconds(1);
    headers.emplace_back("Retry-After", std::to_string(seconds));
  }
  exchange.Reply(ResultCodeInfo(code).http_status, headers,
                 RefusalBody(code, outcome, request_id));
}

}  // namespace filbertrack

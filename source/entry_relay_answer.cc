#include "filbertrack/entry_relay.h"

/// EntryRelay: handling of the response to the current attempt.

namespace filbertrack {

namespace {

/// Time after which a request that may have ended its server is sent again: by
/// then the entry hosts have told each other what else is known of it.
constexpr Duration kEndAssessmentTime = Milliseconds(250);
constexpr size_t kMaxAnswerBytes = 8 * 1024 * 1024;
constexpr int kFirstRedirect = 300;
constexpr std::string_view kEventStream = "text/event-stream";

bool IsSuccess(int status) {
  return status >= 200 && status < kFirstRedirect;
}

HttpHeaders PassedHeaders(const HttpHeaders& headers) {
  HttpHeaders passed;
  passed.reserve(headers.size());
  for (const auto& header : headers) {
    // Only an entry host may state that it refused a forwarded request.
    if (!IsHopByHop(header.first) &&
        !EqualHeaderNames(header.first, kForwardRefusalHeader)) {
      passed.push_back(header);
    }
  }
  return passed;
}

bool IsEventStream(const HttpHeaders& headers) {
  return FindHeader(headers, "Content-Type").starts_with(kEventStream);
}

/// Reason to log if an attempt with this status and these headers ends without
/// a response to forward.
std::string_view EndReason(int status,
                           bool not_run,
                           bool is_other_request,
                           bool unsealed) {
  if (not_run) {
    return "refused by the server";
  }
  if (is_other_request) {
    return "response to another request";
  }
  if (unsealed) {
    return "response without the server's seal";
  }
  return IsSuccess(status) ? "broke off" : "server error";
}

}  // namespace

void EntryRelay::OnHead(int status, const HttpHeaders& headers) {
  if (!m_forwarded_to.empty()) {
    OnForwardHead(status, headers);
    return;
  }
  const AnswerFacts facts = m_context.header_codec.ReadAnswer(status, headers);
  m_last_byte = MonotonicNow();
  if (m_choice && !facts.wrong_server) {
    m_context.poison.OnAnswer(m_choice->target, m_sent_at);
  }
  m_not_run = facts.not_run || facts.wrong_server;
  m_backoff = facts.backoff;
  const bool is_other_request = !facts.request_id.empty() &&
                                facts.request_id != m_request.facts.request_id;
  if (m_choice && facts.cold_left && !facts.wrong_server) {
    ReportCold(m_choice->target, *facts.cold_left);
  }
  if (m_choice && !facts.wrong_server && !is_other_request) {
    m_context.backpressure.OnAnswer(m_choice->target, facts, m_sent_at,
                                    m_last_byte);
  }
  const bool unsealed = IsSuccess(status) && !facts.sealed;
  m_attempt_status = status;
  m_ends_with_connection = FindHeader(headers, "Content-Length").empty() &&
                           FindHeader(headers, "Transfer-Encoding").empty();
  m_end_reason = EndReason(status, m_not_run, is_other_request, unsealed);
  AttemptHead head;
  head.status = status;
  head.request_id_matches = !is_other_request && !unsealed;
  head.says_not_run = m_not_run;
  FeedHead(head, headers);
}

void EntryRelay::FeedHead(const AttemptHead& head, const HttpHeaders& headers) {
  const bool is_events = IsSuccess(head.status) && IsEventStream(headers);
  if (m_state.answer_started && !head.says_not_run && !is_events) {
    // The caller has received part of the stream, and only further events can
    // continue it.
    Feed(AttemptFailed{true});
    return;
  }
  if (!m_state.answer_started) {
    m_answer_status = head.status;
    m_answer_headers = PassedHeaders(headers);
    m_state.traits.shape = IsStream(m_request.route->repeat) && is_events
                               ? AnswerShape::kTokenStream
                               : AnswerShape::kWhole;
  }
  Feed(head);
}

void EntryRelay::ReportCold(const DispatchTarget& target, Duration left) {
  const ServiceProfile* service =
      m_request.catalog->FindService(m_request.service);
  if (service != nullptr && service->cold_requests_per_second > 0 &&
      left > Duration(0)) {
    m_context.backpressure.OnCold(target, service->cold_requests_per_second,
                                  m_last_byte + left, m_last_byte);
  }
}

void EntryRelay::OnBytes(std::string_view bytes) {
  m_last_byte = MonotonicNow();
  if (m_state.traits.shape == AnswerShape::kWhole) {
    if (m_answer_body.size() + bytes.size() > kMaxAnswerBytes ||
        !m_context.collected.Add(m_answer_body.size(), bytes.size())) {
      m_end_reason = "response too large";
      DiscardAnswerBody();
      Feed(AttemptFailed{true});
      return;
    }
    m_answer_body.append(bytes);
    return;
  }
  OnStreamBytes(bytes);
}

void EntryRelay::OnStreamBytes(std::string_view bytes) {
  std::vector<StreamPiece> pieces = m_splitter.Push(bytes);
  if (!CountHeldBytes()) {
    if (auto part = m_splitter.TakePartialEvent()) {
      pieces.push_back(std::move(*part));
    }
  }
  const std::shared_ptr<bool> alive = m_alive;
  for (StreamPiece& piece : pieces) {
    Feed(AttemptPiece{std::move(piece)});
    if (!*alive || !has_attempt()) {
      return;
    }
  }
  if (!m_splitter.valid()) {
    m_end_reason = "malformed event stream";
    Feed(AttemptFailed{true});
  }
}

bool EntryRelay::CountHeldBytes() {
  SharedBudget& collected = m_context.collected;
  collected.Remove(std::exchange(m_counted_stream_bytes, 0));
  const size_t held = m_splitter.held_bytes();
  if (held > 0 && !collected.Add(0, held)) {
    return false;
  }
  m_counted_stream_bytes = held;
  return true;
}

void EntryRelay::OnComplete() {
  m_call.reset();
  const bool is_stream = m_state.traits.shape == AnswerShape::kTokenStream;
  // A server that ends at the beginning of an answer may close the connection
  // in an orderly way.
  if (is_stream && m_ends_with_connection && !m_attempt_first_event &&
      !m_splitter.has_partial_event()) {
    OnFailure(true);
    return;
  }
  if (is_stream && m_splitter.has_partial_event()) {
    m_end_reason = "stream ended within an event";
    Feed(AttemptFailed{true});
    return;
  }
  Feed(AttemptComplete{});
}

void EntryRelay::OnFailure(bool may_have_left) {
  m_end_reason = may_have_left ? "connection broke" : "no connection";
  if (!may_have_left && m_choice &&
      !m_context.selector.HasTarget(m_choice->target.id)) {
    m_end_reason = "left while connecting";
  }
  m_is_sent = may_have_left;
  if (!m_forwarded_to.empty()) {
    m_context.forward.choice().OnRefused(m_forwarded_to, m_request.service,
                                         MonotonicNow());
  }
  if (may_have_left && m_choice) {
    m_context.poison.OnBroken(m_choice->target, CurrentAttempt());
  }
  if (MayHaveEndedServer() && m_state.traits.idempotent) {
    m_call.reset();
    m_retry_timer = m_context.loop.After(kEndAssessmentTime,
                                         [this] { Feed(AttemptFailed{true}); });
    return;
  }
  Feed(AttemptFailed{may_have_left});
}

}  // namespace filbertrack

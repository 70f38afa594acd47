#pragma once

/// Runs one accepted request: carries out the actions of the request state
/// machine on sockets and timers, and passes the resulting events back to it.

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "filbertrack/http_client.h"
#include "filbertrack/http_server.h"
#include "filbertrack/request_intake.h"
#include "filbertrack/request_machine.h"
#include "filbertrack/routing_choice.h"

namespace filbertrack {

/// The target of one attempt, as of the time when it was chosen.
struct AttemptTarget {
  std::string id;
  uint64_t epoch = 0;
  Address address;
  Duration predicted{0};
  /// Hosts of the group in this epoch; null for a plain service.
  std::shared_ptr<const std::vector<std::string>> members;
};

/// Times at which the first and the last part of an attempt's response were
/// forwarded to the caller.
struct ForwardSpan {
  std::optional<TimePoint> first;
  TimePoint last;
};

enum class EvidenceMode {
  /// Forwards the response while the latest evidence is younger than
  /// `evidence_bound`.
  kBound,
  /// Holds each part of the response until there is evidence that is newer than
  /// its arrival.
  kConfirm,
};

/// Whether a part of an attempt's response may be forwarded, by the evidence
/// about its target.
enum class TargetCheck { kForward, kHold, kLost };

/// Result of a request.
struct RelayResult {
  ResultCode code = ResultCode::kOk;
  Outcome outcome = Outcome::kRan;
  int status = 0;
  /// Complete response body, for requests with an idempotency key; empty for a
  /// stream.
  std::string body;
  std::string content_type;
};

/// Interface of the entry host to its relays.
class RelayHost {
 public:
  virtual ~RelayHost() = default;

  /// Searches for a target. Responds with TargetFound() or TargetDenied(),
  /// immediately or later.
  virtual void Seek(uint64_t relay, bool is_retry) = 0;
  virtual void CancelSeek(uint64_t relay) = 0;

  virtual TargetCheck Check(const AttemptTarget& target,
                            TimePoint arrived,
                            TimePoint now) = 0;

  virtual void AttemptStarted(uint64_t relay, const AttemptTarget& target) = 0;
  /// The response headers reported the load of the target.
  virtual void LoadSeen(const AttemptTarget& target, std::string_view load) = 0;
  virtual void FirstToken(const AttemptTarget& target, Duration measured) = 0;
  virtual void AttemptEnded(uint64_t relay,
                            const AttemptTarget& target,
                            bool failed,
                            Duration measured,
                            const ForwardSpan& forwarded) = 0;

  /// The request has ended. The relay is destroyed after this call has
  /// returned.
  virtual void Ended(uint64_t relay, RelayResult result) = 0;
};

/// Sends a refusal with its code and outcome in the headers and in the body.
/// `retry_after` is sent as the Retry-After header if it is positive.
void SendRefusal(HttpExchange& exchange,
                 ResultCode code,
                 Outcome outcome,
                 std::string_view request_id,
                 Duration retry_after);

class Relay {
 public:
  Relay(EventLoop& loop,
        HttpClient& http,
        RelayHost& host,
        RequestPolicy policy,
        uint64_t id,
        std::string request_id,
        CallerRequest request,
        std::shared_ptr<HttpExchange> exchange,
        TimePoint now);

  void Start();

  void TargetFound(const AttemptTarget& target);
  void TargetDenied(ResultCode code, Duration retry_after);

  /// Must be called when the evidence about this relay's target has changed.
  void OnEvidence();

  uint64_t id() const { return m_id; }
  const CallerRequest& request() const { return m_request; }
  const std::string& request_id() const { return m_request_id; }
  /// Ids of the targets at which this request failed.
  const std::set<std::string, std::less<>>& failed_targets() const {
    return m_failed_targets;
  }
  /// nullopt while no attempt is open.
  const std::optional<AttemptTarget>& target() const { return m_target; }

 private:
  struct HeldEvent {
    TimePoint arrived;
    RequestEvent event;
  };
  friend struct RelayActions;

  HttpCallRequest MakeCall(uint64_t resume_from) const;
  void Feed(const RequestEvent& event);
  void Run(const std::vector<RequestAction>& actions);
  void QueueEvent(RequestEvent event);
  void FlushHeld();
  void OnHead(int status, const HttpHeaders& headers);
  void OnBytes(std::string_view bytes);
  void CloseAttempt(bool failed);
  void ForwardToken(const SseEvent& event);
  void ForwardAnswer();
  void RecordForwarded();
  void Refuse(ResultCode code, Outcome outcome);
  void Finish(RelayResult result);

  EventLoop& m_loop;
  HttpClient& m_http;
  RelayHost& m_host;
  RequestPolicy m_policy;
  uint64_t m_id;
  std::string m_request_id;
  CallerRequest m_request;
  std::shared_ptr<HttpExchange> m_exchange;
  RequestState m_state;
  std::unique_ptr<Timer> m_deadline;

  std::optional<AttemptTarget> m_target;
  uint64_t m_resume_from = 0;
  TimePoint m_attempt_began;
  bool m_first_token_seen = false;
  ForwardSpan m_forwarded;
  std::unique_ptr<HttpCall> m_call;
  SseParser m_splitter;
  int m_answer_status = 0;
  HttpHeaders m_answer_headers;
  std::string m_answer_body;
  std::deque<HeldEvent> m_held;

  std::set<std::string, std::less<>> m_failed_targets;
  Duration m_retry_after{0};
  bool m_stream_started = false;
  bool m_finished = false;
};

}  // namespace filbertrack

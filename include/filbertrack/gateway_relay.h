#pragma once

/// Drives one accepted request: carries out what the request machine decides,
/// on sockets and timers, and feeds back what happens there.

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

/// The target of one attempt, as it was when it was chosen.
struct AttemptTarget {
  std::string id;
  uint64_t epoch = 0;
  Address address;
  Duration predicted{0};
  /// Hosts of the group in this epoch; null for a plain service.
  std::shared_ptr<const std::vector<std::string>> members;
};

/// When an attempt's answer was forwarded to the caller.
struct ForwardSpan {
  std::optional<TimePoint> first;
  TimePoint last;
};

enum class EvidenceMode {
  /// An answer is forwarded while evidence is younger than the bound.
  kBound,
  /// An answer waits for evidence that is younger than its own arrival.
  kConfirm,
};

/// What the evidence says of an attempt's target for a piece of its answer.
enum class TargetCheck { kForward, kHold, kLost };

/// How a request ended, for its owner.
struct RelayResult {
  ResultCode code = ResultCode::kOk;
  Outcome outcome = Outcome::kRan;
  int status = 0;
  /// The whole answer, for requests with an idempotency key.
  std::string body;
  std::string content_type;
};

/// What a relay needs of the entry host.
class RelayHost {
 public:
  virtual ~RelayHost() = default;

  /// Finds a target; answers through TargetFound() or TargetDenied(), at once
  /// or later.
  virtual void Seek(uint64_t relay, bool is_retry) = 0;
  virtual void CancelSeek(uint64_t relay) = 0;

  virtual TargetCheck Check(const AttemptTarget& target,
                            TimePoint arrived,
                            TimePoint now) = 0;

  virtual void AttemptStarted(uint64_t relay, const AttemptTarget& target) = 0;
  /// The answer's headers told of the target's load.
  virtual void LoadSeen(const AttemptTarget& target, std::string_view load) = 0;
  virtual void FirstToken(const AttemptTarget& target, Duration measured) = 0;
  virtual void AttemptEnded(uint64_t relay,
                            const AttemptTarget& target,
                            bool failed,
                            Duration measured,
                            const ForwardSpan& forwarded) = 0;

  /// The request is over; the relay is destroyed after this returns.
  virtual void Ended(uint64_t relay, RelayResult result) = 0;
};

/// Answers with a refusal: code and outcome stand in headers and in the body.
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

  /// Evidence about this relay's target changed.
  void OnEvidence();

  uint64_t id() const { return m_id; }
  const CallerRequest& request() const { return m_request; }
  const std::string& request_id() const { return m_request_id; }
  /// Targets that failed this request.
  const std::set<std::string, std::less<>>& failed_targets() const {
    return m_failed_targets;
  }
  /// Empty where no attempt is open.
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

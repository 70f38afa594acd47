#pragma once

/// The life of one accepted request, as a plain function over (state, event,
/// now) that returns actions. It decides when a request may be sent again,
/// where a stream goes on, and what may be said of a request that was refused.

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "filbertrack/base_result.h"
#include "filbertrack/base_time.h"
#include "filbertrack/request_sse.h"

namespace filbertrack {

enum class AnswerShape {
  /// The answer goes to the caller once all of it is here.
  kWhole,
  /// Tokens go to the caller as they come; an attempt that dies is resumed
  /// after the last token that was forwarded.
  kTokenStream,
};

struct RequestTraits {
  /// Whether the work may run more than once.
  bool idempotent = false;
  AnswerShape shape = AnswerShape::kWhole;
  /// Plain services: each answer is the service's own, whatever its status.
  bool pass_any_status = false;
  TimePoint deadline;
  /// A server's error goes to the caller as it is where no attempt is left.
  bool relays_last_error = false;
  /// A stream is whole when its framing ends, without a closing event.
  bool ends_with_framing = false;
};

struct RequestPolicy {
  /// Targets that may run the request.
  int max_attempts = 4;
  /// Targets that it may be sent to, those that refused to run it included.
  int max_sends = 4;
};

struct RequestState {
  RequestTraits traits;
  int sends = 0;
  /// Sends that may have run.
  int attempts = 0;
  bool attempt_open = false;
  /// The attempt's answer is one to relay.
  bool attempt_relays = false;
  /// Token that the next unnumbered event of the attempt carries.
  uint64_t attempt_token = 0;
  /// Token that the caller gets next.
  uint64_t next_token = 0;
  bool answer_started = false;
  /// What is known of the attempts that ended without an answer.
  Outcome known = Outcome::kNotRun;
  bool ended = false;
};

/// Whether the request may be sent once more, if it is one that may run again.
bool HasAttemptsLeft(const RequestState& state, const RequestPolicy& policy);

// Events.

/// The driver has sent the request to a target.
struct TargetChosen {};
/// There is no target, or no retry is allowed; `code` is the refusal.
struct NoTarget {
  ResultCode code;
};
/// Status and headers of the attempt's answer.
struct AttemptHead {
  int status = 0;
  /// The answer names this request; another one must never reach the caller.
  bool request_id_matches = true;
  /// The backend server says that it did not start the work.
  bool says_not_run = false;
};
struct AttemptToken {
  SseEvent event;
};
/// The attempt's answer ended as its framing says it should.
struct AttemptComplete {};
struct AttemptFailed {
  bool bytes_may_have_left = true;
};
/// The group behind the attempt is not whole any more.
struct TargetLost {};
struct DeadlinePassed {};
struct CallerDisconnected {};

using RequestEvent = std::variant<TargetChosen,
                                  NoTarget,
                                  AttemptHead,
                                  AttemptToken,
                                  AttemptComplete,
                                  AttemptFailed,
                                  TargetLost,
                                  DeadlinePassed,
                                  CallerDisconnected>;

// Actions.

/// Choose a group or backend server and send the request to it.
struct SeekTarget {
  bool is_retry = false;
  uint64_t resume_from = 0;
};
/// The attempt is over: close its connection. `failed` counts against the
/// target.
struct CloseAttempt {
  bool failed = false;
};
struct ForwardToken {
  SseEvent event;
};
/// Send the closing event and end the stream.
struct FinishStream {};
/// Send the attempt's whole answer to the caller.
struct ForwardAnswer {};
/// Answer with a refusal.
struct Refuse {
  ResultCode code;
  Outcome outcome;
};
/// The stream has begun and cannot be finished: say so, and close the
/// connection without the closing event or chunk.
struct AbortStream {
  ResultCode code;
};

using RequestAction = std::variant<SeekTarget,
                                   CloseAttempt,
                                   ForwardToken,
                                   FinishStream,
                                   ForwardAnswer,
                                   Refuse,
                                   AbortStream>;

/// Begins a request: either a search for a target or, where the deadline has
/// passed already, a refusal.
std::vector<RequestAction> StartRequest(RequestState& state, TimePoint now);

std::vector<RequestAction> StepRequest(RequestState& state,
                                       const RequestEvent& event,
                                       const RequestPolicy& policy,
                                       TimePoint now);

}  // namespace filbertrack

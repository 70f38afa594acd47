#pragma once

/// State machine of one accepted request: a pure function of (state, event,
/// now) that returns actions. It decides when a request may be sent again,
/// where a stream resumes, and which outcome is reported for a request that
/// failed.

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "filbertrack/base_result.h"
#include "filbertrack/base_time.h"
#include "filbertrack/request_sse.h"
#include "filbertrack/request_stream_splitter.h"

namespace filbertrack {

enum class AnswerShape {
  /// The response is sent to the caller once it is complete.
  kWhole,
  /// Tokens are forwarded as they arrive. If an attempt fails, the stream is
  /// resumed after the last forwarded token.
  kTokenStream,
};

struct RequestTraits {
  /// Whether the request may run more than once.
  bool idempotent = false;
  AnswerShape shape = AnswerShape::kWhole;
  /// Plain services: every response is forwarded, whatever its status.
  bool pass_any_status = false;
  TimePoint deadline;
  /// If no attempt is left, a server's error response is forwarded unchanged.
  bool relays_last_error = false;
  /// A stream is complete when its HTTP framing ends, as AttemptPiece describes
  /// it. False: with its closing event, as AttemptToken does.
  bool ends_with_framing = false;
};

struct RequestPolicy {
  /// Limit of the targets that may have run the request.
  int max_attempts = 4;
  /// Limit of the targets that the request is sent to, including those that
  /// refused to run it.
  int max_sends = 4;
};

struct RequestState {
  RequestTraits traits;
  int sends = 0;
  /// Sends after which the request may have run.
  int attempts = 0;
  bool attempt_open = false;
  /// The attempt was forwarded to another entry host.
  bool attempt_is_forwarded = false;
  /// Servers that the other host may send the request to.
  int forwarded_attempts = 0;
  /// The attempt's response is to be forwarded.
  bool attempt_relays = false;
  /// Position of the attempt's next event, if the event has no id: the number
  /// of the token, or the lowest id that could follow.
  uint64_t attempt_token = 0;
  /// Number of the next token to forward to the caller, or the lowest id that
  /// the next event may have.
  uint64_t next_token = 0;
  bool answer_started = false;
  /// The last forwarded event had no id, or was forwarded in part, so no other
  /// server can go on after it.
  bool position_lost = false;
  /// The caller has the attempt's current event from an earlier attempt.
  bool skips_event = false;
  /// An event of the attempt was forwarded.
  bool attempt_forwarded = false;
  /// Outcome of the attempts that ended without a response.
  Outcome known = Outcome::kNotRun;
  bool ended = false;
};

/// Number of servers that another entry host may send the request to. One
/// attempt of an idempotent request is kept, for the case that the other host
/// ends without an answer.
int ForwardableAttempts(const RequestState& state, const RequestPolicy& policy);

/// Whether the limits of attempts and sends allow another send. Does not check
/// whether the request is idempotent.
bool HasAttemptsLeft(const RequestState& state, const RequestPolicy& policy);

// Events.

/// The driver has sent the request to a target.
struct TargetChosen {};
/// The driver has forwarded the request to another entry host, which may send
/// it to this many servers; 0: to as many as attempts are left.
struct RequestForwarded {
  int attempts = 0;
};
/// No target is available, or no retry is permitted; `code` is the error to
/// return.
struct NoTarget {
  ResultCode code;
};
/// The head of the attempt's response has arrived: its status, and what its
/// headers state.
struct AttemptHead {
  int status = 0;
  /// The response carries this request's id. Another request's response must
  /// never reach the caller.
  bool request_id_matches = true;
  /// The backend server states that it did not start the request.
  bool says_not_run = false;
  /// Forwarded whatever its status: another entry host made the retries.
  bool is_final = false;
};
struct AttemptToken {
  SseEvent event;
};
/// A piece of a stream whose ids increase in any steps from any number.
struct AttemptPiece {
  StreamPiece piece;
};
/// The attempt's response ended as its HTTP framing requires.
struct AttemptComplete {};
struct AttemptFailed {
  bool bytes_may_have_left = true;
};
/// The entry host that the request was forwarded to refused it.
struct ForwardRefused {
  ResultCode code;
  Outcome outcome;
  /// Servers that may have run the request.
  int attempts = 0;
  /// The request may be sent elsewhere if the outcome allows it.
  bool may_be_accepted_elsewhere = false;
};
/// The group that handles the attempt is no longer complete.
struct TargetLost {};
struct DeadlinePassed {};
/// This host is about to exit.
struct HostStops {};
struct CallerDisconnected {};

using RequestEvent = std::variant<TargetChosen,
                                  RequestForwarded,
                                  NoTarget,
                                  AttemptHead,
                                  AttemptToken,
                                  AttemptPiece,
                                  AttemptComplete,
                                  AttemptFailed,
                                  ForwardRefused,
                                  TargetLost,
                                  DeadlinePassed,
                                  HostStops,
                                  CallerDisconnected>;

// Actions.

/// Select a group or backend server and send the request to it.
struct SeekTarget {
  bool is_retry = false;
  uint64_t resume_from = 0;
};
/// Close the attempt's connection. `failed` counts against the target.
struct CloseAttempt {
  bool failed = false;
};
struct ForwardToken {
  SseEvent event;
};
struct ForwardPiece {
  std::string raw;
};
/// Send the closing event and end the response.
struct FinishStream {};
/// Send the attempt's complete response to the caller.
struct ForwardAnswer {};
/// Send an error response.
struct Refuse {
  ResultCode code;
  Outcome outcome;
};
/// The stream has started and cannot be completed: send an error event and
/// close the connection without the closing event or last chunk.
struct AbortStream {
  ResultCode code;
};

using RequestAction = std::variant<SeekTarget,
                                   CloseAttempt,
                                   ForwardToken,
                                   ForwardPiece,
                                   FinishStream,
                                   ForwardAnswer,
                                   Refuse,
                                   AbortStream>;

/// Starts a request. Returns SeekTarget, or Refuse if the deadline has already
/// passed.
std::vector<RequestAction> StartRequest(RequestState& state, TimePoint now);

std::vector<RequestAction> StepRequest(RequestState& state,
                                       const RequestEvent& event,
                                       const RequestPolicy& policy,
                                       TimePoint now);

}  // namespace filbertrack

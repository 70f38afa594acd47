#include "filbertrack/request_machine.h"

#include <algorithm>
#include <array>

namespace filbertrack {

namespace {

using Actions = std::vector<RequestAction>;

constexpr int kFirstServerError = 500;

/// Statuses by which callers are told that the request did not run.
constexpr auto kNotRunStatuses = std::to_array<int>({408, 421, 429, 503});

bool PromisesNotRun(int status) {
  return std::find(kNotRunStatuses.begin(), kNotRunStatuses.end(), status) !=
         kNotRunStatuses.end();
}

/// Handles one event; each overload is one row of the transition table.
class Transition {
 public:
  Transition(RequestState& state, const RequestPolicy& policy, TimePoint now)
      : m_state(state), m_policy(policy), m_now(now) {}

  Actions operator()(const TargetChosen&) {
    ++m_state.sends;
    OpenAttempt(false);
    return {};
  }

  Actions operator()(const RequestForwarded& event) {
    m_state.forwarded_attempts = event.attempts > 0
                                     ? event.attempts
                                     : m_policy.max_attempts - m_state.attempts;
    OpenAttempt(true);
    return {};
  }

  Actions operator()(const NoTarget& event) { return EndRequest(event.code); }

  Actions operator()(const AttemptHead& event) {
    if (!m_state.attempt_open) {
      return {};
    }
    if (!event.request_id_matches) {
      // This is the response to another request, such as a late response on a
      // reused connection. It must not reach the caller, so the attempt ends as
      // if its connection had failed.
      return EndAttempt(true);
    }
    if (event.says_not_run) {
      return EndAttempt(false);
    }
    if (!m_state.traits.idempotent && PromisesNotRun(event.status)) {
      // Only the server's statement proves that the request did not run. The
      // caller would send it again on the promise of the status.
      return EndAttempt(true);
    }
    const bool last = m_state.attempts >= m_policy.max_attempts &&
                      m_state.traits.relays_last_error;
    if (!m_state.traits.pass_any_status && !last && !event.is_final &&
        event.status >= kFirstServerError) {
      return EndAttempt(true);
    }
    m_state.attempt_relays = true;
    return {};
  }

  Actions operator()(const AttemptToken& event) {
    if (!m_state.attempt_open || !m_state.attempt_relays) {
      return {};
    }
    return ForwardNextToken(event.event);
  }

  Actions operator()(const AttemptPiece& event) {
    if (!m_state.attempt_open || !m_state.attempt_relays) {
      return {};
    }
    return ForwardNextPiece(event.piece);
  }

  Actions operator()(const AttemptComplete&) {
    if (!m_state.attempt_open) {
      return {};
    }
    if (m_state.traits.ends_with_framing && m_state.attempt_relays &&
        m_state.traits.shape == AnswerShape::kTokenStream) {
      return EndStream();
    }
    if (m_state.traits.shape == AnswerShape::kTokenStream ||
        !m_state.attempt_relays) {
      // A stream is complete only with its closing event.
      return EndAttempt(true);
    }
    m_state.attempt_open = false;
    m_state.ended = true;
    return {ForwardAnswer{}, CloseAttempt{}};
  }

  Actions operator()(const AttemptFailed& event) {
    if (!m_state.attempt_open) {
      return {};
    }
    return EndAttempt(event.bytes_may_have_left);
  }

  Actions operator()(const ForwardRefused& event) {
    if (!m_state.attempt_open) {
      return {};
    }
    // Opening the attempt counted one server.
    m_state.attempts += std::max(0, event.attempts - 1);
    m_state.attempt_is_forwarded = false;
    const bool may_have_run = event.outcome != Outcome::kNotRun;
    if (event.may_be_accepted_elsewhere) {
      return EndAttempt(may_have_run);
    }
    Actions actions;
    actions.emplace_back(CloseAttempt{true});
    m_state.attempt_open = false;
    if (may_have_run) {
      m_state.known = Outcome::kUnknown;
    }
    return Append(std::move(actions), EndRequest(event.code));
  }

  Actions operator()(const TargetLost&) {
    if (!m_state.attempt_open) {
      return {};
    }
    return EndAttempt(true);
  }

  Actions operator()(const DeadlinePassed&) {
    return EndRequest(ResultCode::kDeadlinePassed);
  }

  Actions operator()(const HostStops&) {
    return EndRequest(ResultCode::kDraining);
  }

  Actions operator()(const CallerDisconnected&) {
    Actions actions;
    if (m_state.attempt_open) {
      m_state.known = Outcome::kUnknown;
    }
    Close(actions);
    m_state.ended = true;
    return actions;
  }

 private:
  void OpenAttempt(bool is_forwarded) {
    ++m_state.attempts;
    m_state.attempt_open = true;
    m_state.attempt_is_forwarded = is_forwarded;
    m_state.attempt_relays = false;
    m_state.attempt_token = m_state.next_token;
    m_state.skips_event = false;
    m_state.attempt_forwarded = false;
  }

  Actions ForwardNextToken(const SseEvent& event) {
    if (event.done) {
      return EndStream();
    }
    const uint64_t token = event.id.value_or(m_state.attempt_token);
    m_state.attempt_token = token + 1;
    if (token < m_state.next_token) {
      // The engine started before the requested resume position; the caller
      // already has this token.
      return {};
    }
    if (token > m_state.next_token) {
      // A token is missing; forwarding this one would leave a gap in the text.
      return EndAttempt(true);
    }
    ++m_state.next_token;
    m_state.answer_started = true;
    SseEvent forwarded = event;
    forwarded.id = token;
    return {ForwardToken{std::move(forwarded)}};
  }

  Actions ForwardNextPiece(const StreamPiece& piece) {
    if (!piece.is_event) {
      if (!m_state.attempt_forwarded || m_state.skips_event) {
        return {};
      }
      return {ForwardPiece{piece.raw}};
    }
    if (piece.begins_event) {
      // Without its id, a large event could be one that the caller has.
      const bool may_be_known = m_state.next_token > 0 &&
                                !m_state.attempt_forwarded && !piece.id &&
                                !piece.ends_event;
      if (may_be_known) {
        m_state.position_lost = true;
        return EndRequest(ResultCode::kStreamInterrupted);
      }
      // A server may start before the requested resume position.
      m_state.skips_event =
          piece.id.value_or(m_state.attempt_token) < m_state.next_token;
    }
    if (piece.ends_event && piece.id) {
      m_state.attempt_token = *piece.id + 1;
    }
    if (m_state.skips_event) {
      return {};
    }
    if (piece.ends_event && piece.id) {
      m_state.next_token = *piece.id + 1;
    }
    m_state.position_lost = !piece.ends_event || !piece.id;
    m_state.answer_started = true;
    m_state.attempt_forwarded = true;
    return {ForwardPiece{piece.raw}};
  }

  Actions EndStream() {
    m_state.attempt_open = false;
    m_state.ended = true;
    return {CloseAttempt{}, FinishStream{}};
  }

  void Close(Actions& actions) {
    if (m_state.attempt_open) {
      actions.emplace_back(CloseAttempt{});
      m_state.attempt_open = false;
    }
  }

  /// Ends an attempt that gave no response and decides whether to make another.
  Actions EndAttempt(bool may_have_run) {
    Actions actions;
    actions.emplace_back(CloseAttempt{true});
    m_state.attempt_open = false;
    if (!may_have_run) {
      --m_state.attempts;
    } else {
      m_state.known = Outcome::kUnknown;
      if (m_state.attempt_is_forwarded) {
        // How many servers the other host tried is not known. Opening the
        // attempt counted one.
        m_state.attempts += std::max(0, m_state.forwarded_attempts - 1);
      }
    }
    if (m_now >= m_state.traits.deadline) {
      return Append(std::move(actions),
                    EndRequest(ResultCode::kDeadlinePassed));
    }
    if (may_have_run && !m_state.traits.idempotent) {
      return Append(std::move(actions),
                    EndRequest(ResultCode::kUpstreamFailed));
    }
    if (m_state.position_lost) {
      return Append(std::move(actions),
                    EndRequest(ResultCode::kStreamInterrupted));
    }
    if (!HasAttemptsLeft(m_state, m_policy)) {
      return Append(std::move(actions),
                    EndRequest(m_state.known == Outcome::kNotRun
                                   ? ResultCode::kAttemptRefused
                                   : ResultCode::kUpstreamFailed));
    }
    actions.emplace_back(SeekTarget{true, m_state.next_token});
    return actions;
  }

  /// Returns the final error immediately; delaying it would only keep the
  /// caller from trying elsewhere.
  Actions EndRequest(ResultCode code) {
    Actions actions;
    // An attempt that is aborted now may have run. Only one that was never
    // open, or that the backend server refused, is known not to have run.
    if (m_state.attempt_open) {
      m_state.known = Outcome::kUnknown;
    }
    Close(actions);
    m_state.ended = true;
    if (m_state.answer_started) {
      actions.emplace_back(AbortStream{code});
    } else {
      actions.emplace_back(Refuse{code, m_state.known});
    }
    return actions;
  }

  static Actions Append(Actions first, Actions second) {
    for (RequestAction& action : second) {
      first.push_back(std::move(action));
    }
    return first;
  }

  RequestState& m_state;
  const RequestPolicy& m_policy;
  TimePoint m_now;
};

}  // namespace

int ForwardableAttempts(const RequestState& state,
                        const RequestPolicy& policy) {
  const int left = policy.max_attempts - state.attempts;
  return state.traits.idempotent ? std::max(1, left - 1) : left;
}

bool HasAttemptsLeft(const RequestState& state, const RequestPolicy& policy) {
  return state.attempts < policy.max_attempts && state.sends < policy.max_sends;
}

Actions StartRequest(RequestState& state, TimePoint now) {
  if (now >= state.traits.deadline) {
    state.ended = true;
    return {Refuse{ResultCode::kDeadlinePassed, Outcome::kNotRun}};
  }
  return {SeekTarget{}};
}

Actions StepRequest(RequestState& state,
                    const RequestEvent& event,
                    const RequestPolicy& policy,
                    TimePoint now) {
  if (state.ended) {
    return {};
  }
  return std::visit(Transition(state, policy, now), event);
}

}  // namespace filbertrack

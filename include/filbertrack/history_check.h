#pragma once

/// Checks the event histories of a test run against the system's invariants.
/// Events are stamped with the monotonic clock of the machine, so all processes
/// of a run must share one machine for their times to be comparable.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "filbertrack/base_result.h"

namespace filbertrack {

/// Microseconds on the shared monotonic clock.
using HistoryTime = int64_t;

/// A group member went down (terminated or was paused) or came back up.
struct MemberEvent {
  std::string host;
  bool down = false;
  HistoryTime at = 0;
};

/// An entry host forwarded parts of an answer from a group, the first one at
/// `first` and the last one at `last`.
struct ForwardEvent {
  std::string request;
  std::string node;
  std::string group;
  uint64_t epoch = 0;
  std::vector<std::string> members;
  HistoryTime first = 0;
  HistoryTime last = 0;
};

/// A controller's write of the groups of a fabric domain took effect.
struct GroupEvent {
  std::string domain;
  /// The members of each group in the domain.
  std::vector<std::vector<std::string>> groups;
  HistoryTime at = 0;
};

/// A backend server started to execute a request.
struct ExecutionEvent {
  std::string request;  ///< Id that the entry host gave to the attempt.
  std::string work_id;  ///< Identifies the work; the same for all attempts.
  std::string server;
  HistoryTime at = 0;
};

enum class CallerResult {
  kComplete,
  kWrong,
  kTruncated,
  kNotRun,
  kUnknown,
  kRan
};

/// The result that a caller received for one attempt.
struct CallerEvent {
  std::string request;
  std::string work_id;
  bool idempotent = false;
  CallerResult result = CallerResult::kComplete;
  HistoryTime at = 0;
};

/// A backend server began to leave, or an entry host began to stop.
struct LeaveEvent {
  std::string name;
  HistoryTime at = 0;
};

/// A configuration generation came into force on the entry host `node`, or was
/// accepted as a change if `node` is empty.
struct ConfigEvent {
  std::string node;
  uint64_t generation = 0;
  HistoryTime at = 0;
};

/// A request that was in flight when an entry host began a planned stop has
/// ended, completely or not.
struct StoppedRequestEvent {
  std::string node;
  std::string request;
  bool completed = false;
};

struct History {
  std::vector<MemberEvent> members;
  std::vector<ForwardEvent> forwards;
  std::vector<GroupEvent> groups;
  std::vector<ExecutionEvent> executions;
  std::vector<CallerEvent> callers;
  std::vector<LeaveEvent> leaves;
  std::vector<ConfigEvent> configs;
  std::vector<StoppedRequestEvent> stopped;
};

struct HistoryBounds {
  /// How long after a member went down an answer of its group may still be
  /// forwarded, in microseconds: the maximum age of evidence that it is alive.
  HistoryTime max_evidence_age = 1'000'000;
  /// How long after it began to leave a server may still get new work, in
  /// microseconds.
  HistoryTime leaving_grace = 5'000'000;
  /// Time within which an accepted configuration must be in force on every
  /// entry host, in microseconds.
  HistoryTime propagation_timeout = 4'000'000;
};

/// The invariants that the users require, numbered as in their requirements.
enum class Invariant {
  kNoIncompleteGroupAnswers = 1,
  kOneGroupPerHost,
  kCorrectAnswers,
  kNotRunIsAccurate,
  kAtMostOnce,
  kNoWorkWhenLeaving,
  kGracefulStop,
  kConfigPropagation,
};

std::string_view InvariantText(Invariant invariant);

struct Violation {
  Invariant invariant;
  /// The events that violate the invariant, with names and times.
  std::string description;
};

std::vector<Violation> CheckHistory(const History& history,
                                    const HistoryBounds& bounds);

/// Appends the events in `lines` (JSON lines) to `history` and returns their
/// number. Ignores events of other kinds and lines that do not start with a
/// brace. kBadRequest if a line is malformed or lacks a field; the events
/// before it have been appended.
Result<size_t> ReadHistory(std::string_view lines, History& history);

}  // namespace filbertrack

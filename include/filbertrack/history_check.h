#pragma once

/// Decides from the histories of a run whether the statements hold that must
/// always hold. Processes write their events with the host's monotonic clock,
/// which all processes of one host share.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "filbertrack/base_result.h"

namespace filbertrack {

/// Microseconds on the shared monotonic clock.
using HistoryTime = int64_t;

/// A member of groups died or was paused, or came back.
struct MemberEvent {
  std::string host;
  bool down = false;
  HistoryTime at = 0;
};

/// An entry host forwarded pieces of an answer of a group, from the first to
/// the last.
struct ForwardEvent {
  std::string request;
  std::string node;
  std::string group;
  uint64_t epoch = 0;
  std::vector<std::string> members;
  HistoryTime first = 0;
  HistoryTime last = 0;
};

/// A controller's write of a domain's groups took effect.
struct GroupEvent {
  std::string domain;
  /// Members of each group in it.
  std::vector<std::vector<std::string>> groups;
  HistoryTime at = 0;
};

/// A backend server began work.
struct ExecutionEvent {
  std::string request;  ///< Entry host's id of the try.
  std::string work_id;  ///< The caller's request, the same for all tries.
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

/// What a caller got for one try.
struct CallerEvent {
  std::string request;
  std::string work_id;
  bool idempotent = false;
  CallerResult result = CallerResult::kComplete;
  HistoryTime at = 0;
};

/// A backend server began to leave, or an entry host to stop.
struct LeaveEvent {
  std::string name;
  HistoryTime at = 0;
};

/// A configuration came in force on an entry host, or was accepted (no node).
struct ConfigEvent {
  std::string node;
  uint64_t generation = 0;
  HistoryTime at = 0;
};

/// A request was in flight on an entry host that stopped as planned, and ended.
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
  /// Age of evidence within which an answer may still be forwarded.
  HistoryTime max_evidence_age = 1'000'000;
  /// A leaving server gets no new work after this.
  HistoryTime leaving_grace = 5'000'000;
  /// An accepted configuration is in force everywhere after this.
  HistoryTime propagation_timeout = 4'000'000;
};

/// The statements of the users' brief, in its order.
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
  std::string description;  ///< What happened, with names and times.
};

std::vector<Violation> CheckHistory(const History& history,
                                    const HistoryBounds& bounds);

/// Adds the events of a text of JSON lines; lines of other kinds are passed
/// over, broken ones are an error.
Result<size_t> ReadHistory(std::string_view lines, History& history);

}  // namespace filbertrack

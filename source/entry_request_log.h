#pragma once

/// Log lines about the decisions made for one request. They allow the path of a
/// request to be traced by its id afterwards: which target was chosen and on
/// what data, why an attempt ended, and how the request ended.

#include <optional>
#include <string_view>

#include "filbertrack/entry_relay.h"

namespace filbertrack {

/// Event "placed": a request, or the rest of a stream, is sent to a target.
struct PlacedLogLine {
  const EntryRequest& request;
  const DispatchChoice& choice;
  /// 1 for the first send.
  int send = 1;
  /// Id of the first event that the caller still lacks; nullopt if the caller
  /// has received no part of the answer.
  std::optional<uint64_t> resumes_at;
  uint64_t servers_revision = 0;
  /// Time since registrations were last received.
  Duration servers_age{0};
  /// Requests a second that the target accepts; nullopt if it sets no limit.
  std::optional<double> rate_limit;
  /// nullopt where placement is off.
  const std::optional<RequestPlacement>& placement;
};
void LogPlaced(const PlacedLogLine& line);

/// Event "forwarded": a request is sent to another entry host, as this one
/// reaches no backend server.
void LogForwarded(const EntryRequest& request, std::string_view host);

/// Event "attempt-ended": an attempt ended without a response to forward.
struct AttemptEndedLogLine {
  const EntryRequest& request;
  std::string_view target;
  std::string_view why;
  /// HTTP status of the response; 0 if none arrived.
  int status = 0;
  Duration after{0};
  Duration since_last_byte{0};
  /// Back-off time that the server requested; nullopt if it requested none.
  std::optional<Duration> backoff;
  /// Digest of the request; empty if it was not computed.
  std::string_view digest;
};
void LogAttemptEnded(const AttemptEndedLogLine& line);

/// Event "request": the request ended.
struct RequestEndLogLine {
  const EntryRequest& request;
  /// Entry host that the request was forwarded to last; empty: none.
  std::string_view forwarded_to;
  const EntryResult& end;
  std::string_view target;
  int sends = 0;
  Duration first_event{0};
  Duration total{0};
  /// nullopt if fewer than two events were forwarded.
  std::optional<Duration> longest_pause;
  /// Retry-after time sent with a refusal; nullopt if none was.
  std::optional<Duration> retry_after;
  /// Predicted time to the first event at the best target if the request was
  /// refused because all targets were too busy; else nullopt.
  std::optional<Duration> refused_prediction;
  /// Age of the other entry hosts' load reports when the request ended.
  Duration loads_age{0};
  /// The block for which the request was refused; else empty.
  std::string_view blocked_by;
  /// nullopt where placement is off.
  const std::optional<RequestPlacement>& placement;
};
void LogRequest(const RequestEndLogLine& line);

}  // namespace filbertrack

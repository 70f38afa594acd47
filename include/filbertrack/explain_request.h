#pragma once

/// Explains, from the log lines of several processes, what happened to one
/// request and why.

#include <cstdint>
#include <istream>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace filbertrack {

/// One parsed line of a structured log.
struct RequestLogLine {
  /// Wall-clock time of the host that wrote the line, in milliseconds.
  int64_t time_ms = 0;
  /// Monotonic clock of that host, in microseconds; orders the lines of one
  /// host.
  int64_t at_us = 0;
  std::string node;
  std::string event;
  nlohmann::json fields;
};

/// Returns the text of a field; empty if the line has no such field. Throws
/// nlohmann::json::type_error if the field is not a string.
std::string TextField(const RequestLogLine& line, const char* field);
/// Returns the value of a numeric field, truncated to an integer; nullopt if
/// the line has no such field or it is not a number.
std::optional<int64_t> NumberField(const RequestLogLine& line,
                                   const char* field);

/// Reads log lines. Skips any text before a line's first brace, such as the
/// time or host name that a log collector prepends, and ignores lines that are
/// not a JSON object with a text field "event".
std::vector<RequestLogLine> ReadRequestLog(std::istream& stream);

struct Explanation {
  /// Lines that name the request, in order of time. The order of lines from
  /// different hosts is approximate, since their wall clocks may differ.
  std::vector<RequestLogLine> lines;
  /// Lines about the targets and the entry host of the request, and about host
  /// health and controller leases, from shortly before its first line until
  /// shortly after its last.
  std::vector<RequestLogLine> context;
  /// The cause in a few sentences.
  std::string cause;
};

Explanation ExplainRequest(std::span<const RequestLogLine> log_lines,
                           std::string_view request_id);

/// Formats a line for a terminal: time, host, event, then `field=value` pairs.
std::string FormatRequestLogLine(const RequestLogLine& line);

}  // namespace filbertrack

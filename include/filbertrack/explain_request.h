#pragma once

/// Tells from the log lines of several processes what happened to one request,
/// and why.

#include <cstdint>
#include <istream>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace filbertrack {

/// One line of a log.
struct RequestLogLine {
  /// Wall clock of the host that wrote it, in milliseconds.
  int64_t time_ms = 0;
  /// Its monotonic clock in microseconds: orders the lines of one host.
  int64_t at_us = 0;
  std::string node;
  std::string event;
  nlohmann::json fields;
};

/// A field's text; empty where the line has none of that name.
std::string TextField(const RequestLogLine& line, const char* field);
/// A field's whole number; nullopt where the line has none.
std::optional<int64_t> NumberField(const RequestLogLine& line,
                                   const char* field);

/// Reads log lines. What stands before a line's first brace, such as a time or
/// a host's name that a collector put there, is passed over, and so is what is
/// no line of ours.
std::vector<RequestLogLine> ReadRequestLog(std::istream& stream);

struct Explanation {
  /// Lines that name the request, by time. Clocks of hosts may differ.
  std::vector<RequestLogLine> lines;
  /// Lines about its targets, and about its entry host, around that time.
  std::vector<RequestLogLine> context;
  /// One or two sentences.
  std::string cause;
};

Explanation ExplainRequest(std::span<const RequestLogLine> log_lines,
                           std::string_view request_id);

/// A line in short: time, host, event and its fields.
std::string FormatRequestLogLine(const RequestLogLine& line);

}  // namespace filbertrack

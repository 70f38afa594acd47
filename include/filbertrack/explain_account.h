#pragma once

/// Adds up, from the log lines of all entry hosts, what callers did not get on
/// time, and to which decisions it goes back.
///
/// A request that was not answered on time is lost; an answer that comes late
/// is still worth a part of it. A caller that was refused and comes back counts
/// as another request: nothing that it sends tells the two apart, since callers
/// of one route name different times.

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <tuple>
#include <vector>

#include "filbertrack/explain_request.h"

namespace filbertrack {

struct LossReportPolicy {
  /// What a late answer keeps of an answer on time: between 0 and 1. Users'
  /// sheets give a quarter for streams.
  double late_share = 0.25;
  /// Length of a row in time, in milliseconds.
  int64_t window_ms = 2000;
};

/// Loss of one cause at one route in one window.
struct LossRow {
  std::string cause;
  /// Empty where the request was refused before its route was known.
  std::string route;
  std::string model;
  /// Start of the window, in milliseconds since the first request.
  int64_t window_start_ms = 0;
  int requests = 0;
  /// In requests.
  double lost = 0;
  /// Means over the decisions that chose a target, or found none: age of the
  /// other hosts' loads, and time to the first event that was predicted.
  double loads_age_ms = 0;
  double predicted_ms = 0;
};

struct LossReport {
  /// Requests of callers that had a right to ask.
  int total_requests = 0;
  int on_time = 0;
  /// `asked` less `on_time`, less what late answers are worth: the sum of the
  /// rows.
  double lost = 0;
  std::vector<LossRow> rows;
};

LossReport AttributeLosses(std::span<const RequestLogLine> log_lines,
                           const LossReportPolicy& policy);

/// The rows added up over what `Field` tells apart, the largest loss first.
std::vector<LossRow> SumLosses(std::span<const LossRow> rows,
                               std::string LossRow::*field);

}  // namespace filbertrack

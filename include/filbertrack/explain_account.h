#pragma once

/// Computes, from the log lines of all entry hosts, which requests were not
/// answered on time, and attributes each loss to a cause.
///
/// A request without an answer counts as one lost request, a late answer as a
/// fraction of one. A retry after a refusal counts as a new request: no header
/// links it to the refused one, and deadlines do not either, since callers of
/// one route send different deadlines.

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <tuple>
#include <vector>

#include "filbertrack/explain_request.h"

namespace filbertrack {

struct LossReportPolicy {
  /// Value of a late answer relative to an answer on time, between 0 and 1.
  /// The users' requirements value a late stream at a quarter.
  double late_share = 0.25;
  /// Length of the time window that a row covers, in milliseconds.
  int64_t window_ms = 2000;
};

/// Loss by one cause on one route in one time window.
struct LossRow {
  std::string cause;
  /// Empty if the request was refused before it was matched to a route.
  std::string route;
  std::string model;
  /// Start of the window, in milliseconds after the earliest final log line of
  /// any request.
  int64_t window_start_ms = 0;
  int requests = 0;
  /// Loss in requests; a late answer is a fraction of one.
  double lost = 0;
  /// Mean age, in milliseconds, of the loads received from other entry hosts,
  /// at the first placement of each request, or at its final log line if it was
  /// never placed. Each age is capped at 60 s.
  double loads_age_ms = 0;
  /// Mean predicted time to the first event at the same decisions, in
  /// milliseconds.
  double predicted_ms = 0;
};

struct LossReport {
  /// All requests but those that were unauthorized, malformed, too large or for
  /// an unknown path or resource.
  int total_requests = 0;
  int on_time = 0;
  /// `total_requests` minus `on_time` minus the value of late answers; equals
  /// the sum over `rows`.
  double lost = 0;
  std::vector<LossRow> rows;
};

LossReport AttributeLosses(std::span<const RequestLogLine> log_lines,
                           const LossReportPolicy& policy);

/// Aggregates the rows by `field`, sorted by loss in descending order.
std::vector<LossRow> SumLosses(std::span<const LossRow> rows,
                               std::string LossRow::*field);

}  // namespace filbertrack

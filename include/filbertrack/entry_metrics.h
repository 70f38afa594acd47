#pragma once

/// Counters and histograms of an entry host, and figures that are read when
/// they are asked for.

#include <functional>
#include <string>
#include <vector>

#include "filbertrack/base_result.h"
#include "filbertrack/base_time.h"
#include "filbertrack/metrics.h"
#include "filbertrack/site_catalog.h"

namespace filbertrack {

/// How one request went.
struct RequestMetrics {
  RepeatRule repeat = RepeatRule::kOnce;
  std::string_view model;
  ResultCode code = ResultCode::kOk;
  int sends = 0;
  std::optional<Duration> first_event;
  /// Between two events that the caller got.
  std::optional<Duration> longest_pause;
  Duration total{0};
};

class EntryMetrics {
 public:
  /// A request that was placed, or was to be.
  void OnRequest(const RequestMetrics& request_metrics);
  /// A request that was turned away before it was to be placed.
  void OnRejected(ResultCode code);

  /// A figure that `read` gives each time it is asked for. `labels` as in
  /// Metrics.
  void AddGauge(std::string name,
                std::string labels,
                std::function<double()> read);

  std::string Text();

 private:
  struct Gauge {
    std::string name;
    std::string labels;
    std::function<double()> read;
  };

  Metrics m_metrics;
  std::vector<Gauge> m_gauges;
};

}  // namespace filbertrack

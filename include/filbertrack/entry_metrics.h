#pragma once

/// Metrics of an entry host: counters, histograms, and gauges that are sampled
/// when the metrics are read.

#include <functional>
#include <string>
#include <vector>

#include "filbertrack/base_result.h"
#include "filbertrack/base_time.h"
#include "filbertrack/metrics.h"
#include "filbertrack/site_catalog.h"

namespace filbertrack {

/// Measurements of one request.
struct RequestMetrics {
  RepeatRule repeat = RepeatRule::kOnce;
  std::string_view model;
  ResultCode code = ResultCode::kOk;
  int sends = 0;
  /// Time to the first event; nullopt if there was none.
  std::optional<Duration> first_event;
  /// Longest time between two events sent to the caller; nullopt if fewer than
  /// two were.
  std::optional<Duration> longest_pause;
  Duration total{0};
};

class EntryMetrics {
 public:
  /// Records a request that was admitted, whether or not it reached a server.
  void OnRequest(const RequestMetrics& request_metrics);
  /// Records a request that was rejected at admission.
  void OnRejected(ResultCode code);

  /// Records how long a request waited for the decision of a placer.
  void OnPlacementWait(Duration waited);
  /// Records a request for which placement is on and whose target this host
  /// chose itself.
  void OnPlacementFallback(std::string_view cause);
  /// Records that a pool has another placer than before.
  void OnPlacementHandover();

  /// Adds a function that sets metrics whenever they are read.
  void AddSampler(std::function<void(Metrics&)> sample) {
    m_samplers.push_back(std::move(sample));
  }

  /// Adds a gauge whose value is sampled by calling `read`. `labels` has the
  /// format that Metrics uses.
  void AddGauge(std::string name,
                std::string labels,
                std::function<double()> read);

  /// Samples the gauges and returns all metrics in the text format of Metrics.
  std::string Text();

 private:
  struct Gauge {
    std::string name;
    std::string labels;
    std::function<double()> read;
  };

  Metrics m_metrics;
  std::vector<Gauge> m_gauges;
  std::vector<std::function<void(Metrics&)>> m_samplers;
};

}  // namespace filbertrack

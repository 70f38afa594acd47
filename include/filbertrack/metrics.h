#pragma once

/// Counters, gauges and latency histograms (Boost.Histogram) of a process, in
/// the Prometheus text format.

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "filbertrack/base_time.h"

namespace filbertrack {

/// Histogram of durations from 50 µs to 100 s on a logarithmic axis. Values
/// outside the range are counted in the underflow or overflow bin.
class LatencyHistogram {
 public:
  LatencyHistogram();
  ~LatencyHistogram();

  void Add(Duration time);

  uint64_t count() const { return m_count; }
  Duration sum() const { return m_sum; }

  /// Upper edge of the bin that contains the quantile; `quantile` is from 0
  /// to 1. Returns 0 if nothing was recorded and 100 s if it lies in the
  /// overflow bin.
  Duration Quantile(double quantile) const;

  /// Calls `row` with the upper edge of each bin, in seconds, and the
  /// cumulative count up to it.
  template <typename Row>
  void ForEachBin(Row row) const;

 private:
  struct Bins;

  std::unique_ptr<Bins> m_bins;
  uint64_t m_count = 0;
  Duration m_sum{0};
};

class Metrics {
 public:
  /// `labels` is written verbatim between braces, for example `code="105"`. The
  /// returned reference remains valid for the lifetime of this object.
  uint64_t& Counter(std::string_view name, std::string_view labels = "");
  double& Gauge(std::string_view name, std::string_view labels = "");
  LatencyHistogram& Latency(std::string_view name,
                            std::string_view labels = "");

  /// All metrics in the Prometheus text format.
  std::string Text() const;

 private:
  template <typename Value>
  using Family = std::
      map<std::string, std::map<std::string, Value, std::less<>>, std::less<>>;

  Family<uint64_t> m_counters;
  Family<double> m_gauges;
  Family<LatencyHistogram> m_latencies;
};

}  // namespace filbertrack

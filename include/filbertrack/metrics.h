#pragma once

/// Counters, gauges and latency histograms (Boost.Histogram) of one process,
/// written in the usual text format.

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "filbertrack/base_time.h"

namespace filbertrack {

/// Times from 50 µs to 100 s on a logarithmic axis.
class LatencyHistogram {
 public:
  LatencyHistogram();
  ~LatencyHistogram();

  void Add(Duration time);

  uint64_t count() const { return m_count; }
  Duration sum() const { return m_sum; }

  /// Upper edge of the bin that holds the quantile, from 0 to 1.
  Duration Quantile(double quantile) const;

  /// Calls `row` with each bin's upper edge and the count up to it.
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
  /// `labels` is written between braces as it is, such as `code="105"`. The
  /// reference stays valid.
  uint64_t& Counter(std::string_view name, std::string_view labels = "");
  double& Gauge(std::string_view name, std::string_view labels = "");
  LatencyHistogram& Latency(std::string_view name,
                            std::string_view labels = "");

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

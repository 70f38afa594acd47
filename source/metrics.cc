#include "filbertrack/metrics.h"

#include <cmath>

#include <boost/histogram.hpp>

namespace filbertrack {

namespace {

namespace histogram = boost::histogram;

constexpr unsigned kBins = 520;
/// Bins that are combined into one bucket of the text format.
constexpr int kBinsPerBucket = 20;
constexpr double kMinSeconds = 50e-6;
constexpr double kMaxSeconds = 100;

using Axis = histogram::axis::regular<double, histogram::axis::transform::log>;
using Storage = histogram::dense_storage<uint64_t>;

std::string FormatSample(std::string_view name,
                         std::string_view labels,
                         const std::string& value) {
  std::string line(name);
  if (!labels.empty()) {
    line += "{" + std::string(labels) + "}";
  }
  return line + " " + value + "\n";
}

std::string JoinLabels(std::string_view labels, const std::string& label) {
  return labels.empty() ? label : std::string(labels) + "," + label;
}

template <typename Values, typename Format>
void WriteFamily(std::string& text,
                 const std::string& name,
                 std::string_view type,
                 const Values& values,
                 Format format) {
  text += "# TYPE " + name + " " + std::string(type) + "\n";
  for (const auto& [labels, value] : values) {
    text += FormatSample(name, labels, format(value));
  }
}

}  // namespace

struct LatencyHistogram::Bins {
  histogram::histogram<std::tuple<Axis>, Storage> counts =
      histogram::make_histogram_with(Storage(),
                                     Axis(kBins, kMinSeconds, kMaxSeconds));
};

LatencyHistogram::LatencyHistogram() : m_bins(std::make_unique<Bins>()) {}
LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::Add(Duration time) {
  ++m_count;
  m_sum += time;
  m_bins->counts(std::max(ToSeconds(time), 1e-6));
}

template <typename Row>
void LatencyHistogram::ForEachBin(Row row) const {
  uint64_t cumulative = m_bins->counts.at(-1);
  const Axis& axis = m_bins->counts.axis(std::integral_constant<unsigned, 0>());
  for (int i = 0; i < axis.size(); ++i) {
    cumulative += m_bins->counts.at(i);
    row(axis.bin(i).upper(), cumulative);
  }
}

Duration LatencyHistogram::Quantile(double quantile) const {
  const auto rank =
      static_cast<uint64_t>(std::ceil(quantile * static_cast<double>(m_count)));
  Duration edge = FromSeconds(kMaxSeconds);
  bool found = false;
  ForEachBin([&](double upper, uint64_t cumulative) {
    if (!found && cumulative >= rank) {
      edge = FromSeconds(upper);
      found = true;
    }
  });
  return m_count == 0 ? Duration(0) : edge;
}

uint64_t& Metrics::Counter(std::string_view name, std::string_view labels) {
  return m_counters[std::string(name)][std::string(labels)];
}

double& Metrics::Gauge(std::string_view name, std::string_view labels) {
  return m_gauges[std::string(name)][std::string(labels)];
}

LatencyHistogram& Metrics::Latency(std::string_view name,
                                   std::string_view labels) {
  return m_latencies[std::string(name)][std::string(labels)];
}

std::string Metrics::Text() const {
  std::string text;
  for (const auto& [name, values] : m_counters) {
    WriteFamily(text, name, "counter", values,
                [](uint64_t value) { return std::to_string(value); });
  }
  for (const auto& [name, values] : m_gauges) {
    WriteFamily(text, name, "gauge", values,
                [](double value) { return std::to_string(value); });
  }
  for (const auto& family : m_latencies) {
    const std::string& name = family.first;
    text += "# TYPE " + name + " histogram\n";
    for (const auto& row : family.second) {
      const std::string& labels = row.first;
      const LatencyHistogram& latency = row.second;
      int bin = 0;
      latency.ForEachBin([&](double upper, uint64_t cumulative) {
        if (++bin % kBinsPerBucket == 0) {
          text += FormatSample(
              name + "_bucket",
              JoinLabels(labels, "le=\"" + std::to_string(upper) + "\""),
              std::to_string(cumulative));
        }
      });
      text += FormatSample(name + "_bucket", JoinLabels(labels, "le=\"+Inf\""),
                           std::to_string(latency.count()));
      text += FormatSample(name + "_sum", labels,
                           std::to_string(ToSeconds(latency.sum())));
      text += FormatSample(name + "_count", labels,
                           std::to_string(latency.count()));
    }
  }
  return text;
}

}  // namespace filbertrack

#include "filbertrack/entry_metrics.h"

#include <utility>

namespace filbertrack {

namespace {

std::string Label(std::string_view name, std::string_view value) {
  return std::string(name) + "=\"" + std::string(value) + "\"";
}

std::string CodeLabel(ResultCode code) {
  return Label("code", std::to_string(static_cast<int>(code)));
}

std::string_view KindName(RepeatRule rule) {
  switch (rule) {
    case RepeatRule::kIdempotent:
      return "idempotent";
    case RepeatRule::kOnce:
      return "once";
    case RepeatRule::kResumable:
      return "stream";
    case RepeatRule::kOnceStream:
      return "once-stream";
  }
  return "once";
}

}  // namespace

void EntryMetrics::OnRequest(const RequestMetrics& request_metrics) {
  const std::string kind = Label("kind", KindName(request_metrics.repeat));
  ++m_metrics.Counter("filbertrack_requests_total",
                      kind + "," + CodeLabel(request_metrics.code));
  if (request_metrics.sends > 1) {
    m_metrics.Counter("filbertrack_resends_total", kind) +=
        static_cast<uint64_t>(request_metrics.sends - 1);
  }
  if (request_metrics.first_event) {
    m_metrics
        .Latency("filbertrack_first_event_seconds",
                 Label("model", request_metrics.model))
        .Add(*request_metrics.first_event);
  }
  if (request_metrics.longest_pause) {
    m_metrics.Latency("filbertrack_longest_pause_seconds")
        .Add(*request_metrics.longest_pause);
  }
  m_metrics.Latency("filbertrack_request_seconds", kind)
      .Add(request_metrics.total);
}

void EntryMetrics::OnRejected(ResultCode code) {
  ++m_metrics.Counter("filbertrack_rejected_total", CodeLabel(code));
}

void EntryMetrics::OnPlacementWait(Duration waited) {
  m_metrics.Latency("filbertrack_placement_wait_seconds").Add(waited);
}

void EntryMetrics::OnPlacementFallback(std::string_view cause) {
  ++m_metrics.Counter("filbertrack_placement_fallbacks", Label("cause", cause));
}

void EntryMetrics::OnPlacementHandover() {
  ++m_metrics.Counter("filbertrack_placement_handovers");
}

void EntryMetrics::AddGauge(std::string name,
                            std::string labels,
                            std::function<double()> read) {
  m_gauges.push_back({std::move(name), std::move(labels), std::move(read)});
}

std::string EntryMetrics::Text() {
  for (const Gauge& gauge : m_gauges) {
    m_metrics.Gauge(gauge.name, gauge.labels) = gauge.read();
  }
  for (const auto& sample : m_samplers) {
    sample(m_metrics);
  }
  return m_metrics.Text();
}

}  // namespace filbertrack

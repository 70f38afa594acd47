#include "filbertrack/entry_host.h"
#include "filbertrack/log.h"

/// EntryHost: the HTTP endpoints for the load balancer's readiness probe and
/// for metrics.

namespace filbertrack {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnready = 503;
constexpr std::string_view kReadyPath = "/ready";
constexpr std::string_view kMetricsPath = "/metrics";

}  // namespace

void EntryHost::AddGauges() {
  m_metrics.AddGauge("filbertrack_ready", "", [this] { return IsReady(); });
  m_metrics.AddGauge("filbertrack_config_version", "", [this] {
    return m_catalog == nullptr ? 0.0
                                : static_cast<double>(m_catalog->version());
  });
  m_metrics.AddGauge("filbertrack_config_age_seconds", "", [this] {
    return m_catalog == nullptr ? 0.0
                                : ToSeconds(MonotonicNow() - m_catalog_at);
  });
  m_metrics.AddGauge("filbertrack_loads_age_seconds", "", [this] {
    return ToSeconds(m_selector.LoadsAge(MonotonicNow()));
  });
  m_metrics.AddGauge("filbertrack_store_away", "",
                     [this] { return store_away(); });
  m_metrics.AddGauge("filbertrack_requests_open", "",
                     [this] { return static_cast<double>(m_relays.size()); });
  m_metrics.AddGauge("filbertrack_servers", "", [this] {
    return static_cast<double>(m_directory.servers().size());
  });
  m_metrics.AddGauge("filbertrack_servers_unreadable", "",
                     [this] { return static_cast<double>(m_unreadable); });
  m_metrics.AddGauge("filbertrack_attempts_ended_with_server", "", [this] {
    return static_cast<double>(m_poison.attempts_ended());
  });
  m_metrics.AddGauge("filbertrack_suspected_ends", "", [this] {
    return static_cast<double>(m_poison.CountSuspectedEnds());
  });
  m_metrics.AddGauge("filbertrack_marked_requests", "", [this] {
    return static_cast<double>(m_poison.ActiveBlocks().size());
  });
  m_metrics.AddGauge("filbertrack_servers_limited", "", [this] {
    return static_cast<double>(m_backpressure.CountLimited());
  });
  m_metrics.AddGauge("filbertrack_servers_resting", "", [this] {
    return static_cast<double>(m_backpressure.CountBackingOff(MonotonicNow()));
  });
  m_metrics.AddGauge("filbertrack_servers_leaving", "", [this] {
    return static_cast<double>(m_backpressure.CountLeaving());
  });
  m_metrics.AddGauge("filbertrack_servers_cold", "", [this] {
    return static_cast<double>(m_backpressure.CountCold(MonotonicNow()));
  });
  m_metrics.AddGauge("filbertrack_data_centres_evacuated", "", [this] {
    return static_cast<double>(m_evacuations.data_centres().size());
  });
  m_metrics.AddGauge("filbertrack_servers_reachable", "",
                     [this] { return reach().reachable(); });
  m_metrics.AddGauge("filbertrack_servers_unreachable", "", [this] {
    return static_cast<double>(m_reach.unreachable_servers().size());
  });
  m_metrics.AddGauge("filbertrack_reach_probes", "",
                     [this] { return static_cast<double>(m_reach.probes()); });
  const auto add_forwarded = [this](std::string name, const uint64_t& count) {
    m_metrics.AddGauge(std::move(name), "",
                       [&count] { return static_cast<double>(count); });
  };
  add_forwarded("filbertrack_requests_forwarded", m_forward.forwarded);
  add_forwarded("filbertrack_forwarded_accepted", m_forward.accepted);
  add_forwarded("filbertrack_forwarded_refused", m_forward.refused);
  m_metrics.AddGauge("filbertrack_held_bytes", "",
                     [this] { return static_cast<double>(HeldBytes()); });
  m_metrics.AddGauge("filbertrack_collected_bytes", "",
                     [this] { return static_cast<double>(CollectedBytes()); });
  m_metrics.AddGauge("filbertrack_callers_let_go", "",
                     [this] { return static_cast<double>(dropped_callers()); });
  m_metrics.AddGauge("filbertrack_targets", "", [this] {
    return static_cast<double>(m_selector.CountTargets());
  });
  m_metrics.AddGauge("filbertrack_log_lines_dropped", "",
                     [] { return static_cast<double>(DroppedLogLines()); });
}

void EntryHost::OnProbe(HttpExchange& exchange) {
  if (exchange.path() == kReadyPath) {
    exchange.Reply(IsReady() ? kOk : kUnready, {}, "");
    return;
  }
  if (exchange.path() == kMetricsPath) {
    exchange.Reply(kOk, {{"Content-Type", "text/plain"}}, m_metrics.Text());
    return;
  }
  exchange.Reply(kNotFound, {}, "");
}

}  // namespace filbertrack

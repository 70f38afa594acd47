#include "filbertrack/entry_reach.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "filbertrack/log.h"

namespace filbertrack {

namespace {

constexpr Duration kTickInterval = Milliseconds(50);
/// Weight of the latest tick in the average lateness of the loop.
constexpr double kLatenessWeight = 0.2;

}  // namespace

EntryReach::EntryReach(EventLoop& loop,
                       ReachPolicy policy,
                       HttpClient& client,
                       uint64_t seed,
                       Servers servers,
                       Events events)
    : m_loop(loop),
      m_monitor(policy),
      m_client(client),
      m_random(seed),
      m_servers(std::move(servers)),
      m_events(std::move(events)) {
  m_client.SetObserver(this);
}

EntryReach::~EntryReach() {
  *m_alive = false;
  m_client.SetObserver(nullptr);
}

void EntryReach::SetRequests(size_t requests) {
  m_requests = requests;
  m_monitor.SetRequests(requests, MonotonicNow());
  UpdateTimer();
}

void EntryReach::UpdateTimer() {
  const bool is_active = m_requests > 0 || !m_monitor.reachable();
  if (!is_active) {
    m_tick_timer.reset();
  } else if (m_tick_timer == nullptr) {
    m_ticked_at = MonotonicNow();
    m_tick_timer = m_loop.Every(kTickInterval, [this] { Tick(); });
  }
}

void EntryReach::OnConnected(const Address&) {
  m_monitor.OnConnected(MonotonicNow());
}

void EntryReach::OnBytes(const Address&) {
  m_monitor.OnBytes(MonotonicNow());
}

void EntryReach::OnConnectionFailed(const Address& address) {
  m_monitor.OnFailure(address.ToString(), MonotonicNow());
  if (m_monitor.IsCheckDue(MonotonicNow())) {
    // Deferred, as the call that failed is still being handled.
    m_loop.Post([this, alive = m_alive] {
      if (*alive) {
        CheckIfDue();
      }
    });
  }
}

void EntryReach::Tick() {
  const TimePoint now = MonotonicNow();
  const Duration late =
      std::max(Duration(0), now - m_ticked_at - kTickInterval);
  m_ticked_at = now;
  m_lateness += Scale(late - m_lateness, kLatenessWeight);
  for (const Address& address :
       m_client.SlowConnects(now, m_monitor.policy().slow_connect)) {
    m_monitor.OnFailure(address.ToString(), now);
  }
  CheckIfDue();
}

std::vector<Address> EntryReach::Sample(size_t count) {
  std::vector<Address> servers = m_servers();
  if (servers.size() <= count) {
    return servers;
  }
  std::vector<Address> sample;
  const size_t start = m_random() % servers.size();
  for (size_t i = 0; i < count; ++i) {
    const size_t at = (start + i * servers.size() / count) % servers.size();
    sample.push_back(std::move(servers[at]));
  }
  return sample;
}

void EntryReach::CheckIfDue() {
  const TimePoint now = MonotonicNow();
  if (!m_monitor.IsCheckDue(now)) {
    return;
  }
  m_monitor.BeginCheck(now);
  m_check_began = now;
  m_check = {};
  const std::vector<Address> servers = Sample(m_monitor.policy().probes);
  m_pending = servers.size();
  m_check.probed = servers.size();
  if (servers.empty()) {
    EndCheck();
    return;
  }
  m_check_timer =
      m_loop.After(m_monitor.policy().probe_timeout, [this] { EndCheck(); });
  for (const Address& server : servers) {
    StartProbe(server);
  }
  if (m_events.suspected) {
    m_events.suspected();
  }
}

void EntryReach::StartProbe(const Address& server) {
  ++m_probes_sent;
  auto probe = m_client.Connect(server);
  probe->Start({[this, weak = std::weak_ptr(probe)] {
                  // A connection takes up one of those that the server accepts.
                  weak.lock()->Close();
                  OnProbed(true);
                },
                [](std::string_view) {},
                [this](StreamEnd) { OnProbed(false); },
                {}});
  m_probes.push_back(std::move(probe));
}

void EntryReach::OnProbed(bool accepted) {
  if (m_pending == 0) {
    return;
  }
  --m_pending;
  m_check.failed += accepted ? 0 : 1;
  if (m_pending == 0) {
    // Deferred, as the stream that reported is destroyed with the check.
    m_check_timer = m_loop.After(Duration(0), [this] { EndCheck(); });
  }
}

void EntryReach::EndCheck() {
  const TimePoint now = MonotonicNow();
  m_check.failed += std::exchange(m_pending, 0);
  m_check.took = now - m_check_began;
  for (const auto& probe : m_probes) {
    probe->Close();
  }
  m_probes.clear();
  const bool changed = m_monitor.EndCheck(m_check, now);
  if (changed) {
    Log(LogLevel::kWarning,
        m_monitor.reachable() ? "servers-reachable" : "servers-unreachable",
        {{"probed", m_check.probed},
         {"failed", m_check.failed},
         {"took_ms", ToMilliseconds(m_check.took)},
         {"requests", m_requests}});
  }
  UpdateTimer();
  m_check_timer.reset();
  if (changed && m_events.changed) {
    m_events.changed();
  }
}

}  // namespace filbertrack

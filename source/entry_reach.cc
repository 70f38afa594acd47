#include "filbertrack/entry_reach.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "filbertrack/log.h"

namespace filbertrack {

namespace {

constexpr Duration kTickInterval = Milliseconds(50);
/// Ticks from one look for silent servers to the next.
constexpr uint64_t kTicksPerSilenceCheck = 2;
/// Silence of a server after which it is probed: to requests that wait there,
/// and within a response.
constexpr Duration kMaxWait = Milliseconds(500);
constexpr Duration kMaxPause = Milliseconds(250);
/// Weight of the latest tick in the average lateness of the loop.
constexpr double kLatenessWeight = 0.2;

}  // namespace

EntryReach::EntryReach(EventLoop& loop,
                       HttpClient& client,
                       uint64_t seed,
                       Servers servers,
                       Events events)
    : m_loop(loop),
      m_monitor(ReachPolicy{}),
      m_server_reach(ServerReachPolicy{}),
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
  const bool is_active = m_requests > 0 || !m_monitor.reachable() ||
                         !m_server_reach.unreachable().empty();
  if (!is_active) {
    m_tick_timer.reset();
  } else if (m_tick_timer == nullptr) {
    m_ticked_at = MonotonicNow();
    m_tick_timer = m_loop.Every(kTickInterval, [this] { Tick(); });
  }
}

void EntryReach::OnConnected(const Address& address) {
  m_monitor.OnConnected(MonotonicNow());
  m_server_reach.OnConnected(address);
}

void EntryReach::OnBytes(const Address&) {
  m_monitor.OnBytes(MonotonicNow());
}

void EntryReach::OnConnectionFailed(const Address& address) {
  // Deferred, as the call that failed is still being handled.
  m_loop.Post([this, address, alive = m_alive] {
    if (*alive) {
      Suspect(address);
      CheckIfDue();
    }
  });
}

void EntryReach::Suspect(const Address& server) {
  const TimePoint now = MonotonicNow();
  m_monitor.OnFailure(server.ToString(), now);
  if (m_monitor.reachable() && !IsProbed(server) &&
      !m_server_reach.unreachable().contains(server)) {
    StartProbe(server, false);
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
    Suspect(address);
  }
  if (++m_ticks % kTicksPerSilenceCheck == 0 && m_monitor.reachable()) {
    for (const Address& server :
         m_client.SilentServers(now, kMaxWait, kMaxPause)) {
      if (m_server_reach.MayProbeSilent(server, now) && !IsProbed(server)) {
        StartProbe(server, false);
      }
    }
  }
  CheckIfDue();
  ProbeUnreachable();
  UpdateTimer();
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
  m_outcomes.clear();
  const std::vector<Address> servers = Sample(m_monitor.policy().probes);
  m_check.probed = servers.size();
  m_pending_samples = servers.size();
  if (servers.empty()) {
    EndCheck();
    return;
  }
  for (const Address& server : servers) {
    StartProbe(server, true);
  }
  if (m_events.suspected) {
    m_events.suspected();
  }
}

void EntryReach::ProbeUnreachable() {
  const TimePoint now = MonotonicNow();
  if (m_server_reach.unreachable().empty()) {
    return;
  }
  const std::vector<Address> servers = m_servers();
  m_server_reach.Retain({servers.begin(), servers.end()});
  for (const Address& server : m_server_reach.TakeDueProbes(now)) {
    StartProbe(server, false);
  }
  if (m_server_reach.TakeSweep(now)) {
    const size_t count =
        std::min(servers.size(), m_server_reach.policy().max_swept);
    for (const Address& server : Sample(count)) {
      if (!IsProbed(server)) {
        StartProbe(server, false);
      }
    }
  }
}

bool EntryReach::IsProbed(const Address& server) const {
  return std::any_of(
      m_probes.begin(), m_probes.end(),
      [&server](const auto& row) { return row.second.server == server; });
}

void EntryReach::StartProbe(const Address& server, bool is_sample) {
  const uint64_t id = ++m_probes_sent;
  auto stream = m_client.Connect(server);
  stream->Start({[this, id] { EndProbe(id, true, true); },
                 [](std::string_view) {},
                 [this, id](StreamEnd) { EndProbe(id, false, true); },
                 {}});
  const Duration timeout = m_monitor.policy().probe_timeout;
  m_probes[id] = {std::move(stream), server, is_sample, MonotonicNow()};
  m_loop.Call(timeout, [this, id, alive = m_alive] {
    if (*alive) {
      ExpireProbe(id);
    }
  });
}

void EntryReach::ExpireProbe(uint64_t id) {
  const auto found = m_probes.find(id);
  if (found != m_probes.end()) {
    const Duration age = MonotonicNow() - found->second.started;
    const ReachPolicy& policy = m_monitor.policy();
    EndProbe(id, false, age <= policy.probe_timeout + policy.max_lateness);
  }
}

void EntryReach::EndProbe(uint64_t id, bool accepted, bool decides) {
  const auto found = m_probes.find(id);
  if (found == m_probes.end()) {
    return;
  }
  const Probe probe = std::move(found->second);
  m_probes.erase(found);
  // An open connection takes up one of those that the server accepts.
  probe.stream->Close();
  const bool is_single = decides && !probe.is_sample;
  if (is_single && m_monitor.is_checking()) {
    m_outcomes.emplace_back(probe.server, accepted);
  } else if (is_single && m_monitor.reachable()) {
    RecordServer(probe.server, accepted);
  }
  if (!probe.is_sample) {
    return;
  }
  m_check.failed += accepted ? 0 : 1;
  --m_pending_samples;
  if (m_pending_samples == 0) {
    EndCheck();
  }
}

void EntryReach::RecordServer(const Address& server, bool accepted) {
  if (!m_server_reach.OnProbed(server, accepted, MonotonicNow())) {
    return;
  }
  Log(LogLevel::kInfo, accepted ? "server-reachable" : "server-unreachable",
      {{"server", server.ToString()},
       {"unreachable", m_server_reach.unreachable().size()}});
  if (accepted) {
    return;
  }
  m_monitor.OnFailure(server.ToString(), MonotonicNow());
  if (m_events.suspected) {
    m_events.suspected();
  }
  if (m_events.server_lost) {
    m_events.server_lost(server);
  }
}

void EntryReach::EndCheck() {
  const TimePoint now = MonotonicNow();
  m_check.took = now - m_check_began;
  const bool changed = m_monitor.EndCheck(m_check, now);
  if (changed) {
    Log(LogLevel::kWarning,
        m_monitor.reachable() ? "servers-reachable" : "servers-unreachable",
        {{"probed", m_check.probed},
         {"failed", m_check.failed},
         {"took_ms", ToMilliseconds(m_check.took)},
         {"requests", m_requests}});
  }
  const auto outcomes = std::exchange(m_outcomes, {});
  if (!m_monitor.reachable()) {
    m_server_reach.Clear();
  } else {
    for (const auto& [server, accepted] : outcomes) {
      RecordServer(server, accepted);
    }
  }
  if (changed && m_events.changed) {
    m_events.changed();
  }
}

}  // namespace filbertrack

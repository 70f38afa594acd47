#include "filbertrack/entry_control.h"

#include <algorithm>
#include <random>

#include <nlohmann/json.hpp>

#include "filbertrack/base_hash.h"
#include "filbertrack/log.h"

namespace filbertrack {

namespace {

using Json = nlohmann::json;

/// Interval between ticks of an entry host that does not hold the lease.
constexpr Duration kFollowerInterval = Milliseconds(200);
constexpr Duration kCountsLogInterval = Seconds(1);
/// Limits of the probes on behalf of another entry host.
constexpr size_t kMaxProbedForPeer = 256;
constexpr Duration kProbeForPeerTimeout = Milliseconds(200);

/// Log fields of an order.
struct OrderToJson {
  Json operator()(const JoinGroup& order) const {
    return {{"order", "join"},
            {"group", order.group.name},
            {"members", order.members}};
  }
  Json operator()(const OpenGroup& order) const {
    return {
        {"order", "open"}, {"group", order.group.name}, {"head", order.head}};
  }
  Json operator()(const CloseGroup& order) const {
    return {{"order", "close"},
            {"group", order.group.name},
            {"head", order.head},
            {"cancel", order.cancel}};
  }
  Json operator()(const LeaveGroup& order) const {
    return {
        {"order", "leave"}, {"group", order.group.name}, {"host", order.host}};
  }
  Json operator()(const StageModel& order) const {
    return {{"order", "stage"}, {"model", order.model}, {"host", order.host}};
  }
};

/// Hosts that an order is sent to.
struct OrderRecipients {
  std::vector<std::string> operator()(const JoinGroup& order) const {
    return order.members;
  }
  std::vector<std::string> operator()(const OpenGroup& order) const {
    return {order.head};
  }
  std::vector<std::string> operator()(const CloseGroup& order) const {
    return {order.head};
  }
  std::vector<std::string> operator()(const LeaveGroup& order) const {
    return {order.host};
  }
  std::vector<std::string> operator()(const StageModel& order) const {
    return {order.host};
  }
};

}  // namespace

EntryControl::EntryControl(EventLoop& loop,
                           const std::string& node,
                           const ControlPolicy& policy,
                           EntryHost& host,
                           EntryPeers& peers,
                           EngineClient& engines,
                           RecordStore& records)
    : m_loop(loop),
      m_policy(policy),
      m_host(host),
      m_peers(peers),
      m_engines(engines),
      // The start time distinguishes two processes with the same name, so that
      // neither mistakes the other's lease for its own.
      m_lease(node + kHolderSeparator + std::to_string(WallTimeMs()),
              policy.lease,
              records,
              MonotonicNow,
              {[this] { OnLeaseGained(); }, [this] { OnLeaseLost(); }}),
      m_prober(engines,
               policy.probes,
               MonotonicNow,
               [this](Duration delay, std::function<void()> action) {
                 m_loop.Call(delay, std::move(action));
               }) {
  m_prober.SetConfirmation(
      [this](const std::vector<std::string>& hosts,
             EntryProber::Confirmed done) {
        m_peers.AskForProbes(hosts, std::move(done));
      },
      [this](size_t disputed) {
        if (disputed >= m_policy.min_disputed) {
          m_disputed_at = MonotonicNow();
        }
      });
  m_peers.OnProbeRequest(
      [this, alive = m_alive](const std::vector<std::string>& servers,
                              const auto& done) {
        if (*alive) {
          ProbeForPeer(servers, done);
        }
      });
}

EntryControl::~EntryControl() {
  *m_alive = false;
}

void EntryControl::Start() {
  m_host.OnChange([this] {
    m_peers.OnLocalChange();
    SchedulePass();
  });
  Tick();
}

void EntryControl::Tick() {
  if (m_stopping) {
    return;
  }
  // Only the hosts that watch the store compete for the lease. If every host
  // read the lease record, store calls would grow with the fleet.
  const TimePoint now = MonotonicNow();
  m_lease.Tick(m_peers.watches() && !IsCutOff(now));
  YieldToStronger(now);
  ReleaseIfCutOff(now);
  const bool holds = holds_lease();
  if (m_host.reach().reachable() != m_was_reachable) {
    m_was_reachable = m_host.reach().reachable();
    m_prober.DiscardRounds();
  }
  if (holds && m_was_reachable) {
    if (m_host.catalog() != nullptr) {
      m_prober.Tick(m_host.directory(), *m_host.catalog());
    }
    RunPass();
  }
  m_tick_timer = m_loop.After(
      holds ? m_policy.pass_interval : kFollowerInterval, [this] { Tick(); });
}

void EntryControl::YieldToStronger(TimePoint now) {
  if (!holds_lease() || !m_peers.ShouldYield(now)) {
    m_stronger_since.reset();
    return;
  }
  if (!m_stronger_since) {
    m_stronger_since = now;
  }
  if (now - *m_stronger_since >= m_policy.yield_after) {
    Log(LogLevel::kInfo, "lease-yielded", {{"fence", m_lease.fence()}});
    m_lease.Release();
    m_lease.Tick(false);
  }
}

bool EntryControl::IsCutOff(TimePoint now) const {
  const ReachMonitor& reach = m_host.reach();
  const bool is_partly_cut_off =
      m_disputed_at && now - *m_disputed_at < m_policy.disputed_pause;
  return is_partly_cut_off ||
         (!reach.reachable() &&
          now - reach.unreachable_since() >= m_policy.cut_off_yield_after);
}

void EntryControl::ProbeForPeer(
    const std::vector<std::string>& servers,
    const std::function<void(const std::vector<std::string>&)>& done) {
  struct Answers {
    size_t pending = 0;
    std::vector<std::string> answered;
  };
  const auto answers = std::make_shared<Answers>();
  std::vector<const BackendServer*> known;
  for (const std::string& id : servers) {
    const BackendServer* server = m_host.directory().Find(id);
    if (server != nullptr && known.size() < kMaxProbedForPeer) {
      known.push_back(server);
    }
  }
  answers->pending = known.size();
  if (known.empty()) {
    done({});
    return;
  }
  for (const BackendServer* server : known) {
    m_engines.Probe(*server, kProbeForPeerTimeout,
                    [answers, done, id = server->id](const ProbeAnswer& probe) {
                      if (probe.answered) {
                        answers->answered.push_back(id);
                      }
                      if (--answers->pending == 0) {
                        done(answers->answered);
                      }
                    });
  }
}

void EntryControl::ReleaseIfCutOff(TimePoint now) {
  // A renewal that is under way can win over the release.
  if (!holds_lease() || !IsCutOff(now) ||
      now - m_released_at < m_policy.release_interval) {
    return;
  }
  m_released_at = now;
  Log(LogLevel::kWarning, "lease-released",
      {{"fence", m_lease.fence()}, {"why", "servers unreachable from here"}});
  m_lease.Release();
  m_lease.Tick(false);
}

void EntryControl::OnLeaseGained() {
  m_peers.SetNeedsWatch(true);
  m_memory.clear();
  m_outbox.Clear();
  m_prober.Clear();
  Log(LogLevel::kInfo, "lease-gained",
      {{"fence", m_lease.fence()}, {"version", m_lease.version()}});
}

void EntryControl::OnLeaseLost() {
  m_peers.SetNeedsWatch(false);
  Log(LogLevel::kWarning, "lease-lost",
      {{"fence", m_lease.fence()}, {"holder", m_lease.holder()}});
}

void EntryControl::Stop() {
  m_stopping = true;
  m_tick_timer.reset();
  m_lease.Release();
}

/// A changed report may allow the next order of a repair. Waiting for the next
/// tick would add half of the tick interval on average to each step.
void EntryControl::SchedulePass() {
  if (m_pass_pending || !holds_lease()) {
    return;
  }
  m_pass_pending = true;
  m_loop.Call(m_policy.coalesce_delay, [this, alive = m_alive] {
    if (!*alive) {
      return;
    }
    m_pass_pending = false;
    if (holds_lease() && !m_stopping) {
      RunPass();
    }
  });
}

void EntryControl::RunPass() {
  const Catalog* catalog = m_host.catalog();
  // What this host does not reach is no reason for orders.
  if (catalog == nullptr || !m_outbox.empty() || !m_host.reach().reachable()) {
    return;
  }
  for (const auto& [name, service] : catalog->services()) {
    if (!service.engine) {
      continue;
    }
    ReplicaMemory& memory = m_memory[name];
    memory.term = m_lease.fence();
    const TimePoint now = MonotonicNow();
    const ReplicaInput input{
        m_host.directory(),
        m_prober.probe_results(),
        service,
        !m_host.traffic_seen(),
        m_prober.AllProbed(m_host.directory(), name),
        m_host.Pressure(service),
        &m_host.evacuations(),
        CountOtherLoads(m_memory, name, m_policy.replicas, now)};
    for (const PlannedOrder& planned :
         PlanReplicas(input, m_policy.replicas, memory, now)) {
      EnqueueOrder(name, planned);
    }
    if (now - m_counts_logged_at >= kCountsLogInterval) {
      m_counts_logged_at = now;
      LogCounts(name, CountReplicas(input, m_policy.replicas, memory, now));
    }
  }
  SendBatch();
}

void EntryControl::LogCounts(const std::string& service,
                             const ReplicaCounts& counts) {
  Log(LogLevel::kInfo, "groups",
      {{"service", service},
       {"usable", counts.usable},
       {"silent", counts.silent},
       {"quarantined", counts.quarantined},
       {"loading", counts.loading},
       {"empty", counts.empty},
       {"serving", counts.serving},
       {"not_serving", counts.not_serving},
       {"standing_by", counts.standing_by}});
}

void EntryControl::EnqueueOrder(const std::string& service,
                                const PlannedOrder& planned) {
  Json fields = std::visit(OrderToJson{}, planned.order);
  fields["service"] = service;
  fields["why"] = planned.reason;
  fields["fence"] = m_lease.fence();
  Log(LogLevel::kInfo, "order", fields);
  const auto hosts = planned.recipients.empty()
                         ? std::visit(OrderRecipients{}, planned.order)
                         : planned.recipients;
  for (const std::string& host : hosts) {
    m_outbox.Push(host, planned.order);
  }
}

void EntryControl::SendBatch() {
  for (const QueuedOrder& queued : m_outbox.TakeBatch()) {
    SendOrder(queued.host, queued.order);
  }
  if (m_outbox.empty()) {
    return;
  }
  m_loop.Call(m_policy.batch_pause, [this, alive = m_alive] {
    if (*alive) {
      SendBatch();
    }
  });
}

void EntryControl::SendOrder(const std::string& host_id,
                             const ReplicaOrder& order) {
  // A host whose registration has expired may still respond.
  const BackendServer* host = m_host.directory().FindLast(host_id);
  // The lease is checked against the clock right before the send. A process
  // that was paused since planning may have lost it, and engines that ignore
  // fences would carry out the order.
  if (host == nullptr || !holds_lease()) {
    return;
  }
  // The order may have been queued before the evacuation.
  if (m_host.evacuations().Contains(host->data_centre)) {
    Log(LogLevel::kInfo, "order-dropped",
        {{"host", host_id}, {"evacuated", host->data_centre}});
    return;
  }
  m_engines.Order(
      *host, order,
      [this, host_id, service = host->service, order,
       alive = m_alive](OrderResult result) {
        if (*alive) {
          OnOrderResult(service, order, result);
        }
        if (result != OrderResult::kAccepted) {
          Log(LogLevel::kInfo, "order-result",
              {{"host", host_id}, {"result", static_cast<int>(result)}});
        }
      });
}

void EntryControl::OnOrderResult(const std::string& service,
                                 const ReplicaOrder& order,
                                 OrderResult result) {
  const auto memory = m_memory.find(service);
  if (result != OrderResult::kUnknown && memory != m_memory.end()) {
    OnOrderAnswered(order, memory->second);
  }
  const auto* leave = std::get_if<LeaveGroup>(&order);
  // If another process has the address, the host's own process has ended.
  const bool has_left =
      result == OrderResult::kAccepted || result == OrderResult::kWrongServer;
  if (leave == nullptr || !has_left) {
    return;
  }
  const BackendServer* head = m_host.directory().FindLastHead(leave->group);
  if (head != nullptr && head->id == leave->host) {
    m_host.OnHeadLeft(leave->group);
    SchedulePass();
  }
}

}  // namespace filbertrack

#include "filbertrack/controller.h"

#include <chrono>

#include <nlohmann/json.hpp>

#include "filbertrack/base_hash.h"
#include "filbertrack/log.h"

namespace filbertrack {

namespace {

using Json = nlohmann::json;

constexpr size_t kIdleConnections = 1;
constexpr Duration kPassInterval = Milliseconds(100);
/// How long a stopping controller waits for its last writes.
constexpr Duration kStopLimit = Seconds(2);
/// Challengers for one lease spread over this much of its duration.
constexpr double kRankSpread = 0.3;

int64_t WallTimeMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

Json JoinBody(const Group& group, const std::string& host, uint64_t fence) {
  size_t rank = 0;
  while (group.members[rank] != host) {
    ++rank;
  }
  return {{"action", "join"},
          {"fence", fence},
          {"group", group.id},
          {"epoch", group.epoch},
          {"members", group.members},
          {"rank", rank},
          {"model_version", group.model_version},
          {"adapters", group.adapters}};
}

}  // namespace

/// One fabric domain as this controller knows it.
struct Controller::Domain {
  DomainHosts hosts;
  DomainState state;
  LeaseView lease;
  HostViews views;
  struct PhaseSeen {
    uint64_t epoch = 0;
    GroupPhase phase = GroupPhase::kLoading;
  };
  std::map<std::string, PhaseSeen> phase_seen;
  std::map<std::string, TimePoint> phase_since;
  /// One order at a time to each host.
  std::map<std::string, std::unique_ptr<HttpCall>> orders;
  bool writing = false;
  /// Since when this controller has held the lease without a break.
  std::optional<TimePoint> acting_since;
};

Controller::Controller(EventLoop& loop, const Settings& settings)
    : m_loop(loop),
      m_settings(settings),
      m_node(settings.Text("node", "name")),
      m_store(loop,
              settings.At("store", "address"),
              settings.Time("store", "timeout"),
              settings.Time("store", "watch_wait")),
      m_config(m_store, m_cache, [] {}),
      m_members(loop,
                settings.Time("repair", "beat_interval"),
                [](const std::string&, const MemberEvidence&) {}),
      m_http(loop, kIdleConnections) {
  m_lease_policy.duration = settings.Time("lease", "duration");
  m_lease_policy.renew_every = settings.Time("lease", "renew_every");
  m_lease_policy.order_life = settings.Time("lease", "order_life");
  m_plan_policy.repair = settings.Text("repair", "policy") == "rebuild"
                             ? RepairPolicy::kRebuildGroup
                             : RepairPolicy::kSwapMember;
  m_plan_policy.lost_after = settings.Time("repair", "lost_after");
  m_plan_policy.settle = settings.Time("repair", "settle");
  m_plan_policy.drain_limit = settings.Time("repair", "drain_limit");
  m_plan_policy.drain_floor = settings.Time("repair", "drain_floor");
  m_watch = std::make_unique<StoreWatch>(loop, m_store, m_cache,
                                         [this] { OnObjects(); });
  m_watch->SetPrefixes({std::string(kConfigRootKey),
                        std::string(kDomainStatePrefix),
                        std::string(kPlatformHostsPrefix)});
  m_pass_timer = loop.Every(kPassInterval, [this] { Pass(); });
}

Controller::~Controller() = default;

Result<Address> Controller::Listen() {
  m_admin_server = std::make_unique<HttpServer>(
      m_loop, HttpServerLimits(), [this](auto exchange) {
        if (exchange->path() == "/healthz") {
          exchange->Reply(200, {}, "ok\n");
        } else {
          exchange->Reply(200, {{"Content-Type", "application/json"}},
                          StatusText());
        }
      });
  return m_admin_server->Listen(m_settings.At("admin", "listen"));
}

void Controller::OnObjects() {
  m_config.Follow();
  ReadDomains();
  WatchHosts();
}

void Controller::ReadDomains() {
  const TimePoint now = MonotonicNow();
  for (const StoredObject* object : m_cache.List(kPlatformHostsPrefix)) {
    const std::string name = object->key.substr(kPlatformHostsPrefix.size());
    const Result<DomainHosts> hosts = ParseDomainHosts(name, object->value);
    if (!hosts) {
      Log(LogLevel::kError, "hosts-refused", {{"why", hosts.error().message}});
      continue;
    }
    std::unique_ptr<Domain>& domain = m_domains[name];
    if (domain == nullptr) {
      domain = std::make_unique<Domain>();
      domain->lease.version_first_seen = now;
    }
    domain->hosts = *hosts;
    const StoredObject* state =
        m_cache.Find(std::string(kDomainStatePrefix) + name);
    if (state != nullptr) {
      ReadState(*domain, *state);
    }
  }
}

void Controller::ReadState(Domain& domain, const StoredObject& object) {
  const TimePoint now = MonotonicNow();
  if (object.version <= domain.lease.version) {
    return;
  }
  const Result<DomainState> state = ParseDomainState(object.value);
  if (!state) {
    Log(LogLevel::kError, "state-refused", {{"why", state.error().message}});
    return;
  }
  domain.state = *state;
  domain.lease.version = object.version;
  domain.lease.version_first_seen = now;
  if (state->lease != domain.lease.lease) {
    domain.lease.lease = state->lease;
    if (state->lease.holder != m_node) {
      domain.lease.own_write_began.reset();
    }
  }
  std::map<std::string, Domain::PhaseSeen> seen;
  for (const Group& group : domain.state.groups) {
    const Domain::PhaseSeen present{group.epoch, group.phase};
    const auto known = domain.phase_seen.find(group.id);
    if (known == domain.phase_seen.end() ||
        known->second.epoch != present.epoch ||
        known->second.phase != present.phase) {
      domain.phase_since[group.id] = now;
    }
    seen[group.id] = present;
  }
  domain.phase_seen = std::move(seen);
}

void Controller::WatchHosts() {
  const TimePoint now = MonotonicNow();
  std::map<std::string, Address, std::less<>> hosts;
  for (const auto& [name, domain] : m_domains) {
    if (!MayAct(domain->lease, m_node, m_lease_policy, now)) {
      continue;
    }
    for (const PlatformHost& host : domain->hosts.hosts) {
      hosts[host.name] = host.address;
    }
  }
  m_members.SetMembers(hosts);
}

void Controller::Pass() {
  for (auto& [name, domain] : m_domains) {
    PassDomain(*domain);
  }
}

void Controller::PassDomain(Domain& domain) {
  if (domain.writing || m_stopping) {
    return;
  }
  const TimePoint now = MonotonicNow();
  const double rank =
      static_cast<double>(RendezvousWeight(domain.hosts.domain, m_node) %
                          1000) /
      1000;
  const auto rank_delay = Duration(static_cast<int64_t>(
      rank * kRankSpread *
      static_cast<double>(m_lease_policy.duration.count())));
  if (MayTake(domain.lease, m_node, m_lease_policy, rank_delay, now)) {
    domain.acting_since.reset();
    TakeLease(domain);
  } else if (MayAct(domain.lease, m_node, m_lease_policy, now)) {
    Act(domain, now);
  } else {
    domain.acting_since.reset();
  }
}

void Controller::TakeLease(Domain& domain) {
  DomainState next = domain.state;
  next.lease = {m_node, next.lease.fence + 1};
  Log(LogLevel::kInfo, "lease-wanted",
      {{"domain", domain.hosts.domain}, {"fence", next.lease.fence}});
  Write(domain, std::move(next));
}

void Controller::Act(Domain& domain, TimePoint now) {
  for (const PlatformHost& host : domain.hosts.hosts) {
    const MemberEvidence* evidence = m_members.Find(host.name);
    if (evidence != nullptr) {
      ObserveHost(domain.views[host.name], *evidence, m_plan_policy, now);
    }
  }
  DomainSummaries summaries;
  for (const auto& [name, known] : m_domains) {
    summaries[name] = {known->hosts, known->state};
  }
  const Assignment wanted = AssignReplicas(m_config.resources(), summaries);
  const auto here = wanted.find(domain.hosts.domain);
  const std::map<std::string, int> none;
  const std::vector<std::string> may_roll =
      MayRoll(m_config.resources(), summaries, domain.hosts.domain);
  const PlanInput input{domain.state,
                        domain.hosts,
                        domain.views,
                        m_config.resources(),
                        here == wanted.end() ? none : here->second,
                        may_roll,
                        domain.phase_since};
  // Right after the lease was taken no host has been heard yet, and all of them
  // would look lost.
  if (!domain.acting_since) {
    domain.acting_since = now;
  }
  if (now - *domain.acting_since < m_plan_policy.lost_after) {
    return;
  }
  Plan plan = PlanDomain(input, m_plan_policy, now);
  SendOrders(domain, plan.orders);
  const auto free =
      static_cast<int>(FreeHosts(input, m_plan_policy, now).size());
  if (plan.change) {
    DomainState next = std::move(plan.change->next);
    DecisionRecord record = std::move(plan.change->record);
    record.wall_time_ms = WallTimeMs();
    record.controller = m_node;
    Log(LogLevel::kInfo, "decision",
        {{"domain", domain.hosts.domain},
         {"action", record.action},
         {"group", record.group},
         {"epoch", record.epoch},
         {"evidence", record.evidence}});
    AppendDecision(next, std::move(record));
    next.free_hosts = free;
    Write(domain, std::move(next));
    return;
  }
  if (ShouldRenew(domain.lease, m_node, m_lease_policy, now) ||
      free != domain.state.free_hosts) {
    DomainState next = domain.state;
    next.free_hosts = free;
    Write(domain, std::move(next));
  }
}

void Controller::Write(Domain& domain, DomainState next) {
  domain.writing = true;
  ++next.renewals;
  const std::string name = domain.hosts.domain;
  const std::string text = ToJson(next).dump();
  const TimePoint began = MonotonicNow();
  m_store.Put(std::string(kDomainStatePrefix) + name, text,
              domain.lease.version,
              [this, name, text, began](const StoreAnswer& answer) {
                OnWritten(name, text, began, answer);
              });
}

void Controller::OnWritten(const std::string& name,
                           const std::string& text,
                           TimePoint began,
                           const StoreAnswer& answer) {
  Domain& domain = *m_domains.find(name)->second;
  if (answer.status == StoreStatus::kOk) {
    domain.writing = false;
    const StoredObject written{std::string(kDomainStatePrefix) + name, text,
                               answer.object.version};
    m_cache.Offer(written);
    ReadState(domain, written);
    domain.lease.own_write_began = began;
    WatchHosts();
    return;
  }
  // A conflict may be our own write whose answer was lost and which a retry of
  // the connection repeated; an unavailable store may have taken it. The object
  // itself tells.
  ReadBack(name, text, began);
}

void Controller::ReadBack(const std::string& name,
                          const std::string& text,
                          TimePoint began) {
  m_store.Get(std::string(kDomainStatePrefix) + name,
              [this, name, text, began](const StoreAnswer& answer) {
                Domain& domain = *m_domains.find(name)->second;
                domain.writing = false;
                if (answer.status != StoreStatus::kOk) {
                  return;
                }
                m_cache.Offer(answer.object);
                ReadState(domain, answer.object);
                if (answer.object.value == text) {
                  domain.lease.own_write_began = began;
                  WatchHosts();
                }
              });
}

void Controller::SendOrders(Domain& domain,
                            const std::vector<MemberOrder>& orders) {
  for (const MemberOrder& order : orders) {
    if (const auto* join = std::get_if<JoinOrder>(&order)) {
      SendOrder(
          domain, join->host,
          JoinBody(join->group, join->host, domain.state.lease.fence).dump());
    } else {
      const auto& leave = std::get<LeaveOrder>(order);
      SendOrder(domain, leave.host,
                Json({{"action", "leave"}, {"fence", domain.state.lease.fence}})
                    .dump());
    }
  }
}

void Controller::SendOrder(Domain& domain,
                           const std::string& host,
                           std::string body) {
  const PlatformHost* row = FindHost(domain.hosts, host);
  if (row == nullptr || domain.orders.contains(host)) {
    return;
  }
  // Asked on the clock right before the send: a controller that was paused
  // since its decision may have lost the lease, and an engine that ignores
  // fencing numbers would obey it.
  if (!MayAct(domain.lease, m_node, m_lease_policy, MonotonicNow())) {
    return;
  }
  HttpCallRequest request;
  request.method = HttpMethod::kPost;
  request.target = "/v1/orders";
  request.body = std::move(body);
  request.idle_timeout = m_lease_policy.order_life;
  request.fresh_connection = true;
  HttpCallEvents events;
  const auto forget = [this, name = domain.hosts.domain, host] {
    m_domains.find(name)->second->orders.erase(host);
  };
  events.on_end = [forget](int) { forget(); };
  events.on_failure = [forget](bool) { forget(); };
  domain.orders[host] =
      m_http.Start(row->address, std::move(request), std::move(events));
}

void Controller::Stop() {
  if (m_stopping) {
    return;
  }
  m_stopping = true;
  const TimePoint now = MonotonicNow();
  for (auto& [name, domain] : m_domains) {
    if (!domain->writing &&
        MayAct(domain->lease, m_node, m_lease_policy, now)) {
      DomainState next = domain->state;
      next.lease.holder.clear();
      Write(*domain, std::move(next));
    }
  }
  const TimePoint limit = now + kStopLimit;
  m_stop_timer = m_loop.Every(kPassInterval, [this, limit] {
    bool writing = false;
    for (const auto& [name, domain] : m_domains) {
      writing = writing || domain->writing;
    }
    if (!writing || MonotonicNow() >= limit) {
      m_loop.Stop();
    }
  });
}

std::string Controller::StatusText() const {
  const TimePoint now = MonotonicNow();
  Json domains = Json::object();
  for (const auto& [name, domain] : m_domains) {
    domains[name] = {
        {"holder", domain->lease.lease.holder},
        {"held", MayAct(domain->lease, m_node, m_lease_policy, now)},
        {"fence", domain->lease.lease.fence},
        {"stranded_accelerators",
         StrandedAccelerators(domain->state, domain->hosts)}};
  }
  return Json({{"node", m_node},
               {"generation", m_config.set().generation},
               {"store_calls", m_store.calls()},
               {"member_bytes", m_members.bytes_read()},
               {"members_watched", m_members.size()},
               {"domains", domains}})
             .dump() +
         "\n";
}

}  // namespace filbertrack

#include "filbertrack/controller.h"

#include <nlohmann/json.hpp>

#include "controller_domain.h"
#include "filbertrack/base_hash.h"
#include "filbertrack/log.h"

namespace filbertrack {

namespace {

using Json = nlohmann::json;

constexpr size_t kIdleConnections = 1;
constexpr Duration kPassInterval = Milliseconds(100);
/// Maximum wait for the last writes when the controller stops.
constexpr Duration kStopTimeout = Seconds(2);

Json JoinOrderBody(const Group& group,
                   const std::string& host,
                   uint64_t fence) {
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

Controller::Controller(EventLoop& loop, const Settings& settings)
    : m_loop(loop),
      m_settings(settings),
      m_node(settings.Text("node", "name")),
      m_incarnation(RandomId()),
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
  m_lease_policy.order_ttl = settings.Time("lease", "order_life");
  m_plan_policy.repair = settings.Text("repair", "policy") == "rebuild"
                             ? RepairPolicy::kRebuildGroup
                             : RepairPolicy::kSwapMember;
  m_plan_policy.lost_after = settings.Time("repair", "lost_after");
  m_plan_policy.settle = settings.Time("repair", "settle");
  m_plan_policy.drain_limit = settings.Time("repair", "drain_limit");
  m_plan_policy.drain_floor = settings.Time("repair", "drain_floor");
  m_feed = std::make_unique<ControllerFeed>(loop, settings, m_store, m_cache,
                                            [this] { OnObjects(); });
  m_pass_timer = loop.Every(kPassInterval, [this] { RunPass(); });
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
      domain->lease_seen = now;
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
  if (object.version <= domain.version) {
    return;
  }
  const Result<DomainState> state = ParseDomainState(object.value);
  if (!state) {
    Log(LogLevel::kError, "state-refused", {{"why", state.error().message}});
    return;
  }
  if (state->lease != domain.state.lease) {
    domain.lease_seen = now;
  }
  domain.state = *state;
  domain.version = object.version;
  domain.ownership.lease = state->lease;
  std::map<std::string, Domain::ObservedPhase> seen;
  for (const Group& group : domain.state.groups) {
    const Domain::ObservedPhase present{group.epoch, group.phase};
    const auto known = domain.observed_phases.find(group.id);
    if (known == domain.observed_phases.end() ||
        known->second.epoch != present.epoch ||
        known->second.phase != present.phase) {
      domain.phase_since[group.id] = now;
    }
    seen[group.id] = present;
  }
  domain.observed_phases = std::move(seen);
}

void Controller::WatchHosts() {
  std::map<std::string, Address, std::less<>> hosts;
  for (const auto& [name, domain] : m_domains) {
    if (!MayActOn(*domain)) {
      continue;
    }
    for (const PlatformHost& host : domain->hosts.hosts) {
      hosts[host.name] = host.address;
    }
  }
  m_members.SetMembers(hosts);
}

void Controller::RunPass() {
  for (auto& [name, domain] : m_domains) {
    ProcessDomain(*domain);
  }
  if (HoldsAnyLease() && m_keeper.ShouldRenew(m_lease_policy, MonotonicNow())) {
    Heartbeat();
  }
}

void Controller::ProcessDomain(Domain& domain) {
  if (domain.writing || m_stopping) {
    return;
  }
  if (MayActOn(domain)) {
    ReconcileDomain(domain, MonotonicNow());
    return;
  }
  domain.lease_held_since.reset();
  TryAcquireLease(domain);
}

void Controller::ReconcileDomain(Domain& domain, TimePoint now) {
  for (const PlatformHost& host : domain.hosts.hosts) {
    const MemberEvidence* evidence = m_members.Find(host.name);
    if (evidence != nullptr) {
      ObserveHost(domain.views[host.name], *evidence, m_plan_policy, now);
    }
  }
  // Immediately after the lease was acquired, no host has been heard from, and
  // all of them would count as lost.
  if (!domain.lease_held_since) {
    domain.lease_held_since = now;
  }
  if (now - *domain.lease_held_since < m_plan_policy.lost_after) {
    return;
  }
  DomainSummaries summaries;
  for (const auto& [name, known] : m_domains) {
    summaries[name] = {known->hosts, known->state};
  }
  const Assignment wanted = AssignReplicas(m_config.resources(), summaries);
  const auto here = wanted.find(domain.hosts.domain);
  const std::map<std::string, int> none;
  const std::vector<std::string> rollout_candidates =
      RolloutCandidates(m_config.resources(), summaries, domain.hosts.domain);
  const PlanInput input{domain.state,
                        domain.hosts,
                        domain.views,
                        m_config.resources(),
                        here == wanted.end() ? none : here->second,
                        rollout_candidates,
                        domain.phase_since};
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
    Write(domain, next);
    return;
  }
  if (free != domain.state.free_hosts) {
    DomainState next = domain.state;
    next.free_hosts = free;
    Write(domain, next);
  }
}

void Controller::Write(Domain& domain, const DomainState& next) {
  domain.writing = true;
  const std::string name = domain.hosts.domain;
  const std::string text = ToJson(next).dump();
  const uint64_t term = m_keeper.term();
  m_store.Put(std::string(kDomainStatePrefix) + name, text, domain.version,
              [this, name, text, term](const StoreResponse& response) {
                OnWritten(name, text, term, response);
              });
}

void Controller::OnWritten(const std::string& name,
                           const std::string& text,
                           uint64_t term,
                           const StoreResponse& response) {
  if (response.status == StoreStatus::kOk) {
    ApplyStoredState(
        name,
        {std::string(kDomainStatePrefix) + name, text, response.object.version},
        text, term);
    return;
  }
  // Without a response the write may still have taken effect, and a conflict
  // may have been caused by this very write. Reading the object back shows
  // which.
  m_store.Get(std::string(kDomainStatePrefix) + name,
              [this, name, text, term](const StoreResponse& read) {
                if (read.status == StoreStatus::kOk) {
                  ApplyStoredState(name, read.object, text, term);
                } else {
                  m_domains.find(name)->second->writing = false;
                }
              });
}

void Controller::ApplyStoredState(const std::string& name,
                                  const StoredObject& object,
                                  const std::string& own_text,
                                  uint64_t term) {
  Domain& domain = *m_domains.find(name)->second;
  domain.writing = false;
  m_cache.Offer(object);
  ReadState(domain, object);
  if (object.value == own_text) {
    domain.ownership.verified_term = term;
    WatchHosts();
    LogGroups(domain);
  }
}

void Controller::LogGroups(const Domain& domain) {
  if (!IsLogged(LogLevel::kDebug)) {
    return;
  }
  Json groups = Json::array();
  for (const Group& group : domain.state.groups) {
    groups.push_back(group.members);
  }
  Log(LogLevel::kDebug, "groups",
      {{"domain", domain.hosts.domain}, {"groups", groups}});
}

void Controller::SendOrders(Domain& domain,
                            const std::vector<MemberOrder>& orders) {
  for (const MemberOrder& order : orders) {
    if (const auto* join = std::get_if<JoinOrder>(&order)) {
      SendOrder(domain, join->host,
                JoinOrderBody(join->group, join->host, domain.state.lease.fence)
                    .dump());
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
  // Checks the lease immediately before sending: a controller that was paused
  // since its decision may have lost the lease, and an engine that ignores
  // fencing numbers would carry out the order.
  if (!MayActOn(domain)) {
    return;
  }
  HttpCallRequest request;
  request.method = HttpMethod::kPost;
  request.target = "/v1/orders";
  request.body = std::move(body);
  request.idle_timeout = m_lease_policy.order_ttl;
  request.fresh_connection = true;
  HttpCallEvents events;
  const auto erase_order = [this, name = domain.hosts.domain, host] {
    m_domains.find(name)->second->orders.erase(host);
  };
  events.on_end = [erase_order](int) { erase_order(); };
  events.on_failure = [erase_order](bool) { erase_order(); };
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
    if (!domain->writing && MayActOn(*domain)) {
      DomainState next = domain->state;
      next.lease.holder.clear();
      Write(*domain, next);
    }
  }
  const TimePoint deadline = now + kStopTimeout;
  m_stop_timer = m_loop.Every(kPassInterval, [this, deadline] {
    bool writing = false;
    for (const auto& [name, domain] : m_domains) {
      writing = writing || domain->writing;
    }
    if (!writing || MonotonicNow() >= deadline) {
      m_loop.Stop();
    }
  });
}

std::string Controller::StatusText() const {
  Json domains = Json::object();
  for (const auto& [name, domain] : m_domains) {
    domains[name] = {{"holder", domain->state.lease.holder},
                     {"held", MayActOn(*domain)},
                     {"fence", domain->state.lease.fence},
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

#include "filbertrack/gateway.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "filbertrack/base_hash.h"
#include "filbertrack/log.h"

namespace filbertrack {

namespace {

using Json = nlohmann::json;

constexpr size_t kIdleUpstreamConnections = 64;
constexpr Duration kRateInterval = Milliseconds(100);
constexpr Duration kQueueInterval = Milliseconds(10);
constexpr std::string_view kWatcherItem = "store watcher";
constexpr Duration kDrainCheckInterval = Milliseconds(20);
/// Evidence that stays away for so many bounds ends the attempt.
constexpr int kGiveUpBounds = 3;

RoutePolicy PolicyFrom(const std::string& name) {
  if (name == "round-robin") {
    return RoundRobin{};
  }
  return PredictedFirstToken{};
}

std::string QueueName(const CallerRequest& request) {
  return request.service + "/" + request.adapter;
}

}  // namespace

Gateway::Gateway(EventLoop& loop, const Settings& settings)
    : m_loop(loop),
      m_settings(settings),
      m_node(settings.Text("node", "name")),
      m_store(loop,
              settings.At("store", "address"),
              settings.Time("store", "timeout"),
              settings.Time("store", "watch_wait")),
      m_config(m_store, m_cache, [this] { OnConfig(); }),
      m_members(
          loop,
          settings.Time("routing", "beat_interval"),
          [this](const std::string& host, const MemberEvidence& evidence) {
            OnEvidence(host, evidence);
          }),
      m_upstream(loop, kIdleUpstreamConnections),
      m_retries(RetryBudgetPolicy(), MonotonicNow()),
      m_route_policy(PolicyFrom(settings.Text("routing", "policy"))),
      m_random(Hash64(m_node)) {
  m_route_limits.evidence_bound = settings.Time("routing", "evidence_bound");
  if (settings.Text("routing", "evidence_mode") == "confirm") {
    m_evidence_mode = EvidenceMode::kConfirm;
  }
  m_intake.default_deadline = settings.Time("callers", "default_deadline");
  m_intake.longest_deadline = settings.Time("callers", "longest_deadline");
  m_request_policy.most_attempts =
      static_cast<int>(settings.Integer("routing", "most_attempts"));
  m_watch = std::make_unique<StoreWatch>(loop, m_store, m_cache,
                                         [this] { OnObjects(); });
  GatewayPeerEvents events;
  events.on_objects = [this] { OnObjects(); };
  events.on_evidence = [this](const std::vector<std::string>& groups) {
    for (const std::string& group : groups) {
      NotifyGroup(group);
    }
  };
  events.on_membership = [this] { OnMembership(); };
  events.on_keyed = [](const KeyedAsk&,
                       const std::function<void(KeyedAnswer)>& answer) {
    answer(KeyedAnswer());
  };
  m_peers = std::make_unique<GatewayPeers>(loop, settings, m_store, m_cache,
                                           m_fleet, m_parts, std::move(events));
  m_rate_timer = loop.Every(kRateInterval, [this] { RefreshRates(); });
  m_queue_timer = loop.Every(kQueueInterval, [this] { DrainQueues(); });
}

Gateway::~Gateway() = default;

Result<bool> Gateway::Listen() {
  HttpServerLimits limits;
  limits.max_body_bytes =
      static_cast<size_t>(m_settings.Integer("callers", "max_body_bytes"));
  limits.max_header_bytes =
      static_cast<size_t>(m_settings.Integer("callers", "max_header_bytes"));
  limits.idle_timeout = m_settings.Time("callers", "idle_timeout");
  m_caller_server = std::make_unique<HttpServer>(
      m_loop, limits, [this](auto exchange) { OnCaller(exchange); });
  m_admin_server = std::make_unique<HttpServer>(
      m_loop, HttpServerLimits(),
      [this](auto exchange) { OnAdmin(*exchange); });
  const Result<Address> callers =
      m_caller_server->Listen(m_settings.At("callers", "listen"));
  if (!callers) {
    return tl::unexpected<Error>(callers.error());
  }
  const Result<Address> admin =
      m_admin_server->Listen(m_settings.At("admin", "listen"));
  if (!admin) {
    return tl::unexpected<Error>(admin.error());
  }
  const Result<Address> peers = m_peers->Listen();
  if (!peers) {
    return tl::unexpected<Error>(peers.error());
  }
  m_peer_address = *peers;
  m_caller_address = *callers;
  m_admin_address = *admin;
  return true;
}

void Gateway::OnCaller(const std::shared_ptr<HttpExchange>& exchange) {
  const TimePoint now = MonotonicNow();
  RawRequest raw;
  raw.is_post = exchange->method() == HttpMethod::kPost;
  raw.is_read = exchange->method() == HttpMethod::kGet ||
                exchange->method() == HttpMethod::kHead;
  raw.target = exchange->target();
  raw.authorization = exchange->Header("Authorization");
  raw.idempotency_key = exchange->Header("Idempotency-Key");
  raw.idempotent = exchange->Header("Filbert-Idempotent");
  raw.deadline_ms = exchange->Header("Filbert-Deadline-Ms");
  raw.body = exchange->body();
  const std::string request_id = RandomId();
  Result<CallerRequest> request =
      ReadCallerRequest(raw, m_config.resources(), m_intake, now);
  const auto refuse = [&](ResultCode code, Duration retry_after) {
    ++m_metrics.Counter(
        "filbertrack_refused_total",
        "code=\"" + std::to_string(static_cast<int>(code)) + "\"");
    SendRefusal(*exchange, code, Outcome::kNotRun, request_id, retry_after);
  };
  if (m_peers->MayBeBehind(now)) {
    refuse(ResultCode::kMayBeBehind, Seconds(1));
    return;
  }
  if (!request) {
    Log(LogLevel::kInfo, "request-refused",
        {{"request", request_id}, {"why", request.error().message}});
    refuse(request.error().code, Duration(0));
    return;
  }
  if (!request->idempotency_key.empty()) {
    refuse(ResultCode::kKeyStoreUnavailable, Seconds(1));
    return;
  }
  const EntitlementKey entitlement{request->workspace, request->service};
  m_parts.OnDemand(entitlement, m_peers->loan_policy(), now);
  const AdmissionDecision admission = m_limits.TryAdmit(entitlement, now);
  if (const auto* over = std::get_if<OverEntitlement>(&admission)) {
    refuse(ResultCode::kOverEntitlement, over->retry_after);
    return;
  }
  StartRelay(std::move(*request), request_id, exchange);
}

void Gateway::StartRelay(CallerRequest request,
                         std::string request_id,
                         std::shared_ptr<HttpExchange> exchange) {
  const TimePoint now = MonotonicNow();
  m_retries.OnRequest(now);
  const uint64_t id = ++m_last_relay;
  auto relay = std::make_unique<Relay>(
      m_loop, m_upstream, *this, m_request_policy, id, std::move(request_id),
      std::move(request), std::move(exchange), now);
  Relay& started = *relay;
  m_relays.emplace(id, std::move(relay));
  started.Start();
}

Relay* Gateway::FindRelay(uint64_t id) {
  const auto relay = m_relays.find(id);
  return relay == m_relays.end() ? nullptr : relay->second.get();
}

RouteQuery Gateway::QueryFor(const Relay& relay) const {
  const CallerRequest& request = relay.request();
  RouteQuery query;
  query.service = request.service;
  query.adapter = request.adapter;
  query.prefix = request.prefix;
  query.data_centre = m_settings.Text("node", "data_centre");
  query.deadline = request.deadline;
  query.excluded = relay.tried();
  return query;
}

void Gateway::Seek(uint64_t id, bool is_retry) {
  Relay* relay = FindRelay(id);
  if (relay == nullptr) {
    return;
  }
  if (is_retry && !m_retries.TrySpend(MonotonicNow())) {
    ++m_metrics.Counter("filbertrack_retries_denied_total");
    relay->TargetDenied(ResultCode::kUpstreamFailed, Seconds(1));
    return;
  }
  // Those who wait go first, or a newcomer would overtake them.
  const auto queue = m_queues.find(QueueName(relay->request()));
  const bool others_wait = queue != m_queues.end() && queue->second.size() > 0;
  RouteDenial denial{RouteRefusal::kAllBusy, Seconds(1)};
  if ((!others_wait || is_retry) && TryRoute(*relay, &denial)) {
    return;
  }
  Enqueue(*relay, denial);
}

bool Gateway::TryRoute(Relay& relay, RouteDenial* denial) {
  RouteQuery query = QueryFor(relay);
  const TimePoint now = MonotonicNow();
  RouteDecision decision = ChooseRoute(m_route_policy, m_fleet.candidates(),
                                       query, m_route_limits, now, m_random);
  if (std::holds_alternative<RouteDenial>(decision) &&
      !query.excluded.empty()) {
    // A target that failed once is better than none; it may have come back.
    query.excluded.clear();
    decision = ChooseRoute(m_route_policy, m_fleet.candidates(), query,
                           m_route_limits, now, m_random);
  }
  if (const auto* denied = std::get_if<RouteDenial>(&decision)) {
    *denial = *denied;
    return false;
  }
  const auto& choice = std::get<RouteChoice>(decision);
  const RouteTarget& target = m_fleet.candidates()[choice.index].target;
  relay.TargetFound(
      {target.id, target.epoch, target.address, choice.predicted});
  return true;
}

void Gateway::Enqueue(Relay& relay, const RouteDenial& denial) {
  const TimePoint now = MonotonicNow();
  const CallerRequest& request = relay.request();
  const std::string name = QueueName(request);
  auto queue = m_queues.find(name);
  if (queue == m_queues.end()) {
    const auto most =
        static_cast<size_t>(m_settings.Integer("routing", "most_waiting"));
    queue = m_queues.emplace(name, FairQueue(most)).first;
  }
  QueuedRequest waiting;
  waiting.id = relay.id();
  waiting.workspace = request.workspace;
  waiting.priority = request.priority;
  waiting.weight = m_limits.Entitled({request.workspace, request.service});
  waiting.deadline = request.deadline;
  if (denial.reason == RouteRefusal::kNoneServing) {
    waiting.deadline = std::min(
        waiting.deadline, now + m_settings.Time("routing", "wait_for_group"));
  }
  const uint64_t id = waiting.id;
  if (!queue->second.Push(std::move(waiting), now)) {
    const Duration wait =
        std::max(queue->second.EstimatedWait(), denial.retry_after);
    relay.TargetDenied(ResultCode::kOverloaded, wait);
    return;
  }
  m_queue_of_relay[id] = name;
}

void Gateway::CancelSeek(uint64_t id) {
  const auto name = m_queue_of_relay.find(id);
  if (name == m_queue_of_relay.end()) {
    return;
  }
  m_queues.find(name->second)->second.Remove(id);
  m_queue_of_relay.erase(name);
}

void Gateway::DrainQueues() {
  const TimePoint now = MonotonicNow();
  for (auto& [name, queue] : m_queues) {
    for (const QueuedRequest& hopeless : queue.TakeHopeless(Duration(0), now)) {
      m_queue_of_relay.erase(hopeless.id);
      if (Relay* relay = FindRelay(hopeless.id)) {
        const bool in_time = now < relay->request().deadline;
        relay->TargetDenied(
            in_time ? ResultCode::kNoServingGroup : ResultCode::kDeadlinePassed,
            Seconds(1));
      }
    }
    while (const QueuedRequest* next = queue.Peek()) {
      Relay* relay = FindRelay(next->id);
      RouteDenial denial{RouteRefusal::kAllBusy, Duration(0)};
      if (relay != nullptr && !TryRoute(*relay, &denial)) {
        break;
      }
      m_queue_of_relay.erase(next->id);
      queue.Pop(now);
    }
  }
}

TargetCheck Gateway::Check(const AttemptTarget& target,
                           TimePoint arrived,
                           TimePoint now) {
  const RouteCandidate* candidate = m_fleet.FindCandidate(target.id);
  if (candidate == nullptr || candidate->target.epoch != target.epoch) {
    return TargetCheck::kLost;
  }
  if (!candidate->target.needs_evidence) {
    return TargetCheck::kForward;
  }
  const std::optional<TimePoint>& whole_at = candidate->target.whole_at;
  const Duration bound = m_route_limits.evidence_bound;
  if (!whole_at || now - *whole_at > bound * kGiveUpBounds) {
    return TargetCheck::kLost;
  }
  const bool fresh = m_evidence_mode == EvidenceMode::kConfirm
                         ? *whole_at >= arrived
                         : now - *whole_at <= bound;
  return fresh ? TargetCheck::kForward : TargetCheck::kHold;
}

void Gateway::AttemptStarted(uint64_t relay, const AttemptTarget& target) {
  m_relays_of_target[target.id].insert(relay);
  if (RouteCandidate* candidate = m_fleet.FindCandidate(target.id)) {
    ++candidate->history.in_flight;
    ++candidate->history.sent_since_report;
  }
}

void Gateway::FirstToken(const AttemptTarget& target, Duration measured) {
  m_metrics.Latency("filbertrack_first_token_seconds").Add(measured);
  if (RouteCandidate* candidate = m_fleet.FindCandidate(target.id)) {
    LearnFirstToken(candidate->history, target.predicted, measured);
  }
}

void Gateway::AttemptEnded(uint64_t relay,
                           const AttemptTarget& target,
                           bool failed,
                           Duration measured) {
  m_relays_of_target[target.id].erase(relay);
  RouteCandidate* candidate = m_fleet.FindCandidate(target.id);
  if (candidate == nullptr) {
    return;
  }
  candidate->history.in_flight = std::max(0, candidate->history.in_flight - 1);
  if (failed) {
    LearnFailure(candidate->history, MonotonicNow());
  } else {
    LearnServiceTime(candidate->history, measured);
    candidate->history.failures = 0;
  }
}

void Gateway::Ended(uint64_t id, RelayEnd end) {
  const auto entry = m_relays.find(id);
  if (entry == m_relays.end()) {
    return;
  }
  ++m_metrics.Counter(
      "filbertrack_requests_total",
      "code=\"" + std::to_string(static_cast<int>(end.code)) + "\"");
  if (end.code != ResultCode::kOk) {
    Log(LogLevel::kInfo, "request-ended",
        {{"request", entry->second->request_id()},
         {"code", static_cast<int>(end.code)},
         {"outcome", OutcomeName(end.outcome)}});
  }
  // The relay is on the call stack now.
  m_loop.Post([ended = std::shared_ptr<Relay>(std::move(entry->second))] {});
  m_relays.erase(entry);
}

void Gateway::OnObjects() {
  m_config.Follow();
  m_peers->OnObjects();
  m_fleet.ReadDomains(m_cache, MonotonicNow());
  WatchMembers();
  std::vector<uint64_t> open;
  for (const auto& [id, relay] : m_relays) {
    open.push_back(id);
  }
  NotifyRelays(open);
}

void Gateway::OnMembership() {
  // Few hosts of a data centre watch the store and the others hear from them,
  // so that watches grow with data centres. A host that hears nobody finds
  // itself the first and watches for itself.
  const auto watchers =
      static_cast<size_t>(m_settings.Integer("peers", "watchers"));
  const bool watches = m_peers->table().IsChosen(
      kWatcherItem, m_settings.Text("node", "data_centre"), watchers,
      MonotonicNow());
  m_watch->SetPrefixes(
      watches ? std::vector<std::string>{std::string(kConfigRootKey),
                                         std::string(kDomainStatePrefix),
                                         std::string(kPlatformHostsPrefix),
                                         std::string(kDivisionKey)}
              : std::vector<std::string>());
  WatchMembers();
}

void Gateway::RefreshRates() {
  const TimePoint now = MonotonicNow();
  const double share = m_peers->Share(now);
  for (const auto& [key, entitled] : m_limits.Declared()) {
    m_parts.SetBase(key, entitled * share);
    m_limits.SetRate(key, m_parts.Usable(key, now), now);
  }
}

void Gateway::NotifyRelays(std::span<const uint64_t> ids) {
  for (const uint64_t id : ids) {
    if (Relay* relay = FindRelay(id)) {
      relay->OnEvidence();
    }
  }
}

void Gateway::OnConfig() {
  const TimePoint now = MonotonicNow();
  m_fleet.SetResources(m_config.resources(), now);
  m_limits.Declare(m_config.resources(), now);
  m_peers->SetGeneration(m_config.set().generation);
  RefreshRates();
}

void Gateway::WatchMembers() {
  const auto monitors =
      static_cast<size_t>(m_settings.Integer("peers", "monitors"));
  const TimePoint now = MonotonicNow();
  std::map<std::string, Address, std::less<>> members;
  for (const auto& [id, located] : m_fleet.groups()) {
    if (!m_peers->table().IsChosen(id, "", monitors, now)) {
      continue;
    }
    for (size_t i = 0; i < located.addresses.size(); ++i) {
      if (located.addresses[i].port != 0) {
        members[located.group.members[i]] = located.addresses[i];
      }
    }
  }
  m_members.SetMembers(members);
  m_fleet.KeepMembers(members);
}

void Gateway::OnEvidence(const std::string& host,
                         const MemberEvidence& evidence) {
  NotifyGroup(m_fleet.OnMember(host, evidence, MonotonicNow()));
}

void Gateway::NotifyGroup(const std::string& group) {
  const auto relays = m_relays_of_target.find(group);
  if (relays != m_relays_of_target.end()) {
    const std::vector<uint64_t> ids(relays->second.begin(),
                                    relays->second.end());
    NotifyRelays(ids);
  }
}

bool Gateway::IsReady() const {
  const TimePoint now = MonotonicNow();
  return !m_draining && m_config.set().generation > 0 &&
         !m_peers->MayBeBehind(now) && m_peers->Share(now) > 0;
}

void Gateway::OnAdmin(HttpExchange& exchange) {
  const std::string_view path = exchange.path();
  if (path == "/healthz") {
    exchange.Reply(200, {}, "ok\n");
  } else if (path == "/readyz") {
    exchange.Reply(IsReady() ? 200 : 503, {}, IsReady() ? "ready\n" : "no\n");
  } else if (path == "/metrics") {
    exchange.Reply(200, {{"Content-Type", "text/plain; version=0.0.4"}},
                   m_metrics.Text());
  } else if (path == "/status") {
    exchange.Reply(200, {{"Content-Type", "application/json"}}, StatusText());
  } else {
    exchange.Reply(404, {}, "");
  }
}

std::string Gateway::StatusText() const {
  const TimePoint now = MonotonicNow();
  Json targets = Json::array();
  for (const auto& [id, located] : m_fleet.groups()) {
    targets.push_back({{"group", id},
                       {"epoch", located.group.epoch},
                       {"phase", GroupPhaseName(located.group.phase)}});
  }
  const Json status = {{"node", m_node},
                       {"ready", IsReady()},
                       {"draining", m_draining},
                       {"generation", m_config.set().generation},
                       {"in_flight", m_relays.size()},
                       {"peers", m_peers->table().Live(now)},
                       {"share", m_peers->Share(now)},
                       {"peer_bytes_in", ProcessPeerTraffic().bytes_in},
                       {"peer_bytes_out", ProcessPeerTraffic().bytes_out},
                       {"member_bytes", m_members.bytes_read()},
                       {"members_watched", m_members.size()},
                       {"store_calls", m_store.calls()},
                       {"store_healthy", m_watch->healthy()},
                       {"groups", targets},
                       {"uptime_ms", ToMilliseconds(now.time_since_epoch())}};
  return status.dump() + "\n";
}

void Gateway::Drain() {
  if (m_draining) {
    return;
  }
  m_draining = true;
  m_peers->SetLeaving();
  Log(LogLevel::kInfo, "draining", {{"in_flight", m_relays.size()}});
  m_drain_timer = m_loop.After(m_settings.Time("drain", "grace"), [this] {
    m_caller_server->StopListening();
    m_drain_timer =
        m_loop.Every(kDrainCheckInterval, [this] { CheckDrained(); });
  });
}

void Gateway::CheckDrained() {
  if (m_relays.empty()) {
    Log(LogLevel::kInfo, "drained", Json::object());
    m_loop.Stop();
  }
}

}  // namespace filbertrack

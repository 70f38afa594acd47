#include "filbertrack/entry_host.h"

#include <algorithm>
#include <set>

#include <nlohmann/json.hpp>

#include "entry_request_log.h"
#include "filbertrack/base_compress.h"
#include "filbertrack/base_hash.h"
#include "filbertrack/log.h"

namespace filbertrack {

namespace {

/// Maximum number of idle connections to one backend server: as many as it has
/// slots, so that a fully loaded server is reached without new connections.
constexpr size_t kMaxKeptConnections = 32;
/// Maximum number of removed registrations kept for entry hosts that missed
/// their removal: more than are removed during a network partition of some
/// minutes.
constexpr size_t kMaxRemovedServers = 2000;
/// How long peers are told that the store came back. Registrations that lapsed
/// during the outage are back well before that.
constexpr Duration kStoreReturnTtl = Seconds(5);
constexpr Duration kSilenceCheckInterval = Milliseconds(100);
constexpr Duration kDrainCheckInterval = Milliseconds(100);
/// Time until the load balancer stops sending requests to a host that is not
/// ready: it probes once a second, removes the host after two failed probes,
/// and may have probed just before the stop signal.
constexpr Duration kBalancerDelay = Milliseconds(3000);
/// Part of the grace period that is left when the remaining requests are ended,
/// so that their refusals and buffered responses can still be sent.
constexpr Duration kShutdownMargin = Milliseconds(700);
/// Part of that margin in which callers may still read what is buffered.
constexpr Duration kFlushTime = Milliseconds(300);
/// Time limit for callers that do not send one; the route's timeout may be
/// shorter.
constexpr Duration kDefaultTimeout = Seconds(60);
/// Tolerance added to the route's timeout, so that an answer which is ready
/// just after it is still delivered.
constexpr Duration kTimeoutSlack = Milliseconds(120);
/// Retry-after of requests rejected at admission because there is no
/// configuration yet, the host is draining or its memory for callers is used
/// up: the time of a first read of the store plus a random part, so that
/// callers which were rejected together do not all return at once.
constexpr Duration kStartRetryAfter = Milliseconds(200);
constexpr Duration kStartRetrySpread = Milliseconds(600);
/// Retry-after while the store is unreachable and no configuration is known.
/// Registrations that lapsed take up to two seconds to return after the store
/// does, and many callers retry only once.
constexpr Duration kStoreRetryAfter = Milliseconds(1000);
constexpr Duration kStoreRetrySpread = Milliseconds(1000);

/// Divides the memory for callers: the bounds of the responses that are
/// collected before they are passed on and of the bodies of requests. Each may
/// exceed its bound twofold, and bodies are copied to be sent.
constexpr size_t kCollectedFraction = 4;

/// Random start of the revision numbers, so that records of an earlier process
/// of this host are not taken for records of this one. 31 bits take five bytes
/// in each gossip message, 64 bits would take nine.
uint64_t FirstRevision() {
  constexpr int kSpareBits = 33;
  return Hash64(RandomId()) >> kSpareBits;
}

}  // namespace

bool MayStop(const DrainState& state, Duration min_time, Duration max_time) {
  if (state.since >= max_time) {
    return true;
  }
  // A complete response may still be unsent, because the caller reads slowly or
  // this iteration of the event loop has not ended.
  return state.since >= min_time && state.requests == 0 && state.unsent == 0;
}

EntryHost::EntryHost(EventLoop& loop,
                     const Settings& settings,
                     const CallHeaderCodec& header_codec,
                     EngineClient& engines)
    : m_loop(loop),
      m_settings(settings),
      m_header_codec(header_codec),
      m_directory(DirectoryPolicy{}),
      m_server_log(kMaxRemovedServers),
      m_regions(
          ParseRegions(settings.Text("node", "regions")).value_or(RegionMap{})),
      m_upstream(loop, kMaxKeptConnections, settings.Text("servers", "source")),
      m_reach(loop,
              m_upstream,
              RendezvousWeight("reach", settings.Text("node", "name")),
              [this] { return ServerAddresses(); },
              {[this] { OnReachSuspected(); }, [this] { OnReachChanged(); },
               [this](const Address& server) { OnServerUnreachable(server); }}),
      m_selector(DispatchPolicyOf(settings),
                 RendezvousWeight("board", settings.Text("node", "name"))),
      m_retries(RetryPolicyOf(settings)),
      m_poison(m_directory, engines, MonotonicNow, FirstRevision()),
      m_backpressure(settings.Text("node", "name"), FirstRevision()),
      m_forward(loop,
                settings.Text("node", "name"),
                settings.Text("node", "data_centre")),
      m_view(loop),
      m_context{loop,
                m_upstream,
                header_codec,
                m_selector,
                m_retries,
                m_poison,
                m_backpressure,
                m_forward,
                m_reach,
                m_view,
                {},
                1,
                {},
                0,
                {},
                nullptr},
      m_random(RendezvousWeight("split", settings.Text("node", "name"))) {
  m_context.times.moves_silent = IsEnabled(settings, "moves_silent");
  m_held_policy = HeldPolicyOf(settings);
  const size_t collected = m_held_policy.max_bytes / kCollectedFraction;
  m_context.collected.SetMax(collected);
  m_request_budget->SetMax(collected);
  AddGauges();
}

EntryHost::~EntryHost() = default;

Result<bool> EntryHost::Listen() {
  m_caller_server = std::make_unique<HttpServer>(
      m_loop, HttpServerLimits{},
      [this](const std::shared_ptr<HttpExchange>& exchange) {
        OnCaller(exchange, MonotonicNow());
      });
  m_caller_server->SetBudget(m_request_budget);
  m_probe_server = std::make_unique<HttpServer>(
      m_loop, HttpServerLimits{},
      [this](const std::shared_ptr<HttpExchange>& exchange) {
        OnProbe(*exchange);
      });
  const Result<Address> callers =
      m_caller_server->Listen(m_settings.At("callers", "listen"));
  if (!callers) {
    return tl::unexpected(callers.error());
  }
  const Result<Address> probes =
      m_probe_server->Listen(m_settings.At("ready", "listen"));
  if (!probes) {
    return tl::unexpected(probes.error());
  }
  m_caller_address = *callers;
  m_ready_address = *probes;
  return true;
}

bool EntryHost::IsReady() const {
  return !m_draining && m_catalog != nullptr && m_servers_known;
}

void EntryHost::Reject(HttpExchange& exchange,
                       const EntryRequest& request,
                       ResultCode code) {
  std::optional<Duration> retry_after;
  if (code == ResultCode::kConfigMayBeStale || code == ResultCode::kDraining ||
      code == ResultCode::kOverloaded ||
      code == ResultCode::kServersUnreachable) {
    const bool waits_for_store = m_catalog == nullptr && store_away();
    const Duration min_delay =
        waits_for_store ? kStoreRetryAfter : kStartRetryAfter;
    const Duration max_spread =
        waits_for_store ? kStoreRetrySpread : kStartRetrySpread;
    const auto spread =
        std::uniform_int_distribution<int64_t>(0, max_spread.count())(m_random);
    retry_after = min_delay + Duration(spread);
  }
  m_metrics.OnRejected(code);
  Log(LogLevel::kInfo, "refused",
      {{"request", request.facts.request_id},
       {"code", static_cast<int>(code)},
       {"model", request.facts.model},
       {"left_ms",
        request.facts.time_left ? ToMilliseconds(*request.facts.time_left) : 0},
       {"config", m_catalog == nullptr ? 0 : m_catalog->version()}});
  const ForwardRefusal forward_refusal{code, Outcome::kNotRun, 0, retry_after};
  RefuseCall(exchange, m_header_codec, request.facts.request_id, code,
             Outcome::kNotRun, retry_after,
             request.forwarded ? &forward_refusal : nullptr);
}

bool EntryHost::Admit(const std::shared_ptr<HttpExchange>& exchange,
                      EntryRequest& request) {
  if (m_catalog == nullptr || !m_servers_known) {
    Reject(*exchange, request, ResultCode::kConfigMayBeStale);
    return false;
  }
  if (m_draining && request.arrived - m_drain_began > kBalancerDelay) {
    // A request admitted now could be cut off at the end of the grace period.
    // The load balancer still sends requests here if no other entry host of the
    // data centre is ready.
    Reject(*exchange, request, ResultCode::kDraining);
    return false;
  }
  if (m_held_decision.is_full) {
    Reject(*exchange, request, ResultCode::kOverloaded);
    return false;
  }
  request.catalog = m_catalog;
  request.route =
      m_catalog->FindRoute(request.facts.hostname, exchange->path());
  if (request.route == nullptr) {
    Reject(*exchange, request, ResultCode::kNotFound);
    return false;
  }
  if (m_draining && !EndsBeforeStop(request)) {
    Reject(*exchange, request, ResultCode::kDraining);
    return false;
  }
  request.priority = request.route->priority;
  if (m_catalog->has_workspaces() && !request.route->is_public) {
    const Workspace* workspace = m_catalog->FindWorkspace(request.facts.key);
    if (workspace == nullptr) {
      Reject(*exchange, request, ResultCode::kUnauthorized);
      return false;
    }
    request.workspace = workspace->name;
    request.workspace_regions = workspace->regions;
    request.priority = workspace->priority.value_or(request.priority);
  }
  const double draw = std::uniform_real_distribution<double>(0, 1)(m_random);
  request.service = ChooseService(*request.route, draw);
  const ServiceProfile* service = m_catalog->FindService(request.service);
  if (service == nullptr || !service->engine) {
    // Plain services ignore the model that the caller names.
    request.facts.model.clear();
  }
  const Duration timeout = request.facts.time_left.value_or(kDefaultTimeout);
  if (!request.forwarded) {
    request.deadline =
        request.arrived +
        std::min(timeout, request.route->timeout + kTimeoutSlack);
  }
  return true;
}

void EntryHost::OnCaller(const std::shared_ptr<HttpExchange>& exchange,
                         TimePoint arrived) {
  const bool is_deferred =
      m_view.DeferIfOutdated(MonotonicNow(), [this, exchange, arrived] {
        if (exchange->IsOpen()) {
          OnCaller(exchange, arrived);
        }
      });
  if (is_deferred) {
    return;
  }
  m_traffic_seen = true;
  EntryRequest request;
  request.arrived = arrived;
  request.facts = m_header_codec.ReadCall(*exchange);
  if (Admit(exchange, request)) {
    m_retries.OnRequest(request.service, request.arrived);
    StartRelay(std::move(request), exchange);
  }
}

void EntryHost::StartRelay(EntryRequest request,
                           const std::shared_ptr<HttpExchange>& exchange) {
  auto relay = std::make_unique<EntryRelay>(
      m_context, std::move(request), exchange,
      [this](EntryRelay& ended, const EntryResult& end) {
        EndRelay(ended, end);
      });
  EntryRelay* started = relay.get();
  m_relays.emplace(started, std::move(relay));
  m_reach.SetRequests(m_relays.size());
  if (m_silence_timer == nullptr) {
    m_silence_timer =
        m_loop.Every(kSilenceCheckInterval, [this] { CheckSilence(); });
  }
  started->Start();
}

void EntryHost::EndRelay(EntryRelay& relay, const EntryResult& end) {
  const TimePoint now = MonotonicNow();
  const EntryRequest& request = relay.request();
  const Duration first = relay.first_event_at().value_or(now) - request.arrived;
  RequestMetrics request_metrics;
  request_metrics.repeat = request.route->repeat;
  request_metrics.model = request.facts.model;
  request_metrics.code = end.code;
  request_metrics.sends = relay.sends();
  if (relay.first_event_at()) {
    request_metrics.first_event = first;
  }
  request_metrics.longest_pause = relay.longest_pause();
  request_metrics.total = now - request.arrived;
  if (!request.forwarded) {
    m_metrics.OnRequest(request_metrics);
  }
  if (end.code == ResultCode::kOk) {
    m_route_times.OnAnswered(request.route->name, request_metrics.total);
  }
  LogRequest({request, relay.last_forwarded_to(), end, relay.last_target(),
              relay.sends(), first, now - request.arrived,
              relay.longest_pause(), relay.retry_after(),
              relay.refused_prediction(), m_selector.LoadsAge(now),
              relay.blocked_by(), relay.placement()});
  // Destruction is deferred, as the relay's own callback is still running.
  auto row = m_relays.extract(&relay);
  m_reach.SetRequests(m_relays.size());
  auto ended =
      std::make_shared<std::unique_ptr<EntryRelay>>(std::move(row.mapped()));
  m_loop.Post([ended] { ended->reset(); });
  if (m_relays.empty()) {
    m_silence_timer.reset();
    m_held_decision = {};
  }
}

void EntryHost::BlockPoisonRequests() {
  if (m_poison.IsIdle()) {
    return;
  }
  const TimePoint now = MonotonicNow();
  for (const auto& [key, relay] : m_relays) {
    relay->ReportSurvival(now);
  }
  if (!m_poison.UpdateBlocks(now)) {
    return;
  }
  for (EntryRelay* relay : OpenRelays()) {
    relay->RefuseIfBlocked();
  }
}

std::vector<EntryRelay*> EntryHost::OpenRelays() const {
  std::vector<EntryRelay*> relays;
  relays.reserve(m_relays.size());
  for (const auto& [key, relay] : m_relays) {
    relays.push_back(relay.get());
  }
  return relays;
}

void EntryHost::CheckSilence() {
  const TimePoint now = MonotonicNow();
  // A relay that ends stays valid until the next iteration of the event loop.
  for (EntryRelay* relay : OpenRelays()) {
    relay->CheckSilence(now);
  }
  CheckHeldBytes();
  BlockPoisonRequests();
}

const std::string& EntryHost::compressed_catalog() {
  if (m_compressed_catalog.empty() && !m_catalog_text.empty()) {
    m_compressed_catalog = Compress(m_catalog_text);
  }
  return m_compressed_catalog;
}

GossipState EntryHost::OwnGossipState() const {
  GossipState state;
  state.node = m_settings.Text("node", "name");
  state.ready = IsReady();
  state.config_version = m_catalog == nullptr ? 0 : m_catalog->version();
  state.servers_revision = m_server_log.revision();
  state.store_fails = store_away();
  const TimePoint now = MonotonicNow();
  const auto returned = m_outage_detector.returned();
  if (returned && now - *returned < kStoreReturnTtl) {
    state.store_back_for = now - *returned;
  }
  if (const auto service = m_outage_detector.service()) {
    state.store_service = {now - service->since, now - service->until};
  }
  state.evacuations = m_evacuations.News();
  for (const auto& [id, load] : m_selector.OwnLoads()) {
    state.loads.push_back({id, load.requests, load.prompt_tokens});
  }
  return state;
}

void EntryHost::OnRemoteLoads(const FleetGossip::Loads& heard,
                              size_t unreported_hosts) {
  const bool assumes = IsEnabled(m_settings, "assumes_unheard");
  m_selector.SetRemoteLoads(heard.loads, assumes ? unreported_hosts : 0,
                            MonotonicNow() - heard.age);
  m_context.entry_hosts = heard.hosts + unreported_hosts + 1;
  m_retries.SetMaxSaved(MaxSavedRetries(m_settings, m_context.entry_hosts));
}

std::map<std::string, double, std::less<>> EntryHost::Pressure(
    const ServiceProfile& service) const {
  std::map<std::string, double, std::less<>> pressure;
  for (const ModelProfile& model : service.engine->models) {
    const auto asked =
        m_selector.Pressure(service.name, model.name, MonotonicNow());
    if (asked) {
      pressure[model.name] = *asked;
    }
  }
  return pressure;
}

void EntryHost::OnSiteChanged() {
  RefreshTargets();
  if (m_on_change) {
    m_on_change();
  }
}

std::vector<DispatchTarget> EntryHost::Targets() const {
  return m_catalog == nullptr ? std::vector<DispatchTarget>()
                              : CurrentTargets(m_directory, *m_catalog,
                                               m_evacuations, m_regions);
}

size_t EntryHost::CountRegions() const {
  std::set<std::string_view> regions;
  for (const auto& [data_centre, region] : m_regions) {
    regions.insert(region);
  }
  return std::max<size_t>(1, regions.size());
}

void EntryHost::RefreshTargets() {
  if (m_catalog == nullptr) {
    return;
  }
  const TimePoint now = MonotonicNow();
  std::vector<DispatchTarget> targets = Targets();
  UpdateColdTargets(targets, now);
  if (m_context.placer != nullptr) {
    m_context.placer->OnTargets(targets, *m_catalog);
  }
  m_selector.SetTargets(std::move(targets), *m_catalog, now);
  // Computed only if a request needs it, as it evaluates all groups again.
  std::optional<std::set<std::string_view>> stalled;
  std::vector<std::pair<EntryRelay*, std::string>> lost;
  for (const auto& [key, relay] : m_relays) {
    const std::string& target = relay->last_target();
    const bool is_lost = !target.empty() && !m_selector.HasTarget(target);
    if (is_lost && !stalled) {
      stalled = StalledHeads(m_directory, *m_catalog);
    }
    const bool is_stalled = is_lost && stalled->contains(target);
    if (is_stalled || HasRestarted(*relay)) {
      lost.emplace_back(relay.get(), target);
    }
  }
  for (const auto& [relay, target] : lost) {
    if (m_relays.contains(relay)) {
      ReportRestart(*relay);
      relay->TargetLost(target);
    }
  }
}

bool EntryHost::HasRestarted(const EntryRelay& relay) const {
  const BackendServer* server = m_directory.Find(relay.last_target());
  return server != nullptr && IsNewerInstance(server->process_start_ms,
                                              relay.target_process_start_ms());
}

void EntryHost::ReportRestart(const EntryRelay& relay) {
  const DispatchTarget* target = relay.target();
  if (target != nullptr && HasRestarted(relay)) {
    m_poison.OnRestarted(*target, relay.CurrentAttempt());
  }
}

void EntryHost::Reload(const Settings& settings) {
  if (settings == m_settings) {
    return;
  }
  m_settings = settings;
  m_retries.SetPolicy(RetryPolicyOf(settings), MonotonicNow());
  if (m_context.placer != nullptr) {
    m_context.placer->OnSettings(settings);
  }
  Log(LogLevel::kInfo, "settings-reloaded", nlohmann::json::object());
}

void EntryHost::Drain() {
  if (m_draining) {
    return;
  }
  m_draining = true;
  m_drain_began = MonotonicNow();
  Log(LogLevel::kInfo, "stopping", {{"requests", m_relays.size()}});
  m_caller_server->CloseAfterAnswers();
  if (m_forward_server != nullptr) {
    m_forward_server->CloseAfterAnswers();
  }
  if (m_context.placer != nullptr) {
    m_context.placer->Drain();
  }
  m_drain_timer = m_loop.Every(kDrainCheckInterval, [this] { CheckDrained(); });
}

void EntryHost::CheckDrained() {
  const Duration since = MonotonicNow() - m_drain_began;
  const Duration limit = DrainTime();
  if (since >= limit) {
    EndRequests();
  }
  size_t unsent = m_caller_server->HeldAnswers(MonotonicNow()).size();
  if (m_forward_server != nullptr) {
    unsent += m_forward_server->HeldAnswers(MonotonicNow()).size();
  }
  const size_t requests = m_relays.size() + m_view.deferred();
  if (!MayStop({since, requests, unsent}, kBalancerDelay, limit + kFlushTime)) {
    return;
  }
  Log(LogLevel::kInfo, "stopped",
      {{"cut", m_cut_requests},
       {"connections", m_caller_server->connections()}});
  m_loop.Stop();
}

Duration EntryHost::DrainTime() const {
  return m_settings.Time("stop", "grace") - kShutdownMargin;
}

bool EntryHost::EndsBeforeStop(const EntryRequest& request) const {
  const Duration expected =
      m_route_times.Expected(request.route->name).value_or(Duration(0));
  return request.arrived + expected < m_drain_began + DrainTime();
}

void EntryHost::EndRequests() {
  m_cut_requests += m_relays.size();
  for (EntryRelay* relay : OpenRelays()) {
    relay->OnHostStops();
  }
}

}  // namespace filbertrack

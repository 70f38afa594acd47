#include "filbertrack/gateway.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "filbertrack/base_hash.h"
#include "filbertrack/log.h"

namespace filbertrack {

namespace {

using Json = nlohmann::json;

constexpr Duration kRateRefreshInterval = Milliseconds(100);
constexpr std::string_view kWatcherItem = "store watcher";
constexpr Duration kDrainCheckInterval = Milliseconds(20);
constexpr Duration kInProgressPollInterval = Milliseconds(100);
constexpr Duration kMaxInProgress = Seconds(5);
/// Larger responses are not stored for retries with the same idempotency key.
constexpr size_t kMaxKeptAnswerBytes = 8 * 1024;

struct KeyRefusal {
  ResultCode code;
  Outcome outcome;
};

/// Returns until when a retry waits for the first attempt with its key, which
/// is still running.
TimePoint InProgressDeadline(const CallerRequest& request) {
  return std::min(request.deadline, request.arrived + kMaxInProgress);
}

/// Returns the refusal for a verdict under which the request must not run.
KeyRefusal RefusalFor(KeyVerdict verdict) {
  switch (verdict) {
    case KeyVerdict::kInProgress:
      return {ResultCode::kKeyInProgress, Outcome::kUnknown};
    case KeyVerdict::kReused:
      return {ResultCode::kKeyReused, Outcome::kNotRun};
    case KeyVerdict::kAnswerNotStored:
      return {ResultCode::kKeyAnswerGone, Outcome::kRan};
    case KeyVerdict::kUnavailable:
      return {ResultCode::kKeyStoreUnavailable, Outcome::kNotRun};
    case KeyVerdict::kRun:
    case KeyVerdict::kReplay:
    case KeyVerdict::kRecorded:
    case KeyVerdict::kOutcomeUnknown:
      break;
  }
  return {ResultCode::kKeyOutcomeUnknown, Outcome::kUnknown};
}

std::string Fingerprint(const HttpExchange& exchange) {
  std::string text(HttpMethodName(exchange.method()));
  text += ' ';
  text += exchange.target();
  text += '\n';
  text += exchange.body();
  return Sha256Hex(text).substr(0, 32);
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
      m_router(loop, settings, m_fleet, m_limits, m_metrics) {
  m_intake.default_deadline = settings.Time("callers", "default_deadline");
  m_intake.max_deadline = settings.Time("callers", "longest_deadline");
  m_watch = std::make_unique<StoreWatch>(loop, m_store, m_cache,
                                         [this] { OnObjects(); });
  GatewayPeerEvents events;
  events.on_objects = [this] { OnObjects(); };
  events.on_evidence = [this](const std::vector<std::string>& groups) {
    for (const std::string& group : groups) {
      m_router.NotifyGroup(group);
    }
  };
  events.on_membership = [this] { OnMembership(); };
  events.on_keyed = [this](const KeyedRequest& request,
                           const std::function<void(KeyedReply)>& reply) {
    m_keys->OnPeerRequest(request, reply);
  };
  m_peers = std::make_unique<GatewayPeers>(loop, settings, m_store, m_cache,
                                           m_fleet, m_parts, std::move(events));
  m_keys = std::make_unique<GatewayKeys>(loop, settings, m_store, *m_peers);
  m_rate_timer = loop.Every(kRateRefreshInterval, [this] { RefreshRates(); });
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
      m_loop, limits, [this](auto exchange) { OnCallerRequest(exchange); });
  m_admin_server = std::make_unique<HttpServer>(
      m_loop, HttpServerLimits(),
      [this](auto exchange) { OnAdminRequest(*exchange); });
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

void Gateway::OnCallerRequest(const std::shared_ptr<HttpExchange>& exchange) {
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
    refuse(ResultCode::kConfigMayBeStale, Seconds(1));
    return;
  }
  if (!request) {
    Log(LogLevel::kInfo, "request-refused",
        {{"request", request_id}, {"why", request.error().message}});
    refuse(request.error().code, Duration(0));
    return;
  }
  const EntitlementKey entitlement{request->workspace, request->service};
  m_parts.OnDemand(entitlement, m_peers->loan_policy(), now);
  const AdmissionDecision admission = m_limits.TryAdmit(entitlement, now);
  if (const auto* over = std::get_if<OverEntitlement>(&admission)) {
    refuse(ResultCode::kOverEntitlement, over->retry_after);
    return;
  }
  if (request->idempotency_key.empty()) {
    m_router.Start(std::move(*request), request_id, exchange, nullptr);
  } else {
    StartKeyed(std::move(*request), request_id, exchange);
  }
}

void Gateway::StartKeyed(CallerRequest request,
                         const std::string& request_id,
                         const std::shared_ptr<HttpExchange>& exchange) {
  const std::string key = LedgerKey(request.workspace, request.idempotency_key);
  m_keys->Claim(key, Fingerprint(*exchange),
                [this, request = std::move(request), request_id, exchange](
                    const KeyAnswer& answer, const KeyClaim& claim) {
                  if (answer.verdict == KeyVerdict::kRun) {
                    RunClaimed(request, request_id, exchange, claim);
                  } else if (answer.verdict == KeyVerdict::kInProgress &&
                             MonotonicNow() < InProgressDeadline(request)) {
                    // The first attempt may end soon, and this caller needs its
                    // response. Polling does not write to the store.
                    m_loop.Call(kInProgressPollInterval,
                                [this, request, request_id, exchange] {
                                  StartKeyed(request, request_id, exchange);
                                });
                  } else if (answer.verdict == KeyVerdict::kReplay) {
                    exchange->Reply(answer.status,
                                    {{"Content-Type", answer.content_type},
                                     {"Filbert-Request-Id", request_id},
                                     {"Filbert-Outcome", "ran"},
                                     {"Filbert-Replayed", "true"}},
                                    answer.body);
                  } else {
                    const KeyRefusal refusal = RefusalFor(answer.verdict);
                    SendRefusal(*exchange, refusal.code, refusal.outcome,
                                request_id, Seconds(1));
                  }
                });
}

void Gateway::RunClaimed(CallerRequest request,
                         const std::string& request_id,
                         const std::shared_ptr<HttpExchange>& exchange,
                         const KeyClaim& claim) {
  if (!exchange->IsOpen()) {
    // The caller disconnected while its key was being claimed. Closes the claim
    // as not run, so that a retry may run.
    m_keys->Complete(
        {claim.key, claim.claim_id, Outcome::kNotRun, 0, "", "", false});
    return;
  }
  m_router.Start(std::move(request), request_id, exchange,
                 [this, claim](const RelayResult& result) {
                   KeyCompletion completion{
                       claim.key,     claim.claim_id,      result.outcome,
                       result.status, result.content_type, "",
                       false};
                   completion.has_body =
                       result.code == ResultCode::kOk && !result.body.empty() &&
                       result.body.size() <= kMaxKeptAnswerBytes;
                   if (completion.has_body) {
                     completion.body = result.body;
                   }
                   m_keys->Complete(std::move(completion));
                 });
}

void Gateway::OnObjects() {
  m_config.Follow();
  m_peers->OnObjects();
  m_fleet.ReadDomains(m_cache, MonotonicNow());
  WatchMembers();
  m_router.NotifyAll();
}

void Gateway::OnMembership() {
  // Only some hosts of each data centre watch the store, and the others receive
  // the objects from them, so that the number of watches grows with the data
  // centres, not with the hosts. A host that hears from no other host is the
  // only live one in its own table, so it is chosen and watches the store
  // itself.
  const auto watchers =
      static_cast<size_t>(m_settings.Integer("peers", "watchers"));
  const bool is_watcher = m_peers->table().IsChosen(
      kWatcherItem, m_settings.Text("node", "data_centre"), watchers,
      MonotonicNow());
  m_watch->SetPrefixes(
      is_watcher ? std::vector<std::string>{std::string(kConfigRootKey),
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
  m_fleet.PruneMembers(members);
}

void Gateway::OnEvidence(const std::string& host,
                         const MemberEvidence& evidence) {
  m_router.NotifyGroup(m_fleet.OnMember(host, evidence, MonotonicNow()));
}

bool Gateway::IsReady() const {
  const TimePoint now = MonotonicNow();
  return !m_draining && m_config.set().generation > 0 &&
         !m_peers->MayBeBehind(now) && m_peers->Share(now) > 0;
}

void Gateway::OnAdminRequest(HttpExchange& exchange) {
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
                       {"phase", GroupPhaseName(located.group.phase)},
                       {"whole", m_fleet.IsWholeNow(id, now)}});
  }
  const Json status = {{"node", m_node},
                       {"ready", IsReady()},
                       {"draining", m_draining},
                       {"generation", m_config.set().generation},
                       {"in_flight", m_router.in_flight()},
                       {"peers", m_peers->table().Live(now)},
                       {"share", m_peers->Share(now)},
                       {"peer_bytes_in", ProcessPeerTraffic().bytes_in},
                       {"peer_bytes_out", ProcessPeerTraffic().bytes_out},
                       {"member_bytes", m_members.bytes_read()},
                       {"members_watched", m_members.size()},
                       {"key_claims", m_keys->claims()},
                       {"key_writes", m_keys->writes()},
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
  Log(LogLevel::kInfo, "draining", {{"in_flight", m_router.in_flight()}});
  m_drain_timer = m_loop.After(m_settings.Time("drain", "grace"), [this] {
    m_caller_server->StopListening();
    m_drain_timer =
        m_loop.Every(kDrainCheckInterval, [this] { CheckDrained(); });
  });
}

void Gateway::CheckDrained() {
  if (m_router.in_flight() == 0) {
    Log(LogLevel::kInfo, "drained", Json::object());
    m_loop.Stop();
  }
}

}  // namespace filbertrack

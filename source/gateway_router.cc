#include "filbertrack/gateway_router.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "filbertrack/base_hash.h"
#include "filbertrack/log.h"

namespace filbertrack {

namespace {

constexpr size_t kIdleUpstreamConnections = 64;
constexpr Duration kQueueInterval = Milliseconds(10);
/// An attempt ends as lost when the latest evidence is older than this many
/// times `evidence_bound`.
constexpr int kLostAfterBounds = 3;

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

GatewayRouter::GatewayRouter(EventLoop& loop,
                             const Settings& settings,
                             FleetView& fleet,
                             const AdmissionLimits& limits,
                             Metrics& metrics)
    : m_loop(loop),
      m_fleet(fleet),
      m_limits(limits),
      m_metrics(metrics),
      m_upstream(loop, kIdleUpstreamConnections),
      m_data_centre(settings.Text("node", "data_centre")),
      m_max_waiting(
          static_cast<size_t>(settings.Integer("routing", "most_waiting"))),
      m_wait_for_group(settings.Time("routing", "wait_for_group")),
      m_route_policy(PolicyFrom(settings.Text("routing", "policy"))),
      m_retries(RetryBudgetPolicy(), MonotonicNow()),
      m_random(Hash64(settings.Text("node", "name"))) {
  m_route_limits.evidence_bound = settings.Time("routing", "evidence_bound");
  if (settings.Text("routing", "evidence_mode") == "confirm") {
    m_evidence_mode = EvidenceMode::kConfirm;
  }
  m_request_policy.max_attempts =
      static_cast<int>(settings.Integer("routing", "most_attempts"));
}

GatewayRouter::~GatewayRouter() = default;

void GatewayRouter::Start(CallerRequest request,
                          std::string request_id,
                          std::shared_ptr<HttpExchange> exchange,
                          OnEnd on_end) {
  const TimePoint now = MonotonicNow();
  m_retries.OnRequest(now);
  const uint64_t id = ++m_last_relay_id;
  auto relay = std::make_unique<Relay>(
      m_loop, m_upstream, *this, m_request_policy, id, std::move(request_id),
      std::move(request), std::move(exchange), now);
  Relay& started = *relay;
  m_relays[id] = {std::move(relay), std::move(on_end)};
  started.Start();
}

Relay* GatewayRouter::FindRelay(uint64_t id) {
  const auto relay = m_relays.find(id);
  return relay == m_relays.end() ? nullptr : relay->second.relay.get();
}

RouteQuery GatewayRouter::QueryFor(const Relay& relay) const {
  const CallerRequest& request = relay.request();
  RouteQuery query;
  query.service = request.service;
  query.adapter = request.adapter;
  query.prefix = request.prefix;
  query.data_centre = m_data_centre;
  query.deadline = request.deadline;
  query.excluded = relay.failed_targets();
  return query;
}

void GatewayRouter::Seek(uint64_t id, bool is_retry) {
  Relay* relay = FindRelay(id);
  if (relay == nullptr) {
    return;
  }
  if (is_retry && !m_retries.TrySpend(MonotonicNow())) {
    ++m_metrics.Counter("filbertrack_retries_denied_total");
    relay->TargetDenied(ResultCode::kUpstreamFailed, Seconds(1));
    return;
  }
  // Queued requests go first; otherwise a new request would overtake them.
  const auto queue = m_queues.find(QueueName(relay->request()));
  const bool others_wait = queue != m_queues.end() && queue->second.size() > 0;
  RouteDenial denial{RouteRefusal::kAllBusy, Seconds(1)};
  if ((!others_wait || is_retry) && TryRoute(*relay, &denial)) {
    return;
  }
  Enqueue(*relay, denial);
}

bool GatewayRouter::TryRoute(Relay& relay, RouteDenial* denial) {
  RouteQuery query = QueryFor(relay);
  const TimePoint now = MonotonicNow();
  RouteDecision decision = ChooseRoute(m_route_policy, m_fleet.candidates(),
                                       query, m_route_limits, now, m_random);
  if (std::holds_alternative<RouteDenial>(decision) &&
      !query.excluded.empty()) {
    // If no other target is available, tries those that failed this request
    // again: they may have recovered.
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
  const auto group = m_fleet.groups().find(target.id);
  relay.TargetFound(
      {target.id, target.epoch, target.address, choice.unscaled,
       group == m_fleet.groups().end() ? nullptr : group->second.members});
  return true;
}

FairQueue& GatewayRouter::QueueFor(const std::string& name) {
  auto queue = m_queues.find(name);
  if (queue == m_queues.end()) {
    queue = m_queues.emplace(name, FairQueue(m_max_waiting)).first;
  }
  return queue->second;
}

void GatewayRouter::Enqueue(Relay& relay, const RouteDenial& denial) {
  const TimePoint now = MonotonicNow();
  const CallerRequest& request = relay.request();
  const std::string name = QueueName(request);
  FairQueue& queue = QueueFor(name);
  QueuedRequest waiting;
  waiting.id = relay.id();
  waiting.workspace = request.workspace;
  waiting.priority = request.priority;
  waiting.weight = m_limits.Entitled({request.workspace, request.service});
  waiting.deadline = request.deadline;
  if (denial.reason == RouteRefusal::kNoneServing) {
    waiting.deadline = std::min(waiting.deadline, now + m_wait_for_group);
  }
  if (!queue.Push(std::move(waiting), now)) {
    relay.TargetDenied(ResultCode::kOverloaded,
                       std::max(queue.EstimatedWait(), denial.retry_after));
    return;
  }
  m_queue_of_relay[relay.id()] = name;
  if (m_queue_timer == nullptr) {
    m_queue_timer = m_loop.Every(kQueueInterval, [this] { DrainQueues(); });
  }
}

void GatewayRouter::CancelSeek(uint64_t id) {
  const auto name = m_queue_of_relay.find(id);
  if (name == m_queue_of_relay.end()) {
    return;
  }
  m_queues.find(name->second)->second.Remove(id);
  m_queue_of_relay.erase(name);
}

void GatewayRouter::RefuseUnservable(FairQueue& queue, TimePoint now) {
  for (const QueuedRequest& unservable :
       queue.TakeUnservable(Duration(0), now)) {
    m_queue_of_relay.erase(unservable.id);
    if (Relay* relay = FindRelay(unservable.id)) {
      const bool before_deadline = now < relay->request().deadline;
      relay->TargetDenied(before_deadline ? ResultCode::kNoServingGroup
                                          : ResultCode::kDeadlinePassed,
                          Seconds(1));
    }
  }
}

void GatewayRouter::DrainQueues() {
  const TimePoint now = MonotonicNow();
  for (auto& [name, queue] : m_queues) {
    RefuseUnservable(queue, now);
    while (const QueuedRequest* next = queue.Peek()) {
      const uint64_t id = next->id;
      Relay* relay = FindRelay(id);
      RouteDenial denial{RouteRefusal::kAllBusy, Duration(0)};
      if (relay != nullptr && !TryRoute(*relay, &denial)) {
        break;
      }
      m_queue_of_relay.erase(id);
      queue.Pop(now);
    }
  }
  if (m_queue_of_relay.empty()) {
    // Stops the timer, which would otherwise wake an idle host a hundred times
    // per second.
    m_queue_timer.reset();
  }
}

TargetCheck GatewayRouter::Check(const AttemptTarget& target,
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
  if (!whole_at || now - *whole_at > bound * kLostAfterBounds) {
    return TargetCheck::kLost;
  }
  const bool fresh = m_evidence_mode == EvidenceMode::kConfirm
                         ? *whole_at >= arrived
                         : now - *whole_at <= bound;
  return fresh ? TargetCheck::kForward : TargetCheck::kHold;
}

void GatewayRouter::AttemptStarted(uint64_t relay,
                                   const AttemptTarget& target) {
  m_relays_of_target[target.id].insert(relay);
  if (RouteCandidate* candidate = m_fleet.FindCandidate(target.id)) {
    ++candidate->history.in_flight;
    ++candidate->history.change_since_report;
    const Relay* started = FindRelay(relay);
    const auto* predicted = std::get_if<PredictedFirstToken>(&m_route_policy);
    if (started != nullptr && predicted != nullptr) {
      LearnSentPrefix(candidate->history, started->request().prefix, *predicted,
                      MonotonicNow());
    }
  }
}

void GatewayRouter::LoadSeen(const AttemptTarget& target,
                             std::string_view load) {
  const Result<AnswerLoad> parsed = ParseAnswerLoad(load);
  if (parsed) {
    m_fleet.OnAnswerLoad(target.id, *parsed, MonotonicNow());
  }
}

void GatewayRouter::FirstToken(const AttemptTarget& target, Duration measured) {
  m_metrics.Latency("filbertrack_first_token_seconds").Add(measured);
  if (RouteCandidate* candidate = m_fleet.FindCandidate(target.id)) {
    LearnFirstToken(candidate->history, target.predicted, measured);
  }
}

void GatewayRouter::AttemptEnded(uint64_t relay,
                                 const AttemptTarget& target,
                                 bool failed,
                                 Duration measured,
                                 const ForwardSpan& forwarded) {
  m_relays_of_target[target.id].erase(relay);
  LogForwarded(relay, target, forwarded);
  RouteCandidate* candidate = m_fleet.FindCandidate(target.id);
  if (candidate == nullptr) {
    return;
  }
  candidate->history.in_flight = std::max(0, candidate->history.in_flight - 1);
  --candidate->history.change_since_report;
  if (failed) {
    LearnFailure(candidate->history, MonotonicNow());
  } else {
    LearnServiceTime(candidate->history, measured);
    candidate->history.failures = 0;
  }
}

void GatewayRouter::LogForwarded(uint64_t relay,
                                 const AttemptTarget& target,
                                 const ForwardSpan& forwarded) {
  const Relay* known = FindRelay(relay);
  if (!IsLogged(LogLevel::kDebug) || known == nullptr || !forwarded.first ||
      target.members == nullptr) {
    return;
  }
  Log(LogLevel::kDebug, "forwarded",
      {{"request", known->request_id()},
       {"group", target.id},
       {"epoch", target.epoch},
       {"members", *target.members},
       {"first_us", forwarded.first->time_since_epoch().count()},
       {"last_us", forwarded.last.time_since_epoch().count()}});
}

void GatewayRouter::Ended(uint64_t id, RelayResult result) {
  const auto entry = m_relays.find(id);
  if (entry == m_relays.end()) {
    return;
  }
  // The relay is on the call stack, so its destruction is deferred to the event
  // loop.
  auto ended = std::make_shared<OpenRelay>(std::move(entry->second));
  m_relays.erase(entry);
  m_loop.Post([ended] {});
  ++m_metrics.Counter(
      "filbertrack_requests_total",
      "code=\"" + std::to_string(static_cast<int>(result.code)) + "\"");
  if (result.code != ResultCode::kOk) {
    Log(LogLevel::kInfo, "request-ended",
        {{"request", ended->relay->request_id()},
         {"code", static_cast<int>(result.code)},
         {"outcome", OutcomeName(result.outcome)}});
  }
  if (ended->on_end) {
    ended->on_end(result);
  }
}

void GatewayRouter::NotifyAll() {
  std::vector<uint64_t> open;
  for (const auto& [id, relay] : m_relays) {
    open.push_back(id);
  }
  NotifyRelays(open);
}

void GatewayRouter::NotifyRelays(std::span<const uint64_t> ids) {
  for (const uint64_t id : ids) {
    if (Relay* relay = FindRelay(id)) {
      relay->OnEvidence();
    }
  }
}

void GatewayRouter::NotifyGroup(const std::string& group) {
  const auto relays = m_relays_of_target.find(group);
  if (relays != m_relays_of_target.end()) {
    const std::vector<uint64_t> ids(relays->second.begin(),
                                    relays->second.end());
    NotifyRelays(ids);
  }
}

}  // namespace filbertrack

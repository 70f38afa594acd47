#include <algorithm>

#include "placement_replay.h"
#include "placement_replay_site.h"

/// Part of PlacementReplay: requests, engines and the omniscient scheduler.

namespace filbertrack {

PlacementReplay::PlacementReplay(ReplayScenario scenario)
    : m_scenario(std::move(scenario)),
      m_now(kStart),
      m_engines(kTargets),
      m_is_running(kTargets),
      m_is_gone(kTargets),
      m_under_way(kTargets),
      m_random(m_scenario.seed) {
  std::vector<double> weights;
  for (size_t i = 0; i < kHosts; ++i) {
    Host host;
    host.name = "h" + std::to_string(i);
    host.data_centre = DataCentre(i);
    host.capacity = i < kStrongHosts ? 100 : 1;
    host.selector = std::make_unique<TargetSelector>(DispatchPolicy{}, i);
    host.client = std::make_unique<PlacementClient>(host.name, 1);
    host.placer = std::make_unique<Placer>(host.name, 1, PlacementPolicy{}, i);
    m_hosts.push_back(std::move(host));
    // Callers are distributed unevenly.
    weights.push_back(1 + static_cast<double>(i % 4));
  }
  m_draw_host = {weights.begin(), weights.end()};
  std::vector<double> parts;
  for (const ReplayKind& kind : m_scenario.kinds) {
    parts.push_back(kind.part);
  }
  m_draw_kind = {parts.begin(), parts.end()};
  for (FakeEngine& engine : m_engines) {
    engine.slots = kSlots;
    engine.step_ms = 6.07;
    engine.step_per_request_ms = 0.241;
    engine.prompt_tokens_per_ms = 46;
    engine.pace = m_scenario.pace;
    engine.next = kStart;
  }
  SetTargets(true);
}

ReplayResult PlacementReplay::Run() {
  if (m_scenario.scheduler == ReplayScheduler::kPlaced) {
    for (size_t i = 0; i < kHosts; ++i) {
      AgreeOnPlacer(i);
    }
  }
  ScheduleTrouble();
  ReportLoads();
  Arrive();
  while (!m_actions.empty()) {
    const auto first = m_actions.begin();
    m_now = first->first;
    const std::function<void()> action = std::move(first->second);
    m_actions.erase(first);
    if (m_now > kStart + kLength + Seconds(4)) {
      break;
    }
    action();
  }
  return m_result;
}

void PlacementReplay::At(TimePoint time, std::function<void()> action) {
  m_actions.emplace(std::max(time, m_now), std::move(action));
}

void PlacementReplay::Arrive() {
  const Duration at = m_now - kStart;
  if (at >= kLength) {
    return;
  }
  const bool bursts = at >= Seconds(2) && at < Seconds(5);
  const double rate = m_scenario.capacity * (bursts ? m_scenario.burst : 0.6);
  At(m_now + FromSeconds(m_gap(m_random) / rate), [this] { Arrive(); });
  Request request;
  do {
    request.host = m_draw_host(m_random);
  } while (!m_hosts[request.host].takes_requests ||
           m_hosts[request.host].is_frozen);
  request.kind = &m_scenario.kinds[m_draw_kind(m_random)];
  request.arrived = m_now;
  Count(request, &ReplayResult::Count::offered);
  m_requests[++m_number] = request;
  Place(m_number);
}

Duration PlacementReplay::Delay(const std::string& from,
                                const std::string& to) const {
  return from == to ? Duration(200) : Duration(1400);
}

size_t PlacementReplay::IndexOf(const std::string& host) const {
  return std::stoul(host.substr(1));
}

void PlacementReplay::Count(const Request& request,
                            int ReplayResult::Count::*counter) {
  const Duration at = request.arrived - kStart;
  if (at < Seconds(2) || at >= Seconds(5)) {
    return;
  }
  ++(m_result.all.*counter);
  ++(m_result.by_priority[request.kind->priority].*counter);
}

void PlacementReplay::Place(int number) {
  const Request& request = m_requests.at(number);
  if (m_scenario.scheduler == ReplayScheduler::kOmniscient) {
    m_waiting.push_back(number);
    ServeOmniscient();
    return;
  }
  Host& host = m_hosts[request.host];
  PlacementAsk ask;
  ask.id = static_cast<uint64_t>(number);
  ask.pool = kPool;
  ask.prompt_tokens = request.kind->prompt_tokens;
  ask.time_to_slo = request.arrived + request.kind->slo - m_now;
  ask.time_left = request.arrived + Seconds(6) - m_now;
  ask.priority = request.kind->priority;
  ask.workspace = "w" + std::to_string(number % 5);
  ask.excluded = {request.excluded.begin(), request.excluded.end()};
  if (m_scenario.scheduler == ReplayScheduler::kPlaced &&
      host.client->TryAsk(std::move(ask), m_now)) {
    Pump(request.host);
    return;
  }
  ChooseByReports(number);
}

void PlacementReplay::ChooseByReports(int number) {
  const Request& request = m_requests.at(number);
  Host& host = m_hosts[request.host];
  m_result.fallbacks +=
      m_scenario.scheduler == ReplayScheduler::kPlaced ? 1 : 0;
  DispatchQuery query;
  query.service = kPool.service;
  query.model = kPool.model;
  query.prompt_tokens = request.kind->prompt_tokens;
  query.time_to_slo = request.arrived + request.kind->slo - m_now;
  query.time_left = request.arrived + Seconds(6) - m_now;
  query.local_data_centre = host.data_centre;
  query.excluded = &request.excluded;
  const auto decision = host.selector->Choose(query, m_now);
  const auto* choice = std::get_if<DispatchChoice>(&decision);
  if (choice == nullptr) {
    Count(request, &ReplayResult::Count::refused);
    m_requests.erase(number);
    return;
  }
  Send(number, TargetNumber(choice->target.id), choice->predicted, false);
}

void PlacementReplay::Send(int number,
                           size_t target,
                           Duration predicted,
                           bool is_granted) {
  Request& request = m_requests.at(number);
  Host& host = m_hosts[request.host];
  const std::string name = TargetName(target);
  request.target = target;
  request.predicted = predicted;
  request.sent = m_now;
  host.selector->OnSent(name, request.kind->prompt_tokens);
  if (!is_granted) {
    host.client->OnEvent(kPool,
                         PlacementSent{static_cast<uint64_t>(number), name,
                                       request.kind->prompt_tokens},
                         m_now);
    Pump(request.host);
  }
  m_result.most_requests =
      std::max(m_result.most_requests, ++m_under_way[target]);
  const bool is_free = m_scenario.scheduler == ReplayScheduler::kOmniscient;
  const Duration delay = Delay(host.data_centre, DataCentre(target));
  if (is_free) {
    Receive(number);
  } else {
    At(m_now + delay, [this, number] { Receive(number); });
  }
}

void PlacementReplay::Receive(int number) {
  const auto found = m_requests.find(number);
  if (found == m_requests.end()) {
    // Its target was lost while it was under way.
    return;
  }
  const Request& request = found->second;
  const size_t target = request.target;
  if (m_is_gone[target]) {
    At(m_now + Duration(1400),
       [this, number] { OnEnd(number, DispatchResult::kRefused); });
    return;
  }
  FakeEngine& engine = m_engines[target];
  engine.waiting.push_back({number, m_now, request.kind->prompt_tokens,
                            request.kind->answer_tokens});
  if (!m_is_running[target]) {
    m_is_running[target] = true;
    engine.next = m_now;
    At(m_now, [this, target] { RunEngine(target); });
  }
}

void PlacementReplay::RunEngine(size_t target) {
  FakeEngine& engine = m_engines[target];
  if (m_is_gone[target] || engine.size() == 0) {
    m_is_running[target] = false;
    return;
  }
  const std::string data_centre = DataCentre(target);
  const auto back = [this, &data_centre](const FakeEngine::Request& request) {
    const Request& sent = m_requests.at(request.number);
    return m_scenario.scheduler == ReplayScheduler::kOmniscient
               ? Duration(0)
               : Delay(data_centre, m_hosts[sent.host].data_centre);
  };
  engine.next =
      m_now + engine.Pass(
                  m_now,
                  [&](const FakeEngine::Request& request, TimePoint at) {
                    at += kFirstDelay + back(request);
                    At(at, [this, number = request.number, at] {
                      OnFirst(number, at);
                    });
                  },
                  [&](const FakeEngine::Request& request, TimePoint at) {
                    At(at + back(request), [this, number = request.number] {
                      OnEnd(number, DispatchResult::kAnswered);
                    });
                  });
  At(engine.next, [this, target] { RunEngine(target); });
  if (m_scenario.scheduler == ReplayScheduler::kOmniscient) {
    At(engine.next, [this] { ServeOmniscient(); });
  }
}

void PlacementReplay::OnFirst(int number, TimePoint at) {
  const auto found = m_requests.find(number);
  if (found == m_requests.end()) {
    return;
  }
  Request& request = found->second;
  request.has_begun = true;
  Count(request, at - request.arrived <= request.kind->slo
                     ? &ReplayResult::Count::in_time
                     : &ReplayResult::Count::late);
  RunAt(request.host, [this, number, request, at] {
    Host& host = m_hosts[request.host];
    if (!host.is_alive) {
      return;
    }
    const std::string target = TargetName(request.target);
    host.selector->OnFirstEvent(target, request.kind->prompt_tokens,
                                request.predicted, at - request.sent);
    host.client->OnEvent(kPool,
                         PlacementFirst{static_cast<uint64_t>(number), target,
                                        at - request.sent},
                         m_now);
    Pump(request.host);
  });
}

void PlacementReplay::OnEnd(int number, DispatchResult result) {
  const auto found = m_requests.find(number);
  if (found == m_requests.end()) {
    return;
  }
  --m_under_way[found->second.target];
  RunAt(found->second.host,
        [this, number, result] { FinishRequest(number, result); });
}

void PlacementReplay::FinishRequest(int number, DispatchResult result) {
  const auto found = m_requests.find(number);
  if (found == m_requests.end()) {
    return;
  }
  Request& request = found->second;
  const std::string target = TargetName(request.target);
  Host& host = m_hosts[request.host];
  const bool may_retry =
      result == DispatchResult::kRefused && request.excluded.size() < 2;
  if (host.is_alive) {
    host.selector->OnEnded(target, request.kind->prompt_tokens,
                           !request.has_begun, result, m_now);
    host.client->OnEvent(kPool,
                         PlacementEnded{static_cast<uint64_t>(number), target,
                                        !request.has_begun, result},
                         m_now);
  }
  const size_t index = request.host;
  if (may_retry && host.is_alive) {
    Request retry = request;
    retry.excluded.insert(target);
    retry.sent = {};
    m_requests.erase(found);
    m_requests[++m_number] = retry;
    Place(m_number);
  } else {
    if (result != DispatchResult::kAnswered && !request.has_begun) {
      Count(request, &ReplayResult::Count::failed);
    }
    m_requests.erase(found);
  }
  Pump(index);
}

TimePoint PlacementReplay::PredictExactly(const Request& request,
                                          size_t target) const {
  FakeEngine engine = m_engines[target];
  constexpr int kNew = -1;
  engine.waiting.push_back(
      {kNew, m_now, request.kind->prompt_tokens, request.kind->answer_tokens});
  TimePoint pass = m_is_running[target] ? engine.next : m_now;
  std::optional<TimePoint> first;
  while (!first) {
    pass += engine.Pass(
        pass,
        [&first](const FakeEngine::Request& began, TimePoint at) {
          if (began.number == kNew) {
            first = at;
          }
        },
        [](const FakeEngine::Request&, TimePoint) {});
  }
  return *first + kFirstDelay;
}

TimePoint PlacementReplay::EarliestFirst(const Request& request,
                                         size_t target) const {
  const FakeEngine& engine = m_engines[target];
  const double step =
      engine.step_ms +
      engine.step_per_request_ms * static_cast<double>(engine.running.size());
  const double ms =
      engine.pace * (engine.stride * step +
                     request.kind->prompt_tokens / engine.prompt_tokens_per_ms);
  // An idle engine makes no steps in the pass that reads the prompt.
  return engine.running.empty()
             ? m_now + kFirstDelay
             : engine.next + FromSeconds(ms * 1e-3) + kFirstDelay;
}

void PlacementReplay::ServeOmniscient() {
  std::deque<int> waiting;
  waiting.swap(m_waiting);
  for (const int number : waiting) {
    const Request& request = m_requests.at(number);
    const TimePoint deadline = request.arrived + request.kind->slo;
    if (m_now + kFirstDelay > deadline) {
      Count(request, &ReplayResult::Count::refused);
      m_requests.erase(number);
      continue;
    }
    // Only targets at which it could be in time are simulated, in the order of
    // the earliest possible first event.
    std::vector<std::pair<TimePoint, size_t>> targets;
    for (size_t i = 0; i < kTargets; ++i) {
      const TimePoint earliest = EarliestFirst(request, i);
      if (!m_is_gone[i] && m_engines[i].size() < kSlots &&
          earliest <= deadline - m_scenario.margin) {
        targets.emplace_back(earliest, i);
      }
    }
    std::sort(targets.begin(), targets.end());
    TimePoint best = TimePoint::max();
    size_t best_target = 0;
    for (const auto& [earliest, target] : targets) {
      const TimePoint first =
          earliest < best ? PredictExactly(request, target) : best;
      if (first < best) {
        best = first;
        best_target = target;
      }
    }
    if (best > deadline - m_scenario.margin) {
      m_waiting.push_back(number);
      continue;
    }
    Send(number, best_target, best - m_now, true);
  }
}

}  // namespace filbertrack

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "fake_engine.h"
#include "filbertrack/gossip_exchange.h"
#include "filbertrack/gossip_fleet.h"
#include "replay_gossip.h"

namespace filbertrack {
namespace {

const TimePoint kStart{Seconds(1000)};

constexpr int kDataCentres = 3;
constexpr int kHostsEach = 27;
constexpr int kTargets = 36;
constexpr int kSlots = 20;
constexpr int kRelays = 2;
constexpr double kPromptTokens = 714;
constexpr int kAnswerTokens = 168;
constexpr Duration kSlo = Milliseconds(300);
constexpr Duration kStep = Milliseconds(10);
/// Steps between two gossip rounds of a host, each with kNeighbours peers.
constexpr int kRoundSteps = 15;
constexpr int kNeighbours = 8;

std::string DataCentre(int number) {
  return "dc" + std::to_string(number % kDataCentres);
}

struct BurstResult {
  int offered = 0;
  int on_time = 0;
  int late = 0;
  int refused = 0;
  /// Sum of the differences between assumed and actual requests at the chosen
  /// targets.
  double error = 0;
  int sent = 0;

  double MeanError() const { return error / sent; }
};

/// Simulates 81 entry hosts in three data centres and 36 groups of 20 slots
/// each. For four seconds callers send `burst` times 545 requests per second,
/// before and after that 0.6 times 545. The groups can answer about 600 per
/// second.
class BurstReplay {
 public:
  BurstReplay(double burst, LoadExchangePolicy policy, DispatchPolicy dispatch)
      : m_burst(burst), m_engines(kTargets) {
    const Catalog catalog = MakeCatalog();
    std::vector<DispatchTarget> targets;
    for (int i = 0; i < kTargets; ++i) {
      targets.push_back({"t" + std::to_string(i),
                         {"127.0.0.1", 1},
                         "llm",
                         "m",
                         DataCentre(i),
                         kSlots,
                         690});
    }
    for (int i = 0; i < kDataCentres * kHostsEach; ++i) {
      m_hosts.push_back(std::make_unique<Host>(i, policy, dispatch));
      m_hosts.back()->selector.SetTargets(targets, catalog, kStart);
    }
    for (FakeEngine& engine : m_engines) {
      engine.slots = kSlots;
      engine.stride = 6;
      engine.next = kStart;
    }
  }

  BurstResult Run() {
    TimePoint arrival = kStart;
    for (TimePoint now = kStart; now < kStart + Seconds(9); now += kStep) {
      Exchange(now);
      for (; arrival < now + kStep; arrival += Gap(arrival)) {
        RunEngines(arrival);
        Place(arrival);
      }
    }
    return m_result;
  }

 private:
  struct Host {
    Host(int number, LoadExchangePolicy policy, DispatchPolicy dispatch)
        : name("h" + std::to_string(number)),
          data_centre(DataCentre(number)),
          is_relay(number < kRelays * kDataCentres),
          selector(dispatch, static_cast<uint64_t>(number)),
          gossip(name, data_centre, {}),
          exchange(policy) {}

    GossipState State() const {
      return MakeLoadReport(name, data_centre, selector);
    }

    std::string name;
    std::string data_centre;
    bool is_relay;
    TargetSelector selector;
    FleetGossip gossip;
    LoadExchange exchange;
    size_t next_peer = 0;
  };
  struct Sent {
    size_t host;
    std::string target;
    Duration predicted;
  };

  static Catalog MakeCatalog() {
    CatalogParts parts;
    EngineProfile engine;
    engine.slots = kSlots;
    engine.step = Duration(7800);
    engine.step_per_request = Duration(95);
    engine.prompt_tokens_per_second = 45900;
    engine.chunk_tokens = 2048;
    engine.stride = 6;
    engine.usual_prompt_tokens = kPromptTokens;
    engine.usual_answer_tokens = kAnswerTokens;
    engine.models = {{"m", 2, 1, 0.6, Seconds(12), Seconds(1)}};
    parts.services["llm"] = {"llm", 300, engine};
    return Catalog(std::move(parts));
  }

  Duration Gap(TimePoint now) {
    constexpr double kUsual = 545;
    const Duration at = now - kStart;
    const bool bursts = at >= Seconds(2) && at < Seconds(6);
    const double rate = kUsual * (bursts ? m_burst : 0.6);
    return FromSeconds(m_gap(m_random) / rate);
  }

  void Exchange(TimePoint now) {
    const auto step = (now - kStart) / kStep;
    for (size_t i = 0; i < m_hosts.size(); ++i) {
      Host& host = *m_hosts[i];
      if (static_cast<int64_t>(i) % kRoundSteps == step % kRoundSteps) {
        AskLocalPeers(host, now);
        host.selector.SetRemoteLoads(host.gossip.SumLoads(now).loads, 0, now);
      }
      host.exchange.UpdatePressure(host.selector.MaxPressure(now));
      const Duration interval =
          host.exchange.Interval(kHostsEach, kRelays, host.is_relay);
      if (host.exchange.TryBegin(interval, now)) {
        ExchangeWithRelays(host, now);
        host.selector.SetRemoteLoads(host.gossip.SumLoads(now).loads, 0, now);
      }
    }
  }

  void AskLocalPeers(Host& host, TimePoint now) {
    for (int asked = 0; asked < kNeighbours;) {
      host.next_peer = (host.next_peer + 1) % m_hosts.size();
      Host& peer = *m_hosts[host.next_peer];
      if (&peer != &host && peer.data_centre == host.data_centre) {
        peer.gossip.Note(host.State(), now);
        host.gossip.Note(peer.State(), now);
        ++asked;
      }
    }
  }

  void ExchangeWithRelays(Host& host, TimePoint now) {
    if (host.is_relay) {
      for (int relay = 0; relay < kRelays * kDataCentres; ++relay) {
        ExchangeAsRelay(host, *m_hosts[static_cast<size_t>(relay)], now);
      }
      return;
    }
    std::vector<std::string> relays;
    for (int relay = 0; relay < kRelays; ++relay) {
      relays.push_back(std::to_string(relay));
    }
    const auto relay_index =
        static_cast<size_t>(std::stoi(host.exchange.NextRelay(relays)));
    const auto dc = static_cast<size_t>(std::stoi(host.data_centre.substr(2)));
    Host& relay = *m_hosts[relay_index * kDataCentres + dc];
    relay.gossip.Note(host.State(), now);
    GossipState reply = relay.State();
    relay.gossip.AddRemoteLoads(reply, now);
    if (host.exchange.busy()) {
      relay.gossip.AddLocalLoads(reply, host.name, now);
    }
    host.gossip.Note(reply, now);
  }

  static void ExchangeAsRelay(Host& host, Host& other, TimePoint now) {
    if (&other == &host) {
      return;
    }
    GossipState request = host.State();
    GossipState reply = other.State();
    if (host.data_centre != other.data_centre) {
      host.gossip.CoverDataCentre(request, now);
      other.gossip.CoverDataCentre(reply, now);
    } else if (!host.exchange.busy()) {
      return;
    }
    other.gossip.Note(request, now);
    host.gossip.Note(reply, now);
  }

  void Place(TimePoint now) {
    const size_t index = m_random() % m_hosts.size();
    Host& host = *m_hosts[index];
    DispatchQuery query;
    query.service = "llm";
    query.model = "m";
    query.prompt_tokens = kPromptTokens;
    query.time_to_slo = kSlo;
    query.time_left = Seconds(6);
    query.local_data_centre = host.data_centre;
    ++m_result.offered;
    const auto decision = host.selector.Choose(query, now);
    const auto* choice = std::get_if<DispatchChoice>(&decision);
    if (choice == nullptr) {
      ++m_result.refused;
      return;
    }
    const std::string& target = choice->target.id;
    FakeEngine& engine =
        m_engines[static_cast<size_t>(std::stoi(target.substr(1)))];
    m_result.error += choice->own_requests + choice->other_requests -
                      static_cast<double>(engine.size());
    ++m_result.sent;
    host.selector.OnSent(target, kPromptTokens);
    if (engine.size() == 0) {
      engine.next = std::max(engine.next, now);
    }
    engine.waiting.push_back({m_number, now, kPromptTokens, kAnswerTokens});
    m_sent[m_number++] = {index, target, choice->predicted};
  }

  void RunEngines(TimePoint until) {
    for (FakeEngine& engine : m_engines) {
      while (engine.next <= until && engine.size() > 0) {
        engine.next += engine.Pass(
            engine.next,
            [this](const FakeEngine::Request& request, TimePoint at) {
              OnFirst(request, at);
            },
            [this](const FakeEngine::Request& request, TimePoint at) {
              const Sent& sent = m_sent[request.number];
              m_hosts[sent.host]->selector.OnEnded(
                  sent.target, kPromptTokens, false, DispatchResult::kAnswered,
                  at);
            });
      }
    }
  }

  void OnFirst(const FakeEngine::Request& request, TimePoint at) {
    const Sent& sent = m_sent[request.number];
    const Duration took = at - request.arrived;
    m_hosts[sent.host]->selector.OnFirstEvent(sent.target, kPromptTokens,
                                              sent.predicted, took);
    ++(took <= kSlo ? m_result.on_time : m_result.late);
  }

  double m_burst;
  std::vector<std::unique_ptr<Host>> m_hosts;
  std::vector<FakeEngine> m_engines;
  std::map<int, Sent> m_sent;
  int m_number = 0;
  BurstResult m_result;
  std::mt19937_64 m_random{11};
  std::exponential_distribution<double> m_gap{1};
};

/// Returns a policy that exchanges loads as rarely under load as when idle.
LoadExchangePolicy NeverBusy() {
  LoadExchangePolicy policy;
  policy.loaded_pressure = 1e9;
  return policy;
}

TEST_CASE("burst above capacity: fresh loads reduce late answers") {
  // Callers send slightly more than all groups can answer. With outdated loads
  // a host admits requests to slots that other hosts have filled meanwhile.
  // These requests queue, and answers predicted to be on time are late. With
  // frequent exchanges the excess requests are refused and the others are on
  // time.
  const BurstResult rare = BurstReplay(1.25, NeverBusy(), {}).Run();
  const BurstResult often = BurstReplay(1.25, {}, {}).Run();
  for (const BurstResult& result : {rare, often}) {
    MESSAGE("of " << result.offered << ": on time " << result.on_time
                  << ", late " << result.late << ", refused " << result.refused
                  << ", mean load error " << result.MeanError());
  }
  CHECK(std::abs(often.MeanError()) < std::abs(rare.MeanError()) * 2 / 3);
  CHECK(often.late < rare.late);
  CHECK(often.on_time > rare.on_time);
}

TEST_CASE("burst above capacity: requests that would be late are refused") {
  // Callers send half as much again as all groups can answer. If requests are
  // admitted up to twice their time objective, the queues last as long
  // as the burst and delay every answer. If they are refused at once, the
  // admitted ones are on time.
  DispatchPolicy tolerant;
  tolerant.saturated_slo_factor = tolerant.slo_factor;
  const BurstResult queued = BurstReplay(1.6, {}, tolerant).Run();
  const BurstResult refused = BurstReplay(1.6, {}, {}).Run();
  for (const BurstResult& result : {queued, refused}) {
    MESSAGE("of " << result.offered << ": on time " << result.on_time
                  << ", late " << result.late << ", refused "
                  << result.refused);
  }
  CHECK(refused.on_time > queued.on_time);
  CHECK(refused.late < queued.late / 2);
  // No more than the excess requests are refused.
  CHECK(refused.refused < refused.offered / 4);
}

}  // namespace
}  // namespace filbertrack

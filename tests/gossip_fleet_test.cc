#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <queue>
#include <random>

#include "filbertrack/gossip_fleet.h"
#include "replay_gossip.h"

namespace filbertrack {
namespace {

const TimePoint kStart{Seconds(1000)};

GossipState MakeState(const std::string& node,
                      const std::string& data_centre,
                      int requests) {
  GossipState state;
  state.node = node;
  state.data_centre = data_centre;
  state.loads = {{"t", requests, 100.0 * requests}};
  return state;
}

TEST_CASE("the loads of each host are counted once") {
  // The loads of a remote host arrive directly and in the sum of its data
  // centre. If they were counted twice, targets with free slots would appear
  // full and callers would be refused.
  FleetGossip here("a1", "a", {});
  FleetGossip there("b1", "b", {});
  there.Note(MakeState("b2", "b", 3), kStart);
  GossipState sum = MakeState("b1", "b", 4);
  there.CoverDataCentre(sum, kStart);
  REQUIRE(sum.loads.size() == 1);
  CHECK(sum.loads[0].requests == 7);
  here.Note(MakeState("a2", "a", 1), kStart);
  here.Note(MakeState("b2", "b", 3), kStart);
  here.Note(sum, kStart);
  const FleetGossip::Loads received = here.SumLoads(kStart);
  CHECK(received.loads.at("t").requests == 8);
  CHECK(received.hosts == 3);
}

TEST_CASE("loads and hosts without recent updates expire") {
  FleetGossip gossip("a1", "a", {});
  gossip.Note(MakeState("a2", "a", 5), kStart);
  CHECK(gossip.SumLoads(kStart + Milliseconds(1200)).loads.size() == 1);
  CHECK(gossip.SumLoads(kStart + Milliseconds(1300)).loads.empty());
  CHECK(gossip.Hosts(kStart + Milliseconds(1500)).size() == 1);
  CHECK(gossip.Hosts(kStart + Milliseconds(1600)).empty());
}

TEST_CASE("access of remote hosts to the store is propagated") {
  // Otherwise each data centre would consider only its own hosts alive and
  // choose its own watchers of the store.
  FleetGossip there("b1", "b", {});
  GossipState cut_off = MakeState("b2", "b", 0);
  cut_off.store_fails = true;
  there.Note(cut_off, kStart);
  GossipState sum = MakeState("b1", "b", 0);
  there.CoverDataCentre(sum, kStart + Milliseconds(100));
  FleetGossip here("a1", "a", {});
  here.Note(sum, kStart + Milliseconds(100));
  CHECK(here.Hosts(kStart + Milliseconds(200)) ==
        std::vector<std::string>{"b1", "b2"});
  CHECK(here.HostsWithStore(kStart + Milliseconds(200)) ==
        std::vector<std::string>{"b1"});
}

TEST_CASE("data centre sums survive encoding and decoding") {
  GossipRequest request{MakeState("a1", "a", 3), true};
  request.state.covers_data_centre = true;
  request.state.hosts = {{"a2", true, Milliseconds(40)}};
  const auto read = DecodeGossipRequest(EncodeGossipRequest(request));
  REQUIRE(read);
  CHECK(read->state.data_centre == "a");
  CHECK(read->state.covers_data_centre);
  REQUIRE(read->state.hosts.size() == 1);
  CHECK(read->state.hosts[0].name == "a2");
  CHECK(read->state.hosts[0].store_fails);
  CHECK(read->state.hosts[0].age == Milliseconds(40));
}

/// Simulates 72 entry hosts and 40 groups in four data centres at 473 requests
/// per second, four fifths of the capacity. Each group runs 15 requests at a
/// time, each for about a second.
class Replay {
 public:
  static constexpr int kDataCentres = 4;
  static constexpr int kHostsEach = 18;
  static constexpr int kTargets = 40;
  static constexpr int kSlots = 15;
  static constexpr double kRate = 473;

  /// With `local` hosts exchange loads within their data centre and prefer its
  /// targets.
  explicit Replay(bool local) : m_local(local) {
    CatalogParts parts;
    EngineProfile engine;
    engine.slots = kSlots;
    engine.step = Duration(7800);
    engine.prompt_tokens_per_second = 45900;
    engine.chunk_tokens = 2048;
    engine.stride = 5;
    engine.usual_answer_tokens = 180;
    engine.models = {{"m", 2, 1, 0.6, Seconds(12), Seconds(1)}};
    parts.services["llm"] = {"llm", 300, engine};
    const Catalog catalog(std::move(parts));
    std::vector<DispatchTarget> targets;
    for (int i = 0; i < kTargets; ++i) {
      targets.push_back({"t" + std::to_string(i),
                         {"127.0.0.1", 1},
                         "llm",
                         "m",
                         DataCentre(i),
                         kSlots,
                         300});
    }
    for (int i = 0; i < kDataCentres * kHostsEach; ++i) {
      auto host = std::make_unique<Host>(i);
      host->selector.SetTargets(targets, catalog, kStart);
      m_hosts.push_back(std::move(host));
    }
  }

  /// Returns the share of requests that were sent to a group without a free
  /// slot.
  double Run(Duration time) {
    const TimePoint end = kStart + time;
    TimePoint now = kStart;
    TimePoint round = kStart;
    while (now < end) {
      now += FromSeconds(m_gap(m_random) / kRate);
      for (; round < now; round += Milliseconds(10)) {
        Exchange(round);
      }
      EndUntil(now);
      Place(now);
    }
    return static_cast<double>(m_sent_to_full) / m_sent;
  }

 private:
  struct Host {
    explicit Host(int number)
        : name("h" + std::to_string(number)),
          data_centre(DataCentre(number)),
          selector(DispatchPolicy{}, static_cast<uint64_t>(number)),
          gossip(name, data_centre, {}) {}

    GossipState State() const {
      return MakeLoadReport(name, data_centre, selector);
    }

    std::string name;
    std::string data_centre;
    TargetSelector selector;
    FleetGossip gossip;
    size_t next_peer = 0;
  };
  struct Ending {
    TimePoint at;
    size_t host;
    std::string target;
    bool operator>(const Ending& other) const { return at > other.at; }
  };

  static std::string DataCentre(int number) {
    return "dc" + std::to_string(number % kDataCentres);
  }

  /// Each host exchanges with eight others every 150 ms: every 10 ms it is the
  /// turn of one fifteenth of the hosts.
  void Exchange(TimePoint now) {
    const auto phase = (now - kStart) / Milliseconds(10) % 15;
    for (size_t i = 0; i < m_hosts.size(); ++i) {
      if (static_cast<int64_t>(i % 15) != phase) {
        continue;
      }
      Host& host = *m_hosts[i];
      size_t asked = 0;
      while (asked < 8) {
        host.next_peer = (host.next_peer + 1) % m_hosts.size();
        Host& peer = *m_hosts[host.next_peer];
        const bool wanted = &peer != &host &&
                            (!m_local || peer.data_centre == host.data_centre);
        if (wanted) {
          peer.gossip.Note(host.State(), now);
          host.gossip.Note(peer.State(), now);
          ++asked;
        }
      }
      if (m_local) {
        ExchangeRemotely(host, now);
      }
      host.selector.SetRemoteLoads(host.gossip.SumLoads(now).loads, 0, now);
    }
  }

  void ExchangeRemotely(Host& host, TimePoint now) {
    Host& peer = *m_hosts[m_random() % m_hosts.size()];
    if (peer.data_centre == host.data_centre) {
      return;
    }
    GossipState sum = peer.State();
    peer.gossip.CoverDataCentre(sum, now);
    host.gossip.Note(sum, now);
  }

  void EndUntil(TimePoint now) {
    while (!m_endings.empty() && m_endings.top().at <= now) {
      const Ending ending = m_endings.top();
      m_endings.pop();
      --m_running[ending.target];
      m_hosts[ending.host]->selector.OnEnded(
          ending.target, 0, false, DispatchResult::kAnswered, ending.at);
    }
  }

  void Place(TimePoint now) {
    const size_t index = m_random() % m_hosts.size();
    Host& host = *m_hosts[index];
    DispatchQuery query;
    query.service = "llm";
    query.model = "m";
    query.prompt_tokens = 714;
    query.time_to_slo = Milliseconds(300);
    query.time_left = Seconds(6);
    if (m_local) {
      query.local_data_centre = host.data_centre;
    }
    const auto decision = host.selector.Choose(query, now);
    const auto* choice = std::get_if<DispatchChoice>(&decision);
    if (choice == nullptr) {
      return;
    }
    const std::string& target = choice->target.id;
    host.selector.OnSent(target, 714);
    host.selector.OnFirstEvent(target, 714, choice->predicted,
                               choice->predicted);
    ++m_sent;
    m_sent_to_full += m_running[target]++ >= kSlots ? 1 : 0;
    const double seconds =
        std::uniform_real_distribution<double>(0.2, 1.8)(m_random);
    m_endings.push({now + Duration(static_cast<int64_t>(seconds * 1.06e6)),
                    index, target});
  }

  bool m_local;
  std::vector<std::unique_ptr<Host>> m_hosts;
  std::map<std::string, int> m_running;
  std::priority_queue<Ending, std::vector<Ending>, std::greater<>> m_endings;
  std::mt19937_64 m_random{7};
  std::exponential_distribution<double> m_gap{1};
  int m_sent = 0;
  int m_sent_to_full = 0;
};

TEST_CASE(
    "large fleet under load: fresh loads keep requests from full groups") {
  // Guards against callers that wait at full groups while others have free
  // slots. Each host sends a fiftieth of a group's requests. Loads received
  // from all hosts are up to 0.6 s old, in which a group gets seven more
  // requests; those of the local data centre are 0.15 s old.
  const double before = Replay(false).Run(Seconds(8));
  const double after = Replay(true).Run(Seconds(8));
  MESSAGE("share of requests sent to a full group: "
          << before << " with loads of all hosts, " << after
          << " with loads of the local data centre");
  CHECK(before > 0.1);
  CHECK(after < before / 2);
}

}  // namespace
}  // namespace filbertrack

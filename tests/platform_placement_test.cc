#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <deque>
#include <thread>

#include "platform_site.h"

/// Tests placement of requests by one entry host for all: the whole request
/// path of several entry hosts, with stand-ins for the platform.

namespace filbertrack {
namespace {

const PoolKey kPool{"llm", "m"};
constexpr int kSlots = 4;

/// Two entry hosts or more, and groups of two hosts with four slots each.
struct PlacementSite : Site {
  explicit PlacementSite(const std::string& mode,
                         int entry_hosts = 2,
                         int hosts = 5)
      : Site(SiteOptions{.hosts = hosts,
                         .entry_hosts = entry_hosts,
                         .placement = mode}) {}

  /// Waits until all entry hosts know each other, the groups and the placer.
  bool WaitUntilReady(size_t groups = 2) {
    return RunUntil(loop, [this, groups] {
      return std::all_of(nodes.begin(), nodes.end(), [&](const auto& node) {
        return node->host.IsReady() &&
               node->CountTargets() == plain.size() + groups &&
               node->host.entry_hosts() == nodes.size() &&
               node->placement.PlacerOf(kPool) ==
                   nodes.front()->placement.PlacerOf(kPool);
      });
    });
  }

  EntryNode* Placer() {
    for (const auto& node : nodes) {
      if (node != nullptr && !node->placement.placer().pools().empty()) {
        return node.get();
      }
    }
    return nullptr;
  }
  /// An entry host that does not place.
  EntryNode* Asker() {
    for (const auto& node : nodes) {
      if (node != nullptr && node->placement.placer().pools().empty()) {
        return node.get();
      }
    }
    return nullptr;
  }

  void SetEvents(int events) {
    for (const auto& runner : runners) {
      runner->SetEvents(events);
    }
  }

  void Send(EntryNode& node) {
    responses.emplace_back();
    calls.push_back(SendRequestTo(node.host.caller_address(), client, "/s/x",
                                  "id-" + std::to_string(responses.size()),
                                  responses.back()));
  }

  bool AllEnded() const {
    return std::all_of(
        responses.begin(), responses.end(),
        [](const CallerResponse& response) { return response.ended; });
  }

  size_t CountSeen(const std::string& id) const {
    size_t count = 0;
    for (const auto& runner : runners) {
      count += static_cast<size_t>(std::count_if(
          runner->seen().begin(), runner->seen().end(),
          [&id](const SeenRequest& seen) { return seen.id == id; }));
    }
    return count;
  }

  /// Every request was answered completely, or refused as not run and truly
  /// not run.
  void CheckTruthful() const {
    for (size_t i = 0; i < responses.size(); ++i) {
      const std::string id = "id-" + std::to_string(i + 1);
      CAPTURE(id);
      const CallerResponse& response = responses[i];
      CHECK_FALSE(response.failed);
      if (response.status == 200) {
        CHECK(CountSeen(id) >= 1);
      } else {
        CHECK(response.status == 503);
        CHECK(CountSeen(id) == 0);
      }
    }
  }

  size_t CountOutstanding() {
    const EntryNode* node = Placer();
    return node == nullptr ? 0
                           : node->placement.placer()
                                 .pools()
                                 .at(kPool)
                                 ->counts()
                                 .outstanding;
  }

  /// Sends long streams through `node` until all slots are taken and the placer
  /// knows how long a request takes, so that it lets further asks wait.
  void FillSlots(EntryNode& node) {
    SetEvents(60);
    Send(node);
    REQUIRE(RunUntil(loop,
                     [this] { return AllEnded() && CountOutstanding() == 0; }));
    for (int i = 0; i < 2 * kSlots; ++i) {
      Send(node);
    }
    REQUIRE(RunUntil(loop, [this] {
      return CountOutstanding() == static_cast<size_t>(2 * kSlots);
    }));
  }

  size_t CountWaiting() {
    size_t count = 0;
    const EntryNode* node = Placer();
    if (node != nullptr) {
      const auto& pools = node->placement.placer().pools();
      for (const auto& [priority, waiting] :
           pools.at(kPool)->counts().waiting) {
        count += waiting;
      }
    }
    return count;
  }

  void KillPlacer() {
    const EntryNode* placer = Placer();
    std::erase_if(nodes,
                  [placer](const auto& node) { return node.get() == placer; });
  }

  HttpClient client{loop, 32};
  std::deque<CallerResponse> responses;
  std::vector<std::unique_ptr<HttpCall>> calls;
};

TEST_CASE("one entry host places the requests of all and its loads are exact") {
  // Guards against a placer whose loads miss requests of other hosts, or keep
  // those that have ended: it would send too many or too few to a target.
  PlacementSite site("on");
  REQUIRE(site.WaitUntilReady());
  site.SetEvents(60);
  REQUIRE(site.Placer() != nullptr);
  REQUIRE(site.Asker() != nullptr);
  for (int i = 0; i < 2 * kSlots; ++i) {
    site.Send(*site.nodes[static_cast<size_t>(i) % site.nodes.size()]);
  }
  REQUIRE(RunUntil(site.loop, [&site] {
    return std::all_of(
        site.responses.begin(), site.responses.end(),
        [](const CallerResponse& response) { return !response.body.empty(); });
  }));
  const EntryNode& placer = *site.Placer();
  CHECK(placer.placement.placer().pools().size() == 1);
  REQUIRE(RunUntil(site.loop, [&site] {
    return site.CountOutstanding() == static_cast<size_t>(2 * kSlots);
  }));
  for (const auto& runner : site.runners) {
    CHECK(runner->seen().size() <= kSlots);
  }
  CHECK(site.Asker()->placement.sent().requests >= 1);
  const std::string metrics = site.Placer()->host.metrics().Text();
  for (const std::string_view row :
       {"filbertrack_placements{pool=\"llm/m\",result=\"granted\"} 8",
        "filbertrack_placement_grants_outstanding 8",
        "filbertrack_placement_synced_hosts 2"}) {
    CAPTURE(row);
    CHECK(metrics.find(row) != std::string::npos);
  }
  CHECK(site.Asker()->host.metrics().Text().find(
            "filbertrack_placement_wait_seconds_count 4") != std::string::npos);
  REQUIRE(RunUntil(site.loop, [&site] { return site.AllEnded(); }));
  site.CheckTruthful();
  CHECK(RunUntil(site.loop, [&site] { return site.CountOutstanding() == 0; }));
}

/// Keeps each ask until the test decides it.
struct HeldPlacer : RequestPlacer {
  bool Places(std::string_view service, std::string_view) const override {
    return service == kPool.service;
  }
  uint64_t NextId() override { return ++last_id; }
  bool TryAsk(PlacementAsk ask, OnDecision decision) override {
    id = ask.id;
    on_decision = std::move(decision);
    return true;
  }
  void Withdraw(uint64_t) override {}
  void Report(const PoolKey&, PlacementEvent) override {}
  void OnGrantUnused() override {}
  void OnTargets(std::span<const DispatchTarget>, const Catalog&) override {}
  void OnSettings(const Settings&) override {}
  void Drain() override {}

  uint64_t last_id = 0;
  uint64_t id = 0;
  OnDecision on_decision;
};

TEST_CASE("a decision after the deadline sends nothing") {
  // Guards against requests that run although their callers gave up. A process
  // that was stopped reads the decision before its deadline timers run.
  PlacementSite site("off");
  REQUIRE(site.WaitUntilReady());
  EntryNode& node = *site.nodes.front();
  HeldPlacer placer;
  node.host.SetPlacer(&placer);
  site.responses.emplace_back();
  RequestOptions options;
  options.deadline_ms = "300";
  site.calls.push_back(SendRequestTo(node.host.caller_address(), site.client,
                                     "/s/x", "id-1", site.responses.back(),
                                     options));
  REQUIRE(RunUntil(site.loop, [&] { return placer.on_decision != nullptr; }));
  std::this_thread::sleep_for(Milliseconds(350));
  PlacementDecision decision;
  SUBCASE("choose locally") {
    decision.decision = ChooseLocally{placer.id};
  }
  SUBCASE("granted") {
    const std::vector<DispatchTarget> targets = node.host.Targets();
    const auto target = std::find_if(
        targets.begin(), targets.end(),
        [](const auto& row) { return row.service == kPool.service; });
    REQUIRE(target != targets.end());
    decision.decision =
        PlacementGrant{placer.id, target->id, Milliseconds(100), 0};
  }
  placer.on_decision(decision);
  REQUIRE(RunUntil(site.loop, [&site] { return site.AllEnded(); }));
  CHECK(site.CountSeen("id-1") == 0);
  CHECK(site.responses.back().status != 200);
  node.host.SetPlacer(nullptr);
}

TEST_CASE("no placement message is sent while placement is off") {
  // Guards against costs and other behaviour in deployments without placement.
  PlacementSite site("off");
  REQUIRE(site.WaitUntilReady());
  for (int i = 0; i < 6; ++i) {
    site.Send(*site.nodes[static_cast<size_t>(i) % site.nodes.size()]);
  }
  REQUIRE(RunUntil(site.loop, [&site] { return site.AllEnded(); }));
  for (const auto& node : site.nodes) {
    CHECK(node->placement.sent().requests == 0);
    CHECK(node->placement.sent().notices == 0);
    CHECK(node->placement.placer().pools().empty());
  }
  site.CheckTruthful();
}

TEST_CASE(
    "requests are answered or refused as not run while the placer drains") {
  // Guards against asks that are lost with a placer which stops: their callers
  // would wait until the deadline.
  PlacementSite site("on", 3);
  REQUIRE(site.WaitUntilReady());
  site.SetEvents(8);
  REQUIRE(site.Placer() != nullptr);
  EntryNode* stopping = site.Placer();
  int sent = 0;
  const auto timer = site.loop.Every(Milliseconds(10), [&] {
    if (sent < 150) {
      site.Send(*site.nodes[static_cast<size_t>(sent) % site.nodes.size()]);
      ++sent;
    }
  });
  REQUIRE(RunUntil(site.loop, [&sent] { return sent == 40; }));
  stopping->host.Drain();
  CHECK(RunUntil(site.loop, [&] {
    return site.Placer() != nullptr && site.Placer() != stopping;
  }));
  REQUIRE(RunUntil(site.loop, [&] { return sent == 150 && site.AllEnded(); }));
  site.CheckTruthful();
  CHECK(RunUntil(site.loop, [&site] { return site.CountOutstanding() == 0; }));
}

TEST_CASE("asks are decided locally when the placer dies") {
  // Guards against requests that wait for the decision of a host that is gone.
  PlacementSite site("on");
  REQUIRE(site.WaitUntilReady());
  EntryNode& asker = *site.Asker();
  site.SetEvents(3);
  for (int i = 0; i < 3; ++i) {
    site.Send(asker);
  }
  const uint64_t before = asker.placement.sent().requests;
  REQUIRE(RunUntil(site.loop,
                   [&] { return asker.placement.sent().requests > before; }));
  // The asks are on their way and the placer has not read them.
  site.KillPlacer();
  REQUIRE(RunUntil(site.loop, [&site] { return site.AllEnded(); }));
  site.CheckTruthful();
  for (const CallerResponse& response : site.responses) {
    CHECK(response.status == 200);
  }
}

TEST_CASE("queued asks are decided locally when the placer dies") {
  // Guards against asks that wait in a queue that no longer exists.
  PlacementSite site("on");
  REQUIRE(site.WaitUntilReady());
  EntryNode& asker = *site.Asker();
  site.FillSlots(asker);
  for (int i = 0; i < 3; ++i) {
    site.Send(asker);
  }
  REQUIRE(RunUntil(site.loop, [&site] { return site.CountWaiting() == 3; }));
  site.KillPlacer();
  REQUIRE(RunUntil(site.loop, [&site] { return site.AllEnded(); }));
  site.CheckTruthful();
}

TEST_CASE("asks that wait are decided locally when placement is switched off") {
  // Guards against requests that wait for a placer which no longer places, and
  // against a switch that takes effect only after a restart.
  PlacementSite site("on");
  REQUIRE(site.WaitUntilReady());
  EntryNode& asker = *site.Asker();
  site.FillSlots(asker);
  for (int i = 0; i < 3; ++i) {
    site.Send(asker);
  }
  REQUIRE(RunUntil(site.loop, [&site] { return site.CountWaiting() == 3; }));
  for (size_t i = 0; i < site.nodes.size(); ++i) {
    site.nodes[i]->host.Reload(EntryNode::MakeSettings(
        site.store.address(), "e" + std::to_string(i + 1), site.options,
        "off"));
  }
  CHECK_FALSE(asker.placement.Places(kPool.service, kPool.model));
  REQUIRE(RunUntil(site.loop, [&site] { return site.AllEnded(); }));
  site.CheckTruthful();
  const uint64_t sent = asker.placement.sent().requests;
  site.Send(asker);
  REQUIRE(RunUntil(site.loop, [&site] { return site.AllEnded(); }));
  CHECK(asker.placement.sent().requests == sent);
  CHECK(site.responses.back().status == 200);
}

TEST_CASE("a caller that leaves withdraws its queued ask") {
  // Guards against places that are granted to nobody while others wait.
  PlacementSite site("on");
  REQUIRE(site.WaitUntilReady());
  EntryNode& asker = *site.Asker();
  site.FillSlots(asker);
  site.Send(asker);
  REQUIRE(RunUntil(site.loop, [&site] { return site.CountWaiting() == 1; }));
  const std::string id = "id-" + std::to_string(site.responses.size());
  const auto count_decided = [&site] {
    const PlacementCounts counts =
        site.Placer()->placement.placer().pools().at(kPool)->counts();
    return counts.granted + counts.refused;
  };
  const uint64_t decided_before = count_decided();
  site.calls.back().reset();
  site.responses.back().ended = true;
  REQUIRE(RunUntil(site.loop, [&site] { return site.CountWaiting() == 0; }));
  // The ask left the queue without a decision.
  CHECK(count_decided() == decided_before);
  REQUIRE(RunUntil(site.loop, [&site] {
    return site.AllEnded() && site.CountOutstanding() == 0;
  }));
  CHECK(site.CountSeen(id) == 0);
}

TEST_CASE("a grant that comes too late is withdrawn") {
  // Guards against places that the placer counts as taken although no request
  // is sent there: it would refuse others.
  PlacementSite site("on");
  REQUIRE(site.WaitUntilReady());
  EntryNode* asker = site.Asker();
  REQUIRE(asker != nullptr);
  // Waits until the first message, a sync, was answered.
  site.Send(*asker);
  REQUIRE(RunUntil(site.loop, [&site] {
    return site.AllEnded() && site.CountOutstanding() == 0;
  }));
  const auto granted = [&site] {
    return site.Placer()
        ->placement.placer()
        .pools()
        .at(kPool)
        ->counts()
        .granted;
  };
  const uint64_t granted_before = granted();
  PlacementAsk ask;
  ask.id = asker->placement.NextId();
  ask.pool = kPool;
  ask.prompt_tokens = 100;
  ask.time_to_slo = Milliseconds(400);
  ask.time_left = Seconds(8);
  const uint64_t id = ask.id;
  bool decided = false;
  const uint64_t sent = asker->placement.sent().requests;
  REQUIRE(asker->placement.TryAsk(
      ask, [&decided](const PlacementDecision&) { decided = true; }));
  REQUIRE(RunUntil(site.loop,
                   [&] { return asker->placement.sent().requests > sent; }));
  asker->placement.Withdraw(id);
  REQUIRE(RunUntil(site.loop, [&] { return granted() > granted_before; }));
  CHECK(RunUntil(site.loop, [&site] { return site.CountOutstanding() == 0; }));
  CHECK_FALSE(decided);
}

}  // namespace
}  // namespace filbertrack

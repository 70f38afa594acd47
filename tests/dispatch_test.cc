#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>
#include <queue>

#include "dispatch_fixture.h"
#include "fake_engine.h"
#include "filbertrack/dispatch_connections.h"
#include "filbertrack/dispatch_selector.h"

namespace filbertrack {
namespace {

TEST_CASE("requests spread evenly over equal targets") {
  SelectorFixture fixture(6);
  std::map<std::string, int> placed;
  for (int i = 0; i < 36; ++i) {
    ++placed[fixture.Place(MakeQuery())];
  }
  for (const auto& [target, count] : placed) {
    CHECK(count == 6);
  }
}

TEST_CASE("load of other entry hosts counts like this host's own") {
  SelectorFixture fixture(2);
  fixture.selector.SetRemoteLoads({{"t0", {10, 5000}}}, 0, kStart);
  for (int i = 0; i < 5; ++i) {
    CHECK(fixture.Place(MakeQuery()) == "t1");
  }
  fixture.selector.SetRemoteLoads({}, 0, kStart);
  CHECK(fixture.Place(MakeQuery()) == "t0");
}

TEST_CASE("a target that this host cannot connect to is left out") {
  std::vector<DispatchTarget> targets = MakeTargets(2, "m");
  targets[0].address.port = 7;
  TargetSelector selector(DispatchPolicy{}, 1);
  selector.SetTargets(targets, MakeCatalog(), kStart);
  std::set<Address> unreachable = {targets[0].address};
  DispatchQuery query = MakeQuery();
  query.unreachable = &unreachable;
  for (int i = 0; i < 10; ++i) {
    const auto decision = selector.Choose(query, kStart);
    REQUIRE(std::holds_alternative<DispatchChoice>(decision));
    CHECK(std::get<DispatchChoice>(decision).target.id == "t1");
  }
  CHECK_FALSE(selector.AreAllUnreachable(query));
  unreachable.insert(targets[1].address);
  CHECK(selector.AreAllUnreachable(query));
  // Targets that were tried are not counted, and without any left the request
  // is refused for another reason.
  const std::set<std::string, std::less<>> tried = {"t0", "t1"};
  query.excluded = &tried;
  CHECK_FALSE(selector.AreAllUnreachable(query));
}

TEST_CASE("an answered request no longer counts as load") {
  // Otherwise the load of a target grows with every answer until its requests
  // are refused although it is idle.
  SelectorFixture fixture(1);
  for (int i = 0; i < 500; ++i) {
    REQUIRE(fixture.Place(MakeQuery()) == "t0");
    fixture.selector.OnFirstEvent("t0", 714, Milliseconds(50),
                                  Milliseconds(50));
    fixture.selector.OnEnded("t0", 714, false, DispatchResult::kAnswered,
                             kStart);
  }
  CHECK(fixture.selector.OwnLoads().empty());
}

TEST_CASE("a failing target is skipped, longer with each failure") {
  SelectorFixture fixture(3);
  for (int i = 0; i < 3; ++i) {
    fixture.selector.OnSent("t0", 1);
    fixture.selector.OnEnded("t0", 1, true, DispatchResult::kFailed, kStart);
  }
  for (int i = 0; i < 12; ++i) {
    CHECK(fixture.Place(MakeQuery(), kStart + Milliseconds(600)) != "t0");
  }
  // 300 ms, doubled twice.
  std::set<std::string> later;
  for (int i = 0; i < 12; ++i) {
    later.insert(fixture.Place(MakeQuery(), kStart + Milliseconds(1300)));
  }
  CHECK(later.contains("t0"));
}

TEST_CASE("when most targets fail at once all stay in use") {
  // The cause is then unlikely to be the targets, and skipping them would
  // refuse every request.
  SelectorFixture fixture(3);
  for (const char* id : {"t0", "t1", "t2"}) {
    fixture.selector.OnSent(id, 1);
    fixture.selector.OnEnded(id, 1, true, DispatchResult::kFailed, kStart);
  }
  CHECK(fixture.Place(MakeQuery()) != "");
}

TEST_CASE("no target: refused at once, with the time of a repair") {
  SelectorFixture fixture(0);
  const auto decision = fixture.selector.Choose(MakeQuery(), kStart);
  const auto* refusal = std::get_if<DispatchRefusal>(&decision);
  REQUIRE(refusal != nullptr);
  CHECK(refusal->reason == DispatchDenial::kNoneServing);
  CHECK(refusal->retry_after >= Seconds(1));
}

TEST_CASE("a slow target gets fewer requests") {
  SelectorFixture fixture(2);
  for (int i = 0; i < 30; ++i) {
    fixture.selector.OnSent("t0", 714);
    fixture.selector.OnFirstEvent(
        "t0", 714, fixture.selector.Predict("t0", 714), Seconds(1));
    fixture.selector.OnEnded("t0", 714, false, DispatchResult::kAnswered,
                             kStart);
  }
  int slow = 0;
  for (int i = 0; i < 10; ++i) {
    slow += fixture.Place(MakeQuery()) == "t0" ? 1 : 0;
  }
  CHECK(slow <= 2);
}

/// Completes `times` requests, spread over 20 targets, whose first events come
/// `late` after their prediction.
void LearnLate(SelectorFixture& fixture, Duration late, int times) {
  for (int i = 0; i < times; ++i) {
    const std::string id = "t" + std::to_string(i % 20);
    fixture.selector.OnSent(id, 714);
    const Duration predicted = fixture.selector.Predict(id, 714);
    fixture.selector.OnFirstEvent(id, 714, predicted, predicted + late);
    fixture.selector.OnEnded(id, 714, false, DispatchResult::kAnswered, kStart);
  }
}

TEST_CASE("overhead common to all targets of a model is learned for all") {
  // Each first event took 90 ms more than the engine profile states. A host of
  // a large fleet sends to a given target only every few seconds. While it
  // learned the overhead per target, it accepted requests at full targets for
  // seconds although their first events were 90 ms later than predicted.
  SelectorFixture fixture(20);
  const Duration before = fixture.selector.Predict("t19", 714);
  LearnLate(fixture, Milliseconds(90), 15);
  CHECK(fixture.selector.Predict("t19", 714) > before + Milliseconds(60));
}

TEST_CASE("a stalled target does not affect predictions for the others") {
  // A group that lost a member delays its callers by 5 s. If that counted as
  // load of all targets, every request would be refused.
  SelectorFixture fixture(20);
  const Duration before = fixture.selector.Predict("t19", 714);
  LearnLate(fixture, Seconds(5), 15);
  CHECK(fixture.selector.Predict("t19", 714) == before);
}

TEST_CASE("late first events at full targets reveal unreported requests") {
  // Other hosts fill the last slots before they can report it. From the delays
  // of its own requests the host estimates the mean number of unreported ones
  // and refuses what would exceed the slots. Targets with free slots are not
  // affected.
  SelectorFixture fixture(20);
  std::map<std::string, TargetLoad, std::less<>> loads;
  for (int i = 0; i < 20; ++i) {
    loads["t" + std::to_string(i)] = {17, 0};
  }
  fixture.selector.SetRemoteLoads(loads, 0, kStart);
  REQUIRE_FALSE(fixture.Place(MakeQuery()).empty());
  LearnLate(fixture, Milliseconds(250), 15);
  CHECK(fixture.Place(MakeQuery()).empty());
  fixture.selector.SetRemoteLoads({}, 0, kStart);
  CHECK_FALSE(fixture.Place(MakeQuery()).empty());
}

TEST_CASE("a request past its SLO is served where a slot is free") {
  // Its first target refused it and its time to SLO has passed. It delays no
  // other request; if it were refused, its caller would retry even later.
  SelectorFixture fixture(3);
  fixture.selector.SetRemoteLoads(
      {{"t0", {5, 0}}, {"t1", {5, 0}}, {"t2", {5, 0}}}, 0, kStart);
  auto late = MakeQuery();
  late.time_to_slo = Milliseconds(-100);
  CHECK_FALSE(fixture.Place(late).empty());
  fixture.selector.SetRemoteLoads(
      {{"t0", {17, 0}}, {"t1", {17, 0}}, {"t2", {17, 0}}}, 0, kStart);
  CHECK(fixture.Place(late).empty());
}

TEST_CASE("the time of a plain service is learned") {
  // A service that answers in 6 ms was predicted at 30 ms or more, so that
  // requests with an SLO of 40 ms were refused at a server with two queued
  // requests.
  TargetSelector selector(LookAtAll(), 1);
  auto targets = MakeTargets(1, "");
  targets.front().slots = 1;
  selector.SetTargets(targets, MakeCatalog(), kStart);
  for (int i = 0; i < 60; ++i) {
    const Duration predicted = selector.Predict("t0", 0);
    selector.OnSent("t0", 0);
    selector.OnFirstEvent("t0", 0, predicted, Milliseconds(6));
    selector.OnEnded("t0", 0, false, DispatchResult::kAnswered, kStart);
  }
  CHECK(selector.Predict("t0", 0) < Milliseconds(8));
  selector.OnSent("t0", 0);
  selector.OnSent("t0", 0);
  DispatchQuery query;
  query.service = "plain";
  query.time_to_slo = Milliseconds(40);
  query.time_left = Seconds(1);
  CHECK(std::holds_alternative<DispatchChoice>(selector.Choose(query, kStart)));
}

struct ReplayResult {
  int offered = 0;
  int on_time = 0;
  int refused = 0;
};

/// A burst: twice the capacity of four groups for three seconds, then half.
ReplayResult ReplayBurst(DispatchPolicy policy) {
  constexpr int kTargets = 4;
  SelectorFixture fixture(kTargets, policy);
  std::vector<FakeEngine> engines(kTargets);
  std::map<int, std::string> target_of;
  std::map<int, Duration> predicted;
  ReplayResult result;
  std::mt19937_64 random(7);
  std::exponential_distribution<double> gap(1);
  TimePoint arrival = kStart;
  for (FakeEngine& engine : engines) {
    engine.next = kStart;
  }
  int number = 0;
  const TimePoint finish = kStart + Seconds(8);
  while (true) {
    const auto engine =
        std::min_element(engines.begin(), engines.end(),
                         [](const auto& left, const auto& right) {
                           return left.next < right.next;
                         });
    if (std::min(arrival, engine->next) > finish) {
      return result;
    }
    if (arrival <= engine->next) {
      const double rate = arrival - kStart < Seconds(3) ? 116 : 29;
      const auto query = MakeQuery();
      const auto decision = fixture.selector.Choose(query, arrival);
      ++result.offered;
      ++number;
      if (const auto* choice = std::get_if<DispatchChoice>(&decision)) {
        const auto index =
            static_cast<size_t>(std::stoi(choice->target.id.substr(1)));
        fixture.selector.OnSent(choice->target.id, query.prompt_tokens);
        FakeEngine& chosen = engines[index];
        if (chosen.waiting.empty() && chosen.running.empty()) {
          // An idle engine begins its next pass now.
          chosen.next = arrival;
        }
        chosen.waiting.push_back({number, arrival, 714, 174});
        target_of[number] = choice->target.id;
        predicted[number] = choice->predicted;
      } else {
        ++result.refused;
      }
      arrival += FromSeconds(gap(random) / rate);
      continue;
    }
    const TimePoint now = engine->next;
    if (engine->waiting.empty() && engine->running.empty()) {
      engine->next = finish + Seconds(1);
      continue;
    }
    engine->next += engine->Pass(
        now,
        [&](const FakeEngine::Request& request, TimePoint at) {
          fixture.selector.OnFirstEvent(target_of[request.number], 714,
                                        predicted[request.number],
                                        at - request.arrived);
          result.on_time += at - request.arrived <= Milliseconds(300) ? 1 : 0;
        },
        [&](const FakeEngine::Request& request, TimePoint at) {
          fixture.selector.OnEnded(target_of[request.number], 714, false,
                                   DispatchResult::kAnswered, at);
        });
  }
}

/// 30 hosts each place one request by the same outdated loads. Returns the
/// largest fraction of the requests that a single target received.
double LargestShare(size_t candidates) {
  constexpr int kHosts = 30;
  constexpr int kTargets = 10;
  DispatchPolicy policy;
  policy.candidates = candidates;
  std::vector<std::unique_ptr<TargetSelector>> boards;
  for (int host = 0; host < kHosts; ++host) {
    boards.push_back(
        std::make_unique<TargetSelector>(policy, static_cast<uint64_t>(host)));
    boards.back()->SetTargets(MakeTargets(kTargets, "m"), MakeCatalog(),
                              kStart);
    // All hosts received the same loads; one target is slightly less loaded.
    std::map<std::string, TargetLoad, std::less<>> loads;
    for (int i = 0; i < kTargets; ++i) {
      loads["t" + std::to_string(i)] = {i == 4 ? 5 : 6, 0};
    }
    boards.back()->SetRemoteLoads(loads, 0, kStart);
  }
  std::map<std::string, int> placed;
  for (const auto& selector : boards) {
    const auto decision = selector->Choose(MakeQuery(), kStart);
    ++placed[std::get<DispatchChoice>(decision).target.id];
  }
  int most = 0;
  for (const auto& [target, count] : placed) {
    most = std::max(most, count);
  }
  return static_cast<double>(most) / kHosts;
}

TEST_CASE("hosts with the same loads do not all send to one target") {
  // 30 hosts place one request each before they hear of each other's. If each
  // compares all targets, the least loaded one gets all 30, and its callers
  // wait while other targets are idle.
  CHECK(LargestShare(100) == 1);
  CHECK(LargestShare(DispatchPolicy{}.candidates) < 0.5);
}

TEST_CASE("a burst over capacity: refusals keep accepted requests on time") {
  // Callers send twice the capacity of four groups for 3 s. Without a limit the
  // queues at the groups make nearly all requests late, also well after the
  // burst; with it, accepted requests are on time and the others are refused at
  // once.
  DispatchPolicy open;
  open.slo_factor = 1000;
  open.saturated_slo_factor = 1000;
  const ReplayResult unlimited = ReplayBurst(open);
  const ReplayResult limited = ReplayBurst(DispatchPolicy{});
  CHECK(limited.refused > 0);
  CHECK(limited.on_time > unlimited.on_time * 3 / 2);
  MESSAGE("on time of " << limited.offered << ": " << limited.on_time
                        << " with the limit, " << unlimited.on_time
                        << " without");
}

TEST_CASE("more targets are examined before a request is refused") {
  // Three of 20 groups have capacity. A request whose random draw of three
  // missed them was refused although it could have been answered in time.
  DispatchPolicy drawn;
  drawn.looks_wider = false;
  const auto refused = [](DispatchPolicy policy) {
    SelectorFixture fixture(20, policy);
    std::map<std::string, TargetLoad, std::less<>> loads;
    for (int i = 3; i < 20; ++i) {
      loads["t" + std::to_string(i)] = {40, 0};
    }
    fixture.selector.SetRemoteLoads(loads, 0, kStart);
    int count = 0;
    for (int i = 0; i < 40; ++i) {
      count += fixture.Place(MakeQuery()).empty() ? 1 : 0;
    }
    return count;
  };
  drawn.candidates = DispatchPolicy{}.candidates;
  CHECK(refused(drawn) > 10);
  CHECK(refused(DispatchPolicy{}) == 0);
}

TEST_CASE("pressure is the demand for a model, including refusals") {
  // The slots of a model can be fully taken with or without refusals; the
  // planner must distinguish the two.
  SelectorFixture fixture(2);
  CHECK_FALSE(fixture.selector.Pressure("llm", "other", kStart).has_value());
  CHECK(*fixture.selector.Pressure("llm", "m", kStart) == 0);
  fixture.selector.SetRemoteLoads({{"t0", {17, 0}}, {"t1", {17, 0}}}, 0,
                                  kStart);
  CHECK(*fixture.selector.Pressure("llm", "m", kStart) == doctest::Approx(1));
  auto late = MakeQuery();
  late.time_to_slo = Milliseconds(1);
  for (int i = 0; i < 10; ++i) {
    REQUIRE(fixture.Place(late).empty());
  }
  CHECK(*fixture.selector.Pressure("llm", "m", kStart) == doctest::Approx(3));
  CHECK(*fixture.selector.Pressure("llm", "m", kStart + Seconds(4)) ==
        doctest::Approx(1));
}

/// Number of requests accepted when each of 70 hosts gets 20 requests at once
/// for 40 targets of 17 slots, before any host has heard of another's load.
int TakenAfterStart(size_t unreported_hosts) {
  int taken = 0;
  for (uint64_t host = 0; host < 70; ++host) {
    TargetSelector selector(DispatchPolicy{}, host);
    selector.SetTargets(MakeTargets(40, "m"), MakeCatalog(), kStart);
    for (int i = 0; i < 20; ++i) {
      selector.SetRemoteLoads({}, unreported_hosts, kStart);
      const auto decision = selector.Choose(MakeQuery(), kStart);
      if (const auto* choice = std::get_if<DispatchChoice>(&decision)) {
        selector.OnSent(choice->target.id, 714);
        ++taken;
      }
    }
  }
  return taken;
}

TEST_CASE(
    "a start of the whole fleet: hosts that heard nobody do not take all") {
  // After a power loss of all hosts, callers retry within a second with twice
  // as many requests as the groups have slots, and each host sees idle groups.
  // If all were accepted, every first event would be seconds late.
  TargetSelector knows_all(DispatchPolicy{}, 1);
  knows_all.SetTargets(MakeTargets(40, "m"), MakeCatalog(), kStart);
  int known = 0;
  for (int i = 0; i < 1400; ++i) {
    const auto decision = knows_all.Choose(MakeQuery(), kStart);
    if (const auto* choice = std::get_if<DispatchChoice>(&decision)) {
      knows_all.OnSent(choice->target.id, 714);
      ++known;
    }
  }
  const int assumed = TakenAfterStart(69);
  MESSAGE("taken of 1400: " << known << " by one host that knows all, "
                            << assumed << " by 70 that heard nobody");
  CHECK(TakenAfterStart(0) == 1400);
  CHECK(assumed < known * 5 / 4);
  CHECK(assumed > known * 3 / 4);
}

TEST_CASE("idle connections leave capacity for new connections") {
  // Four servers accept 110 connections each from 70 entry hosts. If every host
  // kept the connection of an occasional request, the idle ones together would
  // use up the limit, and a request that must run at most once would get a
  // connection reset.
  for (const size_t hosts : {1U, 6U, 7U, 70U, 78U, 330U}) {
    for (const int most : {0, 48, 110, 260, 660}) {
      const size_t kept = KeptConnections(most, hosts) * hosts;
      CHECK(2 * kept <= static_cast<size_t>(most));
    }
  }
  CHECK(KeptConnections(110, 70) == 0);
  CHECK(KeptConnections(48, 6) == 4);
  CHECK(KeptConnections(660, 78) == 4);
  CHECK(KeptConnections(100, 0) == 50);
}

}  // namespace
}  // namespace filbertrack

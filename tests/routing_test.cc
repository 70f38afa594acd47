#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "filbertrack/routing_choice.h"

namespace filbertrack {
namespace {

const TimePoint kNow{Seconds(1000)};

RouteCandidate Group(const std::string& id) {
  RouteCandidate candidate;
  candidate.target.id = id;
  candidate.target.service = "m";
  candidate.target.data_centre = "dc";
  candidate.target.whole_at = kNow;
  candidate.load.slots = 8;
  candidate.load.prefill = Milliseconds(100);
  candidate.history.serving_since = kNow - Seconds(100);
  return candidate;
}

RouteQuery Query() {
  RouteQuery query;
  query.service = "m";
  query.data_centre = "dc";
  query.deadline = kNow + Seconds(10);
  return query;
}

/// How often each candidate is chosen in 1,000 calls.
std::map<std::string, int> CountChoices(
    const std::vector<RouteCandidate>& candidates,
    const RouteQuery& query) {
  std::mt19937_64 random(1);
  RoutePolicy policy = PredictedFirstToken{};
  std::map<std::string, int> counts;
  for (int i = 0; i < 1000; ++i) {
    const RouteDecision decision =
        ChooseRoute(policy, candidates, query, RouteLimits(), kNow, random);
    if (const auto* choice = std::get_if<RouteChoice>(&decision)) {
      ++counts[candidates[choice->index].target.id];
    }
  }
  return counts;
}

TEST_CASE("property: only a whole, eligible, untried group is chosen") {
  REQUIRE(rc::check("fit", [] {
    std::vector<RouteCandidate> candidates;
    const int size = *rc::gen::inRange(0, 6);
    for (int i = 0; i < size; ++i) {
      RouteCandidate candidate = Group("g" + std::to_string(i));
      candidate.target.leaving = *rc::gen::inRange(0, 4) == 0;
      if (*rc::gen::inRange(0, 3) == 0) {
        candidate.target.whole_at.reset();
      } else {
        candidate.target.whole_at =
            kNow - Milliseconds(*rc::gen::inRange(0, 2000));
      }
      if (*rc::gen::arbitrary<bool>()) {
        candidate.target.adapters.insert("a");
      }
      candidates.push_back(candidate);
    }
    RouteQuery query = Query();
    query.adapter = *rc::gen::element<std::string>("", "a");
    query.excluded.insert("g1");
    RoutePolicy policy = *rc::gen::arbitrary<bool>()
                             ? RoutePolicy(RoundRobin{})
                             : RoutePolicy(PredictedFirstToken{});
    std::mt19937_64 random(*rc::gen::arbitrary<uint64_t>());
    const RouteDecision decision =
        ChooseRoute(policy, candidates, query, RouteLimits(), kNow, random);
    if (const auto* choice = std::get_if<RouteChoice>(&decision)) {
      const RouteTarget& target = candidates[choice->index].target;
      RC_ASSERT(!target.leaving);
      RC_ASSERT(target.whole_at.has_value());
      RC_ASSERT(kNow - *target.whole_at <= Seconds(1));
      RC_ASSERT(query.adapter.empty() || target.adapters.contains("a"));
      RC_ASSERT(target.id != "g1");
    }
  }));
}

TEST_CASE("hosts that see the same idle group do not all send to it") {
  // One of eight groups is idle and seven are equally loaded; every host has
  // the same report. If all hosts chose the idle group, their requests would
  // queue there.
  std::vector<RouteCandidate> candidates;
  for (int i = 0; i < 8; ++i) {
    candidates.push_back(Group("g" + std::to_string(i)));
    candidates.back().load.running = i == 0 ? 0 : 4;
  }
  CHECK(CountChoices(candidates, Query())["g0"] < 400);
}

TEST_CASE("a straggler gets few requests before it counts as failed") {
  // One group takes ten times as long as it reports, while its members are
  // still alive. Callers must not be sent there and wait for a slow first
  // token.
  std::vector<RouteCandidate> candidates;
  for (int i = 0; i < 4; ++i) {
    candidates.push_back(Group("g" + std::to_string(i)));
    for (int j = 0; j < 20; ++j) {
      LearnFirstToken(candidates.back().history, Milliseconds(100),
                      Milliseconds(i == 0 ? 1000 : 100));
    }
  }
  CHECK(CountChoices(candidates, Query())["g0"] < 20);
}

TEST_CASE("slowness common to all groups makes none a straggler") {
  std::vector<RouteCandidate> candidates;
  for (int i = 0; i < 4; ++i) {
    candidates.push_back(Group("g" + std::to_string(i)));
    for (int j = 0; j < 20; ++j) {
      LearnFirstToken(candidates.back().history, Milliseconds(100),
                      Milliseconds(1000));
    }
  }
  RouteQuery query = Query();
  query.deadline = kNow + Milliseconds(500);
  CHECK(CountChoices(candidates, query).size() == 4);
}

TEST_CASE("requests with a cached prefix go to the group that caches it") {
  std::vector<RouteCandidate> candidates;
  for (int i = 0; i < 8; ++i) {
    candidates.push_back(Group("g" + std::to_string(i)));
  }
  candidates[3].load.cached_prefixes.insert("p");
  RouteQuery query = Query();
  query.prefix = "p";
  CHECK(CountChoices(candidates, query)["g3"] == 1000);
}

TEST_CASE("a group that returned gets its share gradually") {
  // Without slow start a cold group would receive the whole backlog, and its
  // callers would wait.
  RouteCandidate candidate = Group("g");
  candidate.history.serving_since = kNow;
  candidate.history.in_flight = 1;
  CHECK(CountChoices({candidate}, Query()).empty());
  candidate.history.serving_since = kNow - Seconds(5);
  CHECK(CountChoices({candidate}, Query())["g"] == 1000);
}

TEST_CASE("a plain server's past requests do not count as load for ever") {
  // Plain servers send no reports, so change_since_report is never reset. When
  // it counted as load, all requests were refused after a number of them.
  RouteCandidate candidate = Group("s");
  candidate.target.needs_evidence = false;
  candidate.history.change_since_report = 100000;
  CHECK(CountChoices({candidate}, Query())["s"] == 1000);
}

TEST_CASE("a request that no group could start in time is refused at once") {
  RouteCandidate candidate = Group("g");
  candidate.load.prefill = Seconds(20);
  std::mt19937_64 random(1);
  RoutePolicy policy = PredictedFirstToken{};
  const RouteDecision decision =
      ChooseRoute(policy, std::vector<RouteCandidate>{candidate}, Query(),
                  RouteLimits(), kNow, random);
  REQUIRE(std::holds_alternative<RouteDenial>(decision));
  CHECK(std::get<RouteDenial>(decision).reason == RouteRefusal::kAllBusy);
  CHECK(std::get<RouteDenial>(decision).retry_after > Duration(0));
}

}  // namespace
}  // namespace filbertrack

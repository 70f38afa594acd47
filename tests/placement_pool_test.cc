#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "dispatch_fixture.h"
#include "filbertrack/placement_pool.h"

namespace filbertrack {
namespace {

/// A pool whose targets answer each request after one second.
struct PoolFixture {
  explicit PoolFixture(int targets = 1, PlacementPolicy policy = {})
      : pool({"llm", "m"}, policy, 1) {
    pool.SetTargets(MakeTargets(targets, "m"), MakeCatalog(), kStart);
  }

  PlacementAsk MakeAsk(int priority = 0, const std::string& workspace = "w") {
    PlacementAsk ask;
    ask.id = ++last_id;
    ask.pool = pool.key();
    ask.prompt_tokens = 714;
    ask.time_to_slo = Milliseconds(400);
    ask.time_left = Seconds(6);
    ask.priority = priority;
    ask.workspace = workspace;
    return ask;
  }

  PlacementAnswer Ask(const PlacementAsk& ask) {
    PlacementAnswer answer = pool.Ask("e", ask, now);
    if (const auto* grant = std::get_if<PlacementGrant>(&answer)) {
      Begin(*grant);
    }
    return answer;
  }

  /// The request begins as predicted.
  void Begin(const PlacementGrant& grant) {
    targets[grant.id] = grant.target;
    pool.Report("e", PlacementFirst{grant.id, grant.target, grant.predicted},
                now);
  }

  void End(uint64_t id, DispatchResult result = DispatchResult::kAnswered) {
    pool.Report("e", PlacementEnded{id, targets.at(id), false, result}, now);
    targets.erase(id);
  }

  std::vector<PlacementAnswer> Serve() {
    std::vector<PlacementAnswer> answers;
    for (const auto& answered : pool.Serve(now)) {
      if (const auto* grant = std::get_if<PlacementGrant>(&answered.answer)) {
        Begin(*grant);
      }
      answers.push_back(answered.answer);
    }
    return answers;
  }

  /// Takes all places and tells the pool that a request takes a second.
  void Fill() {
    const auto first = MakeAsk();
    Ask(first);
    now += Seconds(1);
    End(first.id);
    while (std::holds_alternative<PlacementGrant>(Ask(MakeAsk(9, "fill")))) {
    }
    for (const auto& answered : pool.Release()) {
      (void)answered;
    }
  }

  /// Ends a request and returns the id that gets its place; 0: none.
  uint64_t EndOne() {
    End(targets.begin()->first);
    for (const PlacementAnswer& answer : Serve()) {
      if (const auto* grant = std::get_if<PlacementGrant>(&answer)) {
        return grant->id;
      }
    }
    return 0;
  }

  PlacementPool pool;
  TimePoint now = kStart;
  uint64_t last_id = 0;
  std::map<uint64_t, std::string> targets;
};

bool IsGrant(const PlacementAnswer& answer) {
  return std::holds_alternative<PlacementGrant>(answer);
}

bool IsQueued(const PlacementAnswer& answer) {
  return std::holds_alternative<PlacementQueued>(answer);
}

TEST_CASE("pool: requests are spread over all targets, none beyond its slots") {
  PoolFixture fixture(10);
  std::map<std::string, int> counts;
  for (int i = 0; i < 300; ++i) {
    const auto answer = fixture.Ask(fixture.MakeAsk());
    if (const auto* grant = std::get_if<PlacementGrant>(&answer)) {
      ++counts[grant->target];
    }
    fixture.now += Milliseconds(1);
  }
  CHECK(counts.size() == 10);
  for (const auto& [target, count] : counts) {
    CHECK(count >= 15);
    // 17 slots and a tenth.
    CHECK(count <= 18);
  }
}

TEST_CASE("pool: the more urgent ask gets the place, whoever came first") {
  PoolFixture fixture;
  fixture.Fill();
  const auto low = fixture.MakeAsk(2);
  const auto high = fixture.MakeAsk(0);
  REQUIRE(IsQueued(fixture.Ask(low)));
  const auto answer = fixture.Ask(high);
  REQUIRE(IsQueued(answer));
  CHECK(std::get<PlacementQueued>(answer).position == 1);
  CHECK(fixture.EndOne() == high.id);
}

TEST_CASE("pool: a new ask does not overtake one that waits") {
  // A caller that repeats at once would otherwise take the place that a waiting
  // one was promised.
  PoolFixture fixture;
  fixture.Fill();
  const auto waiting = fixture.MakeAsk();
  REQUIRE(IsQueued(fixture.Ask(waiting)));
  fixture.End(fixture.targets.begin()->first);
  CHECK_FALSE(IsGrant(fixture.Ask(fixture.MakeAsk())));
  const auto answers = fixture.Serve();
  REQUIRE_FALSE(answers.empty());
  REQUIRE(IsGrant(answers[0]));
  CHECK(std::get<PlacementGrant>(answers[0]).id == waiting.id);
}

TEST_CASE("pool: workspaces take turns") {
  // The backlog of one workspace must not delay the next ask of another.
  PoolFixture fixture(8);
  fixture.Fill();
  for (int i = 0; i < 5; ++i) {
    REQUIRE(IsQueued(fixture.Ask(fixture.MakeAsk(0, "large"))));
  }
  const auto small = fixture.MakeAsk(0, "small");
  REQUIRE(IsQueued(fixture.Ask(small)));
  std::vector<uint64_t> served = {fixture.EndOne(), fixture.EndOne()};
  CHECK(std::find(served.begin(), served.end(), small.id) != served.end());
}

TEST_CASE("pool: one grant in ten goes to the lowest priority") {
  // Urgent asks that take every place would starve the others.
  PoolFixture fixture(8);
  fixture.Fill();
  const auto low = fixture.MakeAsk(2);
  REQUIRE(IsQueued(fixture.Ask(low)));
  int grants = 0;
  while (fixture.targets.count(low.id) == 0 && grants < 30) {
    fixture.Ask(fixture.MakeAsk(0));
    fixture.Ask(fixture.MakeAsk(0));
    REQUIRE(fixture.EndOne() != 0);
    ++grants;
  }
  CHECK(grants <= 10);
}

TEST_CASE("pool: an ask that can no longer be in time is refused at once") {
  PoolFixture fixture;
  fixture.Fill();
  REQUIRE(IsQueued(fixture.Ask(fixture.MakeAsk())));
  REQUIRE(fixture.pool.NextDue());
  const TimePoint due = *fixture.pool.NextDue();
  CHECK(due < fixture.now + Milliseconds(400));
  fixture.now = due;
  const auto answers = fixture.Serve();
  REQUIRE(answers.size() == 1);
  CHECK(std::holds_alternative<PlacementRefusal>(answers[0]));
  CHECK_FALSE(fixture.pool.NextDue());
}

TEST_CASE("pool: the queue is no longer than endings can serve in time") {
  // Seventeen requests of a second end in a second, so an ask that may wait for
  // 0.3 s has a place if it is among the first five.
  PoolFixture fixture;
  fixture.Fill();
  int queued = 0;
  for (int i = 0; i < 50; ++i) {
    queued += IsQueued(fixture.Ask(fixture.MakeAsk())) ? 1 : 0;
  }
  CHECK(queued >= 1);
  CHECK(queued <= 5);
}

TEST_CASE("pool: a full queue refuses the least urgent first") {
  PlacementPolicy policy;
  policy.max_waiting = 2;
  PoolFixture fixture(8, policy);
  fixture.Fill();
  const auto high = fixture.MakeAsk(0);
  const auto low = fixture.MakeAsk(2);
  const auto last = fixture.MakeAsk(0);
  REQUIRE(IsQueued(fixture.Ask(high)));
  REQUIRE(IsQueued(fixture.Ask(low)));
  REQUIRE(IsQueued(fixture.Ask(last)));
  const auto answers = fixture.Serve();
  REQUIRE(answers.size() == 1);
  REQUIRE(std::holds_alternative<PlacementRefusal>(answers[0]));
  CHECK(std::get<PlacementRefusal>(answers[0]).id == low.id);
  CHECK_FALSE(IsQueued(fixture.Ask(fixture.MakeAsk(2))));
}

TEST_CASE("pool: the retry-after time grows with those that come back") {
  // With a constant time most callers would retry into the same burst.
  PoolFixture fixture(8);
  fixture.Fill();
  Duration first{0};
  Duration last{0};
  for (int i = 0; i < 400; ++i) {
    const auto answer = fixture.Ask(fixture.MakeAsk());
    if (const auto* refusal = std::get_if<PlacementRefusal>(&answer)) {
      first = first == Duration(0) ? refusal->retry_after : first;
      last = refusal->retry_after;
      CHECK(last >= Milliseconds(50));
      CHECK(last <= Seconds(2));
    }
  }
  CHECK(first > Duration(0));
  CHECK(last > first * 2);
}

TEST_CASE("pool: requests that a lost target ends together are one failure") {
  // Counted one by one, 17 of them would pause the target for 4 s.
  PoolFixture fixture;
  for (int i = 0; i < 10; ++i) {
    REQUIRE(IsGrant(fixture.Ask(fixture.MakeAsk())));
  }
  fixture.now += Milliseconds(10);
  while (!fixture.targets.empty()) {
    fixture.End(fixture.targets.begin()->first, DispatchResult::kFailed);
  }
  // A second target takes all requests while the first one is paused.
  fixture.pool.SetTargets(MakeTargets(3, "m"), MakeCatalog(), fixture.now);
  for (int i = 0; i < 5; ++i) {
    const auto answer = fixture.Ask(fixture.MakeAsk());
    REQUIRE(IsGrant(answer));
    CHECK(std::get<PlacementGrant>(answer).target != "t0");
  }
  fixture.now += Milliseconds(300);
  const auto answer = fixture.Ask(fixture.MakeAsk());
  REQUIRE(IsGrant(answer));
  CHECK(std::get<PlacementGrant>(answer).target == "t0");
}

TEST_CASE("pool: an ask that may not use the free target blocks no other") {
  PoolFixture fixture(2);
  fixture.Fill();
  auto bound = fixture.MakeAsk(0);
  bound.excluded = {"t0"};
  REQUIRE(IsQueued(fixture.Ask(bound)));
  const auto other = fixture.MakeAsk(0);
  REQUIRE(IsQueued(fixture.Ask(other)));
  const auto at_t0 =
      std::find_if(fixture.targets.begin(), fixture.targets.end(),
                   [](const auto& row) { return row.second == "t0"; });
  fixture.End(at_t0->first);
  const auto answers = fixture.Serve();
  REQUIRE(answers.size() == 1);
  REQUIRE(IsGrant(answers[0]));
  CHECK(std::get<PlacementGrant>(answers[0]).id == other.id);
}

TEST_CASE("pool: an ask that waited too long blocks no younger one") {
  // Guards against places that stay free while all asks behind the first one
  // wait until they are late as well.
  PoolFixture fixture(1);
  fixture.Fill();
  const auto old = fixture.MakeAsk();
  REQUIRE(IsQueued(fixture.Ask(old)));
  // The place becomes free later than expected, before the ask expires.
  fixture.now = *fixture.pool.NextDue() - Milliseconds(1);
  const auto young = fixture.MakeAsk();
  REQUIRE(IsQueued(fixture.Ask(young)));
  fixture.End(fixture.targets.begin()->first);
  fixture.End(fixture.targets.begin()->first);
  // Its prompt must be read first, which takes longer than what is left.
  fixture.pool.Report("e2", PlacementSent{1, "t0", 1500}, fixture.now);
  const auto answers = fixture.Serve();
  REQUIRE(answers.size() == 2);
  REQUIRE(std::holds_alternative<PlacementRefusal>(answers[0]));
  CHECK(std::get<PlacementRefusal>(answers[0]).id == old.id);
  REQUIRE(IsGrant(answers[1]));
  CHECK(std::get<PlacementGrant>(answers[1]).id == young.id);
}

TEST_CASE("pool: free slots of targets that fail do not count") {
  // Guards against late requests that are admitted at full targets because
  // others, which are gone, seem to have room.
  PoolFixture fixture(3);
  fixture.Fill();
  for (int i = 0; i < 20 && !fixture.targets.empty(); ++i) {
    const auto lost =
        std::find_if(fixture.targets.begin(), fixture.targets.end(),
                     [](const auto& row) { return row.second == "t0"; });
    if (lost != fixture.targets.end()) {
      fixture.End(lost->first, DispatchResult::kFailed);
    }
  }
  auto late = fixture.MakeAsk();
  late.time_to_slo = Milliseconds(1);
  CHECK(std::holds_alternative<PlacementRefusal>(fixture.Ask(late)));
}

TEST_CASE("pool: a confined one grants what its askers brought and one more") {
  // Guards against two placers that fill the same slots.
  PoolFixture fixture(1);
  fixture.pool.SetConfined(true);
  const std::vector<PlacementLoad> brought = {
      {1, "t0", 714, false, Milliseconds(100)},
      {2, "t0", 714, false, Milliseconds(100)}};
  fixture.pool.Sync("e2", 1, brought, fixture.now, true);
  CHECK(IsGrant(fixture.Ask(fixture.MakeAsk())));
  CHECK_FALSE(IsGrant(fixture.Ask(fixture.MakeAsk())));
  fixture.pool.Report("e2",
                      PlacementEnded{1, "t0", false, DispatchResult::kAnswered},
                      fixture.now);
  CHECK(IsGrant(fixture.Ask(fixture.MakeAsk())));
  // A sync of an asker that did not move brings nothing.
  fixture.pool.Sync("e2", 1, brought, fixture.now);
  CHECK_FALSE(IsGrant(fixture.Ask(fixture.MakeAsk())));
  fixture.pool.Release();
  fixture.pool.SetConfined(false);
  CHECK(IsGrant(fixture.Ask(fixture.MakeAsk())));
}

TEST_CASE(
    "pool: another placer's estimates are used until there are own ones") {
  // Guards against a new placer that lets nobody wait and predicts too early
  // for as long as a request takes.
  PoolFixture fixture(1);
  CHECK_FALSE(fixture.pool.Estimate());
  fixture.pool.AdoptEstimate(
      {{"llm", "m"}, Milliseconds(1300), Milliseconds(120), Milliseconds(10)},
      fixture.now);
  REQUIRE(fixture.pool.Estimate());
  CHECK(fixture.pool.Estimate()->overhead == Milliseconds(120));
  fixture.pool.AdoptEstimate({{"llm", "m"}, Seconds(9), Seconds(1), {}},
                             fixture.now);
  CHECK(fixture.pool.Estimate()->request_time == Milliseconds(1300));
  while (IsGrant(fixture.Ask(fixture.MakeAsk(9, "fill")))) {
  }
  auto ask = fixture.MakeAsk();
  ask.time_to_slo = Seconds(2);
  CHECK(IsQueued(fixture.Ask(ask)));
}

TEST_CASE("pool: requests at a target that is learned of later are counted") {
  PoolFixture fixture(1);
  fixture.pool.Sync("e2", 1, std::vector<PlacementLoad>{{1, "t1", 714, false}},
                    fixture.now);
  CHECK(fixture.pool.counts().outstanding == 1);
  CHECK(fixture.pool.counts().synced_askers == 1);
  fixture.pool.SetTargets(MakeTargets(2, "m"), MakeCatalog(), fixture.now);
  const auto answer = fixture.Ask(fixture.MakeAsk());
  REQUIRE(IsGrant(answer));
  CHECK(std::get<PlacementGrant>(answer).target == "t0");
  fixture.pool.Forget("e2", fixture.now);
  CHECK(fixture.pool.counts().outstanding == 1);
}

TEST_CASE("pool: without targets an ask is refused with the reason") {
  PoolFixture fixture(0);
  const auto answer = fixture.Ask(fixture.MakeAsk());
  REQUIRE(std::holds_alternative<PlacementRefusal>(answer));
  CHECK(std::get<PlacementRefusal>(answer).reason ==
        DispatchDenial::kNoneServing);
  CHECK(fixture.pool.counts().refused == 1);
}

}  // namespace
}  // namespace filbertrack

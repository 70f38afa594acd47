#include <doctest/doctest.h>

#include "dispatch_fixture.h"

/// Targets that accept no requests at present.

namespace filbertrack {
namespace {

/// The first `count` servers, from t0 on, name a limit that this host has used
/// up.
Backpressure HoldBack(int count) {
  Backpressure backpressure("e0", {}, 0);
  for (int i = 0; i < count; ++i) {
    backpressure.OnAnswer({{"t" + std::to_string(i), 0}, 2.0, kStart}, kStart);
  }
  return backpressure;
}

TEST_CASE("a target that accepts no requests is skipped") {
  SelectorFixture fixture(3);
  const Backpressure backpressure = HoldBack(2);
  DispatchQuery query = MakeQuery();
  query.backpressure = &backpressure;
  for (int i = 0; i < 5; ++i) {
    CHECK(fixture.Place(query) == "t2");
  }
}

TEST_CASE("when no target accepts requests, retry-after is when one will") {
  SelectorFixture fixture(2);
  const Backpressure backpressure = HoldBack(2);
  DispatchQuery query = MakeQuery();
  query.backpressure = &backpressure;
  const auto decision = fixture.selector.Choose(query, kStart);
  const auto* refusal = std::get_if<DispatchRefusal>(&decision);
  REQUIRE(refusal != nullptr);
  CHECK(refusal->reason == DispatchDenial::kAllHeldBack);
  CHECK(refusal->retry_after >= Milliseconds(500));
  CHECK(fixture.Place(query, kStart + refusal->retry_after) != "");
}

TEST_CASE("free slots of a rate-limited target do not count as free") {
  // If they counted, late requests would be accepted at full targets as if
  // slots were free elsewhere, and would delay all requests behind them.
  SelectorFixture fixture(4);
  const Backpressure backpressure = HoldBack(2);
  DispatchQuery query = MakeQuery();
  query.backpressure = &backpressure;
  std::map<std::string, TargetLoad, std::less<>> full;
  full["t2"] = full["t3"] = {17, 0};
  fixture.selector.SetRemoteLoads(full, 0, kStart);
  query.time_to_slo = Milliseconds(1);
  const auto decision = fixture.selector.Choose(query, kStart);
  const auto* refusal = std::get_if<DispatchRefusal>(&decision);
  REQUIRE(refusal != nullptr);
  CHECK(refusal->reason == DispatchDenial::kAllBusy);
}

TEST_CASE("a target that another host chose is checked before it is used") {
  // Guards against sends to targets that left, were tried or accept no requests
  // at present, because the choice is a little older than this host's
  // knowledge.
  SelectorFixture fixture(3);
  const Backpressure backpressure = HoldBack(1);
  const std::set<std::string, std::less<>> tried = {"t1"};
  DispatchQuery query = MakeQuery();
  query.backpressure = &backpressure;
  query.excluded = &tried;
  const auto confirm = [&](std::string_view id) {
    return fixture.selector.ConfirmChoice(id, query, Milliseconds(70), 5,
                                          kStart);
  };
  CHECK_FALSE(confirm("t0"));
  CHECK_FALSE(confirm("t1"));
  CHECK_FALSE(confirm("unknown"));
  const auto choice = confirm("t2");
  REQUIRE(choice.has_value());
  CHECK(choice->target.id == "t2");
  CHECK(choice->predicted == Milliseconds(70));
  CHECK(choice->other_requests == 5);
  query.model = "another";
  CHECK_FALSE(confirm("t2"));
}

TEST_CASE("targets that may not be used are listed for another host's choice") {
  // Guards against a placer that grants a target which the asker must decline.
  SelectorFixture fixture(4);
  const Backpressure backpressure = HoldBack(1);
  const std::set<std::string, std::less<>> tried = {"t1"};
  DispatchQuery query = MakeQuery();
  query.backpressure = &backpressure;
  query.excluded = &tried;
  fixture.selector.OnSent("t2", 0);
  fixture.selector.OnEnded("t2", 0, true, DispatchResult::kFailed, kStart);
  const auto unusable = fixture.selector.UnusableTargets(query, kStart);
  REQUIRE(unusable.has_value());
  CHECK(*unusable == std::vector<std::string>{"t0", "t1", "t2"});
  // A failed target is better than none.
  fixture.selector.OnSent("t3", 0);
  fixture.selector.OnEnded("t3", 0, true, DispatchResult::kFailed, kStart);
  CHECK(*fixture.selector.UnusableTargets(query, kStart) ==
        std::vector<std::string>{"t0", "t1"});
  const std::set<std::string, std::less<>> all = {"t1", "t2", "t3"};
  query.excluded = &all;
  CHECK_FALSE(fixture.selector.UnusableTargets(query, kStart).has_value());
}

}  // namespace
}  // namespace filbertrack

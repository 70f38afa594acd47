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

}  // namespace
}  // namespace filbertrack

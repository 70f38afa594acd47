#include <doctest/doctest.h>

#include "dispatch_fixture.h"

/// Targets that take no request now.

namespace filbertrack {
namespace {

/// Servers t0 up to `count` name a limit that this host has used up.
Backpressure HoldBack(int count) {
  Backpressure backpressure("e0", {}, 0);
  for (int i = 0; i < count; ++i) {
    backpressure.OnAnswer({{"t" + std::to_string(i), 0}, 2.0, kStart}, kStart);
  }
  return backpressure;
}

TEST_CASE("a target that takes no request now is passed over") {
  SelectorFixture fixture(3);
  const Backpressure backpressure = HoldBack(2);
  DispatchQuery query = MakeQuery();
  query.backpressure = &backpressure;
  for (int i = 0; i < 5; ++i) {
    CHECK(fixture.Place(query) == "t2");
  }
}

TEST_CASE("a caller that no target takes now is told when one will") {
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

TEST_CASE("places that a limit keeps free are no room for others") {
  // Otherwise callers are let in late at full targets, as if there were room
  // beside them, and make everybody behind late.
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

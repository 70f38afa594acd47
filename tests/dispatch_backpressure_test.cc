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
  Board board(3);
  const Backpressure backpressure = HoldBack(2);
  DispatchQuery query = MakeQuery();
  query.backpressure = &backpressure;
  for (int i = 0; i < 5; ++i) {
    CHECK(board.Place(query) == "t2");
  }
}

TEST_CASE("a caller that no target takes now is told when one will") {
  Board board(2);
  const Backpressure backpressure = HoldBack(2);
  DispatchQuery query = MakeQuery();
  query.backpressure = &backpressure;
  const auto decision = board.board.Choose(query, kStart);
  const auto* refusal = std::get_if<DispatchRefusal>(&decision);
  REQUIRE(refusal != nullptr);
  CHECK(refusal->reason == DispatchDenial::kAllHeldBack);
  CHECK(refusal->retry_after >= Milliseconds(500));
  CHECK(board.Place(query, kStart + refusal->retry_after) != "");
}

TEST_CASE("places that a limit keeps free are no room for others") {
  // Otherwise callers are let in late at full targets, as if there were room
  // beside them, and make everybody behind late.
  Board board(4);
  const Backpressure backpressure = HoldBack(2);
  DispatchQuery query = MakeQuery();
  query.backpressure = &backpressure;
  std::map<std::string, TargetLoad, std::less<>> full;
  full["t2"] = full["t3"] = {17, 0};
  board.board.SetRemoteLoads(full, 0, kStart);
  query.time_to_aim = Milliseconds(1);
  const auto decision = board.board.Choose(query, kStart);
  const auto* refusal = std::get_if<DispatchRefusal>(&decision);
  REQUIRE(refusal != nullptr);
  CHECK(refusal->reason == DispatchDenial::kAllBusy);
}

}  // namespace
}  // namespace filbertrack

#include <doctest/doctest.h>

#include <algorithm>
#include <limits>
#include <string>
#include <vector>

#include "placement_exchange.h"

namespace filbertrack {
namespace {

/// Has the placer grant the queued ask of "e1" with a notice, since a request
/// of another asker ended.
void GrantByOther(Exchange& exchange, uint64_t sequence) {
  PlacementRequest ended;
  ended.asker = "e2";
  ended.sequence = sequence;
  ended.events = {PlacementEnded{1, "t0", true, DispatchResult::kAnswered}};
  exchange.placer->OnRequest(ended, exchange.now);
}

/// A request of asker "e2" at the only target.
void SendByOther(Exchange& exchange) {
  PlacementRequest sync;
  sync.asker = "e2";
  sync.sequence = 1;
  sync.is_sync = true;
  sync.loads = {{1, "t0", 714, false}};
  exchange.placer->OnRequest(sync, exchange.now);
}

TEST_CASE("placer: a sync keeps the grants that the asker does not know yet") {
  // The asker uses the grant without reporting it, so it would not be counted.
  Exchange exchange(1);
  SendByOther(exchange);
  const uint64_t queued = exchange.FillUntilQueued();
  const size_t outstanding = exchange.Outstanding();
  GrantByOther(exchange, 2);
  REQUIRE(exchange.Outstanding() == outstanding);
  bool is_in_notice = false;
  SUBCASE("not sent") {}
  SUBCASE("in a notice") {
    is_in_notice = true;
    REQUIRE(exchange.placer->TakeNotices(exchange.now).size() == 1);
  }
  exchange.client.SetPlacer({"llm", "other"}, "p", exchange.now);
  const auto decided = exchange.Deliver();
  REQUIRE(decided.size() == 1);
  CHECK(decided[0].id == queued);
  REQUIRE(std::holds_alternative<PlacementGrant>(decided[0].decision));
  CHECK(exchange.Outstanding() == outstanding);
  if (is_in_notice) {
    const PlacementNoticeReply reply;
    exchange.placer->OnNoticeReply("e1", &reply, exchange.now);
    CHECK(exchange.Outstanding() == outstanding);
  }
}

TEST_CASE("placer: a grant that ended before a sync is not kept") {
  // The reply to the notice may arrive after the sync.
  Exchange exchange(1);
  SendByOther(exchange);
  const uint64_t queued = exchange.FillUntilQueued();
  const size_t outstanding = exchange.Outstanding();
  GrantByOther(exchange, 2);
  const auto notices = exchange.placer->TakeNotices(exchange.now);
  REQUIRE(notices.size() == 1);
  PlacementNoticeReply reply;
  REQUIRE(
      exchange.client.OnNotice(notices[0].second, reply, exchange.now).size() ==
      1);
  exchange.client.SetPlacer({"llm", "other"}, "p", exchange.now);
  exchange.client.OnEvent(
      kPool, PlacementEnded{queued, "t0", true, DispatchResult::kFailed},
      exchange.now);
  exchange.Deliver();
  exchange.placer->OnNoticeReply("e1", &reply, exchange.now);
  // The reply to the sync listed the grant, and the asker withdraws it.
  exchange.now += Milliseconds(10);
  exchange.Deliver();
  CHECK(exchange.Outstanding() == outstanding - 1);
}

TEST_CASE("placer: what a restarted asker held is dropped") {
  // Its requests ended with it; their places would never be free again.
  Exchange exchange;
  exchange.Grant(1);
  PlacementRequest restarted;
  restarted.asker = "e1";
  restarted.incarnation = 2;
  restarted.sequence = 1;
  restarted.is_sync = true;
  CHECK_FALSE(exchange.placer->OnRequest(restarted, exchange.now).wants_sync);
  CHECK(exchange.Outstanding() == 0);
  // A late message of the earlier process brings nothing back.
  PlacementRequest late;
  late.asker = "e1";
  late.incarnation = 1;
  late.sequence = 3;
  late.asks = {MakeAsk(5)};
  CHECK(exchange.placer->OnRequest(late, exchange.now).answers.empty());
  CHECK(exchange.Outstanding() == 0);
}

TEST_CASE("placer: a gap in the sequence asks for a sync") {
  Exchange exchange;
  exchange.Grant(1);
  PlacementRequest later;
  later.asker = "e1";
  later.incarnation = 1;
  later.sequence = 9;
  CHECK(exchange.placer->OnRequest(later, exchange.now).wants_sync);
  later.sequence = 10;
  CHECK(exchange.placer->OnRequest(later, exchange.now).wants_sync);
  later.sequence = 11;
  later.is_sync = true;
  CHECK_FALSE(exchange.placer->OnRequest(later, exchange.now).wants_sync);
}

/// A host that moves from "first" to the placer "second", with one request
/// under way.
PlacementRequest MakeMoved(const std::string& asker, uint64_t sequence = 1) {
  PlacementRequest request;
  request.asker = asker;
  request.sequence = sequence;
  request.is_sync = true;
  request.moved = {kPool};
  request.unresponsive = {"first"};
  return request;
}

std::unique_ptr<Placer> MakeSecond(size_t hosts) {
  auto placer =
      std::make_unique<Placer>("second", 1, PlacementPolicy{}, uint64_t{1});
  const std::vector<PlacementRole> roles = {{kPool, {"first"}, true}};
  placer->SetRoles(roles, kStart);
  placer->SetTargets(MakeTargets(4, "m"), MakeCatalog(), kStart);
  std::set<std::string, std::less<>> names = {"first", "second"};
  for (size_t i = 0; i < hosts; ++i) {
    names.insert("e" + std::to_string(i));
  }
  placer->SetHosts(names, kStart);
  return placer;
}

TEST_CASE("placer: reports of askers do not add up over time") {
  // Guards against a claim because each host lost a message once.
  auto placer = MakeSecond(12);
  TimePoint now = kStart;
  for (int i = 0; i < 12; ++i) {
    placer->OnRequest(MakeMoved("e" + std::to_string(i)), now);
    CHECK(placer->TakeNotices(now).empty());
    now += Milliseconds(600);
  }
  CHECK(placer->claims() == 0);
  CHECK(placer->pools().at(kPool)->is_confined());
}

TEST_CASE("placer: a claim is sent to all hosts and ends when most have come") {
  // Guards against a second placer that uses slots which it knows nothing of,
  // and against hosts that go on asking one that is gone.
  auto placer = MakeSecond(12);
  placer->OnRequest(MakeMoved("e0"), kStart);
  CHECK(placer->TakeChecks().contains("first"));
  CHECK(placer->claims() == 0);
  placer->SetUnresponsive({"first"}, {}, kStart);
  CHECK(placer->claims() == 1);
  // To "first" as well, and not to the one that came.
  const auto notices = placer->TakeNotices(kStart);
  CHECK(notices.size() == 12);
  CHECK(notices.front().second.replaced == std::vector<std::string>{"first"});
  for (int i = 1; i < 10; ++i) {
    CHECK(placer->pools().at(kPool)->is_confined());
    placer->OnRequest(MakeMoved("e" + std::to_string(i)), kStart);
  }
  placer->OnRequest(MakeMoved("e10"), kStart);
  CHECK_FALSE(placer->pools().at(kPool)->is_confined());
}

TEST_CASE("placer: a host that was replaced declines") {
  // Guards against two placers after one of them was frozen.
  Exchange exchange;
  exchange.placer->SetHosts({"p", "q", "e1"}, exchange.now);
  exchange.placer->OnClaim({"q", 1, {}, {"p"}}, exchange.now);
  REQUIRE(exchange.client.TryAsk(MakeAsk(1), exchange.now));
  const auto declined = exchange.Deliver();
  REQUIRE(declined.size() == 1);
  CHECK(IsLocal(declined[0]));
  // Until the other one is gone.
  exchange.placer->SetHosts({"p", "e1"}, exchange.now);
  exchange.now += Milliseconds(250);
  exchange.Deliver();
  CHECK_FALSE(exchange.Grant(2).empty());
}

TEST_CASE("placer: hosts that have not synced count by gossip for 1.5 s") {
  // A new placer that assumed idle targets would fill them twice.
  auto placer = MakePlacer("p", 1, 1);
  TargetLoads loads;
  loads["t0"] = {17, 0};
  placer->SetUnsynced(loads, 10, kStart);
  PlacementRequest request;
  request.asker = "e1";
  request.sequence = 1;
  request.is_sync = true;
  request.asks = {MakeAsk(1)};
  const auto refused = placer->OnRequest(request, kStart);
  CHECK(std::holds_alternative<PlacementRefusal>(refused.answers.at(0)));
  // One of ten hosts has synced, and nine tenths of the load remain.
  placer->SetUnsynced(loads, 10, kStart + Milliseconds(100));
  request = {};
  request.asker = "e1";
  request.sequence = 2;
  request.asks = {MakeAsk(2)};
  const auto granted = placer->OnRequest(request, kStart + Milliseconds(100));
  REQUIRE(std::holds_alternative<PlacementGrant>(granted.answers.at(0)));
  CHECK(std::get<PlacementGrant>(granted.answers.at(0)).requests == 15);
  CHECK(placer->NextDue() == kStart + Milliseconds(1500));
  request.sequence = 3;
  request.asks = {MakeAsk(3)};
  const auto exact = placer->OnRequest(request, kStart + Milliseconds(1500));
  CHECK(std::get<PlacementGrant>(exact.answers.at(0)).requests == 1);
}

}  // namespace
}  // namespace filbertrack

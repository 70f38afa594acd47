#include <doctest/doctest.h>

#include <algorithm>
#include <limits>
#include <string>
#include <vector>

#include "placement_exchange.h"

namespace filbertrack {
namespace {

TEST_CASE("client: an ask costs one message, which takes events along") {
  Exchange exchange;
  const std::string target = exchange.Grant(1);
  CHECK_FALSE(target.empty());
  CHECK(exchange.Outstanding() == 1);
  exchange.client.OnEvent(kPool, PlacementFirst{1, target, Milliseconds(150)},
                          exchange.now);
  exchange.client.OnEvent(
      kPool, PlacementEnded{1, target, false, DispatchResult::kAnswered},
      exchange.now);
  // Events alone wait for 10 ms.
  CHECK(exchange.client.TakeMessages(exchange.now).empty());
  REQUIRE(exchange.client.NextDue());
  CHECK(*exchange.client.NextDue() == exchange.now + Milliseconds(10));
  exchange.Grant(2);
  CHECK(exchange.Outstanding() == 1);
  CHECK_FALSE(exchange.client.NextDue());
}

TEST_CASE("client: without a reply in 30 ms requests are placed locally") {
  // A dead placer must not hold up the requests of the fleet.
  Exchange exchange;
  REQUIRE(exchange.client.TryAsk(MakeAsk(1), exchange.now));
  REQUIRE(exchange.client.TakeMessages(exchange.now).size() == 1);
  // This one waits for the reply to the first message.
  REQUIRE(exchange.client.TryAsk(MakeAsk(2), exchange.now));
  CHECK(exchange.client.TakeMessages(exchange.now).empty());
  CHECK(exchange.client.Expire(exchange.now + Milliseconds(29)).empty());
  exchange.now += Milliseconds(30);
  CHECK(exchange.client.NextDue() <= exchange.now);
  const auto decided = exchange.client.Expire(exchange.now);
  REQUIRE(decided.size() == 2);
  CHECK(std::all_of(decided.begin(), decided.end(), IsLocal));
  CHECK(decided[0].cause == PlacementFallback::kNoReply);
  CHECK_FALSE(exchange.client.TryAsk(MakeAsk(3), exchange.now));
  CHECK(exchange.client.IsPaused("p"));
}

TEST_CASE("client: without a reply the next host in rank is asked") {
  // Guards against requests that are decided by reported loads, or twice,
  // although another host could place them.
  PlacementClient client{"e1", 1};
  client.SetRanking(kPool, {"p", "q"}, kStart);
  REQUIRE(client.TryAsk(MakeAsk(1), kStart));
  const auto first = client.TakeMessages(kStart);
  REQUIRE(first.size() == 1);
  CHECK(first[0].first == "p");
  const TimePoint late = kStart + Milliseconds(30);
  CHECK(client.Expire(late).empty());
  CHECK(client.PlacerOf(kPool) == "q");
  const auto second = client.TakeMessages(late);
  REQUIRE(second.size() == 1);
  CHECK(second[0].first == "q");
  REQUIRE(second[0].second.asks.size() == 1);
  CHECK(second[0].second.moved == std::vector<PoolKey>{kPool});
  CHECK(second[0].second.unresponsive == std::vector<std::string>{"p"});
  // A late grant of the first host is not used.
  PlacementReply reply;
  reply.placer = "p";
  reply.sequence = first[0].second.sequence;
  reply.places = true;
  reply.answers = {PlacementGrant{1, "t0", Milliseconds(100), 0}};
  CHECK(client.OnReply("p", &reply, late).empty());
  reply.placer = "q";
  reply.sequence = second[0].second.sequence;
  CHECK(client.OnReply("q", &reply, late).size() == 1);
}

TEST_CASE("client: a claim moves asks at once and ends the earlier placer") {
  // Guards against hosts that try the earlier placer again, one by one.
  PlacementClient client{"e1", 1};
  client.SetRanking(kPool, {"p", "q"}, kStart);
  REQUIRE(client.TryAsk(MakeAsk(1), kStart));
  REQUIRE(client.TakeMessages(kStart).size() == 1);
  PlacementNoticeReply reply;
  CHECK(client.OnNotice({"q", 1, {}, {"p"}}, reply, kStart).empty());
  const auto messages = client.TakeMessages(kStart);
  REQUIRE(messages.size() == 1);
  CHECK(messages[0].first == "q");
  for (const auto& [host, message] :
       client.TakeMessages(kStart + Milliseconds(300))) {
    CHECK(host != "p");
  }
  // A claim by a host that ranks lower changes nothing.
  CHECK(client.OnNotice({"p", 1, {}, {"q"}}, reply, kStart).empty());
  CHECK(client.PlacerOf(kPool) == "q");
}

TEST_CASE("client: pauses double to 2 s and end with a sync") {
  // Without the sync the placer would not know what was sent meanwhile.
  Exchange exchange;
  REQUIRE(exchange.client.TryAsk(MakeAsk(1), exchange.now));
  Duration expected = Milliseconds(250);
  for (int failures = 0; failures < 6; ++failures) {
    REQUIRE(exchange.client.TakeMessages(exchange.now).size() == 1);
    exchange.client.OnReply("p", nullptr, exchange.now);
    CHECK(exchange.client.NextDue() == exchange.now + expected);
    exchange.now += expected;
    expected = std::min(expected * 2, Seconds(2));
  }
  exchange.client.OnEvent(kPool, PlacementSent{9, "t1", 714}, exchange.now);
  const auto messages = exchange.client.TakeMessages(exchange.now);
  REQUIRE(messages.size() == 1);
  CHECK(messages[0].second.is_sync);
  REQUIRE(messages[0].second.loads.size() == 1);
  CHECK(messages[0].second.loads[0].target == "t1");
  const auto reply =
      exchange.placer->OnRequest(messages[0].second, exchange.now);
  exchange.client.OnReply("p", &reply, exchange.now);
  CHECK(exchange.Outstanding() == 1);
  CHECK_FALSE(exchange.Grant(10).empty());
}

TEST_CASE("client: a placer that drains lets askers decide, waiting or not") {
  // A refusal of a queued ask would turn away a request that other hosts could
  // place.
  Exchange exchange(1);
  const uint64_t queued = exchange.FillUntilQueued();
  exchange.placer->Drain(exchange.now);
  const auto released = exchange.DeliverNotices();
  REQUIRE(released.size() == 1);
  CHECK(released[0].id == queued);
  CHECK(IsLocal(released[0]));
  CHECK(released[0].position == 1);
  REQUIRE(exchange.client.TryAsk(MakeAsk(900), exchange.now));
  const auto decided = exchange.Deliver();
  REQUIRE(decided.size() == 1);
  CHECK(IsLocal(decided[0]));
  CHECK(decided[0].cause == PlacementFallback::kDeclined);
  CHECK_FALSE(exchange.client.TryAsk(MakeAsk(901), exchange.now));
}

TEST_CASE("client: a lost message is corrected by the next one") {
  // Lost endings would fill the placer's table with requests that ended.
  Exchange exchange;
  const std::string target = exchange.Grant(1);
  exchange.client.OnEvent(
      kPool, PlacementEnded{1, target, true, DispatchResult::kAnswered},
      exchange.now);
  exchange.now += Milliseconds(10);
  REQUIRE(exchange.client.TakeMessages(exchange.now).size() == 1);
  exchange.client.OnReply("p", nullptr, exchange.now);
  CHECK(exchange.Outstanding() == 1);
  exchange.now += Milliseconds(250);
  exchange.Deliver();
  CHECK(exchange.Outstanding() == 0);
}

TEST_CASE("client: a duplicated message changes nothing") {
  // A second grant for one ask would take a place that nobody uses.
  Exchange exchange;
  REQUIRE(exchange.client.TryAsk(MakeAsk(1), exchange.now));
  const auto messages = exchange.client.TakeMessages(exchange.now);
  const auto first =
      exchange.placer->OnRequest(messages[0].second, exchange.now);
  const auto second =
      exchange.placer->OnRequest(messages[0].second, exchange.now);
  CHECK(EncodePlacementReply(first) == EncodePlacementReply(second));
  CHECK(exchange.Outstanding() == 1);
  CHECK(exchange.client.OnReply("p", &second, exchange.now).size() == 1);
  CHECK(exchange.client.OnReply("p", &first, exchange.now).empty());
}

TEST_CASE("client: a late message after a sync is ignored, a late reply too") {
  // The request was placed locally meanwhile; it must not count twice.
  Exchange exchange;
  REQUIRE(exchange.client.TryAsk(MakeAsk(1), exchange.now));
  const auto late = exchange.client.TakeMessages(exchange.now);
  exchange.now += Milliseconds(30);
  REQUIRE(exchange.client.Expire(exchange.now).size() == 1);
  exchange.client.OnEvent(kPool, PlacementSent{1, "t2", 714}, exchange.now);
  exchange.now += Milliseconds(250);
  exchange.Deliver();
  CHECK(exchange.Outstanding() == 1);
  const auto reply = exchange.placer->OnRequest(late[0].second, exchange.now);
  CHECK(exchange.Outstanding() == 1);
  CHECK(exchange.client.OnReply("p", &reply, exchange.now).empty());
}

TEST_CASE("client: a message granted late counts until the sync") {
  // The reply came after 30 ms: the grant is not used, and the sync says so.
  Exchange exchange;
  REQUIRE(exchange.client.TryAsk(MakeAsk(1), exchange.now));
  const auto messages = exchange.client.TakeMessages(exchange.now);
  const auto reply =
      exchange.placer->OnRequest(messages[0].second, exchange.now);
  exchange.now += Milliseconds(30);
  REQUIRE(exchange.client.Expire(exchange.now).size() == 1);
  CHECK(exchange.client.OnReply("p", &reply, exchange.now).empty());
  CHECK(exchange.Outstanding() == 1);
  exchange.now += Milliseconds(250);
  exchange.Deliver();
  CHECK(exchange.Outstanding() == 0);
}

TEST_CASE("client: a new placer is told all requests under way") {
  Exchange exchange;
  const std::string target = exchange.Grant(1);
  exchange.client.OnEvent(kPool, PlacementFirst{1, target, Milliseconds(150)},
                          exchange.now);
  // This ask is at the earlier placer, which may be dead.
  REQUIRE(exchange.client.TryAsk(MakeAsk(2), exchange.now));
  REQUIRE(exchange.client.TakeMessages(exchange.now).size() == 1);
  exchange.client.SetPlacer(kPool, "q", exchange.now);
  const auto decided = exchange.client.Expire(exchange.now);
  REQUIRE(decided.size() == 1);
  CHECK(decided[0].cause == PlacementFallback::kPlacerChanged);
  const auto messages = exchange.client.TakeMessages(exchange.now);
  REQUIRE(messages.size() == 1);
  CHECK(messages[0].first == "q");
  CHECK(messages[0].second.is_sync);
  REQUIRE(messages[0].second.loads.size() == 1);
  CHECK_FALSE(messages[0].second.loads[0].prompt_pending);
}

TEST_CASE("client: a queued ask on a dead placer is decided within 80 ms") {
  Exchange exchange(1);
  const uint64_t queued = exchange.FillUntilQueued();
  const TimePoint asked = exchange.now;
  std::vector<PlacementClient::Decided> decided;
  while (decided.empty() && exchange.now < asked + Seconds(1)) {
    REQUIRE(exchange.client.NextDue());
    exchange.now = std::max(exchange.now, *exchange.client.NextDue());
    exchange.client.TakeMessages(exchange.now);
    decided = exchange.client.Expire(exchange.now);
  }
  REQUIRE(decided.size() == 1);
  CHECK(decided[0].id == queued);
  CHECK(IsLocal(decided[0]));
  CHECK(exchange.now - asked <= Milliseconds(80));
}

TEST_CASE("client: a queued ask that a restarted placer lost is decided") {
  Exchange exchange(1);
  const uint64_t queued = exchange.FillUntilQueued();
  const size_t outstanding = exchange.Outstanding();
  exchange.placer = MakePlacer("p", 2, 1);
  exchange.now += Milliseconds(50);
  const auto decided = exchange.Deliver();
  REQUIRE(decided.size() == 1);
  CHECK(decided[0].id == queued);
  CHECK(decided[0].cause == PlacementFallback::kForgotten);
  // The new process has no session, so it gets all loads.
  exchange.Deliver();
  CHECK(exchange.Outstanding() == outstanding);
}

TEST_CASE("client: a queued ask is granted when a place is free") {
  Exchange exchange(1);
  const uint64_t queued = exchange.FillUntilQueued();
  exchange.client.OnEvent(
      kPool, PlacementEnded{2, "t0", true, DispatchResult::kAnswered},
      exchange.now);
  exchange.now += Milliseconds(10);
  const auto by_reply = exchange.Deliver();
  REQUIRE(by_reply.size() == 1);
  CHECK(by_reply[0].id == queued);
  CHECK(std::holds_alternative<PlacementGrant>(by_reply[0].decision));
  CHECK(exchange.Waiting() == 0);
}

TEST_CASE("client: a lost notice leaves neither a waiting ask nor a load") {
  Exchange exchange(1);
  const uint64_t queued = exchange.FillUntilQueued();
  const size_t outstanding = exchange.Outstanding();
  // Another asker's ending frees the place, so the grant goes by a notice.
  PlacementRequest other;
  other.asker = "e2";
  other.is_sync = true;
  exchange.placer->OnRequest(other, exchange.now);
  exchange.placer->pools().at(kPool)->Report(
      "e1", PlacementEnded{2, "t0", true, DispatchResult::kAnswered},
      exchange.now);
  REQUIRE(exchange.placer->TakeNotices(exchange.now).size() == 1);
  CHECK(exchange.Waiting() == 0);
  CHECK(exchange.Outstanding() == outstanding);
  exchange.placer->OnNoticeReply("e1", nullptr, exchange.now);
  CHECK(exchange.Outstanding() == outstanding - 1);
  exchange.now += Milliseconds(50);
  const auto decided = exchange.Deliver();
  REQUIRE(decided.size() == 1);
  CHECK(decided[0].id == queued);
  CHECK(decided[0].cause == PlacementFallback::kForgotten);
}

TEST_CASE("client: a grant for an ask that was withdrawn is given back") {
  // The caller left while the grant was under way.
  Exchange exchange;
  REQUIRE(exchange.client.TryAsk(MakeAsk(1), exchange.now));
  const auto messages = exchange.client.TakeMessages(exchange.now);
  const auto reply =
      exchange.placer->OnRequest(messages[0].second, exchange.now);
  CHECK(exchange.Outstanding() == 1);
  exchange.client.Withdraw(1, exchange.now);
  CHECK(exchange.client.OnReply("p", &reply, exchange.now).empty());
  exchange.now += Milliseconds(10);
  exchange.Deliver();
  CHECK(exchange.Outstanding() == 0);
}

TEST_CASE("client: a notice for an unknown ask is declined") {
  Exchange exchange;
  PlacementNoticeReply reply;
  const PlacementNotice notice{
      "p", 1, {PlacementGrant{77, "t0", Milliseconds(100), 0}}};
  CHECK(exchange.client.OnNotice(notice, reply, exchange.now).empty());
  CHECK(reply.declined == std::vector<uint64_t>{77});
}

TEST_CASE("client: a grant that is not used is withdrawn") {
  Exchange exchange;
  exchange.Grant(1);
  exchange.client.Withdraw(1, exchange.now);
  exchange.now += Milliseconds(10);
  exchange.Deliver();
  CHECK(exchange.Outstanding() == 0);
}

TEST_CASE("client: prompt tokens that are no amount do not reach a placer") {
  // Callers state the prompt tokens. A sum with one NaN stays NaN, so that
  // no prediction for the target would be valid again.
  Exchange exchange;
  for (const double tokens :
       {-1.0, 1e300, std::numeric_limits<double>::quiet_NaN()}) {
    CAPTURE(tokens);
    PlacementAsk ask = MakeAsk(1);
    ask.prompt_tokens = tokens;
    REQUIRE(exchange.client.TryAsk(ask, exchange.now));
    const auto messages = exchange.client.TakeMessages(exchange.now);
    REQUIRE(messages.size() == 1);
    CHECK(messages[0].second.asks.at(0).prompt_tokens >= 0);
    CHECK(messages[0].second.asks.at(0).prompt_tokens <= 1e12);
    const auto reply =
        exchange.placer->OnRequest(messages[0].second, exchange.now);
    exchange.client.OnReply("p", &reply, exchange.now);
    exchange.client.OnEvent(kPool, PlacementSent{2, "t0", tokens},
                            exchange.now);
    exchange.now += Milliseconds(10);
    const auto sent = exchange.client.TakeMessages(exchange.now);
    REQUIRE(sent.size() == 1);
    REQUIRE_FALSE(sent[0].second.events.empty());
    const auto* event =
        std::get_if<PlacementSent>(&sent[0].second.events.back());
    REQUIRE(event != nullptr);
    CHECK(event->prompt_tokens >= 0);
    CHECK(event->prompt_tokens <= 1e12);
    const auto answer =
        exchange.placer->OnRequest(sent[0].second, exchange.now);
    exchange.client.OnReply("p", &answer, exchange.now);
  }
}

TEST_CASE("client: a notice cannot decide an ask that was not sent") {
  // Ids begin again with the process, so a notice for the asker's earlier
  // process can have the id of an ask that the next message will contain.
  Exchange exchange;
  REQUIRE(exchange.client.TryAsk(MakeAsk(1), exchange.now));
  const auto first = exchange.client.TakeMessages(exchange.now);
  REQUIRE(first.size() == 1);
  REQUIRE(exchange.client.TryAsk(MakeAsk(2), exchange.now));
  PlacementNoticeReply reply;
  const PlacementNotice notice{
      "p", 1, {PlacementGrant{2, "t0", Milliseconds(100), 0}}};
  CHECK(exchange.client.OnNotice(notice, reply, exchange.now).empty());
  CHECK(reply.declined == std::vector<uint64_t>{2});
  const auto answer = exchange.placer->OnRequest(first[0].second, exchange.now);
  CHECK(exchange.client.OnReply("p", &answer, exchange.now).size() == 1);
  const auto decided = exchange.Deliver();
  REQUIRE(decided.size() == 1);
  CHECK(decided[0].id == 2);
  CHECK(exchange.Outstanding() == 2);
}

TEST_CASE("client: a sync contains no events from before it") {
  // The request was reported as sent before the sync and ended before it was
  // sent, so an event after the sync would count it for ever.
  Exchange exchange;
  exchange.client.OnEvent(kPool, PlacementSent{1, "t0", 714}, exchange.now);
  exchange.client.SetPlacer({"llm", "other"}, "p", exchange.now);
  exchange.client.OnEvent(
      kPool, PlacementEnded{1, "t0", true, DispatchResult::kAnswered},
      exchange.now);
  exchange.Deliver();
  CHECK(exchange.Outstanding() == 0);
}

}  // namespace
}  // namespace filbertrack

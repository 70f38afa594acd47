#include <doctest/doctest.h>

#include <algorithm>
#include <limits>
#include <string>
#include <vector>

#include "dispatch_fixture.h"
#include "filbertrack/placement_client.h"
#include "filbertrack/placement_placer.h"

namespace filbertrack {
namespace {

const PoolKey kPool{"llm", "m"};
constexpr Duration kDelay = Milliseconds(1);

PlacementAsk MakeAsk(uint64_t id, int priority = 0) {
  PlacementAsk ask;
  ask.id = id;
  ask.pool = kPool;
  ask.prompt_tokens = 714;
  ask.time_to_slo = Milliseconds(300);
  ask.time_left = Seconds(6);
  ask.priority = priority;
  ask.workspace = "w";
  return ask;
}

std::unique_ptr<Placer> MakePlacer(const std::string& name,
                                   uint64_t incarnation = 1,
                                   int targets = 4) {
  auto placer = std::make_unique<Placer>(name, incarnation, PlacementPolicy{},
                                         uint64_t{1});
  placer->SetPools(std::vector{kPool}, kStart);
  placer->SetTargets(MakeTargets(targets, "m"), MakeCatalog(), kStart);
  return placer;
}

/// An asker and a placer whose messages the test delivers or loses.
struct Exchange {
  explicit Exchange(int targets = 4) : placer(MakePlacer("p", 1, targets)) {
    client.SetPlacer(kPool, "p", now);
    Deliver();
  }

  /// Delivers the asker's messages and the replies to them.
  std::vector<PlacementClient::Decided> Deliver() {
    std::vector<PlacementClient::Decided> decided;
    for (const auto& [name, request] : client.TakeMessages(now)) {
      now += kDelay;
      const PlacementReply reply = placer->OnRequest(request, now);
      now += kDelay;
      for (auto& item : client.OnReply(name, &reply, now)) {
        decided.push_back(std::move(item));
      }
    }
    return decided;
  }

  /// Delivers the placer's notices and the replies to them.
  std::vector<PlacementClient::Decided> DeliverNotices() {
    std::vector<PlacementClient::Decided> decided;
    for (const auto& [asker, notice] : placer->TakeNotices(now)) {
      now += kDelay;
      PlacementNoticeReply reply;
      for (auto& item : client.OnNotice(notice, reply, now)) {
        decided.push_back(std::move(item));
      }
      placer->OnNoticeReply(asker, &reply, now);
    }
    return decided;
  }

  std::string Grant(uint64_t id) {
    REQUIRE(client.TryAsk(MakeAsk(id), now));
    const auto decided = Deliver();
    REQUIRE(decided.size() == 1);
    const auto* grant = std::get_if<PlacementGrant>(&decided[0].decision);
    return grant == nullptr ? "" : grant->target;
  }

  /// Asks until one ask is queued and returns its id. An ended request tells
  /// the placer the usual time of one.
  uint64_t FillUntilQueued() {
    const std::string target = Grant(1);
    now += Seconds(1);
    client.OnEvent(
        kPool, PlacementEnded{1, target, true, DispatchResult::kAnswered}, now);
    for (uint64_t id = 2; id < 200; ++id) {
      REQUIRE(client.TryAsk(MakeAsk(id), now));
      const auto decided = Deliver();
      if (decided.empty()) {
        return id;
      }
      const auto* grant = std::get_if<PlacementGrant>(&decided[0].decision);
      REQUIRE(grant != nullptr);
      client.OnEvent(kPool, PlacementFirst{id, grant->target, grant->predicted},
                     now);
    }
    FAIL("no ask was queued");
    return 0;
  }

  size_t Outstanding() const {
    return placer->pools().at(kPool)->counts().outstanding;
  }
  size_t Waiting() const {
    size_t waiting = 0;
    for (const auto& [priority, count] :
         placer->pools().at(kPool)->counts().waiting) {
      waiting += count;
    }
    return waiting;
  }

  TimePoint now = kStart;
  std::unique_ptr<Placer> placer;
  PlacementClient client{"e1", 1};
};

bool IsLocal(const PlacementClient::Decided& decided) {
  return std::holds_alternative<ChooseLocally>(decided.decision);
}

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

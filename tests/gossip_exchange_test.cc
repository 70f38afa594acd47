#include <doctest/doctest.h>

#include <array>

#include "filbertrack/gossip_exchange.h"
#include "filbertrack/gossip_fleet.h"

namespace filbertrack {
namespace {

const TimePoint kStart{Seconds(1000)};

GossipState MakeState(const std::string& node, int requests) {
  GossipState state;
  state.node = node;
  state.data_centre = "a";
  state.loads = {{"t", requests, 100.0 * requests}};
  return state;
}

/// Returns the reply of the relay `a9` to the host `a1`.
GossipState AskRelay(const FleetGossip& relay, TimePoint now) {
  GossipState reply = MakeState("a9", 1);
  relay.AddLocalLoads(reply, "a1", now);
  return reply;
}

TEST_CASE("loads are exchanged often only under load") {
  // In an idle fleet loads that are half a second old suffice, and 13 requests
  // per second of each host would cost more than they gain.
  LoadExchange exchange({});
  const Duration idle = exchange.Interval(27, 2, false);
  exchange.UpdatePressure(0.9);
  CHECK(exchange.Interval(27, 2, false) < idle / 5);
  exchange.UpdatePressure(0.1);
  CHECK(exchange.Interval(27, 2, false) == idle);
}

TEST_CASE("relays receive no more requests than they can answer") {
  // Guards against 100 hosts that each send 16 requests per second and saturate
  // the relay's link and processor, so that all loads become outdated.
  LoadExchange exchange({});
  exchange.UpdatePressure(1);
  for (const size_t hosts : {1U, 27U, 39U, 100U, 150U}) {
    const double interval_s = ToSeconds(exchange.Interval(hosts, 2, false));
    const double answers = static_cast<double>(hosts) / interval_s / 2;
    CHECK(answers <= 301);
  }
}

TEST_CASE("relays take turns, and no exchange begins too early") {
  LoadExchange exchange({});
  const std::array<std::string, 2> relays = {"r1", "r2"};
  const std::string first = exchange.NextRelay(relays);
  CHECK(exchange.NextRelay(relays) != first);
  CHECK(exchange.NextRelay(relays) == first);
  CHECK(exchange.TryBegin(Milliseconds(60), kStart));
  CHECK_FALSE(exchange.TryBegin(Milliseconds(60), kStart + Milliseconds(59)));
  CHECK(exchange.TryBegin(Milliseconds(60), kStart + Milliseconds(60)));
}

TEST_CASE("a relay's sum counts each host once, without the requester") {
  // If loads were counted twice, targets would appear full and callers would be
  // refused. The requester adds its own loads itself.
  FleetGossip relay("a9", "a", {});
  relay.Note(MakeState("a1", 4), kStart);
  relay.Note(MakeState("a2", 3), kStart);
  FleetGossip here("a1", "a", {});
  here.Note(MakeState("a2", 7), kStart - Milliseconds(200));
  here.Note(MakeState("a3", 2), kStart - Milliseconds(200));
  here.Note(AskRelay(relay, kStart), kStart);
  // 3 of a2 and 1 of the relay, both from the sum, and 2 of a3 from its own
  // message, since the sum does not include it.
  CHECK(here.SumLoads(kStart).loads.at("t").requests == 6);
}

TEST_CASE("without the relay the hosts' own messages count again") {
  // Guards against the last sum of a relay that has failed, which would hide
  // newer messages of the other hosts for a second.
  FleetGossip relay("a9", "a", {});
  relay.Note(MakeState("a2", 3), kStart);
  FleetGossip here("a1", "a", {});
  here.Note(AskRelay(relay, kStart), kStart);
  const TimePoint later = kStart + Milliseconds(400);
  here.Note(MakeState("a2", 9), later);
  CHECK(here.SumLoads(later).loads.at("t").requests == 10);
}

TEST_CASE("the age of loads is that of the host messages, not of the sum") {
  // A sum made just now from messages that are 300 ms old says nothing about
  // the last 300 ms.
  FleetGossip relay("a9", "a", {});
  relay.Note(MakeState("a2", 3), kStart - Milliseconds(300));
  FleetGossip here("a1", "a", {});
  here.Note(AskRelay(relay, kStart), kStart);
  CHECK(here.SumLoads(kStart).age >= Milliseconds(100));
}

TEST_CASE("a request specifies whether the sum of the local hosts is wanted") {
  GossipRequest request{MakeState("a1", 3)};
  CHECK_FALSE(
      DecodeGossipRequest(EncodeGossipRequest(request))->wants_local_loads);
  request.wants_local_loads = true;
  CHECK(DecodeGossipRequest(EncodeGossipRequest(request))->wants_local_loads);
}

}  // namespace
}  // namespace filbertrack

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

/// What the host `a1` hears from the relay `a9`.
GossipState AskRelay(const FleetGossip& relay, TimePoint now) {
  GossipState reply = MakeState("a9", 1);
  relay.AddLocalLoads(reply, "a1", now);
  return reply;
}

TEST_CASE("loads are exchanged often only while places are taken") {
  // At rest half a second old loads place well enough, and 13 questions a
  // second of each host would cost more than what they tell.
  LoadExchange exchange({});
  const Duration idle = exchange.Interval(27, 2, false);
  exchange.UpdatePressure(0.9);
  CHECK(exchange.Interval(27, 2, false) < idle / 5);
  exchange.UpdatePressure(0.1);
  CHECK(exchange.Interval(27, 2, false) == idle);
}

TEST_CASE("relays are not asked more than they can answer") {
  // 100 hosts that each ask 16 times a second would fill a relay's link and
  // processor, and nobody's loads would be fresh.
  LoadExchange exchange({});
  exchange.UpdatePressure(1);
  for (const size_t hosts : {1U, 27U, 39U, 100U, 150U}) {
    const double interval_s = ToSeconds(exchange.Interval(hosts, 2, false));
    const double answers = static_cast<double>(hosts) / interval_s / 2;
    CHECK(answers <= 301);
  }
}

TEST_CASE("relays are asked in turn, and no exchange begins too early") {
  LoadExchange exchange({});
  const std::array<std::string, 2> relays = {"r1", "r2"};
  const std::string first = exchange.NextRelay(relays);
  CHECK(exchange.NextRelay(relays) != first);
  CHECK(exchange.NextRelay(relays) == first);
  CHECK(exchange.TryBegin(Milliseconds(60), kStart));
  CHECK_FALSE(exchange.TryBegin(Milliseconds(60), kStart + Milliseconds(59)));
  CHECK(exchange.TryBegin(Milliseconds(60), kStart + Milliseconds(60)));
}

TEST_CASE("a relay's sum counts each host once, and the asker not at all") {
  // Counted twice, targets would look full and callers be turned away; with its
  // own part in the sum, a host would count its own work twice.
  FleetGossip relay("a9", "a", {});
  relay.Note(MakeState("a1", 4), kStart);
  relay.Note(MakeState("a2", 3), kStart);
  FleetGossip here("a1", "a", {});
  here.Note(MakeState("a2", 7), kStart - Milliseconds(200));
  here.Note(MakeState("a3", 2), kStart - Milliseconds(200));
  here.Note(AskRelay(relay, kStart), kStart);
  // 3 of a2 as the relay heard it and 1 of the relay; a3, of which the relay
  // has not heard, as it told itself.
  CHECK(here.SumLoads(kStart).loads.at("t").requests == 6);
}

TEST_CASE("without the relay the hosts' own words count again") {
  // The relay is killed, or cut off. Its last sum would otherwise hide for a
  // second what the others go on telling.
  FleetGossip relay("a9", "a", {});
  relay.Note(MakeState("a2", 3), kStart);
  FleetGossip here("a1", "a", {});
  here.Note(AskRelay(relay, kStart), kStart);
  const TimePoint later = kStart + Milliseconds(400);
  here.Note(MakeState("a2", 9), later);
  CHECK(here.SumLoads(later).loads.at("t").requests == 10);
}

TEST_CASE("the age of loads is that of what hosts told, not of the sum") {
  // A sum that was made just now of words that are 300 ms old tells nothing of
  // the last 300 ms.
  FleetGossip relay("a9", "a", {});
  relay.Note(MakeState("a2", 3), kStart - Milliseconds(300));
  FleetGossip here("a1", "a", {});
  here.Note(AskRelay(relay, kStart), kStart);
  CHECK(here.SumLoads(kStart).age >= Milliseconds(100));
}

TEST_CASE("a question says whether the own data centre's sum is wanted") {
  GossipRequest request{MakeState("a1", 3)};
  CHECK_FALSE(
      DecodeGossipRequest(EncodeGossipRequest(request))->wants_local_loads);
  request.wants_local_loads = true;
  CHECK(DecodeGossipRequest(EncodeGossipRequest(request))->wants_local_loads);
}

}  // namespace
}  // namespace filbertrack

#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

#include "filbertrack/base_cbor.h"
#include "filbertrack/gossip_fetch.h"
#include "filbertrack/gossip_message.h"

namespace filbertrack {
namespace {

GossipState MakeState(uint64_t config, uint64_t servers) {
  GossipState state;
  state.node = "n";
  state.address = "127.0.0.1:1";
  state.config_version = config;
  state.servers_revision = servers;
  state.loads = {{"t", 3, 1500}};
  return state;
}

TEST_CASE("offers to take forwarded requests cost bytes only when asked for") {
  GossipRequest request{MakeState(3, 6), false, false};
  const size_t quiet = EncodeGossipRequest(request).size();
  CHECK_FALSE(
      DecodeGossipRequest(EncodeGossipRequest(request))->wants_forward_offer);
  request.wants_forward_offer = true;
  CHECK(EncodeGossipRequest(request).size() == quiet + 1);
  CHECK(DecodeGossipRequest(EncodeGossipRequest(request))->wants_forward_offer);
  GossipReply reply;
  reply.state = MakeState(3, 6);
  CHECK_FALSE(
      DecodeGossipReply(EncodeGossipReply(reply))->forward_offer.has_value());
  reply.forward_offer = ForwardOffer{7341, "token", true};
  const auto decoded = DecodeGossipReply(EncodeGossipReply(reply));
  REQUIRE(decoded);
  REQUIRE(decoded->forward_offer);
  CHECK(decoded->forward_offer->port == 7341);
  CHECK(decoded->forward_offer->token == "token");
  CHECK(decoded->forward_offer->accepts);
}

TEST_CASE("a reply holds only what the requester lacks") {
  ChangeLog log(10);
  log.Put({"a", 1, "one"});
  log.Put({"b", 5, "two"});
  log.Put({"c", 6, ""});
  log.AdvanceTo(6);
  const GossipReply behind = MakeGossipReply(MakeState(3, 6), "config", log,
                                             {MakeState(2, 4), true, true});
  CHECK(behind.config == "config");
  REQUIRE(behind.servers.size() == 2);
  CHECK(behind.servers[0].id == "b");
  CHECK(behind.servers[1].text.empty());
  CHECK_FALSE(behind.servers_complete);
  // A peer that fetches the configuration from another host does not get it.
  CHECK(
      MakeGossipReply(MakeState(3, 6), "config", log, {MakeState(2, 4), false})
          .config.empty());
  CHECK(MakeGossipReply(MakeState(3, 6), "config", log, {MakeState(2, 4), true})
            .servers.empty());
  const GossipReply level = MakeGossipReply(MakeState(3, 6), "config", log,
                                            {MakeState(3, 6), true, true});
  CHECK(level.config.empty());
  CHECK(level.servers.empty());
  const GossipReply ahead = MakeGossipReply(MakeState(3, 6), "config", log,
                                            {MakeState(4, 9), true, true});
  CHECK(ahead.config.empty());
  CHECK(ahead.servers.empty());
}

TEST_CASE("a requester from before the start of the log gets all objects") {
  // The requester was cut off for so long that the log no longer holds removals
  // it missed. Objects that are not in a complete reply do not exist any more.
  ChangeLog log(1);
  log.Put({"a", 1, "one"});
  log.Put({"b", 2, ""});
  log.Put({"c", 3, ""});
  log.AdvanceTo(3);
  const GossipReply reply =
      MakeGossipReply(MakeState(1, 3), "", log, {MakeState(1, 0), true, true});
  CHECK(reply.servers_complete);
  REQUIRE(reply.servers.size() == 1);
  CHECK(reply.servers[0].id == "a");
}

TEST_CASE("a registration is not restored after its removal was compacted") {
  // Guards against requests to a server that left, whose registration a stale
  // listing or a peer that was cut off still has.
  ChangeLog log(1);
  log.Put({"a", 1, "one"});
  log.Put({"a", 2, ""});
  log.Put({"b", 3, ""});
  CHECK_FALSE(log.Put({"a", 1, "one"}));
  CHECK(log.All().empty());
  CHECK(log.Put({"a", 4, "one"}));
}

TEST_CASE("messages survive encoding and decoding") {
  const GossipRequest request{MakeState(7, 9)};
  const auto read = DecodeGossipRequest(EncodeGossipRequest(request));
  REQUIRE(read);
  CHECK(read->state.config_version == 7);
  CHECK(read->state.loads[0].target == "t");
  CHECK(read->state.loads[0].requests == 3);
  GossipReply reply;
  reply.state = MakeState(1, 2);
  reply.config = "text";
  reply.servers = {{"a", 4, "x"}};
  reply.servers_complete = true;
  const auto got = DecodeGossipReply(EncodeGossipReply(reply));
  REQUIRE(got);
  CHECK(got->config == "text");
  CHECK(got->servers == reply.servers);
  CHECK(got->servers_complete);
}

TEST_CASE("a return of the store is sent with its age") {
  GossipRequest request{MakeState(1, 2)};
  CHECK_FALSE(
      DecodeGossipRequest(EncodeGossipRequest(request))->state.store_back_for);
  request.state.store_back_for = Milliseconds(1500);
  CHECK(
      DecodeGossipRequest(EncodeGossipRequest(request))->state.store_back_for ==
      Milliseconds(1500));
}

TEST_CASE("a period of service of the store is sent with its ages") {
  GossipRequest request{MakeState(1, 2)};
  CHECK_FALSE(
      DecodeGossipRequest(EncodeGossipRequest(request))->state.store_service);
  request.state.store_service = {Seconds(30), Milliseconds(20)};
  const auto decoded = DecodeGossipRequest(EncodeGossipRequest(request));
  REQUIRE(decoded->state.store_service);
  CHECK(decoded->state.store_service->since == Seconds(30));
  CHECK(decoded->state.store_service->until == Milliseconds(20));
  // The evacuations, which come first, are still none.
  CHECK(decoded->state.evacuations.revision == 0);
}

TEST_CASE("all hosts choose the same watchers, and losing one replaces one") {
  REQUIRE(rc::check("watchers", [] {
    const auto count = *rc::gen::inRange(1, 60);
    std::vector<FleetHost> hosts;
    for (int i = 0; i < count; ++i) {
      hosts.push_back({"host-" + std::to_string(i), "dc", 100});
    }
    const auto chosen = ChooseWatchers(hosts, 4);
    std::reverse(hosts.begin(), hosts.end());
    RC_ASSERT(ChooseWatchers(hosts, 4) == chosen);
    RC_ASSERT(chosen.size() == static_cast<size_t>(std::min(count, 4)));
    std::erase_if(hosts, [&chosen](const FleetHost& host) {
      return host.name == chosen.front();
    });
    const auto after = ChooseWatchers(hosts, 4);
    RC_ASSERT(std::equal(chosen.begin() + 1, chosen.end(), after.begin()));
  }));
}

TEST_CASE("the hosts of highest capacity watch, one in each data centre") {
  // Guards against a watcher with a link of 20 Mbit/s: sending 760
  // registrations to 195 hosts saturated it for seconds, so that its own
  // requests timed out and it considered the peers lost.
  std::vector<FleetHost> hosts;
  for (int i = 0; i < 60; ++i) {
    hosts.push_back({"host-" + std::to_string(i), "dc" + std::to_string(i % 5),
                     i < 10 ? 100 : 2});
  }
  const auto chosen = ChooseWatchers(hosts, 4);
  REQUIRE(chosen.size() == 5);
  std::set<std::string> data_centres;
  for (const FleetHost& host : hosts) {
    if (std::find(chosen.begin(), chosen.end(), host.name) != chosen.end()) {
      CHECK(host.capacity == 100);
      data_centres.insert(host.data_centre);
    }
  }
  CHECK(data_centres.size() == 5);
  // Without the hosts of high capacity the others watch.
  hosts.erase(hosts.begin(), hosts.begin() + 10);
  CHECK(ChooseWatchers(hosts, 4).size() == 5);
}

TEST_CASE("capacity counts the link and the processor, in classes") {
  CHECK(CapacityOf(200, 0.5) == 100);
  CHECK(CapacityOf(20, 0.12) == 2);
  CHECK(CapacityOf(0.001, 0.001) == 1);
  CHECK(IsStronger(100, 2));
  CHECK_FALSE(IsStronger(2, 100));
  CHECK_FALSE(IsStronger(100, 100));
  CHECK_FALSE(IsStronger(120, 100));
}

TEST_CASE("large data is requested from one peer at a time") {
  // Otherwise eight peers with newer data would each send the same 300 KB.
  const TimePoint start{Seconds(100)};
  GossipFetch fetch(Milliseconds(500), Milliseconds(50));
  CHECK(fetch.MayBegin(start));
  fetch.Begin("a", start);
  CHECK(fetch.IsFrom("a"));
  CHECK_FALSE(fetch.MayBegin(start + Milliseconds(499)));
  // After the timeout another peer may be asked.
  CHECK(fetch.MayBegin(start + Milliseconds(500)));
  fetch.Begin("b", start + Milliseconds(500));
  fetch.End("a", start + Milliseconds(510));
  CHECK_FALSE(fetch.MayBegin(start + Milliseconds(510)));
  fetch.End("b", start + Milliseconds(520));
  CHECK_FALSE(fetch.MayBegin(start + Milliseconds(560)));
  CHECK(fetch.MayBegin(start + Milliseconds(570)));
}

TEST_CASE("760 registrations are compressed to an eighth of their size") {
  GossipReply reply;
  reply.state = MakeState(1, 2);
  size_t uncompressed = 0;
  for (int i = 0; i < 760; ++i) {
    const std::string id = "i-" + std::to_string(1000003 * i);
    reply.servers.push_back(
        {id, 500 + static_cast<uint64_t>(i),
         R"({"service":"huvo11a","address":"10.128.)" +
             std::to_string(i % 256) +
             R"(.9:8080","zone":"hall-a","version":"v1","slots":14,"state":)" +
             R"("ready","coldRemainingMs":0,"stage":"both","models":[{"name":)" +
             R"("daka510000","version":1,"adapters":[]}],"group":{"name":")" +
             R"(daka510000/100)" + std::to_string(i / 8) + R"(","epoch":100)" +
             std::to_string(i / 8) + R"(,"rank":)" + std::to_string(i % 8) +
             R"(,"state":"ready"},"seq":4})"});
    uncompressed += reply.servers.back().text.size();
  }
  const std::string message = EncodeGossipReply(reply);
  MESSAGE(uncompressed << " bytes of registrations, message size "
                       << message.size());
  CHECK(message.size() < uncompressed / 8);
  const auto read = DecodeGossipReply(message);
  REQUIRE(read);
  CHECK(read->servers == reply.servers);
}

TEST_CASE("numbers out of range are rejected") {
  // Guards against a protocol version that is NaN, found by the fuzzer, and an
  // age that overflows when it is converted to a Duration.
  const std::string whole = EncodeGossipRequest({MakeState(1, 2)});
  REQUIRE(DecodeGossipRequest(whole));
  const std::string not_a_number("\x83\xF9\xFE\x00\x01\x80", 6);
  CHECK_FALSE(DecodeGossipRequest(not_a_number));
  GossipRequest request{MakeState(1, 2)};
  request.state.hosts = {{"h", false, Seconds(2'000'000'000)}};
  CHECK_FALSE(DecodeGossipRequest(EncodeGossipRequest(request)));
}

TEST_CASE("arbitrary and truncated bytes are rejected") {
  REQUIRE(rc::check("any bytes", [](const std::string& bytes) {
    RC_ASSERT(!DecodeGossipRequest(bytes));
    RC_ASSERT(!DecodeGossipReply(bytes));
  }));
  REQUIRE(rc::check("a truncated message", [] {
    const std::string whole = EncodeGossipRequest({MakeState(1, 2)});
    const auto size = *rc::gen::inRange<size_t>(0, whole.size());
    RC_ASSERT(!DecodeGossipRequest(whole.substr(0, size)));
  }));
  CHECK_FALSE(DecodeGossipReply(EncodeGossipRequest({MakeState(1, 2)})));
}

TEST_CASE("facts about poison requests survive encoding and decoding") {
  const RequestDigest digest = DigestRequest({"POST", "h", "/x", "w", "b"});
  GossipReply reply;
  reply.poison.revision = 77;
  reply.poison.facts = {
      {EndedDuringRequest{{"i-1", 5000}, digest, EndProgress::kBegun},
       Milliseconds(40)},
      {FoundAlive{{"i-2", 0}}, Seconds(3)},
      {Cleared{digest}, Seconds(4)},
      {Blocked{digest, 4, 0}, Seconds(5)},
      {TrialsSent{digest, 2}, Seconds(6)},
      {EndedDuringRequest{
           {"i-2", 0}, digest, EndProgress::kNoAnswer, {"5c1e07a2", "aa"}},
       Seconds(7)},
      {PartCleared{"aa"}, Seconds(8)},
      {Blocked{{}, 3, 0, {"5c1e07a2", "aa"}}, Seconds(9)},
      {TrialsSent{{}, 1, {"5c1e07a2", "aa"}}, Seconds(9)}};
  const auto read = DecodeGossipReply(EncodeGossipReply(reply));
  REQUIRE(read);
  CHECK(read->poison.revision == 77);
  REQUIRE(read->poison.facts.size() == 9);
  const auto& ended = std::get<EndedDuringRequest>(read->poison.facts[0].fact);
  CHECK(ended.server.id == "i-1");
  CHECK(ended.server.process_start_ms == 5000);
  CHECK(ended.digest == digest);
  CHECK(ended.progress == EndProgress::kBegun);
  CHECK(read->poison.facts[0].age == Milliseconds(40));
  CHECK(std::get<FoundAlive>(read->poison.facts[1].fact).server.id == "i-2");
  CHECK(std::get<Cleared>(read->poison.facts[2].fact).digest == digest);
  CHECK(std::get<Blocked>(read->poison.facts[3].fact).ends == 4);
  CHECK(std::get<TrialsSent>(read->poison.facts[4].fact).trials == 2);
  const std::vector<PromptPart> parts = {"5c1e07a2", "aa"};
  CHECK(std::get<EndedDuringRequest>(read->poison.facts[5].fact).parts ==
        parts);
  CHECK(std::get<PartCleared>(read->poison.facts[6].fact).part == "aa");
  CHECK(std::get<Blocked>(read->poison.facts[7].fact).parts == parts);
  CHECK(std::get<TrialsSent>(read->poison.facts[8].fact).parts == parts);
  CHECK(std::get<TrialsSent>(read->poison.facts[8].fact).trials == 1);
  GossipRequest request;
  request.known_poison_revision = 76;
  request.own_poison_revision = 78;
  CHECK(
      DecodeGossipRequest(EncodeGossipRequest(request))->own_poison_revision ==
      78);
  CHECK(DecodeGossipRequest(EncodeGossipRequest(request))
            ->known_poison_revision == 76);
}

TEST_CASE("invalid facts about prompt parts are rejected") {
  // Guards against a damaged message that blocks all requests.
  for (const std::vector<PromptPart>& parts :
       {std::vector<PromptPart>{"G"}, std::vector<PromptPart>{""},
        std::vector<PromptPart>(65, "a")}) {
    GossipReply reply;
    reply.poison.facts = {{Blocked{{}, 3, 0, parts}, Seconds(1)}};
    CHECK_FALSE(DecodeGossipReply(EncodeGossipReply(reply)));
  }
}

TEST_CASE("messages of hosts of earlier versions are accepted") {
  // During an upgrade old and new hosts exchange messages. The old ones omit
  // the last fields.
  constexpr size_t kOldestFields = 4;
  const auto keep = [](const std::string& bytes, size_t fields) {
    auto message = ParseCbor(bytes).value();
    while (message[2].size() > fields) {
      message[2].erase(message[2].size() - 1);
    }
    return ToCbor(message);
  };
  for (size_t fields = kOldestFields; fields <= 6; ++fields) {
    const auto reply = DecodeGossipReply(keep(EncodeGossipReply({}), fields));
    REQUIRE(reply);
    CHECK(reply->poison.facts.empty());
    CHECK(reply->limits.words.empty());
    const auto request =
        DecodeGossipRequest(keep(EncodeGossipRequest({}), fields));
    REQUIRE(request);
    CHECK(request->known_poison_revision == 0);
    CHECK(request->known_limits_revision == 0);
  }
}

TEST_CASE("rate limits survive encoding, and invalid ones are rejected") {
  GossipReply reply;
  reply.state = MakeState(1, 2);
  reply.limits = {12,
                  {{{"i-1", 7}, 2.4, Milliseconds(40)},
                   {{"i-2", 0}, std::nullopt, Seconds(3)}}};
  const auto read = DecodeGossipReply(EncodeGossipReply(reply));
  REQUIRE(read);
  CHECK(read->limits.revision == 12);
  REQUIRE(read->limits.words.size() == 2);
  CHECK(read->limits.words[0].server.id == "i-1");
  CHECK(read->limits.words[0].server.process_start_ms == 7);
  CHECK(read->limits.words[0].limit == 2.4);
  CHECK(read->limits.words[0].age == Milliseconds(40));
  CHECK_FALSE(read->limits.words[1].limit.has_value());
  GossipRequest request{MakeState(1, 2)};
  request.known_limits_revision = 11;
  CHECK(DecodeGossipRequest(EncodeGossipRequest(request))
            ->known_limits_revision == 11);
  reply.limits.words[0].limit = -1;
  CHECK_FALSE(DecodeGossipReply(EncodeGossipReply(reply)));
}

TEST_CASE(
    "evacuations survive encoding and take no bytes while there are none") {
  GossipRequest request{MakeState(1, 2), false};
  const size_t size_without = EncodeGossipRequest(request).size();
  request.state.evacuations = {7, {"dc-a", "dc-b"}};
  const std::string bytes = EncodeGossipRequest(request);
  CHECK(bytes.size() > size_without);
  CHECK(DecodeGossipRequest(bytes)->state.evacuations ==
        request.state.evacuations);
  request.state.evacuations = {};
  CHECK(EncodeGossipRequest(request).size() == size_without);
  CHECK(DecodeGossipRequest(EncodeGossipRequest(request))
            ->state.evacuations.revision == 0);
}

}  // namespace
}  // namespace filbertrack

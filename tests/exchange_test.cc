#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <nlohmann/json.hpp>

#include "filbertrack/exchange.h"

namespace filbertrack {
namespace {

const TimePoint kStart{Seconds(1000)};

/// One entry host at the interface of the exchange, with a clock of its own.
struct Node {
  explicit Node(const std::string& name, Duration clock_offset = Duration(0))
      : offset(clock_offset),
        table({name, 1, {"127.0.0.1", 1}, "dc", false, 1, 0}, PeerPolicy()) {}

  ExchangeState State() { return {table, cache, fleet, parts, LoanPolicy()}; }
  TimePoint Clock(TimePoint true_now) const { return true_now + offset; }

  Duration offset;
  PeerTable table;
  ObjectCache cache;
  FleetView fleet;
  EntitlementParts parts;
};

/// `asker` asks `answerer`; the question and the answer travel for so long.
ExchangeEffect Exchange(Node& requester,
                        Node& replier,
                        TimePoint& true_now,
                        Duration there = Milliseconds(1),
                        Duration back = Milliseconds(1),
                        std::vector<std::string> wanted = {}) {
  ExchangeState requester_state = requester.State();
  ExchangeState replier_state = replier.State();
  const TimePoint asked_at = requester.Clock(true_now);
  const ExchangeRequest request = MakeExchangeRequest(
      requester_state, replier.table.self().node, std::move(wanted), asked_at);
  true_now += there;
  const auto decoded_request =
      DecodePeerMessage(EncodePeerMessage(request)).value();
  const ExchangeReply reply = MakeExchangeReply(
      replier_state, std::get<ExchangeRequest>(decoded_request),
      replier.Clock(true_now));
  true_now += back;
  const auto decoded = DecodePeerMessage(EncodePeerMessage(reply)).value();
  return ApplyExchangeReply(requester_state, request,
                            std::get<ExchangeReply>(decoded), asked_at);
}

const char kHosts[] =
    R"({"data_centre":"dc","hosts":[
      {"name":"h1","address":"127.0.0.1:1","accelerators":8,"state":"live"},
      {"name":"h2","address":"127.0.0.1:2","accelerators":8,"state":"live"}]})";

void AddGroup(Node& node, TimePoint now) {
  DomainState state;
  state.lease = {"c", 1};
  state.groups.push_back({"d/1",
                          "m",
                          "g",
                          1,
                          GroupPhase::kServing,
                          DrainGoal::kNone,
                          "v1",
                          {},
                          {"h1", "h2"}});
  node.cache.Offer({"platform/hosts/d", kHosts, 1});
  node.cache.Offer({"groups/domain/d", ToJson(state).dump(), 2});
  node.fleet.ReadDomains(node.cache, now);
}

void AddMemberEvidence(Node& node,
                       const std::string& host,
                       TimePoint true_now) {
  MemberReport report;
  report.host = host;
  report.incarnation = "i";
  report.group = "d/1";
  report.epoch = 1;
  report.phase = MemberPhase::kReady;
  MemberEvidence evidence;
  evidence.OnConnect(node.Clock(true_now));
  evidence.OnHeartbeatLine({0, report}, node.Clock(true_now));
  node.fleet.OnMember(host, evidence, node.Clock(true_now));
}

TEST_CASE("objects reach a host that does not watch the store") {
  // The caller is refused by no host: the second one learns the group from the
  // first, in two questions, while the store is not asked.
  Node watcher("a");
  Node other("b", Seconds(500));
  TimePoint now = kStart;
  AddGroup(watcher, now);
  const ExchangeEffect first = Exchange(other, watcher, now);
  CHECK(first.wanted.size() == 2);
  const ExchangeEffect second = Exchange(other, watcher, now, Milliseconds(1),
                                         Milliseconds(1), first.wanted);
  CHECK(second.objects_changed);
  CHECK(other.cache.Digest() == watcher.cache.Digest());
}

TEST_CASE(
    "property: evidence never looks younger than it is, however it travels") {
  // A caller would get an answer of half a group. Clocks of any offset, three
  // hosts in a row, questions and answers that wait for any time on the way.
  REQUIRE(rc::check("ages", [] {
    std::vector<Node> nodes;
    for (int i = 0; i < 3; ++i) {
      nodes.emplace_back("n" + std::to_string(i),
                         Milliseconds(*rc::gen::inRange(0, 1000000)));
      AddGroup(nodes.back(), nodes.back().Clock(kStart));
    }
    TimePoint now = kStart;
    TimePoint last_whole = kStart;
    for (int i = 0; i < 40; ++i) {
      now += Milliseconds(*rc::gen::inRange(0, 300));
      const auto requester = *rc::gen::inRange<size_t>(0, 3);
      if (requester == 0) {
        AddMemberEvidence(nodes[0], "h1", now);
        AddMemberEvidence(nodes[0], "h2", now);
        last_whole = now;
      } else {
        Exchange(nodes[requester], nodes[requester - 1], now,
                 Milliseconds(*rc::gen::inRange(0, 2000)),
                 Milliseconds(*rc::gen::inRange(0, 2000)));
      }
      for (Node& node : nodes) {
        const auto* candidate = node.fleet.FindCandidate("d/1");
        if (candidate != nullptr && candidate->target.whole_at) {
          RC_ASSERT(*candidate->target.whole_at <= node.Clock(last_whole));
        }
      }
    }
  }));
}

TEST_CASE("the word of a missing member travels and wins over older evidence") {
  // Requests leave the group at once on hosts that do not watch it.
  Node monitor("a");
  Node router("b");
  TimePoint now = kStart;
  AddGroup(monitor, now);
  AddGroup(router, now);
  AddMemberEvidence(monitor, "h1", now);
  AddMemberEvidence(monitor, "h2", now);
  Exchange(router, monitor, now);
  REQUIRE(router.fleet.FindCandidate("d/1")->target.whole_at);
  now += Milliseconds(100);
  MemberEvidence gone;
  monitor.fleet.OnMember("h2", gone, now);
  const ExchangeEffect effect = Exchange(router, monitor, now);
  CHECK(effect.groups == std::vector<std::string>{"d/1"});
  CHECK(!router.fleet.FindCandidate("d/1")->target.whole_at);
  // Another monitor's older word, which took a longer way, changes nothing.
  CHECK(!router.fleet.OnGroupEvidence("d/1", 1, true, kStart, 0));
  CHECK(!router.fleet.FindCandidate("d/1")->target.whole_at);
}

TEST_CASE("a host that does not watch a group learns its size from answers") {
  // Callers of that host would wait for one another: it took the group for one
  // that answers one request at a time, since evidence tells of life alone.
  Node monitor("a");
  Node router("b");
  TimePoint now = kStart;
  AddGroup(monitor, now);
  AddGroup(router, now);
  AddMemberEvidence(monitor, "h1", now);
  AddMemberEvidence(monitor, "h2", now);
  Exchange(router, monitor, now);
  const auto load = ParseAnswerLoad("[3,1,16,30000]");
  REQUIRE(load);
  router.fleet.OnAnswerLoad("d/1", *load, now);
  CHECK(router.fleet.FindCandidate("d/1")->load.slots == 16);
  now += Milliseconds(500);
  AddMemberEvidence(monitor, "h1", now);
  AddMemberEvidence(monitor, "h2", now);
  Exchange(router, monitor, now);
  CHECK(router.fleet.FindCandidate("d/1")->load.slots == 16);
  CHECK(!ParseAnswerLoad("[3,1]"));
  CHECK(!ParseAnswerLoad("many"));
}

TEST_CASE("a question makes its sender known, and not live") {
  // Entitlements would be divided with a host that is gone: its question waited
  // in a socket while it died.
  Node a("a");
  Node b("b");
  TimePoint now = kStart;
  Exchange(a, b, now);
  CHECK(b.table.records().contains("a"));
  CHECK(b.table.Live(now) == std::vector<std::string>{"b"});
  CHECK(a.table.Live(now) == std::vector<std::string>{"a", "b"});
}

TEST_CASE("an old process of the same name is told apart") {
  PeerTable table({"a", 1, {}, "dc", false, 0, 0}, PeerPolicy());
  table.Learn({"b", 7, {}, "dc", false, 9, 0}, kStart);
  table.Learn({"b", 6, {}, "dc", false, 99, 0}, kStart + Seconds(1));
  CHECK(table.records().at("b").state.generation == 9);
  table.Learn({"b", 8, {}, "dc", false, 1, 0}, kStart);
  CHECK(table.records().at("b").state.generation == 1);
}

TEST_CASE("property: news reach everybody although each asks only two others") {
  REQUIRE(rc::check("ring", [] {
    const auto size = *rc::gen::inRange<size_t>(2, 30);
    std::vector<Node> nodes;
    for (size_t i = 0; i < size; ++i) {
      nodes.emplace_back("n" + std::to_string(i));
    }
    for (Node& node : nodes) {
      for (const Node& other : nodes) {
        node.table.Learn(other.table.self(), kStart);
      }
    }
    nodes[*rc::gen::inRange<size_t>(0, size)].cache.Offer({"k", "v", 5});
    TimePoint now = kStart;
    std::map<std::pair<size_t, size_t>, std::vector<std::string>> wanted;
    for (uint64_t round = 0; round < 20; ++round) {
      for (size_t i = 0; i < size; ++i) {
        for (const PeerState& peer : nodes[i].table.Neighbours(round, kStart)) {
          const auto index = std::stoul(peer.node.substr(1));
          const ExchangeEffect effect =
              Exchange(nodes[i], nodes[index], now, Duration(0), Duration(0),
                       wanted[{i, index}]);
          wanted[{i, index}] = effect.wanted;
        }
      }
    }
    for (const Node& node : nodes) {
      RC_ASSERT(node.cache.size() == 1);
    }
  }));
}

TEST_CASE("property: no bytes of a peer crash the reading of its message") {
  REQUIRE(rc::check("bytes", [] {
    ExchangeReply reply;
    reply.from = {"a", 3, {"127.0.0.1", 9}, "dc", false, 4, 5};
    reply.inventory = {{"k", 3}};
    reply.peers = {{reply.from, Seconds(1)}};
    reply.evidence = {{"d/1", 4, true, Milliseconds(20), 3}};
    std::string bytes = EncodePeerMessage(reply);
    const int changes = *rc::gen::inRange(0, 4);
    for (int i = 0; i < changes; ++i) {
      bytes[*rc::gen::inRange<size_t>(0, bytes.size())] =
          static_cast<char>(*rc::gen::inRange(0, 256));
    }
    bytes.resize(*rc::gen::inRange<size_t>(0, bytes.size() + 1));
    const auto message = DecodePeerMessage(bytes);
    RC_ASSERT(message.has_value() || !message.error().message.empty());
  }));
}

}  // namespace
}  // namespace filbertrack

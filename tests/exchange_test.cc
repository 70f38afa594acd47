#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <nlohmann/json.hpp>

#include "filbertrack/exchange.h"

namespace filbertrack {
namespace {

const TimePoint kStart{Seconds(1000)};

/// An entry host as the exchange sees it, with its own clock offset.
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

/// Sends a request from `requester` to `replier` and applies the reply. The
/// messages take `there` and `back`.
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
  // Guards against hosts that refuse requests for groups they do not know. The
  // second host gets the group from the first in two requests, without the
  // store.
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

TEST_CASE("property: evidence never appears fresher than it is on any path") {
  // Guards against sending a request to a group that lost a member. Evidence
  // passes three hosts with arbitrary clock offsets and message delays.
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

TEST_CASE("a missing member is propagated and overrides older evidence") {
  // Guards against hosts that do not watch a group and keep sending to it after
  // it lost a member.
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
  // Older evidence of another monitor, delayed on its path, is ignored.
  CHECK(!router.fleet.OnGroupEvidence("d/1", 1, true, kStart, 0));
  CHECK(!router.fleet.FindCandidate("d/1")->target.whole_at);
}

TEST_CASE("a host that does not watch a group gets its slots from answers") {
  // Group evidence does not carry the number of slots. Without it the host
  // assumes that the group runs one request at a time, and its callers queue.
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

TEST_CASE("a request makes its sender known but not live") {
  // Guards against dividing entitlements with a dead host whose last request
  // was still waiting in a socket when it ended.
  Node a("a");
  Node b("b");
  TimePoint now = kStart;
  Exchange(a, b, now);
  CHECK(b.table.records().contains("a"));
  CHECK(b.table.Live(now) == std::vector<std::string>{"b"});
  CHECK(a.table.Live(now) == std::vector<std::string>{"a", "b"});
}

TEST_CASE("states of an older process with the same name are ignored") {
  PeerTable table({"a", 1, {}, "dc", false, 0, 0}, PeerPolicy());
  table.Learn({"b", 7, {}, "dc", false, 9, 0}, kStart);
  table.Learn({"b", 6, {}, "dc", false, 99, 0}, kStart + Seconds(1));
  CHECK(table.records().at("b").state.generation == 9);
  table.Learn({"b", 8, {}, "dc", false, 1, 0}, kStart);
  CHECK(table.records().at("b").state.generation == 1);
}

TEST_CASE("property: updates reach all hosts although each asks only two") {
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

TEST_CASE("property: decoding a damaged message does not crash") {
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
    const bool is_valid =
        message.has_value() || !message.error().message.empty();
    RC_ASSERT(is_valid);
  }));
}

}  // namespace
}  // namespace filbertrack

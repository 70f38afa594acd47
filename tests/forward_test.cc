#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <array>
#include <map>

#include "filbertrack/forward_choice.h"
#include "filbertrack/forward_message.h"

namespace filbertrack {
namespace {

constexpr TimePoint kStart{Seconds(100)};

ForwardPeer MakePeer(const std::string& name,
                     const std::string& data_centre = "z",
                     const std::string& region = "r") {
  return {name, data_centre, region, {"127.0.0.1", 7000}, "token-" + name};
}

TEST_CASE("a request is forwarded only to hosts that said they accept it") {
  // Guards against messages to hosts of earlier versions, which make no offer,
  // and to hosts that are cut off themselves.
  ForwardChoice choice("z", {});
  CHECK(choice.Choose({}, kStart) == nullptr);
  choice.OnReport(MakePeer("a"), false, kStart);
  CHECK(choice.Choose({}, kStart) == nullptr);
  choice.OnReport(MakePeer("b"), true, kStart);
  REQUIRE(choice.Choose({}, kStart) != nullptr);
  CHECK(choice.Choose({}, kStart)->name == "b");
  CHECK(choice.Choose({}, kStart + Seconds(2)) == nullptr);
}

TEST_CASE("a host that refused gets no requests for that service for a while") {
  // Guards against asking all hosts again and again for a service that none of
  // them reaches, and against leaving them out for other services.
  ForwardChoice choice("z", {});
  choice.OnReport(MakePeer("a"), true, kStart);
  choice.OnRefused("a", "plain", kStart);
  ForwardQuery query;
  query.service = "plain";
  const TimePoint later = kStart + Milliseconds(100);
  choice.OnReport(MakePeer("a"), true, later);
  CHECK(choice.Choose(query, later) == nullptr);
  CHECK(choice.Choose({}, later) != nullptr);
  CHECK(choice.Choose(query, kStart + Milliseconds(301)) != nullptr);
}

TEST_CASE("a request does not leave its regions on the way") {
  ForwardChoice choice("z", {});
  choice.OnReport(MakePeer("a", "z", "r1"), true, kStart);
  choice.OnReport(MakePeer("b", "y", "r2"), true, kStart);
  const std::array<std::string, 1> allowed = {"r2"};
  const std::array<std::string, 1> other = {"r3"};
  ForwardQuery query;
  query.workspace_regions = allowed;
  REQUIRE(choice.Choose(query, kStart) != nullptr);
  CHECK(choice.Choose(query, kStart)->name == "b");
  query.route_regions = other;
  CHECK(choice.Choose(query, kStart) == nullptr);
}

TEST_CASE("the requests of a cut-off host are spread over the others") {
  // Load: 600 requests in flight at one host, four hosts of its data centre and
  // two of another.
  ForwardChoice choice("z", {});
  for (const char* name : {"a", "b", "c", "d"}) {
    choice.OnReport(MakePeer(name), true, kStart);
  }
  choice.OnReport(MakePeer("e", "y"), true, kStart);
  choice.OnReport(MakePeer("f", "y"), true, kStart);
  std::map<std::string, int> sent;
  for (int i = 0; i < 600; ++i) {
    const ForwardPeer* peer = choice.Choose({}, kStart);
    REQUIRE(peer != nullptr);
    choice.OnSent(peer->name);
    ++sent[peer->name];
  }
  for (const char* name : {"a", "b", "c", "d"}) {
    CHECK(sent[name] == 120);
  }
  CHECK(sent["e"] == 60);
  CHECK(sent["f"] == 60);
}

TEST_CASE("the last host that reaches the servers is found among 300") {
  // Guards against cut-off hosts that try each other one by one.
  ForwardChoice choice("z", {});
  for (int i = 0; i < 299; ++i) {
    choice.OnReport(MakePeer("n" + std::to_string(i)), false, kStart);
  }
  choice.OnReport(MakePeer("last", "y"), true, kStart);
  REQUIRE(choice.Choose({}, kStart) != nullptr);
  CHECK(choice.Choose({}, kStart)->name == "last");
}

TEST_CASE("requests of a process that was restarted do not count") {
  ForwardChoice choice("z", {});
  choice.OnReport(MakePeer("a"), true, kStart);
  choice.OnReport(MakePeer("b"), true, kStart);
  choice.OnSent("a");
  choice.OnSent("a");
  REQUIRE(choice.Choose({}, kStart)->name == "b");
  choice.OnSent("b");
  ForwardPeer restarted = MakePeer("a");
  restarted.token = "another";
  choice.OnReport(restarted, true, kStart);
  CHECK(choice.Choose({}, kStart)->name == "a");
}

const ForwardedContent kContent{"secret", "token",   "POST",
                                "/s/a",   "request", "body"};

ForwardedCall MakeCall() {
  ForwardedCall call;
  call.from = "front-1";
  call.age = Milliseconds(12);
  call.time_left = Milliseconds(5900);
  call.attempts = 2;
  call.config_version = 28;
  call.last_event = 7;
  return call;
}

TEST_CASE("a forwarded call is decoded as it was encoded") {
  const auto call =
      DecodeForwardedCall(EncodeForwardedCall(MakeCall(), kContent), kContent);
  REQUIRE(call);
  CHECK(call->from == "front-1");
  CHECK(call->age == Milliseconds(12));
  CHECK(call->time_left == Milliseconds(5900));
  CHECK(call->attempts == 2);
  CHECK(call->config_version == 28);
  CHECK(call->last_event == 7);
  ForwardedCall whole = MakeCall();
  whole.last_event.reset();
  const auto decoded =
      DecodeForwardedCall(EncodeForwardedCall(whole, kContent), kContent);
  REQUIRE(decoded);
  CHECK_FALSE(decoded->last_event.has_value());
}

TEST_CASE("a forwarded call with other content is refused") {
  // Guards against requests that a caller forges, and against a request that is
  // delivered to another process than the one it was meant for.
  const std::string text = EncodeForwardedCall(MakeCall(), kContent);
  const auto changed = [&text](auto change) {
    ForwardedContent content = kContent;
    change(content);
    return !DecodeForwardedCall(text, content).has_value();
  };
  CHECK(changed([](ForwardedContent& row) { row.secret = "other"; }));
  CHECK(changed([](ForwardedContent& row) { row.token = "other"; }));
  CHECK(changed([](ForwardedContent& row) { row.method = "GET"; }));
  CHECK(changed([](ForwardedContent& row) { row.target = "/s/b"; }));
  CHECK(changed([](ForwardedContent& row) { row.request_id = "other"; }));
  CHECK(changed([](ForwardedContent& row) { row.body = "BODY"; }));
  std::string longer = text;
  longer.replace(longer.find("5900000"), 7, "9900000");
  CHECK_FALSE(DecodeForwardedCall(longer, kContent).has_value());
}

TEST_CASE("malformed forward fields are refused") {
  for (const char* text :
       {"", "1", "2 a 1 1 1 1 - x", "1 a 1 1 1 1 -", "1 a 1 1 1 1 - x y",
        "1 a -1 1 1 1 - x", "1 a 1 1 0 1 - x"}) {
    CHECK_FALSE(DecodeForwardedCall(text, kContent).has_value());
  }
  for (const char* text : {"", "1 109 not-run", "1 x not-run 1 -",
                           "1 109 not-run -1 -", "1 109 not-run 1 -5"}) {
    CHECK_FALSE(DecodeForwardRefusal(text).has_value());
  }
}

TEST_CASE(
    "a refusal is decoded as it was encoded, and an outcome that is not "
    "known counts as unknown") {
  const ForwardRefusal refusal{ResultCode::kOverloaded, Outcome::kNotRun, 1,
                               Milliseconds(250)};
  const auto decoded = DecodeForwardRefusal(EncodeForwardRefusal(refusal));
  REQUIRE(decoded);
  CHECK(decoded->code == ResultCode::kOverloaded);
  CHECK(decoded->outcome == Outcome::kNotRun);
  CHECK(decoded->attempts == 1);
  CHECK(decoded->retry_after == Milliseconds(250));
  const auto other = DecodeForwardRefusal("1 106 perhaps 1 -");
  REQUIRE(other);
  CHECK(other->outcome == Outcome::kUnknown);
}

}  // namespace
}  // namespace filbertrack

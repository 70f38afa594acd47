#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <limits>

#include <nlohmann/json.hpp>

#include "filbertrack/base_cbor.h"
#include "filbertrack/placement_message.h"

namespace filbertrack {
namespace {

PlacementRequest MakeRequest() {
  PlacementRequest request;
  request.asker = "e1";
  request.incarnation = UINT64_MAX;
  request.sequence = 7;
  request.is_sync = true;
  request.loads = {{3, "t1", 714, true}};
  request.events = {PlacementSent{4, "t2", 2000},
                    PlacementFirst{3, "t1", Milliseconds(180)},
                    PlacementEnded{3, "t1", false, DispatchResult::kFailed},
                    PlacementWithdrawn{5}};
  PlacementAsk ask;
  ask.id = 6;
  ask.pool = {"llm", "m"};
  ask.prompt_tokens = 714;
  ask.time_to_slo = -Milliseconds(20);
  ask.time_left = Seconds(6);
  ask.priority = 2;
  ask.workspace = "w";
  ask.came_back = true;
  ask.excluded = {"t9"};
  ask.route_regions = {"r1"};
  ask.workspace_regions = {"r2", "r3"};
  request.asks = {ask};
  return request;
}

PlacementReply MakeReply() {
  return {"e2",
          9,
          7,
          true,
          true,
          {PlacementGrant{1, "t1", Milliseconds(150), 12},
           PlacementRefusal{2, DispatchDenial::kAllBusy, Milliseconds(70),
                            Milliseconds(400)},
           PlacementQueued{3, 4}, ChooseLocally{5}}};
}

TEST_CASE("message: requests and replies survive encoding") {
  const std::string bytes = EncodePlacementRequest(MakeRequest());
  CHECK(IsPlacementMessage(bytes));
  const auto request = DecodePlacementRequest(bytes);
  REQUIRE(request);
  // The encodings are equal only if all fields are.
  CHECK(EncodePlacementRequest(*request) == bytes);
  CHECK(request->incarnation == UINT64_MAX);
  CHECK(request->is_sync);
  CHECK(request->loads.at(0).prompt_pending);
  CHECK(std::get<PlacementEnded>(request->events.at(2)).result ==
        DispatchResult::kFailed);
  CHECK(request->asks.at(0).time_to_slo == -Milliseconds(20));
  CHECK(request->asks.at(0).workspace_regions.at(1) == "r3");

  const std::string reply_bytes = EncodePlacementReply(MakeReply());
  CHECK(IsPlacementMessage(reply_bytes));
  const auto reply = DecodePlacementReply(reply_bytes);
  REQUIRE(reply);
  CHECK(EncodePlacementReply(*reply) == reply_bytes);
  CHECK(std::get<PlacementGrant>(reply->answers.at(0)).predicted ==
        Milliseconds(150));
  CHECK(std::get<PlacementRefusal>(reply->answers.at(1)).reason ==
        DispatchDenial::kAllBusy);
  CHECK(std::get<PlacementQueued>(reply->answers.at(2)).position == 4);
  CHECK(std::get<ChooseLocally>(reply->answers.at(3)).id == 5);
}

TEST_CASE("message: notices and their replies survive encoding") {
  const auto notice = DecodePlacementNotice(
      EncodePlacementNotice({"e2", 9, MakeReply().answers}));
  REQUIRE(notice);
  CHECK(notice->placer == "e2");
  CHECK(notice->incarnation == 9);
  CHECK(notice->answers.size() == 4);
  const auto reply =
      DecodePlacementNoticeReply(EncodePlacementNoticeReply({{8, 1}}));
  REQUIRE(reply);
  CHECK(reply->declined == std::vector<uint64_t>{8, 1});
}

TEST_CASE("message: a message of another kind or protocol is rejected") {
  // A host of a later version, or a gossip message on the same connection,
  // must not be taken for a message of this protocol.
  const std::string reply = EncodePlacementReply(MakeReply());
  CHECK(DecodePlacementRequest(reply).error().code == ResultCode::kBadRequest);
  CHECK(DecodePlacementNotice(reply).error().code == ResultCode::kBadRequest);
  auto newer = *ParseCbor(reply);
  newer["p"] = kPlacementProtocol + 1;
  CHECK(DecodePlacementReply(ToCbor(newer)).error().code ==
        ResultCode::kBadRequest);
  const std::string gossip = EncodeGossipRequest({});
  CHECK_FALSE(IsPlacementMessage(gossip));
  CHECK_FALSE(IsPlacementMessage(""));
  CHECK(DecodePlacementRequest(gossip).error().code == ResultCode::kBadRequest);
  CHECK_FALSE(DecodeGossipRequest(reply));
}

TEST_CASE("message: fields out of range or of another type are rejected") {
  // Each row is a path in the encoded message and a value that it must not
  // have; without the checks the casts of these numbers are undefined.
  const auto rejects = [](auto decode, const std::string& bytes,
                          const std::string& path, const nlohmann::json& bad) {
    auto value = *ParseCbor(bytes);
    value[nlohmann::json::json_pointer(path)] = bad;
    INFO(path << " = " << bad.dump());
    const auto decoded = decode(ToCbor(value));
    REQUIRE_FALSE(decoded);
    CHECK(decoded.error().code == ResultCode::kBadRequest);
  };
  const std::string request = EncodePlacementRequest(MakeRequest());
  const std::vector<std::pair<std::string, nlohmann::json>> bad_requests = {
      {"/asker", ""},
      {"/asker", 3},
      {"/inc", -1},
      {"/inc", 1.5},
      {"/seq", "1"},
      {"/sync", 1},
      {"/loads", 4},
      {"/loads/0/1", ""},
      {"/loads/0/2", -1},
      {"/loads/0/2", 1e300},
      {"/loads/0/3", nullptr},
      {"/events/0/0", 4},
      {"/events/0/0", -1},
      {"/events/1/3", -5},
      {"/events/2/4", 4},
      {"/events/3", nlohmann::json::array()},
      {"/asks/0/1", ""},
      {"/asks/0/3", UINT64_MAX},
      {"/asks/0/4", INT64_MAX},
      {"/asks/0/4", INT64_MIN},
      {"/asks/0/5", INT64_MAX},
      {"/asks/0/6", INT64_MAX},
      {"/asks/0/8", 1},
      {"/asks/0/9", "t"},
      {"/asks/0/10/0", 1},
      {"/asks", nlohmann::json::object()}};
  for (const auto& [path, bad] : bad_requests) {
    rejects(DecodePlacementRequest, request, path, bad);
  }
  const std::string reply = EncodePlacementReply(MakeReply());
  const std::vector<std::pair<std::string, nlohmann::json>> bad_replies = {
      {"/placer", ""},      {"/places", 0},
      {"/answers/0/0", 9},  {"/answers/0/2", ""},
      {"/answers/0/3", -1}, {"/answers/0/4", INT64_MAX},
      {"/answers/1/2", 5},  {"/answers/1/3", INT64_MAX},
      {"/answers/2/2", -1}, {"/answers/3/1", -1}};
  for (const auto& [path, bad] : bad_replies) {
    rejects(DecodePlacementReply, reply, path, bad);
  }
  rejects(DecodePlacementNoticeReply, EncodePlacementNoticeReply({{8}}),
          "/declined/0", -8);
}

TEST_CASE("message: every ask of a valid request can be decoded") {
  // Callers state the prompt tokens, and a catalog may have any priority up to
  // 10^9. One ask that the placer rejects would lose the message, and with it
  // the asks of all other callers of this host.
  for (const double tokens : {-1.0, -0.4, 1e13, 1e300, -1e300,
                              std::numeric_limits<double>::infinity(),
                              std::numeric_limits<double>::quiet_NaN()}) {
    CAPTURE(tokens);
    PlacementRequest request = MakeRequest();
    request.loads.at(0).prompt_tokens = tokens;
    request.asks.at(0).prompt_tokens = tokens;
    request.asks.at(0).priority = 1'000'000'000;
    request.events = {PlacementSent{1, "t", tokens}};
    const auto decoded =
        DecodePlacementRequest(EncodePlacementRequest(request));
    REQUIRE(decoded);
    CHECK(decoded->asks.at(0).priority == 1'000'000'000);
    CHECK(decoded->asks.at(0).prompt_tokens >= 0);
  }
}

TEST_CASE("message: arbitrary and truncated bytes are rejected") {
  // An exception would end the process.
  REQUIRE(rc::check("any bytes", [](const std::string& bytes) {
    RC_ASSERT(!DecodePlacementRequest(bytes));
    RC_ASSERT(!DecodePlacementReply(bytes));
    RC_ASSERT(!DecodePlacementNotice(bytes));
    RC_ASSERT(!DecodePlacementNoticeReply(bytes));
  }));
  const std::string request = EncodePlacementRequest(MakeRequest());
  for (size_t size = 0; size < request.size(); ++size) {
    CHECK_FALSE(DecodePlacementRequest(request.substr(0, size)));
  }
  const std::string reply = EncodePlacementReply(MakeReply());
  for (size_t size = 0; size < reply.size(); ++size) {
    CHECK_FALSE(DecodePlacementReply(reply.substr(0, size)));
  }
  REQUIRE(rc::check("a changed byte", [&request] {
    std::string changed = request;
    changed[*rc::gen::inRange<size_t>(0, changed.size())] =
        *rc::gen::arbitrary<char>();
    // Either result is valid; the decoder must return one.
    (void)DecodePlacementRequest(changed);
  }));
}

}  // namespace
}  // namespace filbertrack

#include <doctest/doctest.h>

#include "damaged_message.h"
#include "platform_engine_client.h"
#include "platform_store_fixture.h"
#include "raw_server.h"

/// Reports, answers to orders, and responses of the store that have a damaged
/// octet.

namespace filbertrack {
namespace {

TEST_CASE("a damaged report or answer to an order is no answer") {
  // Guards against a server that counts as idle, or an order that counts as
  // begun, by a damaged answer.
  EventLoop loop;
  const std::string report = R"({"running":9,"queued":8,"busy":true})";
  const std::string ok =
      "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" +
      LengthField(report) + "\r\n" + report;
  const std::string accepted =
      "HTTP/1.1 202 Accepted\r\n" + LengthField("{}") + "\r\n{}";
  std::string answer_bytes;
  RawServer server(loop, [&](std::string_view) -> RawReply {
    return {answer_bytes, CloseOrderly{}};
  });
  platform::PlatformEngineClient engines(loop, "");
  BackendServer host;
  host.id = "i";
  host.address = server.address();
  for (const std::string& bytes : SomeDamagedForms(ok)) {
    CAPTURE(bytes);
    answer_bytes = bytes;
    std::optional<ProbeAnswer> answer;
    engines.Probe(host, Seconds(2),
                  [&answer](const ProbeAnswer& probe) { answer = probe; });
    REQUIRE(RunUntil(loop, [&answer] { return answer.has_value(); }));
    const ReadMessage said = ReadResponse(bytes, true);
    if (!said.is_complete) {
      REQUIRE_FALSE(answer->answered);
    }
  }
  for (const std::string& bytes : SomeDamagedForms(accepted)) {
    CAPTURE(bytes);
    answer_bytes = bytes;
    std::optional<OrderResult> result;
    engines.Order(host, {}, [&result](OrderResult got) { result = got; });
    REQUIRE(RunUntil(loop, [&result] { return result.has_value(); }));
    const ReadMessage said = ReadResponse(bytes, true);
    if (!said.is_complete) {
      REQUIRE(*result == OrderResult::kUnknown);
    }
  }
}

std::string JsonResponse(const std::string& status, const Json& body) {
  return "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\n" +
         LengthField(body.dump()) + "\r\n" + body.dump();
}

TEST_CASE("a damaged response of the store tells nothing of a record") {
  // Guards against a record that counts as absent, or as another one.
  EventLoop loop;
  std::string answer_bytes;
  RawServer server(loop, [&answer_bytes](std::string_view) -> RawReply {
    return {answer_bytes, CloseOrderly{}};
  });
  RecordingListener listener;
  platform::PlatformStore client(loop, server.address(), {}, listener, 1);
  const Json record = {{"metadata", {{"name", "n"}, {"rev", 7}}},
                       {"spec", {{"value", "x"}}},
                       {"status", nullptr}};
  for (const std::string& sound :
       {JsonResponse("200 OK", record),
        JsonResponse("404 Not Found", Json::object())}) {
    for (const std::string& bytes : SomeDamagedForms(sound)) {
      CAPTURE(bytes);
      answer_bytes = bytes;
      std::optional<StoreStatus> status;
      client.Read("n",
                  [&status](const StoreResponse& got) { status = got.status; });
      REQUIRE(RunUntil(loop, [&status] { return status.has_value(); }));
      if (!ReadResponse(bytes, true).is_complete) {
        REQUIRE(*status == StoreStatus::kUnavailable);
      }
    }
  }
}

Json ListedServer(const std::string& id) {
  return {{"metadata", {{"name", id}, {"rev", 5}}},
          {"spec", MakePlainSpec()},
          {"status", nullptr}};
}

/// Also keeps the ids of all servers that were ever delivered.
struct AllServersListener : RecordingListener {
  void OnServers(ServerChanges changes) override {
    RecordingListener::OnServers(std::move(changes));
    ever.insert(servers.begin(), servers.end());
  }

  std::set<std::string> ever;
};

/// A store that sends one damaged response, and is sound before and after it.
struct DamagedStore {
  DamagedStore(EventLoop& loop, std::string damaged_response, bool of_watch)
      : damaged(std::move(damaged_response)),
        damages_watch(of_watch),
        server(loop,
               [this](std::string_view request) { return Answer(request); }),
        client(loop, server.address(), {}, listener, 1) {
    client.SetWatching(true);
  }

  RawReply Answer(std::string_view request) {
    const bool is_watch = request.find("?watch=") != std::string_view::npos;
    if (request.find("/servers") != std::string_view::npos && !was_damaged &&
        is_watch == damages_watch) {
      was_damaged = true;
      return {damaged, CloseOrderly{}};
    }
    if (is_watch) {
      return {"", KeepOpen{}};
    }
    Json items = Json::array();
    if (request.find("/servers") != std::string_view::npos) {
      items.push_back(ListedServer("sound"));
    }
    return {JsonResponse("200 OK",
                         {{"items", items}, {"hasMore", false}, {"asOf", 5}}),
            KeepOpen{}};
  }

  bool IsDone() const {
    return was_damaged && listener.servers.contains("sound");
  }

  std::string damaged;
  bool damages_watch;
  bool was_damaged = false;
  RawServer server;
  AllServersListener listener;
  platform::PlatformStore client;
};

TEST_CASE(
    "a damaged listing or watch of the store is neither news nor outage") {
  // Guards against servers that are added or removed by a damaged response, and
  // against an outage of the store that is declared for one.
  const std::string listing = JsonResponse(
      "200 OK",
      {{"items", {ListedServer("damaged")}}, {"hasMore", false}, {"asOf", 9}});
  const std::string watch = JsonResponse(
      "200 OK",
      {{"events", {{{"object", ListedServer("damaged")}, {"deleted", false}}}},
       {"asOf", 9}});
  EventLoop loop;
  for (const bool of_watch : {false, true}) {
    const std::string& sound = of_watch ? watch : listing;
    const std::vector<std::string> forms = SomeDamagedForms(sound);
    std::vector<std::unique_ptr<DamagedStore>> stores;
    for (const std::string& bytes : forms) {
      // Of the others, some are sound.
      if (!ReadResponse(bytes, true).is_complete) {
        stores.push_back(std::make_unique<DamagedStore>(loop, bytes, of_watch));
      }
    }
    REQUIRE(!stores.empty());
    CHECK(RunUntil(loop, [&stores] {
      return std::all_of(stores.begin(), stores.end(),
                         [](const auto& each) { return each->IsDone(); });
    }));
    for (const auto& each : stores) {
      CAPTURE(each->damaged);
      CHECK_FALSE(each->listener.ever.contains("damaged"));
      CHECK(each->listener.last_unanswered == Duration(0));
    }
  }
}

}  // namespace
}  // namespace filbertrack

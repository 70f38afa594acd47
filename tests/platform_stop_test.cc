#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "platform_site.h"
#include "raw_server.h"

/// Planned stops of an entry host with requests that last as long as its grace
/// period.
///
/// Requests that came late in the grace period were passed on and ended with
/// the process, without an answer, among them requests that may run only once.

namespace filbertrack {
namespace {

/// An entry host in front of one server that answers after `delay`, or begins a
/// stream that it does not finish.
struct StopSite : Site {
  StopSite() : Site(Options()) {
    Json config = MakeConfig(2);
    config["routes"].push_back(MakeRoute("raw", "/raw/", "streaming", "plain"));
    for (Json& route : config["routes"]) {
      route["timeoutMs"] = 60000;
    }
    store.Put("config", "main", config);
    for (const auto& each : plain) {
      each->Die();
    }
    server = std::make_unique<RawServer>(
        loop, [this](std::string_view request) { return Answer(request); });
    server->Register(store, "s", "plain", 100);
    REQUIRE(RunUntil(loop, [this] {
      return host->IsReady() && host->catalog()->version() == 2 &&
             CountTargets() == 1;
    }));
  }

  static SiteOptions Options() {
    SiteOptions options;
    options.grace = Seconds(4);
    return options;
  }

  RawReply Answer(std::string_view request) {
    if (!request.starts_with("POST ")) {
      return {"HTTP/1.1 200 OK\r\nX-Runner-Id: s\r\nContent-Length: 0\r\n\r\n",
              KeepOpen{}};
    }
    const std::string id = RawHeader(request, "X-Attempt-Id");
    ++arrivals[id];
    const std::string head =
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Runner-Seal: s\r\n";
    if (request.starts_with("POST /raw/")) {
      return {head +
                  "Content-Type: text/event-stream\r\n"
                  "Content-Length: 1000\r\n\r\n" +
                  ExpectedStream(1),
              KeepOpen{}};
    }
    return {head + "Content-Length: 2\r\n\r\nok", KeepOpen{}, delay};
  }

  CallerResponse& Send(const std::string& path, const std::string& id) {
    calls.push_back(SendRequestTo(host->caller_address(), client, path, id,
                                  responses[id], {.deadline_ms = "60000"}));
    return responses[id];
  }

  /// Ends the entry host as its process ends: once it stops its event loop.
  void StopProcess() {
    loop.Run();
    nodes.clear();
    REQUIRE(RunUntil(loop, [this] {
      return std::all_of(responses.begin(), responses.end(),
                         [](const auto& row) { return row.second.ended; });
    }));
  }

  Duration delay{0};
  std::map<std::string, int> arrivals;
  std::map<std::string, CallerResponse> responses;
  std::unique_ptr<RawServer> server;
  HttpClient client{loop, 4};
  std::vector<std::unique_ptr<HttpCall>> calls;
};

TEST_CASE("a request that outlasts the grace period is answered") {
  // Guards against a connection that is closed without an answer to a request
  // that was passed on.
  StopSite site;
  site.delay = Seconds(30);
  site.host->Drain();
  const CallerResponse& once = site.Send("/once/x", "once");
  const CallerResponse& safe = site.Send("/safe/x", "safe");
  site.StopProcess();
  for (const CallerResponse* response : {&once, &safe}) {
    CHECK_FALSE(response->failed);
    CHECK(response->status == 502);
    CHECK(response->body.find("\"outcome\":\"unknown\"") != std::string::npos);
    CHECK(FindHeader(response->headers, "X-Runner-Seal").empty());
  }
  CHECK(site.arrivals["once"] == 1);
}

TEST_CASE("a request that would outlast the grace period is not passed on") {
  // Guards against callers that wait for the end of the process although the
  // time of such requests is known.
  StopSite site;
  site.delay = Seconds(1);
  for (int i = 0; i < 5; ++i) {
    const CallerResponse& before =
        site.Send("/once/x", "before" + std::to_string(i));
    REQUIRE(RunUntil(site.loop, [&before] { return before.ended; }));
    REQUIRE(before.status == 200);
  }
  site.host->Drain();
  const CallerResponse& early = site.Send("/once/x", "early");
  const auto timer = site.loop.After(Milliseconds(2500), [&site] {
    site.Send("/once/x", "late");
    // Nothing is known of the times of this route.
    site.Send("/safe/x", "other");
  });
  site.StopProcess();
  CHECK(early.status == 200);
  const CallerResponse& late = site.responses["late"];
  CHECK(late.status == 503);
  CHECK(late.body.find("\"outcome\":\"not-run\"") != std::string::npos);
  CHECK_FALSE(FindHeader(late.headers, "Retry-After").empty());
  CHECK(site.arrivals["late"] == 0);
  CHECK(site.responses["other"].status == 502);
  CHECK(site.arrivals["other"] == 1);
}

TEST_CASE("a stream that outlasts the grace period does not look complete") {
  StopSite site;
  const CallerResponse& stream = site.Send("/raw/x", "stream");
  REQUIRE(RunUntil(site.loop, [&stream] { return !stream.body.empty(); }));
  site.host->Drain();
  site.StopProcess();
  CHECK(stream.failed);
  CHECK(stream.body == ExpectedStream(1));
}

}  // namespace
}  // namespace filbertrack

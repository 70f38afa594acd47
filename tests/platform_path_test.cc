#include <doctest/doctest.h>

#include <algorithm>
#include <csignal>

#include "platform_site.h"

/// Tests the whole request path of one entry host with stand-ins for the
/// platform.

namespace filbertrack {
namespace {

TEST_CASE("groups form after a cold start, and a stream is served unchanged") {
  Site site(5);
  REQUIRE(site.listening);
  REQUIRE(RunUntil(site.loop, [&] { return site.CountOpen() == 2; }));
  REQUIRE(RunUntil(site.loop, [&] { return site.CountTargets() == 4; }));
  CHECK(site.host->IsReady());
  HttpClient client(site.loop, 2);
  CallerResponse response;
  const auto call = SendRequest(site, client, "/s/x", "id-1", response);
  REQUIRE(RunUntil(site.loop, [&] { return response.ended; }));
  CHECK(response.status == 200);
  CHECK(response.body == ExpectedStream(5));
  CHECK(FindHeader(response.headers, "X-Runner-Seal").starts_with("seal-of-"));
  for (const auto& runner : site.runners) {
    for (const SeenRequest& seen : runner->seen()) {
      CHECK(seen.workspace == "w");
      CHECK(seen.authorization.empty());
      CHECK(std::stoi(seen.time_left) <= 8000);
    }
  }
}

TEST_CASE("a stream whose head dies is resumed on another group") {
  // The stream breaks after its first events. Another group must resume it
  // after the last event that the caller has received, so that the caller gets
  // every event once.
  Site site(5);
  REQUIRE(RunUntil(site.loop, [&] { return site.CountOpen() == 2; }));
  REQUIRE(RunUntil(site.loop, [&] { return site.CountTargets() == 4; }));
  HttpClient client(site.loop, 2);
  CallerResponse response;
  const auto call = SendRequest(site, client, "/s/x", "id-1", response);
  REQUIRE(RunUntil(site.loop, [&] {
    return response.body.find("part 2") != std::string::npos;
  }));
  for (const auto& runner : site.runners) {
    if (!runner->seen().empty()) {
      runner->Die();
      break;
    }
  }
  REQUIRE(RunUntil(site.loop, [&] { return response.ended; }));
  CHECK_FALSE(response.failed);
  CHECK(response.body == ExpectedStream(5));
}

TEST_CASE("a stream finishes on its group when a member leaves") {
  // A member reports that it is leaving. The group must accept no new requests,
  // but complete those in progress before it closes. Resuming the stream on
  // another group would take a retry and process the prompt again.
  Site site(5);
  for (const auto& runner : site.runners) {
    runner->SetEvents(40);
  }
  REQUIRE(RunUntil(site.loop, [&] { return site.CountTargets() == 4; }));
  HttpClient client(site.loop, 2);
  CallerResponse response;
  const auto call = SendRequest(site, client, "/s/x", "id-1", response);
  REQUIRE(RunUntil(site.loop, [&] {
    return response.body.find("part 2") != std::string::npos;
  }));
  std::string member;
  for (const auto& runner : site.runners) {
    if (!runner->seen().empty()) {
      member = runner->members().back();
    }
  }
  for (const auto& runner : site.runners) {
    if (runner->id() == member) {
      runner->Register("draining");
    }
  }
  REQUIRE(RunUntil(site.loop, [&] { return response.ended; }));
  CHECK(response.body == ExpectedStream(40));
  size_t sends = 0;
  for (const auto& runner : site.runners) {
    sends += runner->seen().size();
  }
  CHECK(sends == 1);
}

TEST_CASE("a stalled stream is not aborted if no other group can resume it") {
  // The only group that serves the model stalls for more than three times the
  // gap target and then continues. Aborting the stream would break a response
  // that is merely late.
  Site site(3);
  for (const auto& runner : site.runners) {
    runner->SetStreamStall(2, Milliseconds(1300));
  }
  REQUIRE(RunUntil(site.loop, [&] { return site.CountTargets() == 3; }));
  HttpClient client(site.loop, 2);
  CallerResponse response;
  const auto call = SendRequest(site, client, "/s/x", "id-1", response);
  REQUIRE(RunUntil(site.loop, [&] { return response.ended; }));
  CHECK_FALSE(response.failed);
  CHECK(response.body == ExpectedStream(5));
}

TEST_CASE("a non-idempotent request is not sent again") {
  // A server ran the request, and its response is lost. The caller must get
  // 502, since the outcome is unknown, and no other server may get the request.
  Site site(0);
  REQUIRE(RunUntil(site.loop, [&] { return site.host->IsReady(); }));
  for (const auto& server : site.plain) {
    server->SetDropsResponses(true);
  }
  HttpClient client(site.loop, 2);
  CallerResponse response;
  const auto call = SendRequest(site, client, "/once/x", "id-1", response);
  REQUIRE(RunUntil(site.loop, [&] { return response.ended; }));
  CHECK(response.status == 502);
  CHECK(site.plain[0]->seen().size() + site.plain[1]->seen().size() == 1);
}

TEST_CASE("an idempotent request is retried on another server") {
  Site site(0);
  REQUIRE(RunUntil(site.loop, [&] { return site.host->IsReady(); }));
  site.plain[0]->SetDropsResponses(true);
  HttpClient client(site.loop, 2);
  for (int i = 0; i < 4; ++i) {
    CallerResponse response;
    const auto call = SendRequest(site, client, "/safe/x",
                                  "id-" + std::to_string(i), response);
    REQUIRE(RunUntil(site.loop, [&] { return response.ended; }));
    CHECK(response.status == 200);
    CHECK(response.body == "answer of p1");
  }
}

TEST_CASE(
    "if all servers refuse, the caller gets 503 and a time at which to "
    "retry") {
  Site site(0);
  REQUIRE(RunUntil(site.loop, [&] { return site.host->IsReady(); }));
  for (const auto& server : site.plain) {
    server->SetFull(true);
  }
  HttpClient client(site.loop, 2);
  CallerResponse response;
  const auto call = SendRequest(site, client, "/once/x", "id-1", response);
  REQUIRE(RunUntil(site.loop, [&] { return response.ended; }));
  CHECK(response.status == 503);
  CHECK_FALSE(FindHeader(response.headers, "Retry-After").empty());
  CHECK(site.plain[0]->seen().empty());
  CHECK(site.plain[1]->seen().empty());
}

TEST_CASE(
    "a host that starts during a store outage sends a useful Retry-After") {
  // All hosts restart during a store outage. A caller that retries before the
  // registrations can have been read is refused a second time, and most callers
  // retry only once.
  Site site(0);
  site.store.faults().refuse_with = 503;
  HttpClient client(site.loop, 0);
  REQUIRE(RunUntil(site.loop, [&site] { return site.host->store_away(); }));
  REQUIRE(site.host->catalog() == nullptr);
  CallerResponse response;
  const auto call = SendRequest(site, client, "/s/x", "a", response);
  REQUIRE(RunUntil(site.loop, [&response] { return response.ended; }));
  CHECK(response.status == 503);
  const std::string after(FindHeader(response.headers, "Retry-After"));
  REQUIRE_FALSE(after.empty());
  CHECK(std::stod(after) >= 1);
  CHECK(std::stod(after) <= 2);
}

TEST_CASE("a response with another request id never reaches the caller") {
  Site site(0);
  REQUIRE(RunUntil(site.loop, [&] { return site.host->IsReady(); }));
  for (const auto& server : site.plain) {
    server->SetSendsWrongAttemptId(true);
  }
  HttpClient client(site.loop, 2);
  CallerResponse response;
  const auto call = SendRequest(site, client, "/safe/x", "id-1", response);
  REQUIRE(RunUntil(site.loop, [&] { return response.ended; }));
  CHECK(response.status == 502);
  CHECK(response.body.find("answer of") == std::string::npos);
}

TEST_CASE("unknown keys and routes are refused") {
  Site site(0);
  REQUIRE(RunUntil(site.loop, [&] { return site.host->IsReady(); }));
  HttpClient client(site.loop, 2);
  CallerResponse wrong_key;
  const auto first =
      SendRequest(site, client, "/safe/x", "id-1", wrong_key, "stolen");
  REQUIRE(RunUntil(site.loop, [&] { return wrong_key.ended; }));
  CHECK(wrong_key.status == 401);
  CallerResponse no_route;
  const auto second = SendRequest(site, client, "/nowhere/", "id-2", no_route);
  REQUIRE(RunUntil(site.loop, [&] { return no_route.ended; }));
  CHECK(no_route.status == 404);
}

TEST_CASE("a revoked key is refused once the configuration is applied") {
  Site site(0);
  REQUIRE(RunUntil(site.loop, [&] { return site.host->IsReady(); }));
  Json config = MakeConfig(2);
  config["tenants"][0]["apiKeys"] = {"other"};
  site.store.Put("config", "main", config);
  REQUIRE(RunUntil(site.loop,
                   [&] { return site.host->catalog()->version() == 2; }));
  HttpClient client(site.loop, 2);
  CallerResponse response;
  const auto call = SendRequest(site, client, "/safe/x", "id-1", response);
  REQUIRE(RunUntil(site.loop, [&] { return response.ended; }));
  CHECK(response.status == 401);
}

TEST_CASE("a caller that disconnects cancels the request at the server") {
  Site site(3);
  REQUIRE(RunUntil(site.loop, [&] { return site.CountOpen() == 1; }));
  REQUIRE(RunUntil(site.loop, [&] { return site.CountTargets() == 3; }));
  HttpClient client(site.loop, 2);
  CallerResponse response;
  auto call = SendRequest(site, client, "/s/x", "id-1", response);
  REQUIRE(RunUntil(site.loop, [&] { return !response.body.empty(); }));
  call.reset();
  CHECK(RunUntil(site.loop, [&] {
    return std::any_of(
        site.runners.begin(), site.runners.end(), [](const auto& runner) {
          return !runner->seen().empty() && runner->seen()[0].ended;
        });
  }));
}

TEST_CASE("a reload signal does not terminate the process") {
  // The platform sends SIGHUP when the settings file has changed. Without a
  // handler, it terminated all entry hosts at once, with the requests in
  // progress.
  IgnoreReloadSignal();
  // This signal arrives before the handler is installed.
  std::raise(SIGHUP);
  EventLoop loop;
  int reloads = 0;
  loop.OnReloadSignal([&reloads] { ++reloads; });
  std::raise(SIGHUP);
  CHECK(RunUntil(loop, [&reloads] { return reloads == 1; }));
  Site site(0);
  REQUIRE(RunUntil(site.loop, [&] { return site.host->IsReady(); }));
  const auto settings = EntrySchema().ParseText(
      "[node]\nname = e1\ndata_centre = z\n[store]\naddress = "
      "127.0.0.1:1\n[retries]\nslack = 7\n",
      "test.ini");
  site.host->Reload(*settings);
  CHECK(site.host->IsReady());
  // Reloading the same settings again has no effect.
  site.host->Reload(*settings);
  CHECK(site.host->IsReady());
}

TEST_CASE(
    "the metrics report the results of requests and the state of the host") {
  Site site(3);
  REQUIRE(RunUntil(site.loop, [&] { return site.CountTargets() == 3; }));
  HttpClient client(site.loop, 2);
  CallerResponse response;
  const auto call = SendRequest(site, client, "/s/x", "id-1", response);
  REQUIRE(RunUntil(site.loop, [&] { return response.ended; }));
  CallerResponse refused;
  const auto wrong =
      SendRequest(site, client, "/s/x", "id-2", refused, "stolen");
  REQUIRE(RunUntil(site.loop, [&] { return refused.ended; }));
  CallerResponse metrics;
  HttpCallRequest request;
  request.target = "/metrics";
  HttpCallEvents events;
  events.on_bytes = [&metrics](std::string_view bytes) {
    metrics.body += bytes;
  };
  events.on_end = [&metrics](int) { metrics.ended = true; };
  const auto scrape = client.Start(site.host->ready_address(),
                                   std::move(request), std::move(events));
  REQUIRE(RunUntil(site.loop, [&] { return metrics.ended; }));
  for (const std::string_view row :
       {"filbertrack_requests_total{kind=\"stream\",code=\"0\"} 1",
        "filbertrack_rejected_total{code=\"100\"} 1",
        "filbertrack_config_version 1", "filbertrack_targets 3",
        "filbertrack_store_away 0", "filbertrack_longest_pause_seconds_count 1",
        "filbertrack_first_event_seconds_count{model=\"m\"} 1"}) {
    CAPTURE(row);
    CHECK(metrics.body.find(row) != std::string::npos);
  }
}

TEST_CASE("a draining host still answers and closes the connection") {
  // The load balancer needs some time to see that the host is no longer ready.
  // Requests that arrive until then must still be answered, on connections that
  // are closed afterwards. Later ones are refused as not run, so that they are
  // not cut off at the end of the grace time; this test does not cover that.
  Site site(0);
  REQUIRE(RunUntil(site.loop, [&] { return site.host->IsReady(); }));
  site.host->Drain();
  CHECK_FALSE(site.host->IsReady());
  HttpClient client(site.loop, 2);
  CallerResponse early;
  const auto first = SendRequest(site, client, "/safe/x", "id-1", early);
  REQUIRE(RunUntil(site.loop, [&] { return early.ended; }));
  CHECK(early.status == 200);
  CHECK(FindHeader(early.headers, "Connection") == "close");
}

TEST_CASE(
    "a request is not sent to a server that left while its connection was "
    "established") {
  // Guards against requests that reach a server later after its departure than
  // this host's view of it is old.
  Site site(0);
  REQUIRE(RunUntil(site.loop, [&] { return site.CountTargets() == 2; }));
  HttpClient client(site.loop, 2);
  CallerResponse response;
  const auto call = SendRequest(site, client, "/once/x", "id-1", response);
  // The connection to the chosen server is being established then.
  REQUIRE(RunUntil(site.loop,
                   [&] { return !site.host->OwnGossipState().loads.empty(); }));
  const std::string chosen = site.host->OwnGossipState().loads.front().target;
  ServerChanges changes;
  changes.revision = site.host->server_log().revision() + 1;
  changes.removed.push_back({chosen, changes.revision});
  site.host->OnServers(changes);
  REQUIRE(RunUntil(site.loop, [&] { return response.ended; }));
  CHECK(response.status == 200);
  for (const auto& server : site.plain) {
    CHECK(server->seen().size() == (server->id() == chosen ? 0 : 1));
  }
}

}  // namespace
}  // namespace filbertrack

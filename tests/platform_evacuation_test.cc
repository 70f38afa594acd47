#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <deque>

#include "platform_site.h"

/// Tests evacuated data centres, cold servers, and requests restricted to
/// regions. They cover the whole request path of several entry hosts, with
/// stand-ins for the platform.

namespace filbertrack {
namespace {

/// Time within which all entry hosts apply a change by the operator, provided
/// that the store responds.
constexpr Duration kPropagationTime = Milliseconds(500);

/// Servers in two data centres, `z` and `y`, each in a region of its own.
struct TwoDataCentres : Site {
  explicit TwoDataCentres(int entry_hosts,
                          int hosts = 0,
                          Json config = MakeConfig(1))
      : Site(SiteOptions{.hosts = hosts,
                         .entry_hosts = entry_hosts,
                         .data_centres = {"z", "y"},
                         .config = std::move(config)}) {}

  bool WaitUntilReady(size_t targets) {
    return RunUntil(loop, [this, targets] {
      return std::all_of(nodes.begin(), nodes.end(), [&](const auto& node) {
        return node->host.IsReady() && node->CountTargets() == targets &&
               node->host.entry_hosts() == nodes.size();
      });
    });
  }

  /// Sends a plain request to each entry host while the server in `z` refuses
  /// all requests. Returns how many of them the server in `y` ran.
  size_t CountSentToY() {
    const size_t before = plain[1]->seen().size();
    plain[0]->SetFull(true);
    for (const auto& node : nodes) {
      SendTo(*node, "/safe/x");
    }
    plain[0]->SetFull(false);
    return plain[1]->seen().size() - before;
  }

  void Wait(Duration time) {
    const TimePoint begin = MonotonicNow();
    CHECK(RunUntil(loop, [=] { return MonotonicNow() - begin >= time; }));
  }

  /// Number of requests run in the data centre so far.
  size_t CountRequestsIn(std::string_view data_centre) const {
    size_t count = 0;
    for (const auto* servers : {&runners, &plain}) {
      for (const auto& server : *servers) {
        count +=
            server->data_centre() == data_centre ? server->seen().size() : 0;
      }
    }
    return count;
  }

  uint64_t CountOrdersIn(std::string_view data_centre) const {
    uint64_t count = 0;
    for (const auto& runner : runners) {
      count += runner->data_centre() == data_centre ? runner->orders() : 0;
    }
    return count;
  }

  CallerResponse SendTo(const EntryNode& node, const std::string& path) {
    ++sent;
    CallerResponse response;
    const auto call = SendRequestTo(node.host.caller_address(), client, path,
                                    "id-" + std::to_string(sent), response);
    CHECK(RunUntil(loop, [&response] { return response.ended; }));
    return response;
  }

  /// Sends `times` requests to each entry host and checks that all succeed.
  void SendToEachHost(int times, const std::string& path) {
    for (int i = 0; i < times; ++i) {
      for (const auto& node : nodes) {
        CHECK(SendTo(*node, path).status == 200);
      }
    }
  }

  /// Sends `count` requests at once, spread over all entry hosts, and waits for
  /// the responses.
  void SendConcurrently(size_t count, const std::string& path) {
    std::deque<CallerResponse> responses;
    std::vector<std::unique_ptr<HttpCall>> calls;
    for (size_t i = 0; i < count; ++i) {
      ++sent;
      responses.emplace_back();
      calls.push_back(
          SendRequestTo(nodes[i % nodes.size()]->host.caller_address(), client,
                        path, "id-" + std::to_string(sent), responses.back()));
    }
    CHECK(RunUntil(loop, [&responses] {
      return std::all_of(
          responses.begin(), responses.end(),
          [](const CallerResponse& response) { return response.ended; });
    }));
  }

  HttpClient client{loop, 64};
  size_t sent = 0;
};

int CodeOf(const CallerResponse& response) {
  return Json::parse(response.body, nullptr, false).value("code", 0);
}

TEST_CASE("evacuation: servers in the data centre get no new requests") {
  // Guards against evacuations that entry hosts do not read. The servers must
  // get requests again once the operator has ended the evacuation.
  TwoDataCentres site(2, 10);
  REQUIRE(site.WaitUntilReady(6));
  site.SendConcurrently(40, "/s/x");
  CHECK(site.CountRequestsIn("y") > 0);
  CHECK(site.CountSentToY() == 2);
  site.store.Put("evacuations", "y", Json::object());
  site.Wait(kPropagationTime);
  const size_t seen_in_y = site.CountRequestsIn("y");
  const uint64_t orders = site.CountOrdersIn("y");
  site.SendConcurrently(40, "/s/x");
  CHECK(site.CountSentToY() == 0);
  CHECK(site.CountRequestsIn("y") == seen_in_y);
  CHECK(site.CountOrdersIn("y") == orders);
  site.store.Remove("evacuations", "y");
  site.Wait(kPropagationTime);
  site.SendConcurrently(40, "/s/x");
  CHECK(site.CountSentToY() == 2);
  CHECK(site.CountRequestsIn("y") > seen_in_y + 2);
}

TEST_CASE("evacuation: a host refused by the store learns of it from peers") {
  // Guards against entry hosts that learn of evacuations from the store alone.
  TwoDataCentres site(1);
  site.AddEntryHost(true);
  REQUIRE(site.WaitUntilReady(2));
  site.store.faults().refuses_second = true;
  site.Wait(kPropagationTime);
  CHECK(site.CountSentToY() == 2);
  site.store.Put("evacuations", "y", Json::object());
  site.Wait(kPropagationTime);
  CHECK(site.CountSentToY() == 0);
}

TEST_CASE("evacuation: new hosts and hosts after a compaction apply it") {
  // Guards against reading evacuations from watch events alone, which do not
  // include changes made before the watch began or removed by a compaction.
  TwoDataCentres site(2);
  REQUIRE(site.WaitUntilReady(2));
  site.store.Put("evacuations", "y", Json::object());
  site.store.Compact();
  site.AddEntryHost();
  REQUIRE(RunUntil(site.loop,
                   [&site] { return site.nodes.back()->host.IsReady(); }));
  site.Wait(kPropagationTime);
  CHECK(site.CountSentToY() == 0);
  site.store.Remove("evacuations", "y");
  site.store.Compact();
  site.Wait(kPropagationTime);
  CHECK(site.CountSentToY() == 3);
}

TEST_CASE("evacuation: a slow store delays it only by its response time") {
  // Guards against an evacuation that needs a further call to the store before
  // it is applied.
  constexpr Duration kDelay = Milliseconds(300);
  TwoDataCentres site(2);
  REQUIRE(site.WaitUntilReady(2));
  site.store.faults().delay = kDelay;
  site.Wait(kPropagationTime);
  site.store.Put("evacuations", "y", Json::object());
  site.Wait(kPropagationTime + 2 * kDelay);
  CHECK(site.CountSentToY() == 0);
}

TEST_CASE(
    "evacuation: requests are refused at once if it covers all data centres") {
  // Guards against requests that wait although no server may run them.
  TwoDataCentres site(2);
  REQUIRE(site.WaitUntilReady(2));
  site.store.Put("evacuations", "y", "entry of another writer");
  site.store.Put("evacuations", "nowhere", Json::object());
  site.Wait(kPropagationTime);
  CHECK(site.CountSentToY() == 0);
  CHECK(site.SendTo(*site.nodes[0], "/safe/x").status == 200);
  site.store.Put("evacuations", "z", nullptr);
  site.Wait(kPropagationTime);
  const TimePoint begin = MonotonicNow();
  const CallerResponse refused = site.SendTo(*site.nodes[0], "/safe/x");
  CHECK(MonotonicNow() - begin < Milliseconds(300));
  CHECK(refused.status == 503);
  CHECK(CodeOf(refused) == 121);
  CHECK(!FindHeader(refused.headers, "Retry-After").empty());
}

/// Requests a second that a cold server of these tests declares to handle, and
/// the maximum in one second; with more than 1.5 times its rate plus 5, the
/// stand-in terminates.
constexpr double kColdRequestsPerSecond = 4;
constexpr size_t kMaxInSecond = 11;

Json ColdConfig() {
  Json config = MakeConfig(1);
  for (Json& service : config["services"]) {
    service["coldStartS"] = 3;
    service["coldPerS"] = kColdRequestsPerSecond;
  }
  return config;
}

/// Sends bursts through all entry hosts while the server in `z` refuses all
/// requests.
void SendBurstsToY(TwoDataCentres& site, int bursts) {
  site.plain[0]->SetFull(true);
  for (int i = 0; i < bursts; ++i) {
    site.SendConcurrently(30, "/safe/x");
    site.Wait(Milliseconds(200));
  }
  site.plain[0]->SetFull(false);
}

TEST_CASE(
    "cold: a burst over all entry hosts does not overload a cold server") {
  // Guards against a cold server that all hosts choose because its slots are
  // free, and that terminates under the load.
  TwoDataCentres site(3, 0, ColdConfig());
  REQUIRE(site.WaitUntilReady(2));
  PlatformRunnerStandin& cold = *site.plain[1];
  const TimePoint since = MonotonicNow();
  cold.SetCold({Seconds(3), kColdRequestsPerSecond, true});
  site.Wait(kPropagationTime);
  SendBurstsToY(site, 5);
  CHECK(!cold.is_dead());
  CHECK(cold.MaxInSecond(since) <= kMaxInSecond);
  CHECK(cold.seen().size() > 0);
  site.Wait(Seconds(2));
  // The server has warmed up; each entry host may send to it again.
  CHECK(site.CountSentToY() == 3);
}

TEST_CASE("cold: servers are assumed to be cold after an evacuation") {
  // Guards against a data centre that gets its full share of the requests at
  // once after an evacuation, although its servers have become cold meanwhile
  // and do not report it.
  TwoDataCentres site(3, 0, ColdConfig());
  REQUIRE(site.WaitUntilReady(2));
  site.store.Put("evacuations", "y", Json::object());
  site.Wait(kPropagationTime);
  PlatformRunnerStandin& cold = *site.plain[1];
  cold.SetCold({Seconds(3), kColdRequestsPerSecond, false});
  const TimePoint since = MonotonicNow();
  site.store.Remove("evacuations", "y");
  SendBurstsToY(site, 5);
  CHECK(!cold.is_dead());
  CHECK(cold.MaxInSecond(since) <= kMaxInSecond);
}

TEST_CASE("regions: a request reaches only servers in its regions") {
  // Guards against a request that runs in a region which its route or its
  // workspace does not allow.
  Json config = MakeConfig(1);
  config["routes"].push_back(MakeRoute("bound", "/bound/", "safe", "plain"));
  config["routes"].back()["allowedRegions"] = {"region-y"};
  config["tenants"].push_back({{"name", "at-home"},
                               {"apiKeys", {"home-key"}},
                               {"allowedRegions", {"region-z"}}});
  TwoDataCentres site(2, 0, config);
  REQUIRE(site.WaitUntilReady(2));
  const size_t seen_in_z = site.CountRequestsIn("z");
  site.SendToEachHost(20, "/bound/x");
  CHECK(site.CountRequestsIn("z") == seen_in_z);
  const size_t seen_in_y = site.CountRequestsIn("y");
  for (int i = 0; i < 20; ++i) {
    CallerResponse response;
    const auto call =
        SendRequestTo(site.host->caller_address(), site.client, "/safe/x",
                      "home-" + std::to_string(i), response, {"home-key", {}});
    CHECK(RunUntil(site.loop, [&response] { return response.ended; }));
    CHECK(response.status == 200);
  }
  CHECK(site.CountRequestsIn("y") == seen_in_y);
  // No region is allowed by both the route and the workspace.
  CallerResponse refused;
  const auto call =
      SendRequestTo(site.host->caller_address(), site.client, "/bound/x",
                    "both", refused, {"home-key", {}});
  CHECK(RunUntil(site.loop, [&refused] { return refused.ended; }));
  CHECK(refused.status == 503);
  CHECK(CodeOf(refused) == 122);
}

}  // namespace
}  // namespace filbertrack

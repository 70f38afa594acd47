#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <deque>

#include "platform_site.h"

/// Data centres that the operator evacuates, servers that are cold, and
/// requests that are bound to regions, through the whole path of several entry
/// hosts against stand-ins of the platform.

namespace filbertrack {
namespace {

/// Within this all entry hosts act on what the operator wrote, while the store
/// answers.
constexpr Duration kPropagationTime = Milliseconds(500);

/// Servers in two data centres, `z` and `y`, in regions of their own.
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

  /// Plain requests, one at each entry host, while the server of `z` refuses
  /// all: those that the one of `y` then ran.
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

  /// Requests that ran in the data centre so far.
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

  /// As many requests to each entry host; all are to be answered.
  void SendToEachHost(int times, const std::string& path) {
    for (int i = 0; i < times; ++i) {
      for (const auto& node : nodes) {
        CHECK(SendTo(*node, path).status == 200);
      }
    }
  }

  /// Requests that all begin at once, over all entry hosts.
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

TEST_CASE("evacuation: nothing new reaches the servers of the data centre") {
  // Guards against an order of the operator that nobody reads.
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

TEST_CASE("evacuation: a host that the store turns away hears it from others") {
  // Guards against a host that learns of evacuations from the store alone.
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

TEST_CASE("evacuation: holds for hosts that start, and after a lost history") {
  // Guards against evacuations that only a watch tells, which misses what was
  // written before it began or while the history was dropped.
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

TEST_CASE("evacuation: a slow store delays it by its own time only") {
  // Guards against an evacuation that waits for a further call of a slow store.
  constexpr Duration kDelay = Milliseconds(300);
  TwoDataCentres site(2);
  REQUIRE(site.WaitUntilReady(2));
  site.store.faults().delay = kDelay;
  site.Wait(kPropagationTime);
  site.store.Put("evacuations", "y", Json::object());
  site.Wait(kPropagationTime + 2 * kDelay);
  CHECK(site.CountSentToY() == 0);
}

TEST_CASE("evacuation: of all data centres, requests are refused at once") {
  // Guards against callers that wait for what cannot be served.
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

/// What a cold server of the sites below bears in a second, and what ends it.
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

/// Bursts over all entry hosts while the server of `z` refuses all.
void SendBurstsToY(TwoDataCentres& site, int bursts) {
  site.plain[0]->SetFull(true);
  for (int i = 0; i < bursts; ++i) {
    site.SendConcurrently(30, "/safe/x");
    site.Wait(Milliseconds(200));
  }
  site.plain[0]->SetFull(false);
}

TEST_CASE("cold: a burst over all entry hosts does not end a cold server") {
  // Guards against a cold server that is chosen by all hosts because its places
  // are free.
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
  // Warm: each entry host may send to it.
  CHECK(site.CountSentToY() == 3);
}

TEST_CASE("cold: servers that were evacuated come back without a word of it") {
  // Guards against a data centre that is taken back with all its share at once,
  // though its servers turned cold meanwhile and nothing tells so.
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

TEST_CASE("regions: a request reaches servers of its regions only") {
  // Guards against a request that is run where its route, or its workspace, may
  // not be served.
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
  // Where both bind and no region is in both, nobody may run it.
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

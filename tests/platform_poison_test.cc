#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "platform_site.h"

/// Tests the handling of poison requests, which terminate every server that
/// starts to run them. They cover the whole request path of several entry
/// hosts, with stand-ins for the platform.

namespace filbertrack {
namespace {

/// Servers that a poison request may terminate before it is blocked, and after
/// that and the stable window, over the whole fleet.
constexpr int kEndsUntilBlocked = 3;
constexpr int kMaxEndsAfter = 3;
/// Time that the platform allows until all entry hosts block the request.
constexpr Duration kStableWindow = Seconds(3);
/// Copies of the request sent after the stable window.
constexpr int kCopiesAfter = 12;
constexpr std::string_view kPoison = "ends its server";

void RunFor(EventLoop& loop, Duration time) {
  bool over = false;
  const auto timer = loop.After(time, [&over] { over = true; });
  RunUntil(loop, [&over] { return over; });
}

/// A fleet whose servers terminate on kPoison, and a workspace with two keys.
struct PoisonSite : Site {
  PoisonSite(int hosts, int entry_hosts) : Site(hosts, entry_hosts) {
    Json config = MakeConfig(2);
    config["tenants"][0]["apiKeys"] = {"key", "other"};
    store.Put("config", "main", config);
    for (const auto& runner : runners) {
      runner->SetCrashTrigger(std::string(kPoison));
    }
    for (const auto& server : plain) {
      server->SetCrashTrigger(std::string(kPoison));
    }
  }

  bool WaitUntilReady(size_t targets) {
    return RunUntil(loop, [this, targets] {
      return std::all_of(nodes.begin(), nodes.end(),
                         [targets](const auto& node) {
                           return node->host.IsReady() &&
                                  node->host.catalog()->version() == 2 &&
                                  node->CountTargets() >= targets;
                         });
    });
  }

  int CountTerminated() const {
    const auto is_dead = [](const auto& runner) { return runner->is_dead(); };
    return static_cast<int>(
        std::count_if(runners.begin(), runners.end(), is_dead) +
        std::count_if(plain.begin(), plain.end(), is_dead));
  }

  /// Sends a copy of the poison request with a new id to the next entry host,
  /// and every third one with the second key of the workspace.
  CallerResponse SendCopy(const std::string& path) {
    ++copies;
    const EntryNode& node = *nodes[copies % nodes.size()];
    CallerResponse response;
    const auto call = SendRequestTo(
        node.host.caller_address(), client, path,
        "copy-" + std::to_string(copies), response,
        {copies % 3 == 0 ? "other" : "key", std::string(kPoison)});
    CHECK(RunUntil(loop, [&response] { return response.ended; }));
    return response;
  }

  HttpClient client{loop, 4};
  size_t copies = 0;
};

TEST_CASE("a poison request is blocked at every entry host") {
  // Guards against evidence that entry hosts do not share. A caller repeats a
  // poison request with a new id at a different entry host each time, so that
  // no host observes three terminations by itself. In an incident, the ninth
  // copy was handled like the first, and 24 servers terminated. A host that
  // joins later must block the request too.
  PoisonSite site(28, 3);
  REQUIRE(site.WaitUntilReady(14));
  while (site.CountTerminated() < kEndsUntilBlocked) {
    REQUIRE(site.copies < 10);
    site.SendCopy("/s/poison");
  }
  RunFor(site.loop, kStableWindow);
  site.AddEntryHost();
  REQUIRE(site.WaitUntilReady(4));
  const int ended = site.CountTerminated();
  for (int i = 0; i < kCopiesAfter; ++i) {
    site.SendCopy("/s/poison");
    REQUIRE(site.CountTerminated() - ended <= kMaxEndsAfter);
  }
}

/// Sends copies until every entry host blocks the request.
void BlockPoisonRequest(PoisonSite& site) {
  const auto is_known = [&site] {
    return std::all_of(site.nodes.begin(), site.nodes.end(),
                       [](const auto& node) {
                         return !node->host.poison().ActiveBlocks().empty();
                       });
  };
  while (site.CountTerminated() < kEndsUntilBlocked) {
    REQUIRE(site.copies < 10);
    site.SendCopy("/s/poison");
  }
  REQUIRE(RunUntil(site.loop, is_known));
}

TEST_CASE("the caller of a blocked poison request is told the reason at once") {
  // The response states that the request was not run and why. It has no
  // Retry-After, because a retry could terminate more servers.
  PoisonSite site(20, 2);
  REQUIRE(site.WaitUntilReady(10));
  BlockPoisonRequest(site);
  const CallerResponse response = site.SendCopy("/s/poison");
  CHECK(response.status == 503);
  CHECK(FindHeader(response.headers, "Retry-After").empty());
  const Json body = Json::parse(response.body);
  CHECK(body["name"] == "ends-servers");
  CHECK(body["outcome"] == "not-run");
  for (const auto& runner : site.runners) {
    for (const SeenRequest& seen : runner->seen()) {
      CHECK(seen.id != "copy-" + std::to_string(site.copies));
    }
  }
}

TEST_CASE("a block outlasts the loss of all entry hosts") {
  // All entry hosts lose power at once, and their gossip state is lost. The
  // request is sent again to hosts that know of it only from the record in the
  // store, which they read at start-up.
  PoisonSite site(20, 2);
  REQUIRE(site.WaitUntilReady(10));
  BlockPoisonRequest(site);
  const auto is_written = [&site] {
    return !site.store.Get("filbertrack-records", "poison-requests").is_null();
  };
  REQUIRE(RunUntil(site.loop, is_written));
  site.nodes.clear();
  EntryNode& new_host = site.AddEntryHost();
  const auto has_read = [&new_host] {
    return !new_host.host.poison().ActiveBlocks().empty();
  };
  REQUIRE(RunUntil(site.loop, has_read));
  const int ended = site.CountTerminated();
  REQUIRE(site.WaitUntilReady(1));
  for (int i = 0; i < kCopiesAfter; ++i) {
    CHECK(site.SendCopy("/s/poison").status == 503);
  }
  CHECK(site.CountTerminated() == ended);
}

TEST_CASE("requests that run beside a poison request are served") {
  // Guards against blocking requests that merely ran on the servers that the
  // poison request terminated. Streams of the same workspace break there
  // repeatedly; resumed or sent again, they must get their complete responses,
  // also while copies of the poison request still arrive.
  PoisonSite site(28, 2);
  for (const auto& runner : site.runners) {
    runner->SetEvents(20);
  }
  REQUIRE(site.WaitUntilReady(14));
  for (int round = 0; round < 8; ++round) {
    std::vector<std::unique_ptr<CallerResponse>> responses;
    std::vector<std::unique_ptr<HttpCall>> calls;
    for (int i = 0; i < 16; ++i) {
      responses.push_back(std::make_unique<CallerResponse>());
      calls.push_back(SendRequestTo(
          site.nodes[static_cast<size_t>(i) % 2]->host.caller_address(),
          site.client, "/s/poison",
          "beside-" + std::to_string(round) + "-" + std::to_string(i),
          *responses.back(), {"key", "innocent " + std::to_string(i)}));
    }
    site.SendCopy("/s/poison");
    REQUIRE(RunUntil(site.loop, [&responses] {
      return std::all_of(responses.begin(), responses.end(),
                         [](const auto& response) { return response->ended; });
    }));
  }
  RunFor(site.loop, kStableWindow);
  const int ended = site.CountTerminated();
  REQUIRE(site.WaitUntilReady(4));
  for (int i = 0; i < 16; ++i) {
    site.SendCopy("/s/poison");
    CallerResponse response;
    const auto call =
        SendRequestTo(site.host->caller_address(), site.client, "/s/poison",
                      "later-" + std::to_string(i), response,
                      {"key", "innocent " + std::to_string(i)});
    REQUIRE(RunUntil(site.loop, [&response] { return response.ended; }));
    CHECK(response.status == 200);
    CHECK(response.body == ExpectedStream(20));
    REQUIRE(site.CountTerminated() - ended <= kMaxEndsAfter);
  }
}

}  // namespace
}  // namespace filbertrack

#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <array>
#include <deque>
#include <map>

#include "platform_site.h"
#include "soak_proxy.h"

/// Entry hosts whose links to the backend servers are cut, while callers, the
/// store and the other entry hosts still reach them.
///
/// On a day of Donatia such hosts served none of 365 first attempts and the
/// others 1,471 of 1,476: each request waited for connections that could not be
/// established, beside entry hosts that reached every server.

namespace filbertrack {
namespace {

using soak::LinkCut;

constexpr int kEvents = 5;

/// Entry hosts that connect to each backend server through a proxy of it.
struct CutSite {
  explicit CutSite(int entry_hosts, int stream_attempts = 2)
      : site(Options(*this, entry_hosts, stream_attempts)) {
    REQUIRE(RunUntil(site.loop, [this] {
      return std::all_of(
          site.nodes.begin(), site.nodes.end(), [](const auto& node) {
            return node->host.IsReady() && node->CountTargets() >= 4;
          });
    }));
  }

  ~CutSite() {
    // Their connections are on the site's loop.
    calls.clear();
    proxies.clear();
  }
  CutSite(const CutSite&) = delete;
  CutSite& operator=(const CutSite&) = delete;

  static SiteOptions Options(CutSite& self,
                             int entry_hosts,
                             int stream_attempts) {
    SiteOptions options;
    options.config["routes"][0]["maxAttempts"] = stream_attempts;
    options.hosts = 4;
    options.entry_hosts = entry_hosts;
    options.published = [&self](const Address& listening) {
      self.proxies.push_back(
          std::make_unique<soak::Proxy>(self.proxy_loop(), listening));
      return self.proxies.back()->address();
    };
    return options;
  }

  // The site's loop is constructed before its backend servers.
  EventLoop& proxy_loop() { return site.loop; }

  EntryHost& host(size_t index) { return site.nodes[index]->host; }

  void Cut(size_t index, const LinkCut& cut = {}) {
    for (const auto& proxy : proxies) {
      proxy->Cut(Source(index), cut);
    }
  }
  /// Cuts the host off from the first `count` of the two plain servers only.
  void CutPlain(size_t index, size_t count) {
    // Their proxies were made last.
    for (size_t i = 0; i < count; ++i) {
      proxies[proxies.size() - 2 + i]->Cut(Source(index), {});
    }
  }
  void Heal(size_t index) {
    for (const auto& proxy : proxies) {
      proxy->Heal(Source(index));
    }
  }
  std::string Source(size_t index) const {
    return site.nodes[index]->settings.Text("servers", "source");
  }

  /// Sends a request of each kind in turn to the host.
  void Send(size_t index) {
    constexpr std::array<const char*, 3> kPaths = {"/s/a", "/safe/a",
                                                   "/once/a"};
    const char* path = kPaths[responses.size() % kPaths.size()];
    responses.emplace_back();
    calls.push_back(SendRequestTo(host(index).caller_address(), client, path,
                                  "q" + std::to_string(responses.size()),
                                  responses.back()));
  }

  /// Sends requests to the host until `done` holds.
  template <typename Done>
  bool SendUntil(size_t index, Done done) {
    const auto timer =
        site.loop.Every(Milliseconds(20), [this, index] { Send(index); });
    return RunUntil(site.loop, done);
  }

  /// Sends `count` requests, one every 10 ms, and waits for the responses.
  /// Returns how many were answered by a backend server.
  size_t CountServed(size_t index, size_t count) {
    const size_t first = responses.size();
    {
      const auto timer = site.loop.Every(Milliseconds(10), [&] {
        if (responses.size() < first + count) {
          Send(index);
        }
      });
      REQUIRE(RunUntil(site.loop,
                       [&] { return responses.size() == first + count; }));
    }
    REQUIRE(RunUntil(site.loop, [this] {
      return std::all_of(responses.begin(), responses.end(),
                         [](const CallerResponse& row) { return row.ended; });
    }));
    return static_cast<size_t>(std::count_if(
        responses.begin() + static_cast<std::ptrdiff_t>(first), responses.end(),
        [](const CallerResponse& row) {
          const bool complete = row.body == ExpectedStream(kEvents) ||
                                row.body.starts_with("answer of p");
          return !row.failed && row.status == 200 && complete &&
                 !FindHeader(row.headers, "X-Runner-Seal").empty();
        }));
  }

  /// Checks that no request that may run once ran twice, and that none that
  /// was reported as not run did.
  void CheckRuns() {
    std::map<std::string, int> runs;
    for (const auto& server : site.plain) {
      for (const SeenRequest& seen : server->seen()) {
        ++runs[seen.id];
      }
    }
    for (size_t i = 0; i < responses.size(); ++i) {
      const int count = runs["q" + std::to_string(i + 1)];
      const bool once = i % 3 == 2;
      CHECK((!once || count <= 1));
      CHECK((!once || responses[i].status != 503 || count == 0));
    }
  }

  std::vector<std::unique_ptr<soak::Proxy>> proxies;
  Site site;
  HttpClient client{site.loop, 4};
  /// Not moved when requests are added.
  std::deque<CallerResponse> responses;
  std::vector<std::unique_ptr<HttpCall>> calls;
};

TEST_CASE("cut off: callers of a host that reaches no server are served") {
  // Guards against requests that fail at one entry host while the others reach
  // all servers.
  CutSite cut(3);
  REQUIRE(cut.CountServed(0, 30) == 30);
  cut.Cut(0);
  REQUIRE(cut.SendUntil(0, [&] { return !cut.host(0).reach().reachable(); }));
  CHECK(cut.CountServed(0, 60) >= 57);
  cut.CheckRuns();
}

TEST_CASE("cut off: the one host that is left serves the callers of all") {
  // Guards against cut-off hosts that send requests to each other.
  CutSite cut(4);
  REQUIRE(cut.CountServed(0, 30) == 30);
  for (size_t i = 0; i < 3; ++i) {
    cut.Cut(i);
  }
  for (size_t i = 0; i < 3; ++i) {
    REQUIRE(cut.SendUntil(i, [&] { return !cut.host(i).reach().reachable(); }));
  }
  for (size_t i = 0; i < 3; ++i) {
    CHECK(cut.CountServed(i, 40) >= 38);
  }
  cut.CheckRuns();
}

TEST_CASE("cut off: open connections that are reset are found at once") {
  CutSite cut(3);
  REQUIRE(cut.CountServed(0, 30) == 30);
  cut.Cut(0, {.drops_new = true, .drops_open = false, .resets_open = true});
  REQUIRE(cut.SendUntil(0, [&] { return !cut.host(0).reach().reachable(); }));
  CHECK(cut.CountServed(0, 60) >= 57);
  cut.CheckRuns();
}

TEST_CASE("cut off: a host whose open connections still work is served too") {
  // Guards against streams that are broken off although they go on, and against
  // requests that need a new connection and get none.
  CutSite cut(3);
  REQUIRE(cut.CountServed(0, 30) == 30);
  cut.Cut(0, {.drops_new = true, .drops_open = false});
  REQUIRE(cut.SendUntil(0, [&] { return !cut.host(0).reach().reachable(); }));
  CHECK(cut.CountServed(0, 60) >= 57);
  cut.CheckRuns();
}

TEST_CASE("cut off: a host that reaches no server of one service is served") {
  // Guards against a service that fails at one entry host because most servers,
  // those of other services, are reachable.
  CutSite cut(3);
  REQUIRE(cut.CountServed(0, 30) == 30);
  cut.CutPlain(0, 2);
  REQUIRE(cut.SendUntil(
      0, [&] { return cut.host(0).unreachable_servers().size() == 2; }));
  CHECK(cut.host(0).reach().reachable());
  CHECK(cut.CountServed(0, 60) >= 57);
  cut.CheckRuns();
}

TEST_CASE("cut off: a server that only this host does not reach is left out") {
  CutSite cut(3);
  REQUIRE(cut.CountServed(0, 30) == 30);
  cut.CutPlain(0, 1);
  REQUIRE(cut.SendUntil(
      0, [&] { return cut.host(0).unreachable_servers().size() == 1; }));
  CHECK(cut.CountServed(0, 60) >= 57);
  cut.CheckRuns();
}

TEST_CASE("cut off: direct work begins again after each of several cuts") {
  CutSite cut(3);
  REQUIRE(cut.CountServed(0, 30) == 30);
  for (int i = 0; i < 3; ++i) {
    cut.Cut(0);
    REQUIRE(cut.SendUntil(0, [&] { return !cut.host(0).reach().reachable(); }));
    CHECK(cut.CountServed(0, 20) >= 19);
    cut.Heal(0);
    REQUIRE(RunUntil(cut.site.loop,
                     [&] { return cut.host(0).reach().reachable(); }));
    CHECK(cut.CountServed(0, 20) >= 19);
  }
  cut.CheckRuns();
}

/// A site whose first host is cut off and knows it, with one stream forwarded.
struct ForwardedStream {
  explicit ForwardedStream(int entry_hosts, int events) : cut(entry_hosts) {
    REQUIRE(cut.CountServed(0, 30) == 30);
    cut.Cut(0);
    REQUIRE(cut.SendUntil(0, [&] { return !cut.host(0).reach().reachable(); }));
    for (const auto& runner : cut.site.runners) {
      runner->SetEvents(events);
    }
    call = SendRequestTo(cut.host(0).caller_address(), cut.client, "/s/a",
                         "forwarded", response);
    REQUIRE(RunUntil(cut.site.loop, [&] { return !response.body.empty(); }));
  }

  /// Runs of the stream, by all backend servers.
  std::vector<SeenRequest> Runs() const {
    std::vector<SeenRequest> runs;
    for (const auto& runner : cut.site.runners) {
      for (const SeenRequest& seen : runner->seen()) {
        if (seen.id == "forwarded") {
          runs.push_back(seen);
        }
      }
    }
    return runs;
  }

  CutSite cut;
  CallerResponse response;
  std::unique_ptr<HttpCall> call;
};

TEST_CASE("cut off: a caller that leaves ends its run over both hosts") {
  // Guards against servers that go on working for nobody.
  ForwardedStream stream(3, 2000);
  REQUIRE(stream.Runs().size() == 1);
  CHECK_FALSE(stream.Runs().front().ended);
  stream.call.reset();
  CHECK(RunUntil(stream.cut.site.loop,
                 [&] { return stream.Runs().front().ended; }));
}

TEST_CASE("cut off: a forwarded stream whose second host ends is broken off") {
  // Guards against a stream that looks complete or hangs, and against more runs
  // than the route allows: how many the second host made is not known.
  ForwardedStream stream(2, 200);
  stream.cut.site.nodes.pop_back();
  REQUIRE(
      RunUntil(stream.cut.site.loop, [&] { return stream.response.ended; }));
  CHECK(stream.response.failed);
  CHECK(ExpectedStream(200).starts_with(stream.response.body));
  CHECK(stream.Runs().size() == 1);
}

TEST_CASE(
    "cut off: a forwarded stream whose second host ends goes on at a third") {
  // Guards against callers that lose an answer which a third host could have
  // continued, and against pieces that come twice.
  ForwardedStream stream(4, 200);
  // One of the three hosts that are left took it.
  int victim = 1;
  SUBCASE("first") {}
  SUBCASE("second") {
    victim = 2;
  }
  SUBCASE("third") {
    victim = 3;
  }
  stream.cut.site.nodes.erase(stream.cut.site.nodes.begin() + victim);
  REQUIRE(
      RunUntil(stream.cut.site.loop, [&] { return stream.response.ended; }));
  CHECK_FALSE(stream.response.failed);
  CHECK(stream.response.body == ExpectedStream(200));
  CHECK(stream.Runs().size() <= 2);
}

TEST_CASE("cut off: a stream is taken up at its position over another host") {
  CutSite cut(3);
  REQUIRE(cut.CountServed(0, 30) == 30);
  for (const auto& runner : cut.site.runners) {
    runner->SetEvents(300);
  }
  CallerResponse response;
  const auto call = SendRequestTo(cut.host(0).caller_address(), cut.client,
                                  "/s/a", "moved", response);
  REQUIRE(RunUntil(cut.site.loop, [&] { return !response.body.empty(); }));
  cut.Cut(0);
  REQUIRE(RunUntil(cut.site.loop, [&] { return response.ended; }));
  CHECK_FALSE(response.failed);
  CHECK(response.body == ExpectedStream(300));
}

TEST_CASE("cut off: a body of the largest size reaches the server unchanged") {
  CutSite cut(3);
  REQUIRE(cut.CountServed(0, 30) == 30);
  cut.Cut(0);
  REQUIRE(cut.SendUntil(0, [&] { return !cut.host(0).reach().reachable(); }));
  CallerResponse response;
  RequestOptions options;
  options.body = std::string(99000, 'x');
  const auto call = SendRequestTo(cut.host(0).caller_address(), cut.client,
                                  "/once/a", "long", response, options);
  REQUIRE(RunUntil(cut.site.loop, [&] { return response.ended; }));
  CHECK(response.status == 200);
}

TEST_CASE(
    "cut off: keys are checked by the first host, and the server gets the "
    "workspace and no key") {
  CutSite cut(3);
  REQUIRE(cut.CountServed(0, 30) == 30);
  cut.Cut(0);
  REQUIRE(cut.SendUntil(0, [&] { return !cut.host(0).reach().reachable(); }));
  CallerResponse unknown;
  RequestOptions options;
  options.key = "another";
  const auto refused = SendRequestTo(cut.host(0).caller_address(), cut.client,
                                     "/safe/a", "k1", unknown, options);
  CallerResponse known;
  const auto served = SendRequestTo(cut.host(0).caller_address(), cut.client,
                                    "/safe/a", "k2", known);
  REQUIRE(
      RunUntil(cut.site.loop, [&] { return unknown.ended && known.ended; }));
  CHECK(unknown.status == 401);
  CHECK(known.status == 200);
  for (const auto& server : cut.site.plain) {
    for (const SeenRequest& seen : server->seen()) {
      CHECK(seen.id != "k1");
      CHECK(seen.workspace == "w");
      CHECK(seen.authorization.empty());
    }
  }
}

TEST_CASE(
    "cut off: the lease on the groups moves to a host that reaches the "
    "servers") {
  // Guards against groups that nobody repairs while the holder is cut off.
  CutSite cut(3);
  const auto holder = [&cut] {
    for (size_t i = 0; i < cut.site.nodes.size(); ++i) {
      if (cut.site.nodes[i]->control.holds_lease()) {
        return i;
      }
    }
    return cut.site.nodes.size();
  };
  const size_t first = holder();
  REQUIRE(first < cut.site.nodes.size());
  cut.Cut(first);
  REQUIRE(cut.SendUntil(first, [&] {
    return holder() != first && holder() < cut.site.nodes.size();
  }));
  CHECK_FALSE(cut.host(first).reach().reachable());
}

TEST_CASE(
    "cut off: requests are refused as not run while all hosts are cut "
    "off") {
  // Guards against requests that wait for connections nobody can open, and
  // against hosts that forward to each other.
  CutSite cut(2);
  REQUIRE(cut.CountServed(0, 30) == 30);
  for (size_t i = 0; i < 2; ++i) {
    cut.Cut(i);
  }
  for (size_t i = 0; i < 2; ++i) {
    REQUIRE(cut.SendUntil(i, [&] { return !cut.host(i).reach().reachable(); }));
  }
  // Reports of the other host are older than its check.
  REQUIRE(RunUntil(cut.site.loop, [&, until = MonotonicNow() + Seconds(1)] {
    return MonotonicNow() >= until;
  }));
  CHECK(cut.CountServed(0, 30) == 0);
  for (size_t i = cut.responses.size() - 30; i < cut.responses.size(); ++i) {
    CHECK(cut.responses[i].status == 503);
    CHECK_FALSE(FindHeader(cut.responses[i].headers, "Retry-After").empty());
  }
  cut.CheckRuns();
}

TEST_CASE(
    "cut off: a target that was found for a fail-over is not used later") {
  // Guards against requests that reach a server seconds after it left: the
  // target was kept while the request was forwarded to another host.
  CutSite cut(2, 6);
  REQUIRE(cut.CountServed(0, 30) == 30);
  for (const auto& runner : cut.site.runners) {
    runner->SetEvents(3000);
    runner->SetStreamStall(100, Seconds(20));
  }
  CallerResponse response;
  const auto call = SendRequestTo(cut.host(0).caller_address(), cut.client,
                                  "/s/a", "kept", response);
  REQUIRE(RunUntil(cut.site.loop, [&] { return !response.body.empty(); }));
  cut.Cut(0, {.drops_new = true, .drops_open = false});
  REQUIRE(cut.SendUntil(0, [&] { return !cut.host(0).reach().reachable(); }));
  // Sends of the request to the server, run or refused.
  const auto sends = [](const PlatformRunnerStandin& runner) {
    const auto is_kept = [](const auto& sent) { return sent.id == "kept"; };
    return std::count_if(runner.seen().begin(), runner.seen().end(), is_kept) +
           std::count_if(runner.refusals().begin(), runner.refusals().end(),
                         is_kept);
  };
  PlatformRunnerStandin* first = nullptr;
  PlatformRunnerStandin* other = nullptr;
  for (const auto& runner : cut.site.runners) {
    if (runner->is_open()) {
      (sends(*runner) > 0 ? first : other) = runner.get();
    }
  }
  REQUIRE(first != nullptr);
  REQUIRE(other != nullptr);
  // The stream goes silent there and goes on over the other host.
  REQUIRE(RunUntil(cut.site.loop,
                   [&] { return sends(*first) + sends(*other) == 2; }));
  const auto before = sends(*other);
  other->Register("draining");
  REQUIRE(RunUntil(cut.site.loop, [&] {
    const BackendServer* known = cut.host(0).directory().Find(other->id());
    return known == nullptr || known->draining;
  }));
  cut.Heal(0);
  REQUIRE(
      RunUntil(cut.site.loop, [&] { return cut.host(0).reach().reachable(); }));
  cut.site.nodes.pop_back();
  REQUIRE(RunUntil(cut.site.loop, [&] { return response.ended; }));
  CHECK(sends(*other) == before);
}

}  // namespace
}  // namespace filbertrack

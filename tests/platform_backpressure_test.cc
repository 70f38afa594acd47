#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <deque>

#include "platform_site.h"

/// Tests that entry hosts obey the load signals of backend servers: rate
/// limits, Retry-After and announced shutdowns. They cover the whole request
/// path of one or several entry hosts, with stand-ins for the platform.

namespace filbertrack {
namespace {

/// Maximum number of requests that the platform tolerates in any four seconds
/// under a limit of `per_second`.
constexpr Duration kLimitWindow = Seconds(4);
size_t MaxInWindow(double per_second) {
  return static_cast<size_t>(1.5 * per_second * ToSeconds(kLimitWindow) + 5);
}

/// Entry hosts that know each other, and two plain servers.
struct PressureSite : Site {
  explicit PressureSite(int entry_hosts, int hosts = 0)
      : Site(hosts, entry_hosts) {}

  bool WaitUntilReady(size_t groups = 0) {
    return RunUntil(loop, [this, groups] {
      return std::all_of(nodes.begin(), nodes.end(), [&](const auto& node) {
        return node->host.IsReady() &&
               node->CountTargets() == plain.size() + groups &&
               node->host.entry_hosts() == nodes.size();
      });
    });
  }

  /// Sends an idempotent request to the next entry host, round robin.
  CallerResponse SendNext() {
    ++sent;
    const EntryNode& node = *nodes[sent % nodes.size()];
    CallerResponse response;
    const auto call =
        SendRequestTo(node.host.caller_address(), client, "/safe/x",
                      "id-" + std::to_string(sent), response);
    CHECK(RunUntil(loop, [&response] { return response.ended; }));
    return response;
  }

  /// Sends requests until each entry host has received a response, and with it
  /// the signals, of each server.
  void SendUntilAnnounced() {
    const size_t enough = plain.size() * nodes.size() * 4;
    for (size_t i = 0; i < enough; ++i) {
      SendNext();
    }
  }

  HttpClient client{loop, 4};
  size_t sent = 0;
};

/// Returns the maximum number of requests that arrived in any four seconds,
/// ignoring those before index `first`.
size_t MaxArrivals(const PlatformRunnerStandin& server, size_t first) {
  const std::vector<SeenRequest>& seen = server.seen();
  size_t max_count = 0;
  size_t window_begin = first;
  for (size_t i = first; i < seen.size(); ++i) {
    while (seen[i].arrived - seen[window_begin].arrived > kLimitWindow) {
      ++window_begin;
    }
    max_count = std::max(max_count, i - window_begin + 1);
  }
  return max_count;
}

TEST_CASE("limit: all entry hosts together respect a server's rate limit") {
  // Guards against a limit that entry hosts do not read, or that each applies
  // to its own requests only. Two heads that announced 1.7 requests a second
  // received 4.7, up to 19 in four seconds, from six entry hosts, none of which
  // sent more than 3 a second. Without the limit, the servers of this test get
  // 40 and 20 of the 60 requests.
  constexpr double kLimit = 0.5;
  PressureSite site(3);
  REQUIRE(site.WaitUntilReady());
  for (const auto& server : site.plain) {
    server->SetLimit(kLimit);
  }
  site.SendUntilAnnounced();
  std::vector<size_t> seen_before;
  for (const auto& server : site.plain) {
    seen_before.push_back(server->seen().size());
  }
  for (int i = 0; i < 60; ++i) {
    site.SendNext();
  }
  for (size_t i = 0; i < site.plain.size(); ++i) {
    CHECK(MaxArrivals(*site.plain[i], seen_before[i]) <= MaxInWindow(kLimit));
  }
}

/// Requests that the platform tolerates from an entry host to a server that
/// asked it to back off, between the grace time after the refusal and the end
/// of the backoff.
constexpr size_t kMaxWhileResting = 2;
constexpr Duration kBackoffGrace = Milliseconds(500);

/// Starts a stream at regular intervals, regardless of the state of earlier
/// ones.
class StreamCallers {
 public:
  StreamCallers(Site& site, Duration interval)
      : m_site(site), m_timer(site.loop.Every(interval, [this] { Begin(); })) {}

  void Stop() { m_timer.reset(); }
  bool AllServed() const {
    return std::all_of(m_responses.begin(), m_responses.end(),
                       [](const CallerResponse& response) {
                         return response.ended && !response.failed &&
                                response.status == 200;
                       });
  }
  size_t count() const { return m_responses.size(); }

 private:
  void Begin() {
    m_responses.emplace_back();
    m_calls.push_back(SendRequestTo(
        m_site.host->caller_address(), m_client, "/s/x",
        "s-" + std::to_string(m_responses.size()), m_responses.back()));
  }

  Site& m_site;
  HttpClient m_client{m_site.loop, 32};
  std::deque<CallerResponse> m_responses;
  std::vector<std::unique_ptr<HttpCall>> m_calls;
  std::unique_ptr<Timer> m_timer;
};

TEST_CASE("rest: a server gets no requests until its Retry-After has passed") {
  // Guards against a backoff that ignores Retry-After. An entry host skipped a
  // server that refused for 0.3 s, doubled with each refusal in a row, and
  // reset this when a stream that had begun there earlier completed. Two heads
  // that had asked for 3 s got requests again after 0.5, 0.9, 0.7 and 0.5 s.
  // The head of this test got three or four requests after the grace time, two
  // of them just after such a stream.
  constexpr Duration kBackoff = Seconds(3);
  constexpr size_t kGroups = 6;
  PressureSite site(1, 13);
  for (const auto& runner : site.runners) {
    runner->SetEvents(120);
  }
  REQUIRE(site.WaitUntilReady(kGroups));
  StreamCallers callers(site, Milliseconds(100));
  REQUIRE(RunUntil(site.loop, [&callers] { return callers.count() == 15; }));
  const auto refusing =
      std::find_if(site.runners.begin(), site.runners.end(),
                   [](const auto& runner) { return !runner->seen().empty(); });
  REQUIRE(refusing != site.runners.end());
  (*refusing)->SetFull(true);
  (*refusing)->SetRetryAfter(kBackoff);
  const std::vector<RefusedRequest>& refusals = (*refusing)->refusals();
  REQUIRE(RunUntil(site.loop, [&] { return !refusals.empty(); }));
  const TimePoint first_refusal = refusals.front().at;
  REQUIRE(RunUntil(site.loop,
                   [&] { return MonotonicNow() - first_refusal > kBackoff; }));
  const auto late = std::count_if(
      refusals.begin(), refusals.end(), [&](const RefusedRequest& refused) {
        return refused.at - first_refusal > kBackoffGrace &&
               refused.at - first_refusal < kBackoff;
      });
  CHECK(static_cast<size_t>(late) <= kMaxWhileResting);
  callers.Stop();
  CHECK(RunUntil(site.loop, [&callers] { return callers.AllServed(); }));
}

TEST_CASE(
    "leaving: a server that announces its shutdown gets no more requests") {
  // Guards against entry hosts that learn of a shutdown from the store alone.
  // Some servers announce it only in their responses, and the store learns of
  // it late or never. The server of this test got all 60 further requests,
  // whose responses could have been cut off.
  PressureSite site(1);
  REQUIRE(site.WaitUntilReady());
  PlatformRunnerStandin& leaving_server = *site.plain[0];
  leaving_server.SetLeaving(true);
  while (leaving_server.seen().empty()) {
    REQUIRE(site.sent < 100);
    site.SendNext();
  }
  const size_t seen_before = leaving_server.seen().size();
  for (int i = 0; i < 60; ++i) {
    CHECK(site.SendNext().status == 200);
  }
  CHECK(leaving_server.seen().size() == seen_before);
}

}  // namespace
}  // namespace filbertrack

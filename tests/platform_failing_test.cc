#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "platform_site.h"
#include "raw_server.h"

/// Servers that fail each request at once, beside sound ones that take 60 ms.

namespace filbertrack {
namespace {

constexpr int kServers = 8;
constexpr int kSlots = 6;

struct FailingSite : Site {
  /// `faulty` servers go on with the bytes of `faulty_reply` after the fields
  /// that name the request.
  FailingSite(int faulty, RawReply faulty_reply)
      : Site(0), failing(std::move(faulty_reply)) {
    for (const auto& each : plain) {
      each->Die();
    }
    for (int i = 0; i < kServers; ++i) {
      servers.push_back(std::make_unique<RawServer>(
          loop, [this, fails = i < faulty](std::string_view request) {
            return Answer(request, fails);
          }));
      servers.back()->Register(store, "f" + std::to_string(i), "plain", kSlots);
    }
    REQUIRE(RunUntil(loop, [this] {
      return host->IsReady() && CountTargets() == kServers;
    }));
  }

  RawReply Answer(std::string_view request, bool fails) {
    const std::string begin = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " +
                              RawHeader(request, "X-Attempt-Id") +
                              "\r\nX-Runner-Seal: s\r\n";
    if (!request.starts_with("POST ")) {
      return {begin + "Content-Length: 0\r\n\r\n", KeepOpen{}};
    }
    if (fails) {
      ++failures;
      return {begin + failing.bytes, failing.end};
    }
    return {begin + "Content-Length: 2\r\n\r\nok", KeepOpen{},
            Milliseconds(60)};
  }

  RawReply failing;
  std::vector<std::unique_ptr<RawServer>> servers;
  int failures = 0;
  HttpClient client{loop, 64};
};

/// A caller that sends its next request once the last one has ended.
struct Caller {
  std::unique_ptr<HttpCall> call;
  CallerResponse response;
  int number = 0;
};

/// Sends requests of several callers for some seconds while most servers reply
/// so, and checks that nearly all are served.
void CheckServed(const RawReply& faulty_reply) {
  constexpr int kFaulty = 6;
  constexpr int kCallers = 12;
  FailingSite site(kFaulty, faulty_reply);
  std::vector<Caller> callers(kCallers);
  const TimePoint start = MonotonicNow();
  const TimePoint counted = start + Seconds(1);
  const TimePoint end = start + Seconds(4);
  int served = 0;
  int sent = 0;
  while (MonotonicNow() < end) {
    for (size_t i = 0; i < callers.size(); ++i) {
      Caller& caller = callers[i];
      if (caller.call != nullptr && !caller.response.ended) {
        continue;
      }
      if (caller.call != nullptr && MonotonicNow() >= counted) {
        ++sent;
        served += caller.response.status == 200 ? 1 : 0;
      }
      caller.call.reset();
      caller.response = {};
      caller.call =
          SendRequest(site, site.client, "/safe/x",
                      std::to_string(i) + "-" + std::to_string(caller.number++),
                      caller.response);
    }
    event_base_loop(site.loop.base(), EVLOOP_ONCE);
  }
  CAPTURE(site.failures);
  CHECK(sent > 0);
  CHECK(served >= 0.95 * sent);
}

TEST_CASE("callers are served by the sound servers while most others fail") {
  // Guards against a service that answers nothing, since a server that fails at
  // once has the fewest requests and is chosen before all sound ones.
  CheckServed({"", CloseOrderly{}});
}

TEST_CASE("callers are served while most servers send malformed heads") {
  // Guards against malformed heads that do not count as failures of a server.
  CheckServed(
      {"Transfer-Encoding: chunkd\r\n\r\n2\r\nok\r\n0\r\n\r\n", KeepOpen{}});
}

}  // namespace
}  // namespace filbertrack

#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "platform_site.h"

namespace filbertrack {
namespace {

TEST_CASE("a registration with the address of an entry host gets no requests") {
  // Guards against callers that are told that their key is unknown, since their
  // requests came back to an entry host without it.
  constexpr size_t kCalls = 60;
  Site site(0);
  site.store.Put("servers", "own",
                 {{"service", "plain"},
                  {"address", site.host->caller_address().ToString()},
                  {"zone", "z"},
                  {"version", "v1"},
                  {"slots", 4},
                  {"state", "ready"},
                  {"coldRemainingMs", 0},
                  {"seq", 1}});
  REQUIRE(RunUntil(site.loop, [&site] {
    return site.host->IsReady() &&
           site.host->directory().Find("own") != nullptr;
  }));
  HttpClient client(site.loop, 64);
  for (const std::string path : {"/safe/x", "/once/x"}) {
    std::vector<CallerResponse> responses(kCalls);
    std::vector<std::unique_ptr<HttpCall>> calls;
    for (size_t i = 0; i < kCalls; ++i) {
      calls.push_back(SendRequest(site, client, path, path + std::to_string(i),
                                  responses[i]));
    }
    REQUIRE(RunUntil(site.loop, [&responses] {
      return std::all_of(responses.begin(), responses.end(),
                         [](const auto& each) { return each.ended; });
    }));
    for (const CallerResponse& response : responses) {
      CHECK(response.status == 200);
    }
  }
}

}  // namespace
}  // namespace filbertrack

#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "platform_site.h"

/// Backend servers that say how much they take, through the whole path of
/// several entry hosts against stand-ins of the platform.

namespace filbertrack {
namespace {

/// What the platform allows of a limit of `per_second` in any four seconds.
constexpr Duration kLimitWindow = Seconds(4);
size_t MostInWindow(double per_second) {
  return static_cast<size_t>(1.5 * per_second * ToSeconds(kLimitWindow) + 5);
}

/// Entry hosts that know each other, and two plain servers.
struct PressureSite : Site {
  explicit PressureSite(int entry_hosts) : Site(0, entry_hosts) {}

  bool IsUp() {
    return RunUntil(loop, [this] {
      return std::all_of(nodes.begin(), nodes.end(), [this](const auto& node) {
        return node->host.IsReady() && node->CountTargets() == plain.size() &&
               node->host.entry_hosts() == nodes.size();
      });
    });
  }

  /// One more request that may be repeated, to each entry host in turn.
  Answer AskNext() {
    ++asked;
    const EntryNode& node = *nodes[asked % nodes.size()];
    Answer answer;
    const auto call = AskAt(node.host.caller_address(), client, "/safe/x",
                            "id-" + std::to_string(asked), answer);
    CHECK(RunUntil(loop, [&answer] { return answer.ended; }));
    return answer;
  }

  /// Asks until each entry host has had an answer of each server, so that each
  /// was told what the servers say.
  void AskUntilTold() {
    const size_t enough = plain.size() * nodes.size() * 4;
    for (size_t i = 0; i < enough; ++i) {
      AskNext();
    }
  }

  HttpClient client{loop, 4};
  size_t asked = 0;
};

/// The most requests that arrived in any four seconds, from the one numbered
/// `first` on.
size_t MostArrivals(const PlatformRunnerStandin& server, size_t first) {
  const std::vector<SeenRequest>& seen = server.seen();
  size_t most = 0;
  size_t begin = first;
  for (size_t i = first; i < seen.size(); ++i) {
    while (seen[i].arrived - seen[begin].arrived > kLimitWindow) {
      ++begin;
    }
    most = std::max(most, i - begin + 1);
  }
  return most;
}

TEST_CASE("limit: a server gets no more than it named from all entry hosts") {
  // Two of some fifteen heads of one model named a limit of 1.7 requests a
  // second and went on to get 4.7, up to 19 in four seconds, from six entry
  // hosts. No entry host read the limit, so none held it; had each read it for
  // itself alone, six together would still have sent six times as much. No host
  // sent more than 3 a second by itself: the harm adds up over the fleet. Here
  // every host had passed an answer with the limit on, `placed` lines of all of
  // them bore rate_limit 0.5, and the servers got 40 and 20 requests of 60.
  constexpr double kLimit = 0.5;
  PressureSite site(3);
  REQUIRE(site.IsUp());
  for (const auto& server : site.plain) {
    server->SetLimit(kLimit);
  }
  site.AskUntilTold();
  std::vector<size_t> told;
  for (const auto& server : site.plain) {
    told.push_back(server->seen().size());
  }
  for (int i = 0; i < 60; ++i) {
    site.AskNext();
  }
  for (size_t i = 0; i < site.plain.size(); ++i) {
    CHECK(MostArrivals(*site.plain[i], told[i]) <= MostInWindow(kLimit));
  }
}

}  // namespace
}  // namespace filbertrack

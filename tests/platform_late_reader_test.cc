#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "platform_site.h"

/// An entry host that stands still and reads the reply of a peer seconds after
/// it was sent. What the reply states must not count as news, here or at the
/// hosts that this one tells.

namespace filbertrack {
namespace {

/// Runs a loop for a time.
void RunFor(EventLoop& loop, Duration time) {
  bool is_over = false;
  const auto timer = loop.After(time, [&is_over] { is_over = true; });
  while (!is_over) {
    event_base_loop(loop.base(), EVLOOP_ONCE);
  }
}

/// Two entry hosts with a loop each, so that one can stand still.
struct TwoLoops : Site {
  TwoLoops() : Site(0, 1) {
    late = std::make_unique<EntryNode>(late_loop, store.address(), "e2",
                                       options, header_codec, decoder);
    RunBoth(Seconds(2));
    REQUIRE(late->host.directory().Find("p0") != nullptr);
  }

  void RunBoth(Duration time) {
    constexpr Duration kTurn = Milliseconds(5);
    for (const TimePoint end = MonotonicNow() + time; MonotonicNow() < end;) {
      RunFor(loop, kTurn);
      RunFor(late_loop, kTurn);
    }
  }

  /// Lets the second host ask the first one and stand still from before the
  /// reply until 2 s after it. `change` takes place 1 s after the reply.
  template <typename Change>
  void ReadLate(Change change) {
    RunFor(late_loop, Milliseconds(300));
    RunFor(loop, Seconds(1));
    change();
    RunFor(loop, Seconds(1));
    RunBoth(Seconds(1));
  }

  EntryHost& sound() { return *host; }

  EventLoop late_loop;
  std::unique_ptr<EntryNode> late;
};

LimitUpdate MakeLimit(double limit) {
  LimitUpdate update;
  update.words.push_back({ServerInstance{"p0", 0}, limit, Duration(0)});
  return update;
}

std::optional<double> LimitAt(EntryHost& host) {
  DispatchTarget target;
  target.id = "p0";
  return host.backpressure().LimitOf(target);
}

TEST_CASE("a rate limit that is read late does not replace a newer one") {
  // Guards against an old limit that is in force again at all hosts, since the
  // host that read it late tells it as the newest.
  TwoLoops site;
  site.sound().backpressure().OnPeerUpdate(MakeLimit(3), "x", MonotonicNow());
  site.ReadLate([&site] {
    site.sound().backpressure().OnPeerUpdate(MakeLimit(30), "x",
                                             MonotonicNow());
  });
  CHECK(LimitAt(site.sound()) == 30);
  CHECK(LimitAt(site.late->host) == 30);
}

TEST_CASE("a block of a request that is read late is not in force again") {
  // Guards against sound requests that all hosts refuse after an operator has
  // lifted their block.
  TwoLoops site;
  const RequestDigest digest =
      DigestRequest({"POST", "h", "/safe/x", "w", "body"});
  const auto make_update = [&digest] {
    PoisonUpdate update;
    update.facts.push_back({Blocked{digest, 3, 0, {}}, Duration(0)});
    return update;
  };
  site.sound().poison().OnPeerUpdate(make_update(), "x", MonotonicNow());
  REQUIRE(site.sound().poison().IsBlocked(digest));
  site.ReadLate([&] {
    site.sound().poison().OnUnblocked({digest, {}}, MonotonicNow());
  });
  CHECK_FALSE(site.sound().poison().IsBlocked(digest));
  CHECK_FALSE(site.late->host.poison().IsBlocked(digest));
}

}  // namespace
}  // namespace filbertrack

#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "filbertrack/reach_monitor.h"

namespace filbertrack {
namespace {

constexpr TimePoint kStart{Seconds(100)};

/// A host whose servers send bytes every 10 ms until `at()`.
struct BusyHost {
  BusyHost() {
    monitor.SetRequests(10, now);
    for (int i = 0; i < 300; ++i) {
      now += Milliseconds(10);
      monitor.OnBytes(now);
    }
  }

  /// Runs a check of six probes. Returns whether reachable() changed.
  bool Check(size_t failed, Duration took = Milliseconds(100)) {
    monitor.BeginCheck(now);
    now += took;
    return monitor.EndCheck({6, failed, took}, now);
  }

  ReachMonitor monitor{ReachPolicy{}};
  TimePoint now = kStart;
};

TEST_CASE("silence of all servers starts a check and decides nothing itself") {
  BusyHost host;
  CHECK_FALSE(host.monitor.IsCheckDue(host.now + Milliseconds(60)));
  CHECK(host.monitor.IsCheckDue(host.now + Milliseconds(100)));
  CHECK(host.monitor.reachable());
}

TEST_CASE("a host without requests never checks") {
  ReachMonitor monitor{ReachPolicy{}};
  monitor.OnBytes(kStart);
  CHECK_FALSE(monitor.IsCheckDue(kStart + Seconds(60)));
}

TEST_CASE("a silent cut is found within 0.3 s by a host with some requests") {
  BusyHost host;
  const TimePoint cut = host.now;
  while (!host.monitor.IsCheckDue(host.now)) {
    host.now += Milliseconds(50);
  }
  CHECK(host.Check(6));
  CHECK_FALSE(host.monitor.reachable());
  CHECK(host.now - cut <= Milliseconds(300));
}

TEST_CASE("connections reset by two servers start a check at once") {
  // Guards against waiting for the next timer while every request fails.
  BusyHost host;
  host.monitor.OnFailure("a", host.now);
  host.monitor.OnFailure("b", host.now);
  CHECK(host.monitor.IsCheckDue(host.now));
}

TEST_CASE("a server that fails again and again starts one check per pause") {
  // Guards against probing on every failure while one server is down.
  BusyHost host;
  host.monitor.OnFailure("a", host.now);
  REQUIRE(host.monitor.IsCheckDue(host.now));
  host.Check(0);
  int checks = 0;
  for (int i = 0; i < 200; ++i) {
    host.now += Milliseconds(10);
    host.monitor.OnBytes(host.now);
    host.monitor.OnFailure("a", host.now);
    if (host.monitor.IsCheckDue(host.now)) {
      ++checks;
      host.Check(0, Milliseconds(2));
    }
  }
  CHECK(checks <= 4);
}

TEST_CASE("a dark fabric domain is not taken for a cut of this host") {
  BusyHost host;
  CHECK_FALSE(host.Check(1));
  CHECK_FALSE(host.Check(3));
  CHECK(host.monitor.reachable());
}

TEST_CASE(
    "probes that ended late because this process was starved decide "
    "nothing") {
  BusyHost host;
  CHECK_FALSE(host.Check(6, Milliseconds(400)));
  CHECK(host.monitor.reachable());
}

TEST_CASE("servers are reachable again as soon as most probes succeed") {
  BusyHost host;
  REQUIRE(host.Check(6));
  CHECK_FALSE(host.Check(5));
  CHECK_FALSE(host.Check(2));
  CHECK(host.Check(1));
  CHECK(host.monitor.reachable());
}

TEST_CASE("checks go on without requests until the servers are reachable") {
  // Guards against a host that stays cut off in its own view because callers
  // have left it.
  BusyHost host;
  REQUIRE(host.Check(6));
  host.monitor.SetRequests(0, host.now);
  CHECK(host.monitor.IsCheckDue(host.now + Milliseconds(50)));
}

TEST_CASE("open connections that still deliver are told from dead ones") {
  BusyHost host;
  REQUIRE(host.Check(6));
  CHECK_FALSE(host.monitor.open_connections_work());
  host.monitor.OnBytes(host.now);
  CHECK(host.monitor.open_connections_work());
}

}  // namespace
}  // namespace filbertrack

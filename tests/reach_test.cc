#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "filbertrack/reach_monitor.h"
#include "filbertrack/reach_servers.h"

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

TEST_CASE("long queues start a check now and then, not all the time") {
  // Guards against probes as a cost of days without a partition.
  BusyHost host;
  int checks = 0;
  for (int i = 0; i < 100; ++i) {
    host.now += Milliseconds(50);
    if (host.monitor.IsCheckDue(host.now)) {
      ++checks;
      host.Check(0, Milliseconds(2));
    }
  }
  CHECK(checks >= 1);
  CHECK(checks <= 10);
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

const Address kServer{"127.0.0.1", 1};

TEST_CASE("a server that accepts no connection is probed until it does") {
  ServerReach reach{ServerReachPolicy{}};
  CHECK(reach.OnProbed(kServer, false, kStart));
  CHECK_FALSE(reach.OnProbed(kServer, false, kStart));
  CHECK(reach.unreachable().contains(kServer));
  CHECK(reach.TakeDueProbes(kStart + Milliseconds(100)).empty());
  CHECK(reach.TakeDueProbes(kStart + Milliseconds(200)).size() == 1);
  CHECK(reach.TakeDueProbes(kStart + Milliseconds(210)).empty());
  CHECK(reach.OnProbed(kServer, true, kStart + Milliseconds(220)));
  CHECK(reach.unreachable().empty());
}

TEST_CASE("a server that has failed for good is probed ever more rarely") {
  // Guards against connections as a cost of usual losses of servers.
  ServerReach reach{ServerReachPolicy{}};
  reach.OnProbed(kServer, false, kStart);
  size_t probes = 0;
  TimePoint now = kStart;
  for (; now < kStart + Milliseconds(3600); now += Milliseconds(50)) {
    probes += reach.TakeDueProbes(now).size();
  }
  CHECK(probes <= 5);
  // All are probed at once when one of them is reachable again.
  const Address other{"127.0.0.1", 2};
  reach.OnProbed(other, false, now);
  reach.OnProbed(other, true, now);
  CHECK(reach.TakeDueProbes(now).size() == 1);
}

TEST_CASE(
    "a server whose requests wait in its queue is not probed again and "
    "again") {
  // Guards against probes as a cost of long queues.
  ServerReach reach{ServerReachPolicy{}};
  CHECK(reach.MayProbeSilent(kServer, kStart));
  reach.OnProbed(kServer, true, kStart);
  CHECK_FALSE(reach.MayProbeSilent(kServer, kStart + Milliseconds(500)));
  CHECK(reach.MayProbeSilent(kServer, kStart + Seconds(4)));
}

TEST_CASE("all servers are probed once several are unreachable") {
  // Load: a third of the servers is cut off; without the sweep each of them is
  // found by a request that fails there.
  ServerReach reach{ServerReachPolicy{}};
  for (uint16_t i = 1; i <= 2; ++i) {
    reach.OnProbed({"127.0.0.1", i}, false, kStart);
  }
  CHECK_FALSE(reach.TakeSweep(kStart));
  reach.OnProbed({"127.0.0.1", 3}, false, kStart + Milliseconds(100));
  CHECK(reach.TakeSweep(kStart + Milliseconds(100)));
  CHECK_FALSE(reach.TakeSweep(kStart + Milliseconds(150)));
}

TEST_CASE("servers that are no longer registered are forgotten") {
  ServerReach reach{ServerReachPolicy{}};
  reach.OnProbed(kServer, false, kStart);
  reach.Retain({});
  CHECK(reach.unreachable().empty());
}

}  // namespace
}  // namespace filbertrack

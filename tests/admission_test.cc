#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>

#include "filbertrack/admission_division.h"
#include "filbertrack/admission_limits.h"
#include "filbertrack/admission_parts.h"
#include "filbertrack/admission_queue.h"

namespace filbertrack {
namespace {

const TimePoint kStart{Seconds(1000)};
const EntitlementKey kKey{"officers", "spectra"};

TEST_CASE(
    "property: loans never exceed the entitlement, replies lost or delayed") {
  // Two hosts request loans from each other at any time; each reply may be lost
  // or delayed by up to 1.5 s. The sum of the rates in use stays within the sum
  // of the two base rates.
  REQUIRE(rc::check("loans", [] {
    const LoanPolicy policy;
    std::vector<EntitlementParts> hosts(2);
    const std::vector<std::string> names = {"a", "b"};
    struct DelayedReply {
      size_t borrower;
      double rate;
      TimePoint asked_at;
      TimePoint arrives;
    };
    std::vector<DelayedReply> delayed;
    TimePoint now = kStart;
    for (EntitlementParts& host : hosts) {
      host.SetBase(kKey, 10);
    }
    for (int i = 0; i < 120; ++i) {
      now += Milliseconds(*rc::gen::inRange(1, 400));
      const auto self = *rc::gen::inRange<size_t>(0, 2);
      const size_t other = 1 - self;
      const int requests = *rc::gen::inRange(0, 20);
      for (int request = 0; request < requests; ++request) {
        hosts[self].OnDemand(kKey, policy, now);
      }
      for (const auto& wish :
           hosts[self].LoanRequests(names[other], policy, now)) {
        const TimePoint asked_at = now;
        const double rate = hosts[other].Grant(
            names[self], kKey, wish.requests_per_second, policy, now);
        switch (*rc::gen::inRange(0, 3)) {
          case 0:
            hosts[self].OnGranted(names[other], kKey, rate, policy, asked_at);
            break;
          case 1:
            delayed.push_back({self, rate, asked_at,
                               now + Milliseconds(*rc::gen::inRange(1, 1500))});
            break;
          default:
            break;
        }
      }
      for (size_t j = delayed.size(); j-- > 0;) {
        if (delayed[j].arrives <= now) {
          hosts[delayed[j].borrower].OnGranted(names[1 - delayed[j].borrower],
                                               kKey, delayed[j].rate, policy,
                                               delayed[j].asked_at);
          delayed.erase(delayed.begin() + static_cast<ptrdiff_t>(j));
        }
      }
      RC_ASSERT(hosts[0].Usable(kKey, now) + hosts[1].Usable(kKey, now) <=
                20.000001);
    }
  }));
}

TEST_CASE("an unused part is lent and returns when the loan expires") {
  // A caller whose requests all reach one entry host can use nearly its whole
  // entitlement there. Once the loan expires, the other host has its part
  // again.
  const LoanPolicy policy;
  EntitlementParts busy;
  EntitlementParts idle;
  busy.SetBase(kKey, 10);
  idle.SetBase(kKey, 10);
  for (int i = 0; i < 30; ++i) {
    busy.OnDemand(kKey, policy, kStart);
  }
  const auto wishes = busy.LoanRequests("idle", policy, kStart);
  REQUIRE(wishes.size() == 1);
  const double rate =
      idle.Grant("busy", kKey, wishes[0].requests_per_second, policy, kStart);
  busy.OnGranted("idle", kKey, rate, policy, kStart);
  CHECK(busy.Usable(kKey, kStart) == doctest::Approx(17.5));
  const TimePoint later = kStart + policy.loan_ttl;
  CHECK(busy.Usable(kKey, later) == doctest::Approx(10));
  CHECK(idle.Usable(kKey, later) == doctest::Approx(10));
}

/// An entry host reduced to its DivisionTracker and the epochs it has heard.
struct DividedHost {
  explicit DividedHost(const std::string& name) : name(name), tracker(name) {}
  std::string name;
  DivisionTracker tracker;
  /// Epoch last heard of each host, and when that host had it.
  std::map<std::string, std::pair<uint64_t, TimePoint>> heard;
};

TEST_CASE(
    "property: shares in use never exceed the whole, also in partitions") {
  // Hosts join and leave, messages between any two are lost, and any host that
  // reaches the store may write the next division.
  REQUIRE(rc::check("division", [] {
    const DivisionPolicy policy;
    const std::vector<std::string> names = {"a", "b", "c", "d"};
    std::vector<DividedHost> hosts(names.begin(), names.end());
    Division stored{1, {"a", "b", "c"}, {}};
    for (DividedHost& host : hosts) {
      host.tracker.OnDivision(stored, kStart);
    }
    TimePoint now = kStart;
    std::vector<bool> cut(4, false);
    for (int i = 0; i < 150; ++i) {
      now += Milliseconds(*rc::gen::inRange(10, 800));
      if (*rc::gen::inRange(0, 8) == 0) {
        const auto host = *rc::gen::inRange<size_t>(0, 4);
        cut[host] = !cut[host];
      }
      const auto writer = *rc::gen::inRange<size_t>(0, 4);
      const DivisionTracker& writer_tracker = hosts[writer].tracker;
      if (!cut[writer] && writer_tracker.IsSettled(now) &&
          writer_tracker.division().epoch == stored.epoch) {
        Division next;
        next.epoch = stored.epoch + 1;
        next.previous_nodes = stored.nodes;
        for (const std::string& name : names) {
          if (*rc::gen::arbitrary<bool>()) {
            next.nodes.push_back(name);
          }
        }
        if (!next.nodes.empty()) {
          stored = next;
        }
      }
      for (size_t self = 0; self < hosts.size(); ++self) {
        DividedHost& host = hosts[self];
        if (!cut[self] && *rc::gen::arbitrary<bool>()) {
          host.tracker.OnDivision(stored, now);
        }
        for (size_t other = 0; other < hosts.size(); ++other) {
          if (cut[self] == cut[other] && *rc::gen::arbitrary<bool>()) {
            host.heard[names[other]] = {hosts[other].tracker.division().epoch,
                                        now};
          }
        }
        host.heard[host.name] = {host.tracker.division().epoch, now};
        const Division& division = host.tracker.division();
        std::vector<TimePoint> times;
        for (const std::string& node : division.nodes) {
          const auto entry = host.heard.find(node);
          if (entry != host.heard.end() &&
              entry->second.first == division.epoch) {
            times.push_back(entry->second.second);
          }
        }
        std::sort(times.rbegin(), times.rend());
        const size_t half = (division.nodes.size() + 1) / 2;
        if (times.size() >= half) {
          host.tracker.OnConfirmed(times[half - 1]);
        }
        size_t left = 0;
        for (const std::string& node : division.previous_nodes) {
          const auto entry = host.heard.find(node);
          left += entry != host.heard.end() &&
                  entry->second.first >= division.epoch;
        }
        if (left * 2 > division.previous_nodes.size()) {
          host.tracker.OnMajorityLeft(policy, now);
        }
      }
      double sum = 0;
      for (const DividedHost& host : hosts) {
        sum += host.tracker.Share(policy, now);
      }
      RC_ASSERT(sum <= 1.000001);
    }
  }));
}

TEST_CASE("three of six hosts replaced at once while the store is down") {
  // Requests at the other three are still admitted: at least half of the hosts
  // confirm the division, and none can write a new one.
  const DivisionPolicy policy;
  DivisionTracker tracker("a");
  tracker.OnDivision({1, {"a", "b", "c", "d", "e", "f"}, {}}, kStart);
  tracker.OnConfirmed(kStart + Seconds(60));
  CHECK(tracker.Share(policy, kStart + Seconds(60)) ==
        doctest::Approx(1.0 / 6));
  CHECK(tracker.Share(policy, kStart + Seconds(64)) == 0);
}

TEST_CASE("a large workspace's backlog does not delay a small one") {
  // The single request of a small workspace is served second although 100
  // requests of a large one were queued before it.
  FairQueue queue(1000);
  for (uint64_t id = 1; id <= 100; ++id) {
    REQUIRE(queue.Push({id, "large", 1, 10, kStart + Seconds(60)}, kStart));
  }
  REQUIRE(queue.Push({999, "small", 1, 1, kStart + Seconds(60)}, kStart));
  CHECK(queue.Pop(kStart)->workspace == "large");
  CHECK(queue.Pop(kStart)->id == 999);
}

TEST_CASE("property: queued workspaces are served by their weights") {
  REQUIRE(rc::check("fair", [] {
    const int heavy = *rc::gen::inRange(1, 8);
    FairQueue queue(100000);
    for (uint64_t id = 0; id < 400; ++id) {
      queue.Push(
          {id, "heavy", 1, static_cast<double>(heavy), kStart + Seconds(600)},
          kStart);
      queue.Push({1000 + id, "light", 1, 1, kStart + Seconds(600)}, kStart);
    }
    int served_heavy = 0;
    const int rounds = (heavy + 1) * 20;
    for (int i = 0; i < rounds; ++i) {
      served_heavy += queue.Pop(kStart)->workspace == "heavy" ? 1 : 0;
    }
    RC_ASSERT(std::abs(served_heavy - heavy * 20) <= heavy + 1);
  }));
}

TEST_CASE("a request that would wait past its deadline is refused at once") {
  // Otherwise the caller would learn only after its deadline that it should try
  // elsewhere.
  FairQueue queue(1000);
  TimePoint now = kStart;
  for (uint64_t id = 0; id < 60; ++id) {
    queue.Push({id, "w", 1, 1, now + Seconds(600)}, now);
  }
  for (int i = 0; i < 20; ++i) {
    now += Milliseconds(100);
    queue.Pop(now);
  }
  CHECK(!queue.Push({90, "w", 1, 1, now + Seconds(1)}, now));
  CHECK(queue.Push({91, "w", 1, 1, now + Seconds(60)}, now));
}

TEST_CASE("a refusal names the time until the next token") {
  Resources resources;
  resources.workspaces["w"] = {"w", "", 1, {{"s", 2}}};
  AdmissionLimits limits;
  limits.Declare(resources, kStart);
  const EntitlementKey key{"w", "s"};
  CHECK(std::holds_alternative<OverEntitlement>(limits.TryAdmit(key, kStart)));
  limits.SetRate(key, 2, kStart);
  const TimePoint full = kStart + Seconds(10);
  CHECK(std::holds_alternative<Admitted>(limits.TryAdmit(key, full)));
  CHECK(std::holds_alternative<Admitted>(limits.TryAdmit(key, full)));
  const auto decision = limits.TryAdmit(key, full);
  REQUIRE(std::holds_alternative<OverEntitlement>(decision));
  CHECK(std::get<OverEntitlement>(decision).retry_after == Milliseconds(500));
}

}  // namespace
}  // namespace filbertrack

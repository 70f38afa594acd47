#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>

#include "filbertrack/groups_lease.h"

namespace filbertrack {
namespace {

const TimePoint kStart{Seconds(1000)};

/// The store's part of a lease: versions and conditional updates.
struct FakeStore {
  std::map<std::string, uint64_t> heartbeat;
  uint64_t version = 0;
  DomainLease lease;
  uint64_t lease_version = 0;
};

/// One controller as seen by the lease rules, with its own clock.
struct FakeController {
  std::string name;
  Duration clock_offset{0};
  LeaseKeeper keeper;
  DomainOwnership ownership;
  HolderView holder;
  uint64_t lease_version = 0;
  TimePoint lease_seen;
};

TEST_CASE("property: two controllers never act within one order TTL") {
  // Guards against overlapping leases. Controllers are paused, answers are
  // delayed and clocks differ by any offset; only the store is shared.
  REQUIRE(rc::check("lease", [] {
    const LeasePolicy policy;
    FakeStore store;
    std::vector<FakeController> controllers;
    for (int i = 0; i < 3; ++i) {
      FakeController controller;
      controller.name = "c" + std::to_string(i);
      controller.clock_offset = Milliseconds(*rc::gen::inRange(0, 100000));
      controllers.push_back(controller);
    }
    TimePoint true_now = kStart;
    std::optional<TimePoint> last_act;
    std::string last_actor;
    for (int i = 0; i < 150; ++i) {
      true_now += Milliseconds(*rc::gen::inRange(1, 4000));
      FakeController& self = controllers[*rc::gen::inRange<size_t>(0, 3)];
      const auto now = [&] { return true_now + self.clock_offset; };
      const TimePoint began = now();
      const bool paused = *rc::gen::inRange(0, 6) == 0;
      switch (*rc::gen::inRange(0, 4)) {
        case 0: {  // Heartbeat; the answer may be late.
          store.heartbeat[self.name] = ++store.version;
          true_now += paused ? Seconds(10) : Milliseconds(5);
          self.keeper.OnWritten(began, policy, now());
          break;
        }
        case 1: {  // Read the lease and the holder's heartbeat.
          if (self.lease_version != store.lease_version) {
            self.lease_version = store.lease_version;
            self.ownership.lease = store.lease;
            self.lease_seen = now();
          }
          ObserveHolder(self.holder, store.lease.holder,
                        store.heartbeat[store.lease.holder], now());
          break;
        }
        case 2: {  // Take the domain if allowed; conditional on the version.
          if (self.ownership.lease.holder != self.name &&
              self.keeper.IsHeld(policy, now()) &&
              MayAcquire(self.ownership.lease, self.lease_seen, self.holder,
                         policy, Duration(0), now())) {
            const uint64_t term = self.keeper.term();
            true_now += paused ? Seconds(10) : Milliseconds(5);
            if (store.lease_version == self.lease_version) {
              store.lease = {self.name, store.lease.fence + 1};
              store.lease_version = ++store.version;
              self.lease_version = store.lease_version;
              self.ownership = {store.lease, term};
              self.lease_seen = now();
            }
          }
          break;
        }
        default:
          break;
      }
      for (FakeController& controller : controllers) {
        const TimePoint at = true_now + controller.clock_offset;
        if (!MayAct(controller.ownership, controller.name, controller.keeper,
                    policy, at)) {
          continue;
        }
        if (last_act && last_actor != controller.name) {
          RC_ASSERT(true_now - *last_act >= policy.order_ttl);
        }
        last_act = true_now;
        last_actor = controller.name;
      }
    }
  }));
}

TEST_CASE("a domain is taken only after the holder's last order has arrived") {
  // Guards against an engine with two controllers. The old holder sends its
  // last order as its lease ends, and the engine ignores fencing numbers.
  const LeasePolicy policy;
  const DomainLease lease{"old", 3};
  HolderView view;
  ObserveHolder(view, "old", 7, kStart);
  const TimePoint lease_end = kStart + policy.duration;
  const TimePoint order_arrived = lease_end + policy.order_ttl;
  ObserveHolder(view, "old", 7, order_arrived - Milliseconds(1));
  CHECK(!MayAcquire(lease, kStart, view, policy, Duration(0),
                    order_arrived - Milliseconds(1)));
  ObserveHolder(view, "old", 7, order_arrived);
  CHECK(MayAcquire(lease, kStart, view, policy, Duration(0), order_arrived));
}

TEST_CASE("an outdated heartbeat reading does not allow a takeover") {
  // Guards against two controllers that order the same engines. The challenger
  // read the heartbeat once and nothing after, for example because the store is
  // down; the holder may have renewed it since.
  const LeasePolicy policy;
  HolderView view;
  ObserveHolder(view, "old", 7, kStart);
  CHECK(!MayAcquire({"old", 3}, kStart, view, policy, Duration(0),
                    kStart + Seconds(3600)));
}

}  // namespace
}  // namespace filbertrack

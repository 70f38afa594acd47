#include <doctest/doctest.h>

#include <random>
#include <set>

#include "filbertrack/gossip_watchers.h"

namespace filbertrack {
namespace {

constexpr Duration kRound = Milliseconds(150);
constexpr Duration kMaxListingAge = Seconds(3);
/// Time between two listings.
constexpr Duration kListInterval = Milliseconds(1500);
/// Local hosts from which a host receives messages in a round.
constexpr size_t kReceivedInRound = 16;
constexpr int kHighCapacity = 1000;
constexpr int kLowCapacity = 2;

/// Simulates a fleet whose hosts start at once. One host in twenty has a high
/// capacity, listings are up to three seconds old, and a host receives messages
/// of a few others in each round.
struct StartingFleet {
  explicit StartingFleet(size_t count) : received(count) {
    for (size_t i = 0; i < count; ++i) {
      hosts.push_back({"e" + std::to_string(i), "dc" + std::to_string(i % 5),
                       i / 5 % 20 == 0 ? kHighCapacity : kLowCapacity, false});
      listing_ages.push_back(kMaxListingAge *
                             static_cast<int64_t>(random() % 100) / 100);
    }
  }

  /// Returns the hosts that watched at any time.
  std::set<size_t> RunFor(Duration time) {
    std::set<size_t> watched;
    for (Duration since{0}; since < time; since += kRound) {
      for (size_t i = 0; i < hosts.size(); ++i) {
        for (size_t j = 0; j < kReceivedInRound; ++j) {
          // A host of the same data centre.
          const size_t other = (random() % (hosts.size() / 5)) * 5 + i % 5;
          received[i].insert(other == i ? (i + 5) % hosts.size() : other);
        }
        if (Watches(i, since)) {
          watched.insert(i);
        }
      }
    }
    return watched;
  }

  bool Watches(size_t i, Duration since) const {
    const Duration listed_at =
        kListInterval * static_cast<int64_t>(since / kListInterval);
    std::vector<FleetHost> listed;
    if (listed_at >= listing_ages[i]) {
      listed = hosts;
      listed.erase(listed.begin() + static_cast<std::ptrdiff_t>(i));
    }
    std::vector<FleetHost> known;
    for (const size_t other : received[i]) {
      known.push_back(hosts[other]);
    }
    return ShouldWatch({hosts[i], since, first_start, true, listed, known},
                       WatchPolicy{});
  }

  std::mt19937_64 random{1};
  bool first_start = false;
  std::vector<FleetHost> hosts;
  std::vector<Duration> listing_ages;
  std::vector<std::set<size_t>> received;
};

TEST_CASE("in a starting fleet only hosts of high capacity watch the store") {
  // Guards against hundreds of weak hosts that each choose themselves because
  // they know only some of the others yet.
  for (const size_t count : {size_t{100}, size_t{300}, size_t{1000}}) {
    StartingFleet fleet(count);
    const std::set<size_t> watched = fleet.RunFor(Seconds(6));
    CAPTURE(count);
    CHECK(watched.size() >= 5);
    CHECK(std::all_of(watched.begin(), watched.end(), [&fleet](size_t i) {
      return fleet.hosts[i].capacity == kHighCapacity;
    }));
  }
}

TEST_CASE("at the first start of a fleet of equal hosts only some watch") {
  // Guards against hosts of equal capacity that know no others yet and each
  // watch the store and compete for the lease.
  for (const size_t count : {size_t{100}, size_t{300}, size_t{1000}}) {
    StartingFleet fleet(count);
    for (FleetHost& host : fleet.hosts) {
      host.capacity = kHighCapacity;
    }
    fleet.first_start = true;
    const std::set<size_t> watched = fleet.RunFor(Seconds(6));
    CAPTURE(count);
    CHECK(watched.size() >= 5);
    CHECK(watched.size() <= std::max<size_t>(20, count / 5));
  }
}

TEST_CASE("in a fleet of weak hosts some watch nevertheless") {
  // Guards against weak hosts that wait indefinitely for stronger ones.
  const std::vector<FleetHost> others(3, {"b", "dc", kLowCapacity, false});
  const FleetHost own{"a", "dc", 1, false};
  CHECK_FALSE(ShouldWatch({own, Seconds(3), false, true, others, others}, {}));
  CHECK(ShouldWatch({own, Seconds(4), false, true, others, others}, {}));
  CHECK(ShouldWatch({own, Seconds(4), false, false, {}, {}}, {}));
}

}  // namespace
}  // namespace filbertrack

#include <doctest/doctest.h>

#include <random>
#include <set>

#include "filbertrack/gossip_watchers.h"

namespace filbertrack {
namespace {

constexpr Duration kRound = Milliseconds(150);
constexpr Duration kMaxListingAge = Seconds(3);
/// Listings come one after the other at this interval.
constexpr Duration kListInterval = Milliseconds(1500);
/// Own hosts of a data centre that are heard in a turn, whatever its size.
constexpr size_t kReceivedInRound = 16;
constexpr int kHighCapacity = 1000;
constexpr int kLowCapacity = 2;

/// A fleet that starts at one moment: one host in twenty is strong, listings
/// are up to three seconds old, and hosts are heard a few in a turn.
struct StartingFleet {
  explicit StartingFleet(size_t count) : received(count) {
    for (size_t i = 0; i < count; ++i) {
      hosts.push_back({"e" + std::to_string(i), "dc" + std::to_string(i % 5),
                       i / 5 % 20 == 0 ? kHighCapacity : kLowCapacity, false});
      listing_ages.push_back(kMaxListingAge *
                             static_cast<int64_t>(random() % 100) / 100);
    }
  }

  /// The hosts that watched at any time.
  std::set<size_t> RunFor(Duration time) {
    std::set<size_t> watched;
    for (Duration since{0}; since < time; since += kRound) {
      for (size_t i = 0; i < hosts.size(); ++i) {
        for (size_t j = 0; j < kReceivedInRound; ++j) {
          // Of the own data centre.
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

TEST_CASE("of a fleet that starts only strong hosts watch the store") {
  // Guards against hundreds of weak hosts that each take themselves for one of
  // the first, since they know only a part of the others yet.
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

TEST_CASE("of a fleet of equal hosts a part watches at its first start") {
  // Guards against hosts that are all alike, know nobody yet, and each watch
  // and stand for the lease.
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

TEST_CASE("where all hosts are weak, some watch all the same") {
  // Guards against a fleet of weak hosts that waits for stronger ones for ever.
  const std::vector<FleetHost> others(3, {"b", "dc", kLowCapacity, false});
  const FleetHost own{"a", "dc", 1, false};
  CHECK_FALSE(ShouldWatch({own, Seconds(3), false, true, others, others}, {}));
  CHECK(ShouldWatch({own, Seconds(4), false, true, others, others}, {}));
  CHECK(ShouldWatch({own, Seconds(4), false, false, {}, {}}, {}));
}

}  // namespace
}  // namespace filbertrack

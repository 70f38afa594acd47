#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <random>

#include "backpressure_fixture.h"
#include "filbertrack/backpressure.h"

/// Cold servers, and the rate at which all entry hosts together send to them.

namespace filbertrack {
namespace {

/// Simulates entry hosts whose servers all turn cold at once while callers send
/// more requests than the servers sustain.
struct ColdFleet {
  static constexpr double kCapacityPerSecond = 26;
  static constexpr Duration kTick = Milliseconds(2);

  ColdFleet(size_t host_count, size_t server_count)
      : names(HostNames(host_count)), sent(server_count), random(1) {
    for (size_t i = 0; i < host_count; ++i) {
      hosts.push_back(MakeHost(i));
    }
  }

  std::unique_ptr<Backpressure> MakeHost(size_t i) {
    auto host = std::make_unique<Backpressure>(names[i], BackpressurePolicy{},
                                               uint64_t{1});
    host->SetFleet(names, now);
    return host;
  }

  static ServerInstance Server(size_t i) {
    return {"s" + std::to_string(i), 1};
  }

  void ReportCold(size_t host) {
    for (size_t i = 0; i < sent.size(); ++i) {
      hosts[host]->OnCold({Server(i), kCapacityPerSecond, until}, now);
    }
  }

  /// Each host learns of the cold servers at a random time within
  /// `learn_window` and sends nothing before. `per_tick` requests arrive in
  /// each tick.
  void RunUntilWarm(size_t per_tick, Duration learn_window) {
    std::vector<TimePoint> informed_at;
    for (size_t i = 0; i < hosts.size(); ++i) {
      informed_at.push_back(
          now + learn_window * static_cast<int64_t>(random() % 100) / 100);
    }
    std::vector<bool> informed(hosts.size());
    for (; now < until; now += kTick) {
      for (size_t i = 0; i < hosts.size(); ++i) {
        if (!informed[i] && now >= informed_at[i]) {
          informed[i] = true;
          ReportCold(i);
        }
      }
      if (random() % 200 == 0) {
        // A host restarts and is informed again.
        const size_t i = random() % hosts.size();
        hosts[i] = MakeHost(i);
        ReportCold(i);
        informed[i] = true;
      }
      for (size_t i = 0; i < per_tick; ++i) {
        SendOne(informed);
      }
    }
  }

  /// A caller that is refused retries once, at another entry host.
  void SendOne(const std::vector<bool>& informed) {
    if (!TrySend(informed)) {
      TrySend(informed);
    }
  }

  bool TrySend(const std::vector<bool>& informed) {
    const size_t host = random() % hosts.size();
    const size_t first = random() % sent.size();
    for (size_t i = 0; informed[host] && i < sent.size(); ++i) {
      const size_t server = (first + i) % sent.size();
      if (hosts[host]->MaySend(Server(server), now)) {
        hosts[host]->OnSent(Server(server), now);
        sent[server].push_back(now);
        return true;
      }
    }
    return false;
  }

  size_t MaxInSecond() const {
    size_t most = 0;
    for (const auto& times : sent) {
      size_t begin = 0;
      for (size_t i = 0; i < times.size(); ++i) {
        while (times[i] - times[begin] >= Seconds(1)) {
          ++begin;
        }
        most = std::max(most, i - begin + 1);
      }
    }
    return most;
  }

  size_t Total() const {
    size_t total = 0;
    for (const auto& times : sent) {
      total += times.size();
    }
    return total;
  }

  TimePoint now = kStart;
  TimePoint until = kStart + Seconds(3);
  std::vector<std::string> names;
  std::vector<std::unique_ptr<Backpressure>> hosts;
  std::vector<std::vector<TimePoint>> sent;
  std::mt19937_64 random;
};

TEST_CASE("a cold data centre gets no more than it sustains") {
  // Guards against a burst waiting for slots that overloads and terminates
  // every cold server within its first second, for any fleet size.
  for (const size_t count : {size_t{7}, size_t{82}, size_t{300}}) {
    ColdFleet fleet(count, 57);
    fleet.RunUntilWarm(4, Milliseconds(300));
    CAPTURE(count);
    CHECK(static_cast<double>(fleet.MaxInSecond()) <=
          ColdFleet::kCapacityPerSecond);
    // Cold servers warm up by serving requests, so most of their rate must be
    // used.
    CHECK(static_cast<double>(fleet.Total()) >
          0.4 * 57 * ColdFleet::kCapacityPerSecond * 3);
  }
}

TEST_CASE(
    "a cold server is warm after its cold time, and a new process is not "
    "cold") {
  Backpressure host("e0", {}, 1);
  const TimePoint now = kStart;
  CHECK(host.OnCold({{"s", 1}, 2, now + Seconds(3)}, now));
  CHECK_FALSE(host.MaySend({"s", 1}, now));
  CHECK(host.MaySend({"s", 2}, now));
  CHECK(host.MaySend({"s", 1}, now + Seconds(3)));
  host.SetFleet({}, now + Seconds(4));
  CHECK(host.IsIdle());
}

}  // namespace
}  // namespace filbertrack

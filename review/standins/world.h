#pragma once

/// A small deployment: three entry hosts and three runners of one plain
/// service, one of each in each zone, and callers of an unsafe and a safe
/// route.

#include <algorithm>
#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "fleet.h"

namespace review {

inline constexpr const char* kService = "klubbhus";
inline constexpr int kDeadlineMs = 1200;
inline constexpr int kCallPauseMs = 50;

/// Exit codes of the scripts.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCannotRun = 2;

inline void Sleep(long ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

struct World {
  explicit World(const std::string& program,
                 const std::string& folder,
                 const std::string& record_path,
                 const Bounds& bounds)
      : record(record_path),
        runs(record),
        net(LoopbackNetwork()),
        store(net + "1", 3),
        options{program, folder, bounds, bounds.has_evacuations} {
    store.Put(
        "config", "main",
        ConfigJson(7,
                   {RouteJson("result-commit", "/result/", "unsafe", kService),
                    RouteJson("rating-lookup", "/rating/", "safe", kService)},
                   {kService}));
    for (int i = 0; i < 3; ++i) {
      const std::string zone = std::string("zone-") + "abc"[i];
      runners.push_back(std::make_unique<PlainRunner>(
          store, runs, record, net + std::to_string(2 + i),
          "i-02d9e6b" + std::to_string(i), kService, zone));
    }
    for (int i = 0; i < 3; ++i) {
      entries.push_back(std::make_unique<EntryProcess>(
          options, record, "front-" + std::to_string(i),
          std::string("zone-") + "abc"[i], net + std::to_string(11 + i),
          store.endpoint(i)));
      entries.back()->Start();
    }
  }

  ~World() {
    stopping = true;
    for (std::thread& caller : callers) {
      caller.join();
    }
    for (const auto& entry : entries) {
      entry->Stop();
    }
  }

  bool AllReady() const {
    return std::all_of(entries.begin(), entries.end(),
                       [](const auto& entry) { return entry->IsReady(); });
  }

  void StartCallers() {
    for (int i = 0; i < 6; ++i) {
      callers.emplace_back([this, i] {
        for (int n = i; !stopping; ++n) {
          const EntryProcess& entry = *entries[n % entries.size()];
          const Outcome outcome =
              i % 2 == 0
                  ? Call(record, entry, "POST", "/result/2f", kDeadlineMs)
                  : Call(record, entry, "GET", "/rating/2f", kDeadlineMs);
          {
            const std::lock_guard lock(mutex);
            outcomes.push_back(outcome);
          }
          Sleep(kCallPauseMs);
        }
      });
    }
  }

  /// Share of the requests sent from `from_ms` on that got a success.
  double ServedSince(long from_ms, size_t* count = nullptr) {
    const std::lock_guard lock(mutex);
    size_t sent = 0;
    size_t served = 0;
    for (const Outcome& outcome : outcomes) {
      if (outcome.sent_ms >= from_ms) {
        ++sent;
        served += outcome.answer.status == 200 ? 1 : 0;
      }
    }
    if (count != nullptr) {
      *count = sent;
    }
    return sent == 0 ? 0 : static_cast<double>(served) / sent;
  }

  /// The entry host that each request was sent to, by the request's id.
  std::map<std::string, std::string> HostsOfRequests() {
    const std::lock_guard lock(mutex);
    std::map<std::string, std::string> hosts;
    for (const Outcome& outcome : outcomes) {
      hosts[outcome.id] = outcome.host;
    }
    return hosts;
  }

  /// The runner that has run most requests.
  PlainRunner& Busiest() {
    std::map<std::string, int> counts;
    for (const Run& run : runs.All()) {
      ++counts[run.runner];
    }
    return **std::max_element(runners.begin(), runners.end(),
                              [&counts](const auto& left, const auto& right) {
                                return counts[left->id()] < counts[right->id()];
                              });
  }

  Record record;
  Runs runs;
  std::string net;
  Store store;
  EntryOptions options;
  std::vector<std::unique_ptr<PlainRunner>> runners;
  std::vector<std::unique_ptr<EntryProcess>> entries;
  std::atomic<bool> stopping = false;
  std::mutex mutex;
  std::vector<Outcome> outcomes;
  std::vector<std::thread> callers;
};

/// Starts the callers and waits until everything is served. Returns whether it
/// is.
inline bool WarmUp(World& world) {
  for (int i = 0; i < 100 && !world.AllReady(); ++i) {
    Sleep(100);
  }
  Sleep(1000);
  world.StartCallers();
  const long from = NowMs();
  Sleep(3000);
  size_t count = 0;
  const double served = world.ServedSince(from, &count);
  world.record.Add("before: served " + std::to_string(served) + " of " +
                   std::to_string(count));
  return world.AllReady() && count > 50 && served > 0.95;
}

}  // namespace review

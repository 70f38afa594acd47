/// filbert-soak: runs entry hosts as separate processes, injects random faults
/// into them and their surroundings, and checks the responses that callers get
/// and the requests that reach backend servers.

#include <cstdio>

#include <CLI/CLI.hpp>

#include "soak_callers.h"
#include "soak_cuts.h"
#include "soak_faults.h"
#include "soak_fleet.h"
#include "soak_signals.h"

namespace filbertrack::soak {
namespace {

constexpr Duration kReadyTimeout = Seconds(20);
constexpr Duration kFaultInterval = Milliseconds(500);
constexpr Duration kCallInterval = Milliseconds(15);
/// Time after the last fault within which the fleet must serve requests again.
constexpr Duration kRecoveryTime = Seconds(12);
constexpr Duration kDrainTimeout = Seconds(8);
/// Between copies of the request that crashes the servers that run it.
constexpr Duration kPoisonInterval = Milliseconds(150);
/// Time after the last fault within which all entry hosts must have learned
/// that the request crashes servers: the restart of hosts that were killed,
/// plus the time that the platform allows for it.
constexpr Duration kBlockPropagationTime = Seconds(6);
constexpr Duration kStallCheck = Milliseconds(100);
/// A longer gap between two checks counts as a stall of this process.
constexpr Duration kMaxLoopGap = Seconds(1);
/// Mean time between two signals of backend servers.
constexpr Duration kSignalInterval = Milliseconds(700);
/// Mean time between two cuts of entry hosts from all backend servers.
constexpr Duration kCutPause = Milliseconds(800);
/// Servers of the whole fleet that the request may still crash after
/// kBlockPropagationTime.
constexpr int kMaxLateCrashes = 3;

struct SoakOptions {
  std::string program;
  std::string folder;
  uint64_t seed = 1;
  int seconds = 20;
  int entry_hosts = 3;
  int runners = 8;
  bool poison = false;
  bool poison_parts = false;
  bool signals = false;
  bool cuts = false;
  bool more_kinds = false;
  std::string placement = "auto";
};

/// Runs the loop until `done` returns true, at most for `time`. Returns false
/// on a timeout.
template <typename Done>
bool RunFor(EventLoop& loop, Duration time, Done done) {
  bool timed_out = false;
  const auto limit = loop.After(time, [&loop, &timed_out] {
    timed_out = true;
    loop.Stop();
  });
  const auto check = loop.Every(Milliseconds(20), [&loop, &done] {
    if (done()) {
      loop.Stop();
    }
  });
  loop.Run();
  return !timed_out;
}

/// Detects when this process did not run for a while. The backend servers, the
/// store and the callers run in it, so to the entry hosts all of them fail at
/// once; the checks excuse what happens around such a stall.
class StallDetector {
 public:
  StallDetector(EventLoop& loop, Fleet& fleet, Callers& callers)
      : m_fleet(fleet),
        m_callers(callers),
        m_last(MonotonicNow()),
        m_timer(loop.Every(kStallCheck, [this] { Check(); })) {}

  int count() const { return m_count; }

 private:
  void Check() {
    const TimePoint now = MonotonicNow();
    if (now - m_last > kMaxLoopGap) {
      ++m_count;
      for (const TimePoint at : {m_last, now}) {
        m_callers.RecordDisruption(at);
        for (const auto& entry : m_fleet.entries()) {
          entry->disruptions.push_back(at);
        }
      }
    }
    m_last = now;
  }

  Fleet& m_fleet;
  Callers& m_callers;
  TimePoint m_last;
  std::unique_ptr<Timer> m_timer;
  int m_count = 0;
};

/// With the faults of the run, if there are violations.
void PrintViolations(const SoakOptions& options, Fleet& fleet) {
  for (const std::string& violation : fleet.violations()) {
    std::printf("seed %llu: %s\n",
                static_cast<unsigned long long>(options.seed),
                violation.c_str());
  }
  if (fleet.violations().empty()) {
    return;
  }
  for (const std::string& fault : fleet.fault_log()) {
    std::printf("  at %s\n", fault.c_str());
  }
}

/// Checks that calls of each kind were answered since `since`.
void CheckAllKindsAnswered(Fleet& fleet,
                           const Callers& callers,
                           TimePoint since) {
  for (const CallKind kind :
       {CallKind::kStream, CallKind::kIdempotent, CallKind::kNonIdempotent}) {
    if (callers.CountAnswered(kind, since) == 0) {
      fleet.violations().push_back("no call of kind " +
                                   std::to_string(static_cast<int>(kind)) +
                                   " was answered after the last fault");
    }
  }
}

/// Checks, while copies of the request that crashes servers still arrive after
/// the last fault, that it crashes at most kMaxLateCrashes further servers and
/// that other calls of each kind are answered.
void CheckUnderPoison(EventLoop& loop,
                      Fleet& fleet,
                      const Callers& callers,
                      Duration time) {
  RunFor(loop, kBlockPropagationTime, [] { return false; });
  const int before = fleet.crashes();
  const TimePoint since = MonotonicNow();
  RunFor(loop, time, [] { return false; });
  const int late = fleet.crashes() - before;
  if (late > kMaxLateCrashes) {
    fleet.violations().push_back(
        std::to_string(late) +
        " servers crashed on one request after it should be blocked; " +
        std::to_string(before) + " crashed before");
  }
  CheckAllKindsAnswered(fleet, callers, since);
}

int Run(const SoakOptions& options) {
  EventLoop loop;
  FleetOptions fleet_options;
  fleet_options.program = options.program;
  fleet_options.folder = options.folder;
  fleet_options.placement = options.placement;
  fleet_options.entry_hosts = options.entry_hosts;
  fleet_options.runners = options.runners;
  if (options.more_kinds) {
    fleet_options.event_texts = {"[DONE]", "", "part", " ", "id: 3"};
  }
  Fleet fleet(loop, fleet_options);
  if (!fleet.Start()) {
    std::printf("cannot start '%s'\n", options.program.c_str());
    return 2;
  }
  if (!RunFor(loop, kReadyTimeout,
              [&fleet] { return fleet.CountOpenGroups() >= 2; })) {
    fleet.violations().push_back("fewer than two groups opened within 20 s");
  }
  Callers callers(loop, fleet, options.seed, fleet_options.event_texts);
  const StallDetector stall_detector(loop, fleet, callers);
  Faults faults(loop, fleet, callers, options.seed + 1, options.more_kinds);
  // Entry hosts may still be starting.
  callers.RecordDisruption(MonotonicNow());
  callers.Start(kCallInterval);
  const bool has_poison = options.poison || options.poison_parts;
  PoisonCaller poison(loop, fleet, callers,
                      options.poison_parts ? PoisonKind::kPromptPart
                                           : PoisonKind::kWholeRequest,
                      options.seed + 2);
  if (has_poison) {
    poison.Start(kPoisonInterval);
  }
  Signals signals(loop, fleet, options.seed + 3);
  if (options.signals) {
    signals.Start(kSignalInterval);
  }
  Cuts cuts(loop, fleet, options.seed + 4);
  if (options.cuts) {
    cuts.Start(kCutPause);
  }
  faults.Start(kFaultInterval);
  RunFor(loop, Seconds(options.seconds), [] { return false; });
  faults.Stop();
  signals.Stop();
  cuts.Stop();
  if (has_poison) {
    CheckUnderPoison(loop, fleet, callers, kRecoveryTime);
    poison.Stop();
  } else {
    const TimePoint since = MonotonicNow();
    RunFor(loop, kRecoveryTime, [] { return false; });
    CheckAllKindsAnswered(fleet, callers, since);
  }
  callers.Stop();
  RunFor(loop, kDrainTimeout, [&callers] { return callers.idle(); });
  callers.Check(fleet.violations());
  signals.Check(callers, fleet.violations());
  cuts.Check(callers, fleet.violations());
  PrintViolations(options, fleet);
  std::printf(
      "%zu calls, %zu answered, %d faults, %zu copies of a request "
      "that crashed %d servers, %zu server signals with %zu requests checked, "
      "%zu cuts with %zu of %zu calls served at hosts cut off and %zu of %zu "
      "at "
      "others, %d stalls of the soak process\n",
      callers.count(), callers.CountAnswered(), faults.count(), poison.copies(),
      fleet.crashes(), signals.count(), signals.checked(), cuts.count(),
      cuts.at_cut().served, cuts.at_cut().calls, cuts.at_others().served,
      cuts.at_others().calls, stall_detector.count());
  const size_t bad = fleet.violations().size();
  std::printf("%d passed, %zu failed\n", bad == 0 ? 1 : 0, bad);
  return bad == 0 ? 0 : 1;
}

}  // namespace
}  // namespace filbertrack::soak

int main(int argc, char** argv) {
  CLI::App app(
      "Runs entry hosts under random faults and checks responses and requests.",
      "filbert-soak");
  filbertrack::soak::SoakOptions options;
  app.add_option("--entry", options.program, "Path of filbert-entry.")
      ->required();
  app.add_option("--folder", options.folder, "Directory for settings and logs.")
      ->required();
  app.add_option("--seed", options.seed,
                 "Seed of the random faults and calls.");
  app.add_option("--seconds", options.seconds,
                 "Duration of the fault injection, in seconds.");
  app.add_option("--entry-hosts", options.entry_hosts,
                 "Number of entry host processes.");
  app.add_flag(
      "--poison", options.poison,
      "Repeatedly send a request that crashes the servers that run it.");
  app.add_flag(
      "--poison-parts", options.poison_parts,
      "Repeatedly send requests, no two alike, that crash servers by a "
      "part of their prompts.");
  app.add_flag("--signals", options.signals,
               "Servers send rate limits, Retry-After and leaving signals.");
  app.add_flag(
      "--cuts", options.cuts,
      "Entry hosts are cut off from all servers, one after the other.");
  app.add_flag("--more-kinds", options.more_kinds,
               "Also: connections to the store go silent, servers fail after "
               "they ran a request, events have unusual texts.");
  app.add_option("--placement", options.placement,
                 "Setting [placement] mode of the entry hosts.");
  app.add_option("--runners", options.runners, "Initial number of runners.");
  CLI11_PARSE(app, argc, argv);
  return filbertrack::soak::Run(options);
}

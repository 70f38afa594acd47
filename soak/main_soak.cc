/// filbert-soak: runs entry hosts as processes under random faults from outside
/// and checks what callers and backend servers see.

#include <cstdio>

#include <CLI/CLI.hpp>

#include "soak_callers.h"
#include "soak_faults.h"
#include "soak_fleet.h"
#include "soak_signals.h"

namespace filbertrack::soak {
namespace {

constexpr Duration kReadyTimeout = Seconds(20);
constexpr Duration kFaultInterval = Milliseconds(500);
constexpr Duration kCallInterval = Milliseconds(15);
/// After the faults: time in which the fleet must serve again.
constexpr Duration kRecoveryTime = Seconds(12);
constexpr Duration kDrainTimeout = Seconds(8);
/// Between copies of a request that ends servers.
constexpr Duration kPoisonInterval = Milliseconds(150);
/// After the faults, until all entry hosts must know of it: the hosts that are
/// started again, and as long as the platform grants besides.
constexpr Duration kBlockPropagationTime = Seconds(6);
constexpr Duration kStallCheck = Milliseconds(100);
/// A turn of this process that takes longer is a stall.
constexpr Duration kMaxLoopGap = Seconds(1);
/// Between signals of servers.
constexpr Duration kSignalInterval = Milliseconds(700);
/// Servers that it may end later, over the whole fleet.
constexpr int kMaxLateCrashes = 3;

struct SoakOptions {
  std::string program;
  std::string folder;
  uint64_t seed = 1;
  int seconds = 20;
  int entry_hosts = 3;
  int runners = 8;
  bool poison = false;
  bool signals = false;
};

/// Runs the loop for a time, or until `done`. False where the time came first.
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

/// Notices when this process, and with it all backend servers and callers,
/// stood still: to the entry hosts that is a fault of everything at once.
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

void PrintViolations(const SoakOptions& options,
                     const std::vector<std::string>& violations) {
  for (const std::string& violation : violations) {
    std::printf("seed %llu: %s\n",
                static_cast<unsigned long long>(options.seed),
                violation.c_str());
  }
}

/// What holds once the faults are over, though copies of a request that ends
/// servers still come: it ends few more, and calls beside it are answered.
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
        std::to_string(late) + " servers ended late under one request, after " +
        std::to_string(before) + " before");
  }
  for (const CallKind kind :
       {CallKind::kStream, CallKind::kIdempotent, CallKind::kNonIdempotent}) {
    if (callers.CountAnswered(kind, since) == 0) {
      fleet.violations().push_back("calls of kind " +
                                   std::to_string(static_cast<int>(kind)) +
                                   " were not answered beside it");
    }
  }
}

int Run(const SoakOptions& options) {
  EventLoop loop;
  FleetOptions fleet_options;
  fleet_options.program = options.program;
  fleet_options.folder = options.folder;
  fleet_options.entry_hosts = options.entry_hosts;
  fleet_options.runners = options.runners;
  Fleet fleet(loop, fleet_options);
  if (!fleet.Start()) {
    std::printf("'%s' cannot be started.\n", options.program.c_str());
    return 2;
  }
  if (!RunFor(loop, kReadyTimeout,
              [&fleet] { return fleet.CountOpenGroups() >= 2; })) {
    fleet.violations().push_back("no two groups opened in the lead time");
  }
  Callers callers(loop, fleet, options.seed);
  const StallDetector stall_detector(loop, fleet, callers);
  Faults faults(loop, fleet, callers, options.seed + 1);
  // Entry hosts may still be starting.
  callers.RecordDisruption(MonotonicNow());
  callers.Start(kCallInterval);
  PoisonCaller poison(loop, fleet, callers, options.seed + 2);
  if (options.poison) {
    poison.Start(kPoisonInterval);
  }
  Signals signals(loop, fleet, options.seed + 3);
  if (options.signals) {
    signals.Start(kSignalInterval);
  }
  faults.Start(kFaultInterval);
  RunFor(loop, Seconds(options.seconds), [] { return false; });
  faults.Stop();
  signals.Stop();
  const size_t before = callers.CountAnswered();
  if (options.poison) {
    CheckUnderPoison(loop, fleet, callers, kRecoveryTime);
    poison.Stop();
  } else {
    RunFor(loop, kRecoveryTime, [] { return false; });
  }
  if (callers.CountAnswered() == before) {
    fleet.violations().push_back("nothing was answered after the faults");
  }
  callers.Stop();
  RunFor(loop, kDrainTimeout, [&callers] { return callers.idle(); });
  callers.Check(fleet.violations());
  signals.Check(callers, fleet.violations());
  PrintViolations(options, fleet.violations());
  std::printf(
      "%zu calls, %zu answered, %d faults, %zu copies of a request "
      "that ended %d servers, %zu signals of servers with %zu requests, "
      "%d stalls of the soak itself\n",
      callers.count(), callers.CountAnswered(), faults.count(), poison.copies(),
      fleet.crashes(), signals.count(), signals.checked(),
      stall_detector.count());
  const size_t bad = fleet.violations().size();
  std::printf("%d passed, %zu failed\n", bad == 0 ? 1 : 0, bad);
  return bad == 0 ? 0 : 1;
}

}  // namespace
}  // namespace filbertrack::soak

int main(int argc, char** argv) {
  CLI::App app("Runs entry hosts under random faults and checks what is seen.",
               "filbert-soak");
  filbertrack::soak::SoakOptions options;
  app.add_option("--entry", options.program, "Path of filbert-entry.")
      ->required();
  app.add_option("--folder", options.folder, "For settings and logs.")
      ->required();
  app.add_option("--seed", options.seed, "Of faults and calls.");
  app.add_option("--seconds", options.seconds, "Time with faults, in seconds.");
  app.add_option("--entry-hosts", options.entry_hosts,
                 "Processes of that kind.");
  app.add_flag("--poison", options.poison,
               "A request that ends servers comes again and again.");
  app.add_flag("--signals", options.signals,
               "Servers name limits, ask for rest and say that they leave.");
  app.add_option("--runners", options.runners, "Hosts of groups at the start.");
  CLI11_PARSE(app, argc, argv);
  return filbertrack::soak::Run(options);
}

/// filbert-soak: runs entry hosts as processes under random faults from outside
/// and checks what callers and backend servers see.

#include <cstdio>

#include <CLI/CLI.hpp>

#include "soak_callers.h"
#include "soak_faults.h"
#include "soak_fleet.h"

namespace filbertrack::soak {
namespace {

constexpr Duration kReadyLimit = Seconds(20);
constexpr Duration kFaultInterval = Milliseconds(500);
constexpr Duration kCallInterval = Milliseconds(15);
/// After the faults: time in which the fleet must serve again.
constexpr Duration kRecovery = Seconds(12);
constexpr Duration kLastCalls = Seconds(8);

struct Line {
  std::string program;
  std::string folder;
  uint64_t seed = 1;
  int seconds = 20;
  int entry_hosts = 3;
  int runners = 8;
};

/// Runs the loop for a time, or until `done`. False where the time came first.
template <typename Done>
bool RunFor(EventLoop& loop, Duration time, Done done) {
  bool over = false;
  const auto limit = loop.After(time, [&loop, &over] {
    over = true;
    loop.Stop();
  });
  const auto check = loop.Every(Milliseconds(20), [&loop, &done] {
    if (done()) {
      loop.Stop();
    }
  });
  loop.Run();
  return !over;
}

void Report(const Line& line, const std::vector<std::string>& violations) {
  for (const std::string& violation : violations) {
    std::printf("seed %llu: %s\n", static_cast<unsigned long long>(line.seed),
                violation.c_str());
  }
}

int Run(const Line& line) {
  EventLoop loop;
  FleetOptions options;
  options.program = line.program;
  options.folder = line.folder;
  options.entry_hosts = line.entry_hosts;
  options.runners = line.runners;
  Fleet fleet(loop, options);
  if (!fleet.Start()) {
    std::printf("'%s' cannot be started.\n", line.program.c_str());
    return 2;
  }
  if (!RunFor(loop, kReadyLimit, [&fleet] { return fleet.CountOpen() >= 2; })) {
    fleet.violations().push_back("no two groups opened in the lead time");
  }
  Callers callers(loop, fleet, line.seed);
  Faults faults(loop, fleet, callers, line.seed + 1);
  // Entry hosts may still be starting.
  callers.NoteUnplanned(MonotonicNow());
  callers.Start(kCallInterval);
  faults.Start(kFaultInterval);
  RunFor(loop, Seconds(line.seconds), [] { return false; });
  faults.Stop();
  const size_t before = callers.CountAnswered();
  RunFor(loop, kRecovery, [] { return false; });
  if (callers.CountAnswered() == before) {
    fleet.violations().push_back("nothing was answered after the faults");
  }
  callers.Stop();
  RunFor(loop, kLastCalls, [&callers] { return callers.idle(); });
  callers.Check(fleet.violations());
  Report(line, fleet.violations());
  std::printf("%zu calls, %zu answered, %d faults\n", callers.count(),
              callers.CountAnswered(), faults.count());
  const size_t bad = fleet.violations().size();
  std::printf("%d passed, %zu failed\n", bad == 0 ? 1 : 0, bad);
  return bad == 0 ? 0 : 1;
}

}  // namespace
}  // namespace filbertrack::soak

int main(int argc, char** argv) {
  CLI::App app("Runs entry hosts under random faults and checks what is seen.",
               "filbert-soak");
  filbertrack::soak::Line line;
  app.add_option("--entry", line.program, "Path of filbert-entry.")->required();
  app.add_option("--folder", line.folder, "For settings and logs.")->required();
  app.add_option("--seed", line.seed, "Of faults and calls.");
  app.add_option("--seconds", line.seconds, "Time with faults, in seconds.");
  app.add_option("--entry-hosts", line.entry_hosts, "Processes of that kind.");
  app.add_option("--runners", line.runners, "Hosts of groups at the start.");
  CLI11_PARSE(app, argc, argv);
  return filbertrack::soak::Run(line);
}

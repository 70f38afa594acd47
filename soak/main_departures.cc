/// filbert-soak-departures: backend servers leave while entry hosts have
/// troubles with the metadata store; checks how long requests reach them.

#include <cstdio>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>

#include "soak_departures.h"
#include "soak_fleet.h"

namespace filbertrack::soak {
namespace {

constexpr Duration kStartTime = Seconds(4);

struct DepartureOptions {
  std::string program;
  std::string folder;
  uint64_t seed = 1;
  int rounds = 1;
  int entry_hosts = 3;
  std::vector<std::string> troubles;
};

int Run(const DepartureOptions& options) {
  std::vector<StoreTrouble> troubles;
  for (const std::string& name : options.troubles) {
    const auto trouble = ParseTrouble(name);
    if (!trouble) {
      std::printf("unknown trouble '%s'\n", name.c_str());
      return 2;
    }
    troubles.push_back(*trouble);
  }
  EventLoop loop;
  FleetOptions fleet_options;
  fleet_options.program = options.program;
  fleet_options.folder = options.folder;
  fleet_options.entry_hosts = options.entry_hosts;
  fleet_options.runners = 4;
  // The one that stays.
  fleet_options.plain_servers = 1;
  Fleet fleet(loop, fleet_options);
  if (!fleet.Start()) {
    std::printf("cannot start '%s'\n", options.program.c_str());
    return 2;
  }
  Departures departures(loop, fleet, options.seed);
  loop.Call(kStartTime, [&loop] { loop.Stop(); });
  loop.Run();
  for (int round = 0; round < options.rounds; ++round) {
    for (const StoreTrouble trouble : troubles) {
      departures.RunRound(trouble);
    }
  }
  for (const std::string& violation : fleet.violations()) {
    std::printf("seed %llu: %s\n",
                static_cast<unsigned long long>(options.seed),
                violation.c_str());
  }
  const bool is_good = fleet.violations().empty();
  std::printf("%d passed, %d failed\n", is_good ? 1 : 0, is_good ? 0 : 1);
  return is_good ? 0 : 1;
}

}  // namespace
}  // namespace filbertrack::soak

int main(int argc, char** argv) {
  CLI::App app(
      "Lets backend servers leave while entry hosts have troubles with the "
      "store.",
      "filbert-soak-departures");
  filbertrack::soak::DepartureOptions options;
  app.add_option("--entry", options.program, "Path of filbert-entry.")
      ->required();
  app.add_option("--folder", options.folder, "Directory for settings and logs.")
      ->required();
  app.add_option("--seed", options.seed, "Seed of the random times.");
  app.add_option("--rounds", options.rounds, "Rounds with each trouble.");
  app.add_option("--entry-hosts", options.entry_hosts,
                 "Number of entry host processes.");
  app.add_option("--troubles", options.troubles,
                 "Names of troubles: none, one-cut-off, two-cut-off, stopped, "
                 "stopped-after-outage, silent, stalled, outage.")
      ->required()
      ->delimiter(',');
  CLI11_PARSE(app, argc, argv);
  return filbertrack::soak::Run(options);
}

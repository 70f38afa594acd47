/// One connection between an entry host and the store is reset. A runner that
/// never reports `draining` leaves just after that.
///
///   case_reset PROGRAM FOLDER RECORD

#include <cstdio>

#include "world.h"

namespace review {
namespace {

/// Bounds of the deployment donatia-ho.
constexpr Bounds kBounds{false, 3000, 2000, 2000, 8, 103};
/// From the reset to the removal of the runner's entry.
constexpr int kRemovedAfterMs = 200;
/// The runner goes on serving for this long after the removal.
constexpr int kServesMs = 5000;

int RunCase(World& world) {
  PlainRunner& leaving = world.Busiest();
  const EntryProcess& reset = *world.entries[0];
  if (HasTrouble()) {
    world.store.ResetWatch(0, "config");
    world.record.Add("a connection of " + reset.name() +
                     " to the store is reset");
  }
  Sleep(kRemovedAfterMs);
  const long acknowledged = leaving.RemoveEntry();
  Sleep(kServesMs);
  leaving.End();
  Sleep(1000);
  // The entry host whose connections were reset is not in touch and doesn't
  // count.
  const std::map<std::string, std::string> hosts = world.HostsOfRequests();
  const long bound = acknowledged + kBounds.drain_timeout_ms;
  size_t late = 0;
  long latest = 0;
  for (const struct Run& run : world.runs.All()) {
    const auto host = hosts.find(run.request);
    if (run.runner == leaving.id() && run.at_ms > bound &&
        host != hosts.end() && host->second != reset.name()) {
      ++late;
      latest = std::max(latest, run.at_ms - acknowledged);
    }
  }
  world.record.Add("removal acknowledged at " + std::to_string(acknowledged));
  world.record.Add(
      "requests that reached " + leaving.id() + " later than " +
      std::to_string(kBounds.drain_timeout_ms) +
      " ms after that, from entry hosts in touch: " + std::to_string(late) +
      ", the last after " + std::to_string(latest) + " ms");
  return late > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 4) {
    std::fprintf(stderr, "usage: %s PROGRAM FOLDER RECORD\n", argv[0]);
    return review::kCannotRun;
  }
  review::World world(argv[1], argv[2], argv[3], review::kBounds);
  if (!review::WarmUp(world)) {
    world.record.Add("the fleet does not serve before the disruption");
    return review::kCannotRun;
  }
  const int result = review::RunCase(world);
  world.record.Add(result == review::kBroken ? "the rule is broken"
                                             : "the rule holds");
  return result;
}

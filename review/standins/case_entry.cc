/// Cases in which an entry of another writer appears among the registered
/// runners.
///
///   case_entry recover|drain|fault PROGRAM FOLDER RECORD

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstring>

#include "world.h"

namespace review {
namespace {

constexpr const char* kOtherEntry = "i-0b7e55aa";
/// The runner serves for this long beyond drainTimeoutMs before it ends.
constexpr int kServesLongerMs = 1500;
/// Levels of a list in the deeply nested entry. Each takes two bytes; an entry
/// may have 1,048,576.
constexpr size_t kLevels = 300000;
/// The final fault: all processes are killed and are down for this long.
constexpr int kDownMs = 900;
constexpr int kRecoveryMs = 15000;
constexpr int kJudgedMs = 6000;

/// The field `version` ends in the middle of a character outside the basic
/// plane, as after cutting a text to a length: its escape is half of a pair.
std::string CutTextEntry() {
  return R"({"service":"batch","version":"nightly \ud83d","state":"idle"})";
}

/// The field `staged` has another type: lists within lists.
std::string NestedEntry() {
  return R"({"service":"batch","state":"idle","staged":)" +
         std::string(kLevels, '[') + std::string(kLevels, ']') + "}";
}

/// RECOVER: all processes are killed and started again while the entry is
/// there.
int RunRecover(World& world) {
  if (HasTrouble()) {
    world.store.Put("servers", kOtherEntry, CutTextEntry());
    world.record.Add("entry of another writer");
  }
  const long from = NowMs();
  Sleep(3000);
  const double before = world.ServedSince(from);
  for (const auto& entry : world.entries) {
    entry->Kill(SIGKILL);
  }
  Sleep(kDownMs);
  for (const auto& entry : world.entries) {
    entry->Restart();
  }
  Sleep(kRecoveryMs);
  const long judged_from = NowMs();
  Sleep(kJudgedMs);
  size_t count = 0;
  const double after = world.ServedSince(judged_from, &count);
  world.record.Add("served before the final fault: " + std::to_string(before));
  world.record.Add(
      "served of the requests sent later than " + std::to_string(kRecoveryMs) +
      " ms after the machines were back: " + std::to_string(after) + " of " +
      std::to_string(count));
  for (const auto& entry : world.entries) {
    world.record.Add(entry->name() +
                     (entry->IsReady() ? " is ready" : " is not ready"));
  }
  if (before < 0.25 || count < 50) {
    return kCannotRun;
  }
  return after < 0.25 ? kBroken : kHeld;
}

/// DRAIN: a runner leaves as planned while the entry is there.
int RunDrain(World& world) {
  if (HasTrouble()) {
    world.store.Put("servers", kOtherEntry, CutTextEntry());
    world.record.Add("entry of another writer");
  }
  Sleep(2000);
  PlainRunner& leaving = world.Busiest();
  const long acknowledged = leaving.Drain();
  const long bound = world.options.bounds.drain_timeout_ms;
  Sleep(bound + kServesLongerMs);
  leaving.RemoveEntry();
  leaving.End();
  Sleep(3000);
  size_t late = 0;
  long latest = 0;
  for (const Run& run : world.runs.All()) {
    if (run.runner == leaving.id() && run.at_ms > acknowledged + bound) {
      ++late;
      latest = std::max(latest, run.at_ms - acknowledged);
    }
  }
  world.record.Add(
      "requests that reached " + leaving.id() + " later than " +
      std::to_string(bound) +
      " ms after it was acknowledged as draining: " + std::to_string(late) +
      ", the last after " + std::to_string(latest) + " ms");
  return late > 0 ? kBroken : kHeld;
}

/// Fault: processes end by themselves.
int RunFault(World& world) {
  if (HasTrouble()) {
    world.store.Put("servers", kOtherEntry, NestedEntry());
    world.record.Add("entry of another writer");
  }
  const long from = NowMs();
  std::map<std::string, int> ends;
  while (NowMs() - from < 15000) {
    for (const auto& entry : world.entries) {
      ends[entry->name()] += entry->RestartIfEnded() ? 1 : 0;
    }
    Sleep(250);
  }
  int machines = 0;
  for (const auto& [name, count] : ends) {
    world.record.Add(name + " ended by itself " + std::to_string(count) +
                     " times");
    machines += count >= 3 ? 1 : 0;
  }
  world.record.Add("served since: " + std::to_string(world.ServedSince(from)));
  return machines >= 2 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 5) {
    std::fprintf(stderr,
                 "usage: %s recover|drain|fault PROGRAM FOLDER RECORD\n",
                 argv[0]);
    return review::kCannotRun;
  }
  review::World world(argv[2], argv[3], argv[4], review::Bounds{});
  if (!review::WarmUp(world)) {
    world.record.Add("the fleet does not serve before the disruption");
    return review::kCannotRun;
  }
  int result = review::kCannotRun;
  if (std::strcmp(argv[1], "recover") == 0) {
    result = review::RunRecover(world);
  } else if (std::strcmp(argv[1], "drain") == 0) {
    result = review::RunDrain(world);
  } else if (std::strcmp(argv[1], "fault") == 0) {
    result = review::RunFault(world);
  }
  world.record.Add(result == review::kBroken ? "the rule is broken"
                                             : "the rule holds");
  return result;
}

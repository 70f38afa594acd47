#pragma once

/// Injects random faults into processes, links, the store and backend servers.
/// Several faults may be active at a time.

#include <functional>
#include <random>

#include "soak_callers.h"
#include "soak_fleet.h"

namespace filbertrack::soak {

class Faults {
 public:
  /// With `more_kinds`, also injects faults that runs with earlier seeds do not
  /// have.
  Faults(EventLoop& loop,
         Fleet& fleet,
         Callers& callers,
         uint64_t seed,
         bool more_kinds);

  /// Injects faults at random times, one per `interval` on average.
  void Start(Duration interval);
  /// Injects no further faults and reverts the active ones.
  void Stop();
  int count() const { return m_count; }

 private:
  void ScheduleNext();
  void InjectFault();
  /// Logs `fault`, and calls `undo` after a random time below `max_delay`.
  void UndoWithin(Duration max_delay,
                  const std::string& fault,
                  std::function<void()> undo);

  EntryProcess& RandomEntry();
  /// Null if all of `hosts` are dead.
  RunnerHost* RandomLiveRunner(std::vector<std::unique_ptr<RunnerHost>>& hosts);

  void PauseEntry();
  void KillEntry();
  void StopEntry();
  void ReloadEntry();
  void StoreFault();
  void StoreLinkFault();
  void RunnerLinkFault();
  void KillRunner();
  void DrainRunner();
  void ExpireRegistration();
  void DropResponses();
  void ChangeConfig();
  // More kinds.
  void SilenceStoreConnections();
  void FailAfterRun();

  EventLoop& m_loop;
  Fleet& m_fleet;
  Callers& m_callers;
  std::mt19937_64 m_random;
  bool m_more_kinds;
  Duration m_interval{0};
  bool m_stopped = true;
  int m_count = 0;
  std::vector<std::function<void()>> m_undo;
};

}  // namespace filbertrack::soak

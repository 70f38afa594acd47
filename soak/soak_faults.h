#pragma once

/// Random faults from outside the programs, several at a time.

#include <functional>
#include <random>

#include "soak_callers.h"
#include "soak_fleet.h"

namespace filbertrack::soak {

class Faults {
 public:
  Faults(EventLoop& loop, Fleet& fleet, Callers& callers, uint64_t seed);

  /// Begins a fault each `interval` on average.
  void Start(Duration interval);
  /// No new faults; those that last are undone.
  void Stop();
  int count() const { return m_count; }

 private:
  void ScheduleNext();
  void InjectFault();
  /// Undoes something after a random time of up to `longest`.
  void UndoWithin(Duration max_delay, std::function<void()> undo);

  EntryProcess& RandomEntry();
  /// Null: none is left.
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

  EventLoop& m_loop;
  Fleet& m_fleet;
  Callers& m_callers;
  std::mt19937_64 m_random;
  Duration m_interval{0};
  bool m_stopped = true;
  int m_count = 0;
  std::vector<std::function<void()>> m_undo;
};

}  // namespace filbertrack::soak

#pragma once

/// Backend servers that say how much they take, under all the other faults.

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "soak_callers.h"
#include "soak_fleet.h"

namespace filbertrack::soak {

class Signals {
 public:
  Signals(EventLoop& loop, Fleet& fleet, uint64_t seed);

  /// A server begins to say something each `interval` on average.
  void Start(Duration interval);
  /// All servers take whatever comes, but those that leave.
  void Stop();

  /// Checks what came to the servers; to be called when no call is open.
  void Check(const Callers& callers, std::vector<std::string>& violations);

  size_t count() const { return m_periods.size(); }
  /// Requests that were compared with what the servers had said.
  size_t checked() const { return m_checked; }

 private:
  enum class Kind { kLimit, kRetryAfter, kLeaving };
  /// What a server said, and how long.
  struct SignalPeriod {
    Kind kind = Kind::kLimit;
    RunnerHost* host = nullptr;
    TimePoint begin;
    TimePoint end;
    double limit = 0;
    Duration retry_after{0};
  };
  struct Arrival {
    TimePoint at;
    /// Entry host that sent it; null: it is not known.
    const EntryProcess* entry = nullptr;
    bool refused = false;
  };

  void ScheduleNext();
  void StartSignal();
  /// A living server that says nothing now; null: there is none.
  RunnerHost* RandomUnsignalledServer();
  void StartLimit(RunnerHost& host);
  void StartRefusals(RunnerHost& host);
  void StartLeaving(RunnerHost& host);
  /// Ends what the server says after `time`.
  void UndoAfter(Duration time, std::function<void()> undo);

  std::vector<Arrival> ArrivalsAt(const RunnerHost& host) const;
  /// The arrival's entry host had passed on what the server said.
  bool HadReceivedSignal(const SignalPeriod& period,
                         const Callers& callers,
                         const Arrival& arrival) const;
  void CheckLimit(const SignalPeriod& period,
                  const Callers& callers,
                  std::vector<std::string>& violations);
  void CheckRetryAfter(const SignalPeriod& period,
                       std::vector<std::string>& violations);
  void CheckLeaving(const SignalPeriod& period,
                    const Callers& callers,
                    std::vector<std::string>& violations);

  EventLoop& m_loop;
  Fleet& m_fleet;
  std::mt19937_64 m_random;
  Duration m_interval{0};
  bool m_stopped = true;
  std::vector<SignalPeriod> m_periods;
  /// Servers that say something now, or have said that they leave.
  std::set<RunnerHost*> m_active;
  /// Entry host of each call.
  std::map<std::string, const EntryProcess*> m_entry_of;
  size_t m_checked = 0;
};

}  // namespace filbertrack::soak

#pragma once

/// Makes backend servers send rate limits, Retry-After and leaving signals
/// while other faults are active, and checks that entry hosts respect them.

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

  /// Starts signals at random times, one per `interval` on average.
  void Start(Duration interval);
  /// Ends all limits and refusals; servers that leave still do.
  void Stop();

  /// Checks the requests that reached the servers and appends violations. Call
  /// when no call is open.
  void Check(const Callers& callers, std::vector<std::string>& violations);

  size_t count() const { return m_periods.size(); }
  /// Requests, refusals and leaving notices that were checked against signals.
  size_t checked() const { return m_checked; }

 private:
  enum class Kind { kLimit, kRetryAfter, kLeaving };
  /// A signal of one server and the time during which it was sent.
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
    /// Entry host that sent it; null if unknown.
    const EntryProcess* entry = nullptr;
    bool refused = false;
  };

  void ScheduleNext();
  void StartSignal();
  /// A random live server without an active signal; null if at most
  /// kMinUnsignalledServers are left.
  RunnerHost* RandomUnsignalledServer();
  void StartLimit(RunnerHost& host);
  void StartRefusals(RunnerHost& host);
  void StartLeaving(RunnerHost& host);
  /// Calls `undo` after `time`, unless Stop() came first.
  void UndoAfter(Duration time, std::function<void()> undo);

  std::vector<Arrival> ArrivalsAt(const RunnerHost& host) const;
  /// Whether the entry host of `arrival` had received the signal: it forwarded
  /// a response of the server early enough and was not disrupted since.
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
  /// Servers with an active signal, and those that leave or have left.
  std::set<RunnerHost*> m_active;
  /// Entry host of each call.
  std::map<std::string, const EntryProcess*> m_entry_of;
  size_t m_checked = 0;
};

}  // namespace filbertrack::soak

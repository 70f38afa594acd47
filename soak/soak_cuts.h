#pragma once

/// Cuts single entry hosts off from all backend servers, in series and in
/// different ways, and checks that their callers are served all the same.

#include <random>
#include <set>
#include <string>
#include <vector>

#include "soak_callers.h"
#include "soak_fleet.h"

namespace filbertrack::soak {

class Cuts {
 public:
  Cuts(EventLoop& loop, Fleet& fleet, uint64_t seed);

  /// Cuts off one entry host at a time, with pauses of `pause` on average.
  void Start(Duration pause);
  /// Heals the cut in force and makes no further ones.
  void Stop();

  size_t count() const { return m_windows.size(); }
  /// First attempts that the check compared, at hosts that were cut off and at
  /// others in the same time, and how many of them were served.
  struct Served {
    size_t calls = 0;
    size_t served = 0;
  };
  /// Appends violations.
  void Check(const Callers& callers, std::vector<std::string>& violations);
  const Served& at_cut() const { return m_at_cut; }
  const Served& at_others() const { return m_at_others; }

 private:
  /// A cut and the time for which it was in force.
  struct Window {
    std::string entry;
    TimePoint began;
    TimePoint ended;
  };

  void ScheduleNext();
  void CutOne();
  void HealOne();
  /// Whether the process of the entry host was disturbed shortly before or
  /// during the call.
  bool IsDisturbed(const CallRecord& record) const;
  /// Ids of the requests that ran on a backend server while it lost responses
  /// or its own link was disturbed, whichever entry host sent them.
  std::set<std::string> RequestsOfDisturbedServers() const;
  /// Ids of the requests that a fault of a backend server's own link kept from
  /// the server, or cut off from their answers.
  std::set<std::string> HarmedRequests() const;

  EventLoop& m_loop;
  Fleet& m_fleet;
  std::mt19937_64 m_random;
  Duration m_pause{0};
  bool m_stopped = true;
  EntryProcess* m_current = nullptr;
  std::vector<Window> m_windows;
  Served m_at_cut;
  Served m_at_others;
};

}  // namespace filbertrack::soak

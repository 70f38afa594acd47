#pragma once

/// Backend servers leave around troubles of the metadata store and of the entry
/// hosts' connections to it. Checks how long requests still reach them, and
/// that servers whose registration lapsed in an outage are still used.

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "filbertrack/http_client.h"
#include "soak_fleet.h"

namespace filbertrack::soak {

enum class StoreTrouble {
  kNone,
  /// One entry host is cut off from the store.
  kOneCutOff,
  /// Two entry hosts are cut off, one after the other.
  kTwoCutOff,
  /// One entry host is stopped and continued.
  kStopped,
  /// An outage for all, and one entry host that is stopped from its end on.
  kStoppedAfterOutage,
  /// The open connections to the store go silent; new ones work.
  kSilent,
  /// One entry host is stopped while the servers leave, and callers continue to
  /// send to it. Unlike with kStopped, the bound holds as soon as it continues:
  /// nobody knows of a process that was not scheduled.
  kStalled,
  /// The store is away for all; a live server's registration lapses.
  kOutage,
};

/// The trouble of this name, or nullopt.
std::optional<StoreTrouble> ParseTrouble(std::string_view name);
std::string_view NameOf(StoreTrouble trouble);

class Departures {
 public:
  Departures(EventLoop& loop, Fleet& fleet, uint64_t seed);
  ~Departures();

  /// Lets servers leave during the trouble and appends a violation if requests
  /// reached them too late. Blocks for about 15 s.
  void RunRound(StoreTrouble trouble);

 private:
  using Servers = std::vector<PlatformRunnerStandin*>;

  struct Answers {
    size_t calls = 0;
    size_t served = 0;
  };

  void RunLoop(Duration time);
  void SendRequests();
  Duration Draw(Duration min, Duration max);
  EntryProcess& Other(const EntryProcess& than);

  /// Causes the trouble and returns at its end.
  void Disturb(StoreTrouble trouble);
  void CutOff(EntryProcess& entry, Duration time);
  void StopFor(EntryProcess& entry, Duration time);
  void SilenceConnections();
  /// Bounds do not hold for requests of the host until a stable window later.
  void MarkDisturbed(const EntryProcess& entry);
  void MarkAllDisturbed();

  /// Lets the servers leave and returns the time.
  static TimePoint Leave(const Servers& servers, bool reports);
  void CheckDeparture(StoreTrouble trouble,
                      const Servers& servers,
                      bool reports,
                      TimePoint left);
  void RunOutage();
  void RunStall(const Servers& leaving, bool reports);

  EventLoop& m_loop;
  Fleet& m_fleet;
  std::mt19937_64 m_random;
  HttpClient m_client;
  std::map<std::string, std::unique_ptr<HttpCall>> m_open;
  std::unique_ptr<Timer> m_send_timer;
  /// By name of the entry host, the end of its last disturbance.
  std::map<std::string, TimePoint> m_disturbed_until;
  Answers m_answers;
  uint64_t m_last_id = 0;
  size_t m_rounds = 0;
};

}  // namespace filbertrack::soak

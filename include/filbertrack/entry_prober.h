#pragma once

/// Asks the hosts that groups are made of directly how they are.
///
/// A question that is not answered soon is asked once more beside the first, on
/// another connection; a host that answers neither is silent. One lost packet
/// delays one question by the time until it is sent again, which is less than
/// the second question takes, so a host is not given up for it. Asked one after
/// the other the same two questions took 0.7 s and the waits between ticks.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "filbertrack/entry_ports.h"

namespace filbertrack {

struct ProbePolicy {
  /// How often members of groups are asked.
  Duration interval = Milliseconds(500);
  /// Hosts without a group are asked this many times less often.
  int idle_divisor = 4;
  /// Both questions end this long after the first was asked: twice the shortest
  /// time after which a lost packet is sent again.
  Duration patience = Milliseconds(400);
  bool asks_twice = true;
  /// The second question follows after this: answers come within some 10 ms.
  Duration second_after = Milliseconds(150);
};

class EntryProber {
 public:
  using Clock = std::function<TimePoint()>;
  /// Runs the action after the delay.
  using Schedule =
      std::function<void(Duration delay, std::function<void()> action)>;

  EntryProber(EngineLink& engines,
              const ProbePolicy& policy,
              Clock clock,
              Schedule schedule);
  ~EntryProber();

  /// Asks the hosts whose turn has come.
  void Tick(const ServerDirectory& directory, const Catalog& catalog);

  /// Forgets what was found; answers that are still to come count no more.
  void Clear();

  const HostFindings& findings() const { return m_findings; }

  /// Whether each host of the service was asked once: until then a host that
  /// loads for an earlier controller looks idle.
  bool AllAsked(const ServerDirectory& directory,
                std::string_view service) const;

 private:
  struct Probe {
    /// Counts the rounds of questions to this host.
    uint64_t round = 0;
    int open = 0;
    bool answered = false;
    /// At least one round ended.
    bool ended = false;
    TimePoint asked_at;
  };

  void Ask(const BackendServer& server);
  /// The second question of the round, unless the first was answered.
  void AskAgain(const BackendServer& server, uint64_t round);
  void AskOnce(const BackendServer& server, Duration timeout);
  void OnAnswer(const std::string& id,
                uint64_t round,
                const ProbeAnswer& answer);
  void Note(const std::string& id, HostHealth health, bool busy);

  EngineLink& m_engines;
  ProbePolicy m_policy;
  Clock m_clock;
  Schedule m_schedule;
  HostFindings m_findings;
  std::map<std::string, Probe, std::less<>> m_probes;
  /// Replaced by Clear(); what was asked before it does not count.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace filbertrack

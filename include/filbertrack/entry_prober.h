#pragma once

/// Asks the hosts that groups are made of directly how they are.
///
/// A question that is not answered soon is asked once more beside the first, on
/// another connection; a host that answers neither is silent. One lost packet
/// delays one question by the time until it is sent again, which is less than
/// the second question takes, so a host is not given up for it. Asked one after
/// the other the same two questions took 0.7 s and the waits between ticks.
///
/// A prober whose own link or processor is late hears no answers either. It
/// would declare hosts silent that live, and the planner would take their
/// groups apart, until none serves. So a host counts as silent only while
/// others that were asked at the same time answer; where most do not, nothing
/// is said of those that fell silent, and what the store tells of lapsed
/// registrations stands.

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
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
  Duration timeout = Milliseconds(400);
  bool hedged = true;
  /// The second question follows after this: answers come within some 10 ms.
  Duration hedge_delay = Milliseconds(150);
  /// Rounds that began up to this long before a silent host's are compared with
  /// it: what delayed that one delayed them too.
  Duration comparison_window = Milliseconds(50);
  /// At least this part of them must have been answered, once they had time to
  /// be. Half: a third of the fleet may be lost at once.
  double min_answered = 0.5;
  /// With fewer rounds to compare, too little is known to doubt oneself.
  size_t min_rounds = 8;
  /// A prober that is late asks less often, twice the interval each time, up to
  /// this many times: a host with a twelfth of the capacity may have to stand
  /// in, and lost hosts found late are better than none.
  int max_interval_factor = 16;
  /// While questions are spread, part of the even rate that is allowed: over 1,
  /// so that a host whose turn was late catches up.
  double rate_headroom = 1.5;
  /// After so long without being late it asks twice as often again.
  Duration recovery_interval = Seconds(10);
};

class EntryProber {
 public:
  using Clock = std::function<TimePoint()>;
  /// Runs the action after the delay.
  using Schedule =
      std::function<void(Duration delay, std::function<void()> action)>;

  EntryProber(EngineClient& engines,
              const ProbePolicy& policy,
              Clock clock,
              Schedule schedule);
  ~EntryProber();

  /// Asks the hosts whose turn has come.
  void Tick(const ServerDirectory& directory, const Catalog& catalog);

  /// Forgets what was found; answers that are still to come count no more.
  void Clear();

  const HostProbeResults& probe_results() const { return m_probe_results; }

  /// Whether each host of the service was asked once: until then a host that
  /// loads for an earlier controller looks idle.
  bool AllProbed(const ServerDirectory& directory,
                 std::string_view service) const;

 private:
  struct ProbeState {
    /// The latest round of questions to this host; 0: none yet.
    uint64_t round = 0;
    int in_flight = 0;
    bool answered = false;
    /// At least one round ended.
    bool completed = false;
    TimePoint started_at{};
    /// Beginning of the first of the rounds that went unanswered in a row.
    std::optional<TimePoint> unanswered_since{};
    /// Of the registration that the rounds are about.
    uint64_t process_start_ms = 0;
  };

  /// One round of questions to one host.
  struct Round {
    TimePoint started_at;
    bool answered = false;
    /// The host counted as silent already, so its silence says nothing.
    bool was_silent = false;
  };

  enum class Verdict {
    /// Others that were asked at that time, or since, answered.
    kSilent,
    /// Most of them did not answer either, though they had time to.
    kProberLate,
    /// Questions are spread, and too few were asked since to tell.
    kUndecided,
  };
  /// What it means that a host has not answered since it was asked then.
  Verdict Evaluate(TimePoint started_at) const;
  void OnUnanswered(const std::string& id, ProbeState& probe);
  bool IsSilent(std::string_view id) const;
  void MarkAnswered(uint64_t round);
  void ForgetOldRounds(TimePoint now);
  void UpdateLateness(bool late, TimePoint now);
  void RecoverInterval(TimePoint now);
  /// How many hosts may be asked in this tick. While the intervals are
  /// stretched, questions are spread over them: asked all at once they would
  /// queue on the link again.
  size_t RefillBudget(size_t hosts, TimePoint now);
  /// What was found of an earlier process does not hold for the next one.
  void ForgetEarlierInstance(const BackendServer& server);
  void StartRound(const BackendServer& server);
  /// The second question of the round, unless the first was answered.
  void SendHedge(const BackendServer& server, uint64_t round);
  void SendProbe(const BackendServer& server, Duration timeout);
  void OnProbeAnswer(const std::string& id,
                     uint64_t round,
                     const ProbeAnswer& answer);
  void RecordResult(const std::string& id, const HostProbeResult& result);

  EngineClient& m_engines;
  ProbePolicy m_policy;
  Clock m_clock;
  Schedule m_schedule;
  HostProbeResults m_probe_results;
  std::map<std::string, ProbeState, std::less<>> m_probes;
  /// Rounds of all hosts, the oldest first; `m_forgotten_rounds` came before.
  std::deque<Round> m_rounds;
  uint64_t m_forgotten_rounds = 0;
  bool m_was_late = false;
  /// Intervals are this many times as long.
  int m_interval_factor = 1;
  /// Last change of it, or last time that the prober was late.
  TimePoint m_factor_changed_at{};
  /// Questions that may be asked, while they are spread.
  double m_budget = 0;
  TimePoint m_ticked_at{};
  /// Replaced by Clear(); what was asked before it does not count.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace filbertrack

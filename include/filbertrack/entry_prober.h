#pragma once

/// Health probes of the hosts that form groups, sent to the hosts directly.
///
/// Probes are hedged: if the first probe of a round is not answered after a
/// short delay, a second one is sent in parallel on another connection. A host
/// that answers neither is silent. A single lost packet delays only one of the
/// two probes, by its retransmission timeout, so it does not make a host
/// silent. Sent one after the other, the two probes took 0.7 s plus the time
/// between ticks.
///
/// A prober whose own link or processor is overloaded receives no answers
/// either. It would report live hosts as silent, and the planner would dissolve
/// their groups until none serves. A host therefore counts as silent only while
/// other hosts that were probed at the same time answer. If most do not, no
/// result is recorded for the unanswered hosts, and hosts are lost only by the
/// expiry of their registrations in the store.

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "filbertrack/entry_ports.h"

namespace filbertrack {

struct ProbePolicy {
  /// Interval between probe rounds to a member of a group.
  Duration interval = Milliseconds(500);
  /// Hosts without a group are probed this many times less often.
  int idle_divisor = 4;
  /// Timeout of a round, for both probes, from the first one on. Twice the
  /// minimum TCP retransmission timeout.
  Duration timeout = Milliseconds(400);
  /// Sends a second probe if the first one is not answered in time.
  bool hedged = true;
  /// Delay of the second probe. Answers usually arrive within about 10 ms.
  Duration hedge_delay = Milliseconds(150);
  /// An unanswered round is compared with the rounds of other hosts that
  /// started up to this long before it, or later. An overload of the prober
  /// delays those too.
  Duration comparison_window = Milliseconds(50);
  /// Minimum share of the compared rounds that must have been answered for the
  /// host to count as silent. Half, as a third of the fleet may fail at once.
  double min_answered = 0.5;
  /// Minimum number of compared rounds. With fewer, an overload of the prober
  /// cannot be detected.
  size_t min_rounds = 8;
  /// An overloaded prober doubles its probe interval, up to this factor. A host
  /// with a twelfth of the capacity may have to act as prober, and it is better
  /// to detect failed hosts late than not at all.
  int max_interval_factor = 16;
  /// While the interval is lengthened, ratio of the allowed probe rate to the
  /// rate that probes every host once per interval. Above 1, so that delayed
  /// probes can catch up.
  double rate_headroom = 1.5;
  /// From this many hosts found silent within `confirm_window` on, other entry
  /// hosts are asked whether the hosts answer them: a partition between this
  /// host and some of them looks like their failure.
  size_t confirm_from = 3;
  Duration confirm_window = Seconds(1);
  /// Time in which hosts found silent are collected before they are reported.
  Duration confirm_delay = Milliseconds(20);
  /// Time after a change of the interval until it is halved again.
  Duration recovery_interval = Seconds(10);
};

class EntryProber {
 public:
  using Clock = std::function<TimePoint()>;
  /// Runs the action after the delay.
  using Schedule =
      std::function<void(Duration delay, std::function<void()> action)>;

  /// Receives the ids of the hosts that answered another entry host.
  using Confirmed = std::function<void(const std::set<std::string>& answered)>;
  /// Asks other entry hosts to probe the hosts.
  using Confirm =
      std::function<void(std::vector<std::string> hosts, Confirmed done)>;

  EntryProber(EngineClient& engines,
              const ProbePolicy& policy,
              Clock clock,
              Schedule schedule);
  ~EntryProber();

  /// Without a confirmation, this host's own probes decide. `disputed` is
  /// called with the number of hosts that answer others but not this one.
  void SetConfirmation(Confirm confirm, std::function<void(size_t)> disputed) {
    m_confirm = std::move(confirm);
    m_on_disputed = std::move(disputed);
  }

  /// Starts a round for each host that is due, and drops hosts that are no
  /// longer in the directory.
  void Tick(const ServerDirectory& directory, const Catalog& catalog);

  /// Discards the rounds that are not answered yet, and starts new ones at the
  /// next Tick(): this host did not reach the servers for a part of their time.
  void DiscardRounds();

  /// Discards all results; answers to earlier probes are ignored.
  void Clear();

  const HostProbeResults& probe_results() const { return m_probe_results; }

  /// Whether every host of the service that is not draining has completed a
  /// round. Until then, a host that is loading weights on the order of an
  /// earlier lease holder looks idle.
  bool AllProbed(const ServerDirectory& directory,
                 std::string_view service) const;

 private:
  struct ProbeState {
    /// Number of the latest round; 0: none yet.
    uint64_t round = 0;
    /// Probes in flight, including a second one that is scheduled.
    int in_flight = 0;
    /// The latest round was answered.
    bool answered = false;
    /// At least one round has produced a result.
    bool completed = false;
    TimePoint started_at{};
    /// Start of the first of the consecutive rounds that were not answered and
    /// not evaluated yet; nullopt if there is none.
    std::optional<TimePoint> unanswered_since{};
    /// Start time of the registered process, Unix ms.
    uint64_t process_start_ms = 0;
  };

  /// A probe round to one host.
  struct Round {
    TimePoint started_at;
    bool answered = false;
    /// The host was silent or gone already, so this round is not compared.
    bool was_silent = false;
  };

  enum class Verdict {
    /// The host is silent: enough of the compared rounds were answered, or
    /// there are too few to compare.
    kSilent,
    /// The prober is overloaded: most of the compared rounds were not answered.
    kProberLate,
    /// The interval is lengthened, and there are too few rounds to compare yet.
    kUndecided,
  };
  /// Evaluates why a host has not answered since `started_at`.
  Verdict Evaluate(TimePoint started_at) const;
  void OnUnanswered(const std::string& id, ProbeState& probe);
  /// Records that the host is silent, or has it confirmed first.
  void ReportSilent(const std::string& id, uint64_t process_start_ms);
  void ReportCollected();
  void OnConfirmed(std::span<const std::string> hosts,
                   const std::set<std::string>& answered);
  bool IsSilent(std::string_view id) const;
  void MarkAnswered(uint64_t round);
  void ForgetOldRounds(TimePoint now);
  /// Logs a change of `late`, and lengthens the interval if the prober is late.
  void UpdateLateness(bool late, TimePoint now);
  void RecoverInterval(TimePoint now);
  /// Returns how many hosts may be probed in this tick. While the interval is
  /// lengthened, probes are spread evenly over it, because probes sent all at
  /// once would queue on the link again.
  size_t RefillBudget(size_t hosts, TimePoint now);
  /// Discards the results of an earlier process of the server.
  void ForgetEarlierInstance(const BackendServer& server);
  void StartRound(const BackendServer& server);
  /// Sends the second probe of the round unless the first one was answered.
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
  Confirm m_confirm;
  std::function<void(size_t)> m_on_disputed;
  /// When hosts were found silent, within ProbePolicy::confirm_window.
  std::deque<TimePoint> m_silent_at;
  /// Hosts found silent that are not reported yet.
  std::vector<std::string> m_collected;
  HostProbeResults m_probe_results;
  std::map<std::string, ProbeState, std::less<>> m_probes;
  /// Recent rounds of all hosts, oldest first. Round number n is at index
  /// n - 1 - m_forgotten_rounds.
  std::deque<Round> m_rounds;
  uint64_t m_forgotten_rounds = 0;
  bool m_was_late = false;
  /// Factor by which the probe intervals are lengthened: a power of two.
  int m_interval_factor = 1;
  /// Time of the latest change of the factor.
  TimePoint m_factor_changed_at{};
  /// Number of probes that may be sent now while the interval is lengthened.
  double m_budget = 0;
  TimePoint m_ticked_at{};
  /// Replaced by Clear(), so that answers to earlier probes are ignored.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace filbertrack

#pragma once

/// Replay of a burst on 97 simulated entry hosts in three data centres and 27
/// targets of 34 slots, with the messages between the hosts and their delays.

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fake_engine.h"
#include "filbertrack/placement_client.h"
#include "filbertrack/placement_placer.h"

namespace filbertrack {

/// A kind of requests.
struct ReplayKind {
  int priority;
  double prompt_tokens;
  int answer_tokens;
  Duration slo;
  /// Its part of all requests.
  double part;
};

/// A failure of the host that places at `at` after the start, or of one that
/// ranks `rank` places behind it at the start.
struct ReplayFault {
  enum class Kind {
    /// Its process ends.
    kKilled,
    /// It executes nothing for `length`.
    kFrozen,
    /// Messages of every second asker do not reach it for `length`.
    kNoRequests,
    /// Its replies do not reach every second asker for `length`.
    kNoReplies,
    /// Its process ends, and another one of the same name starts after
    /// `length`.
    kRestarted,
  };

  Kind kind = Kind::kKilled;
  Duration at{0};
  Duration length{0};
  size_t rank = 0;
};

enum class ReplayScheduler {
  /// Each host chooses by the loads that the others reported.
  kReported,
  kPlaced,
  /// Knows the state of each engine at any time and places without delay,
  /// `margin` before a request would be late.
  kOmniscient,
};

struct ReplayScenario {
  ReplayScheduler scheduler = ReplayScheduler::kPlaced;
  std::vector<ReplayKind> kinds = {{1, 714, 115, Milliseconds(250), 1}};
  double pace = 0.6;
  /// Requests per second that the targets can carry.
  double capacity = 0;
  /// Offered load during the burst, relative to `capacity`.
  double burst = 1.25;
  Duration margin{0};
  /// A third of the targets is gone from 3 s to 5 s.
  bool loses_targets = false;
  /// From 2.5 s, 30 hosts stop in turn, the strongest first.
  bool stops_hosts = false;
  /// The placer's process ends at 3.5 s.
  bool kills_placer = false;
  uint64_t seed = 11;
  std::vector<ReplayFault> faults{};
};

/// Of the requests that arrive during the burst, from 2 s to 5 s.
struct ReplayResult {
  struct Count {
    int offered = 0;
    int in_time = 0;
    int late = 0;
    int refused = 0;
    int failed = 0;

    double ServedShare() const {
      return static_cast<double>(in_time + late) / offered;
    }
  };
  Count all;
  std::map<int, Count> by_priority;
  /// Most requests under way at one target.
  int most_requests = 0;
  /// Asks that were decided locally.
  int fallbacks = 0;
  /// Longest time from a fault until no live host asks the failed one; zero
  /// without faults.
  Duration moved_after{0};
  /// Decisions for asks that were decided already or are not known.
  int stray_decisions = 0;
};

class PlacementReplay {
 public:
  explicit PlacementReplay(ReplayScenario scenario);
  ReplayResult Run();

 private:
  struct Host {
    std::string name;
    std::string data_centre;
    int capacity = 1;
    std::unique_ptr<TargetSelector> selector;
    std::unique_ptr<PlacementClient> client;
    std::unique_ptr<Placer> placer;
    bool is_alive = true;
    /// It does not drain.
    bool takes_requests = true;
    bool is_frozen = false;
    /// It is in the membership of the others.
    bool is_listed = true;
    /// What reached it while it was frozen.
    std::vector<std::function<void()>> inbox;
    TimePoint wake = TimePoint::max();
  };
  struct Request {
    size_t host = 0;
    const ReplayKind* kind = nullptr;
    TimePoint arrived;
    size_t target = 0;
    Duration predicted{0};
    TimePoint sent;
    bool has_begun = false;
    std::set<std::string, std::less<>> excluded;
  };
  using Snapshot = std::vector<std::map<std::string, TargetLoad, std::less<>>>;

  void At(TimePoint time, std::function<void()> action);
  void Arrive();
  Duration Delay(const std::string& from, const std::string& to) const;
  size_t IndexOf(const std::string& host) const;

  void Place(int number);
  void ChooseByReports(int number);
  void Send(int number, size_t target, Duration predicted, bool is_granted);
  void Receive(int number);
  void OnFirst(int number, TimePoint at);
  void OnEnd(int number, DispatchResult result);
  /// The part of OnEnd() that the request's host executes.
  void FinishRequest(int number, DispatchResult result);
  void Count(const Request& request, int ReplayResult::Count::*counter);
  void RunEngine(size_t target);

  /// Sends what the client and the placer of a host have to send now, and
  /// schedules their timers.
  void Pump(size_t host);
  void SendRequest(size_t from,
                   const std::string& to,
                   PlacementRequest request);
  void SendNotice(size_t from, const std::string& to, PlacementNotice notice);
  void Apply(const std::vector<PlacementClient::Decided>& decided);
  /// Sets the placer that the live and not draining hosts have in common.
  void AgreeOnPlacer(size_t host);

  void ReportLoads();
  TargetLoads ReportedLoads() const;
  void SetTargets(bool all);
  void ScheduleTrouble();
  void LoseTargets();
  void StopHost(size_t host);
  void KillPlacer();
  void ScheduleFaults();
  void Fail(size_t host, const ReplayFault& fault);
  void Thaw(size_t host);
  void Restart(size_t host);
  /// Every host learns the live hosts, one after the other from `at`.
  void ScheduleAgreement(TimePoint at, Duration step);
  /// Notes when no live host asks the failed one any more.
  void WatchMove(size_t failed, TimePoint since);
  /// Whether a message of the exchange between an asker and a placer is lost.
  bool IsLost(size_t asker, size_t placer, bool is_reply) const;
  /// Runs `action` at the host, later if it is frozen.
  void RunAt(size_t host, std::function<void()> action);

  /// Time of the first event if the request was sent to the target now.
  TimePoint PredictExactly(const Request& request, size_t target) const;
  /// A lower bound of the same.
  TimePoint EarliestFirst(const Request& request, size_t target) const;
  void ServeOmniscient();

  ReplayScenario m_scenario;
  TimePoint m_now;
  std::multimap<TimePoint, std::function<void()>> m_actions;
  std::vector<Host> m_hosts;
  std::vector<FakeEngine> m_engines;
  std::vector<bool> m_is_running;
  std::vector<bool> m_is_gone;
  std::vector<int> m_under_way;
  std::map<int, Request> m_requests;
  int m_number = 0;
  std::deque<int> m_waiting;
  std::deque<Snapshot> m_reports;
  ReplayResult m_result;
  std::mt19937_64 m_random;
  /// Hosts whose exchange with every second asker is cut, and how.
  std::map<size_t, ReplayFault::Kind> m_cuts;
  std::exponential_distribution<double> m_gap{1};
  std::discrete_distribution<size_t> m_draw_host;
  std::discrete_distribution<size_t> m_draw_kind;
};

}  // namespace filbertrack

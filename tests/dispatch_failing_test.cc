#include <doctest/doctest.h>

#include <map>

#include "dispatch_fixture.h"

/// Servers that fail each request at once, beside sound ones.

namespace filbertrack {
namespace {

constexpr int kSlots = 6;
constexpr Duration kTick = Milliseconds(1);
constexpr Duration kWork = Milliseconds(60);
constexpr Duration kFailure = Milliseconds(5);
constexpr int kMaxAttempts = 2;

/// Callers at one entry host, each of which sends its next request once the
/// last one has ended. The first servers fail.
class FailingFleet {
 public:
  FailingFleet(int servers, int faulty, int callers)
      : m_faulty(faulty), m_callers(static_cast<size_t>(callers)) {
    std::vector<DispatchTarget> targets = MakeTargets(servers, "");
    for (DispatchTarget& target : targets) {
      target.slots = kSlots;
    }
    m_selector.SetTargets(targets, MakeCatalog(), kStart);
  }

  void Run(Duration time) {
    for (const TimePoint end = m_now + time; m_now < end; m_now += kTick) {
      for (Caller& caller : m_callers) {
        Step(caller);
      }
    }
  }

  void SetFaulty(int faulty) { m_faulty = faulty; }
  /// Requests that were answered, and sends to servers that fail, since the
  /// last call.
  std::pair<int, int> TakeCounts() {
    return {std::exchange(m_answered, 0), std::exchange(m_failed, 0)};
  }

 private:
  struct Caller {
    std::string target;
    std::set<std::string, std::less<>> tried;
    TimePoint until = kStart;
  };

  bool IsFaulty(const std::string& target) const {
    return std::stoi(target.substr(1)) < m_faulty;
  }

  void Step(Caller& caller) {
    if (m_now < caller.until) {
      return;
    }
    if (!caller.target.empty()) {
      End(caller);
    }
    DispatchQuery query;
    query.service = "plain";
    query.time_to_slo = Milliseconds(300);
    query.time_left = Milliseconds(1500);
    query.excluded = &caller.tried;
    const DispatchDecision decision = m_selector.Choose(query, m_now);
    if (const auto* choice = std::get_if<DispatchChoice>(&decision)) {
      Send(caller, choice->target.id);
    } else {
      caller.until = m_now + std::get<DispatchRefusal>(decision).retry_after;
      caller.tried.clear();
    }
  }

  void Send(Caller& caller, const std::string& target) {
    caller.target = target;
    caller.tried.insert(target);
    m_selector.OnSent(target, 0);
    const int running = ++m_running[target];
    const double queued = std::max(1.0, static_cast<double>(running) / kSlots);
    caller.until = m_now + (IsFaulty(target) ? kFailure : Scale(kWork, queued));
    m_failed += IsFaulty(target) ? 1 : 0;
  }

  void End(Caller& caller) {
    const std::string target = std::exchange(caller.target, {});
    --m_running[target];
    const bool fails = IsFaulty(target);
    if (!fails) {
      m_selector.OnFirstEvent(target, 0, kWork, kWork);
    }
    m_selector.OnEnded(
        target, 0, fails,
        fails ? DispatchResult::kFailed : DispatchResult::kAnswered, m_now);
    m_answered += fails ? 0 : 1;
    if (!fails || caller.tried.size() >= kMaxAttempts) {
      caller.tried.clear();
    }
  }

  int m_faulty;
  std::vector<Caller> m_callers;
  TargetSelector m_selector{DispatchPolicy{}, 1};
  TimePoint m_now = kStart;
  std::map<std::string, int> m_running;
  int m_answered = 0;
  int m_failed = 0;
};

/// Requests a second that sound servers answer for these callers.
double Room(int sound, int callers) {
  return std::min(callers, sound * kSlots) / ToSeconds(kWork);
}

TEST_CASE("servers that fail at once do not keep requests from sound ones") {
  // Guards against a service that answers nothing although sound servers are
  // idle: a server that fails fast has the fewest requests.
  constexpr int kServers = 8;
  for (int faulty = 1; faulty < kServers; ++faulty) {
    for (const int callers : {4, 8, 24, 60}) {
      CAPTURE(faulty);
      CAPTURE(callers);
      FailingFleet fleet(kServers, faulty, callers);
      fleet.Run(Seconds(1));
      fleet.TakeCounts();
      fleet.Run(Seconds(10));
      const auto [answered, failed] = fleet.TakeCounts();
      CHECK(answered >= 0.95 * 10 * Room(kServers - faulty, callers));
      CHECK(failed <= 10 * 3 * faulty);
    }
  }
}

TEST_CASE("servers that all failed are in use 2 s after they recover") {
  constexpr int kServers = 8;
  constexpr int kCallers = 24;
  FailingFleet fleet(kServers, kServers, kCallers);
  fleet.Run(Seconds(10));
  fleet.SetFaulty(0);
  fleet.Run(Seconds(2));
  fleet.TakeCounts();
  fleet.Run(Seconds(5));
  CHECK(fleet.TakeCounts().first >= 0.95 * 5 * Room(kServers, kCallers));
}

}  // namespace
}  // namespace filbertrack

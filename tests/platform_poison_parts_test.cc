#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <set>

#include "platform_site.h"

/// Tests the handling of a faulty part of a prompt: requests that have nothing
/// but that part in common crash the servers which begin to answer them. The
/// tests cover the whole request path of several entry hosts, with stand-ins
/// for the platform.

namespace filbertrack {
namespace {

/// Servers that may crash before the part is blocked, and requests with it that
/// may reach servers after that and the stable window, over the whole fleet.
constexpr size_t kFreeCrashes = 5;
constexpr size_t kMaxLateArrivals = 3;
constexpr size_t kMaxCrashes = 8;
constexpr Duration kStableWindow = Seconds(3);
/// Time from a crash until a new process of the server registers.
constexpr Duration kRestartTime = Seconds(2);
constexpr Duration kFaultyInterval = Milliseconds(110);
constexpr Duration kSoundInterval = Milliseconds(15);
constexpr std::string_view kFaultyPart = "5c1e07a2";
constexpr double kMinServed = 0.95;

/// A fleet whose servers crash on a part of a prompt and are replaced, with
/// callers at all entry hosts. No two requests are alike.
class FaultyPartSite : public Site {
 public:
  explicit FaultyPartSite(std::string faulty_part = std::string(kFaultyPart))
      : Site(28, 3), m_faulty_part(std::move(faulty_part)) {
    for (const auto& runner : runners) {
      runner->SetCrashParts({m_faulty_part});
    }
  }

  bool WaitUntilReady(size_t targets) {
    return RunUntil(loop, [this, targets] {
      return std::all_of(
          nodes.begin(), nodes.end(), [targets](const auto& node) {
            return node->host.IsReady() && node->CountTargets() >= targets;
          });
    });
  }

  /// Sends requests for `time`: those with the faulty part, and sound ones of
  /// the same caller and, if `shares_first`, with the same first part.
  void SendFor(Duration time, bool shares_first = true) {
    const TimePoint until = MonotonicNow() + time;
    const auto faulty = loop.Every(kFaultyInterval, [this, shares_first] {
      const std::string first = shares_first ? "aa" : "b" + Number();
      SendFaulty({first, m_faulty_part});
    });
    const auto sound = loop.Every(kSoundInterval, [this] {
      Send("sound-", "aa:400,c" + std::to_string(m_sent % 7) + ":200,");
    });
    RunUntil(loop, [until] { return MonotonicNow() >= until; });
  }

  void SendFaulty(const std::vector<std::string>& parts) {
    std::string prompt;
    for (const std::string& part : parts) {
      prompt += part + ":300,";
    }
    Send("faulty-", prompt);
  }

  size_t CountCrashed() const { return m_crashes.size(); }
  TimePoint FifthCrash() const { return m_crashes.at(kFreeCrashes - 1); }

  /// Requests with the faulty part that reached a server later than the stable
  /// window after the fifth crash.
  size_t CountLateArrivals() const {
    size_t count = 0;
    if (m_crashes.size() < kFreeCrashes) {
      return 0;
    }
    for (const auto& runner : runners) {
      count += static_cast<size_t>(
          std::count_if(runner->seen().begin(), runner->seen().end(),
                        [this](const SeenRequest& seen) {
                          return seen.id.starts_with("faulty-") &&
                                 seen.arrived > FifthCrash() + kStableWindow;
                        }));
    }
    return count;
  }

  /// Share of the sound requests sent at or after `since` that were served.
  double ShareServed(TimePoint since) {
    RunUntil(loop, [this] {
      return std::all_of(m_calls.begin(), m_calls.end(),
                         [](const auto& call) { return call->response.ended; });
    });
    double sent = 0;
    double served = 0;
    for (const auto& call : m_calls) {
      if (call->sound && call->at >= since) {
        ++sent;
        served +=
            call->response.status == 200 && !call->response.failed ? 1 : 0;
      }
    }
    return sent == 0 ? 0 : served / sent;
  }

  /// Adds a runner for each that crashed kRestartTime ago.
  void ReplaceCrashed() {
    const std::vector<TimePoint> due = std::exchange(m_due, {});
    for (const TimePoint at : due) {
      if (MonotonicNow() < at) {
        m_due.push_back(at);
        continue;
      }
      RunnerStandinOptions runner;
      runner.id = "n" + Number();
      runner.domain = "d-z";
      runner.crash_parts = {m_faulty_part};
      runners.push_back(
          std::make_unique<PlatformRunnerStandin>(loop, store, runner));
    }
  }

 private:
  struct Call {
    bool sound = false;
    TimePoint at;
    CallerResponse response;
    std::unique_ptr<HttpCall> call;
  };

  std::string Number() { return std::to_string(++m_sent); }

  void Send(const std::string& kind, const std::string& shared_parts) {
    CountCrashes();
    ReplaceCrashed();
    const std::string id = kind + Number();
    auto call = std::make_unique<Call>();
    call->sound = kind == "sound-";
    call->at = MonotonicNow();
    const EntryNode& node = *nodes[m_sent % nodes.size()];
    call->call = SendRequestTo(
        node.host.caller_address(), m_client, "/s/x", id, call->response,
        {"key", "body of " + id, "8000", shared_parts + "d" + Number() + ":9"});
    m_calls.push_back(std::move(call));
  }

  void CountCrashes() {
    for (const auto& runner : runners) {
      if (runner->is_dead() && m_dead.insert(runner->id()).second) {
        m_crashes.push_back(MonotonicNow());
        m_due.push_back(MonotonicNow() + kRestartTime);
      }
    }
  }

  std::string m_faulty_part;
  HttpClient m_client{loop, 4};
  size_t m_sent = 0;
  std::vector<std::unique_ptr<Call>> m_calls;
  std::set<std::string> m_dead;
  std::vector<TimePoint> m_crashes;
  std::vector<TimePoint> m_due;
};

TEST_CASE("requests that share a faulty part of their prompts are blocked") {
  // Guards against evidence that is kept by whole requests only, so that ends
  // under requests that differ never add up.
  FaultyPartSite site;
  REQUIRE(site.WaitUntilReady(14));
  site.SendFor(Seconds(5));
  REQUIRE(site.CountCrashed() >= 3);
  const TimePoint blocked = MonotonicNow();
  site.SendFor(Seconds(7));
  CHECK(site.CountLateArrivals() <= kMaxLateArrivals);
  CHECK(site.CountCrashed() <= kMaxCrashes);
  CHECK(site.ShareServed(blocked) >= kMinServed);
}

}  // namespace
}  // namespace filbertrack

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <set>

#include "filbertrack/entry_prober.h"

namespace filbertrack {
namespace {

/// A prober with one host, and a clock that the test advances.
class ProbedHost : public EngineClient {
 public:
  ProbedHost()
      : prober(
            *this,
            {},
            [this] { return m_now; },
            [this](Duration delay, std::function<void()> action) {
              At(m_now + delay, std::move(action));
            }) {
    CatalogParts parts;
    parts.services["llm"] = {"llm", 100, EngineProfile{}};
    m_catalog = std::make_unique<Catalog>(std::move(parts));
    BackendServer server;
    server.id = "h";
    server.service = "llm";
    server.membership = Membership{"m/1", 1, 0, MembershipState::kOpen};
    m_directory.Put(server, m_now);
  }

  void Order(const BackendServer&,
             const ReplicaOrder&,
             std::function<void(OrderResult)>) override {}

  void Probe(const BackendServer&,
             Duration timeout,
             std::function<void(const ProbeAnswer&)> done) override {
    ++probes;
    const bool answers = !m_losses.empty() && !m_losses.front();
    if (!m_losses.empty()) {
      m_losses.pop_front();
    }
    ProbeAnswer answer;
    answer.answered = answers;
    At(m_now + (answers ? Milliseconds(5) : timeout),
       [done, answer] { done(answer); });
  }

  /// Sets which of the next probes are lost. All probes after these are lost.
  void Lose(std::deque<bool> lost) { m_losses = std::move(lost); }

  void RunFor(Duration time) {
    const TimePoint end = m_now + time;
    for (TimePoint tick = m_now; tick <= end; tick += Milliseconds(10)) {
      RunUntil(tick);
      prober.Tick(m_directory, *m_catalog);
    }
    RunUntil(end);
  }

  HostHealth health() const {
    const auto found = prober.probe_results().find("h");
    return found == prober.probe_results().end() ? HostHealth::kAnswers
                                                 : found->second.health;
  }

  EntryProber prober;
  int probes = 0;

 private:
  void At(TimePoint at, std::function<void()> action) {
    m_actions.emplace(at, std::move(action));
  }
  void RunUntil(TimePoint end) {
    while (!m_actions.empty() && m_actions.begin()->first <= end) {
      auto first = m_actions.extract(m_actions.begin());
      m_now = std::max(m_now, first.key());
      first.mapped()();
    }
    m_now = std::max(m_now, end);
  }

  TimePoint m_now{Seconds(100)};
  std::multimap<TimePoint, std::function<void()>> m_actions;
  std::deque<bool> m_losses;
  std::unique_ptr<Catalog> m_catalog;
  ServerDirectory m_directory{DirectoryPolicy{}};
};

TEST_CASE("a silent host is detected within the timeout of one round") {
  // Callers of a group wait until the loss of a member is detected. The two
  // probes of a round run in parallel, so that takes 0.4 s from the first one.
  ProbedHost host;
  host.RunFor(Milliseconds(390));
  CHECK(host.health() == HostHealth::kAnswers);
  CHECK(host.probes == 2);
  host.RunFor(Milliseconds(30));
  CHECK(host.health() == HostHealth::kSilent);
  CHECK(host.prober.probe_results().at("h").health == HostHealth::kSilent);
}

TEST_CASE("one lost probe does not make a host silent") {
  // The host is alive and a packet was lost. If the host counted as silent, its
  // group would be dissolved and all streams of the group would break.
  ProbedHost host;
  host.Lose({true, false});
  host.RunFor(Milliseconds(450));
  CHECK(host.probes == 2);
  CHECK(host.health() == HostHealth::kAnswers);
}

TEST_CASE("a host that answers is probed once a round") {
  ProbedHost host;
  host.Lose({false, false, false});
  host.RunFor(Milliseconds(990));
  CHECK(host.probes == 2);
  CHECK(host.health() == HostHealth::kAnswers);
}

TEST_CASE("a silent host that answers again counts as healthy") {
  ProbedHost host;
  host.Lose({true, true, false});
  host.RunFor(Milliseconds(450));
  CHECK(host.health() == HostHealth::kSilent);
  host.RunFor(Milliseconds(100));
  CHECK(host.health() == HostHealth::kAnswers);
}

TEST_CASE("answers to probes of an earlier lease are ignored") {
  ProbedHost host;
  host.RunFor(Milliseconds(200));
  host.prober.Clear();
  host.RunFor(Milliseconds(250));
  CHECK(host.health() == HostHealth::kAnswers);
}

/// Forty hosts, some of which may be dead, and a prober whose own link may be
/// slow or blocked.
class ProbedFleet : public EngineClient {
 public:
  static constexpr int kHosts = 40;

  ProbedFleet()
      : prober(
            *this,
            {},
            [this] { return m_now; },
            [this](Duration delay, std::function<void()> action) {
              m_actions.emplace(m_now + delay, std::move(action));
            }) {
    CatalogParts parts;
    parts.services["llm"] = {"llm", 100, EngineProfile{}};
    m_catalog = std::make_unique<Catalog>(std::move(parts));
    for (int i = 0; i < kHosts; ++i) {
      BackendServer server;
      server.id = "h" + std::to_string(100 + i);
      server.service = "llm";
      server.membership = Membership{"m/" + std::to_string(i / 4), 1, i % 4,
                                     MembershipState::kReady};
      directory.Put(server, m_now);
    }
  }

  void Order(const BackendServer&,
             const ReplicaOrder&,
             std::function<void(OrderResult)>) override {}

  void Probe(const BackendServer& host,
             Duration timeout,
             std::function<void(const ProbeAnswer&)> done) override {
    ++probes;
    m_link_free_at = std::max(m_link_free_at, m_now) + transfer_time;
    const Duration wait = m_link_free_at - m_now;
    const bool answers =
        !link_blocked && !dead.contains(host.id) && wait < timeout;
    ProbeAnswer answer;
    answer.answered = answers;
    m_actions.emplace(
        m_now + (answers ? std::max(wait, Milliseconds(5)) : timeout),
        [done, answer] { done(answer); });
  }

  void RunFor(Duration time) {
    const TimePoint end = m_now + time;
    for (; m_now < end; m_now += Milliseconds(10)) {
      while (!m_actions.empty() && m_actions.begin()->first <= m_now) {
        auto first = m_actions.extract(m_actions.begin());
        first.mapped()();
      }
      prober.Tick(directory, *m_catalog);
    }
  }

  int CountSilent() const {
    return static_cast<int>(
        std::count_if(prober.probe_results().begin(),
                      prober.probe_results().end(), [](const auto& row) {
                        return row.second.health == HostHealth::kSilent;
                      }));
  }

  EntryProber prober;
  ServerDirectory directory{DirectoryPolicy{}};
  std::set<std::string> dead;
  bool link_blocked = false;
  /// Time that one probe occupies the prober's link.
  Duration transfer_time{0};
  int probes = 0;

 private:
  TimePoint m_now{Seconds(100)};
  TimePoint m_link_free_at{};
  std::multimap<TimePoint, std::function<void()>> m_actions;
  std::unique_ptr<Catalog> m_catalog;
};

TEST_CASE(
    "a weak host that acts as prober probes less often and still detects "
    "losses") {
  // Probing forty hosts twice a second exceeds the capacity of its link. It
  // must not report live hosts as silent, and must detect the one that is dead.
  ProbedFleet fleet;
  fleet.transfer_time = Milliseconds(20);
  fleet.RunFor(Seconds(8));
  CHECK(fleet.CountSilent() == 0);
  fleet.dead.insert("h105");
  fleet.RunFor(Seconds(5));
  CHECK(fleet.CountSilent() == 1);
  // When the link is fast again, it returns to the regular interval.
  fleet.transfer_time = Duration(0);
  fleet.RunFor(Seconds(40));
  fleet.probes = 0;
  fleet.RunFor(Seconds(2));
  CHECK(fleet.probes >= 4 * ProbedFleet::kHosts);
}

TEST_CASE("a prober that receives no answers reports no host as silent") {
  // The prober's own link is blocked for two seconds. If all hosts were
  // reported as silent, the planner would close every group, and requests to
  // the whole fleet would be rejected.
  ProbedFleet fleet;
  fleet.RunFor(Seconds(2));
  fleet.link_blocked = true;
  fleet.RunFor(Seconds(2));
  CHECK(fleet.CountSilent() == 0);
  fleet.link_blocked = false;
  fleet.RunFor(Seconds(1));
  CHECK(fleet.CountSilent() == 0);
}

TEST_CASE("the loss of a third of the fleet is detected within a round") {
  // As fast as the loss of one host: 0.4 s after the next probe.
  ProbedFleet fleet;
  fleet.RunFor(Seconds(2));
  for (int i = 0; i < ProbedFleet::kHosts / 3; ++i) {
    fleet.dead.insert("h" + std::to_string(100 + i));
  }
  fleet.RunFor(Milliseconds(920));
  CHECK(fleet.CountSilent() == ProbedFleet::kHosts / 3);
  // Half of the remaining hosts fail too. Hosts that are silent already must
  // not count as a sign that the prober is overloaded.
  for (int i = 0; i < 26; ++i) {
    fleet.dead.insert("h" + std::to_string(100 + i));
  }
  fleet.RunFor(Milliseconds(920));
  CHECK(fleet.CountSilent() == 26);
}

/// A prober with twelve hosts, of which the first `silent` do not answer.
class PartlyReached : public EngineClient {
 public:
  explicit PartlyReached(size_t silent)
      : prober(
            *this,
            {},
            [this] { return m_now; },
            [this](Duration delay, std::function<void()> action) {
              m_actions.emplace(m_now + delay, std::move(action));
            }),
        m_silent(silent) {
    CatalogParts parts;
    parts.services["llm"] = {"llm", 100, EngineProfile{}};
    m_catalog = std::make_unique<Catalog>(std::move(parts));
    for (size_t i = 0; i < kHosts; ++i) {
      BackendServer server;
      server.id = std::string(1, static_cast<char>('a' + i));
      server.service = "llm";
      server.membership = Membership{"m/1", 1, 0, MembershipState::kOpen};
      m_directory.Put(server, m_now);
    }
    prober.SetConfirmation(
        [this](const std::vector<std::string>& hosts,
               const EntryProber::Confirmed& done) {
          asked += hosts.size();
          done(others_hear ? std::set<std::string>(hosts.begin(), hosts.end())
                           : std::set<std::string>());
        },
        [this](size_t hosts) { disputed += hosts; });
  }

  void Order(const BackendServer&,
             const ReplicaOrder&,
             std::function<void(OrderResult)>) override {}
  void Probe(const BackendServer& server,
             Duration timeout,
             std::function<void(const ProbeAnswer&)> done) override {
    ProbeAnswer answer;
    answer.answered = static_cast<size_t>(server.id.front() - 'a') >= m_silent;
    m_actions.emplace(m_now + (answer.answered ? Milliseconds(5) : timeout),
                      [done, answer] { done(answer); });
  }

  void RunFor(Duration time) {
    for (const TimePoint end = m_now + time; m_now < end;) {
      m_now += Milliseconds(10);
      while (!m_actions.empty() && m_actions.begin()->first <= m_now) {
        m_actions.extract(m_actions.begin()).mapped()();
      }
      prober.Tick(m_directory, *m_catalog);
    }
  }

  size_t CountSilent() const {
    return static_cast<size_t>(
        std::count_if(prober.probe_results().begin(),
                      prober.probe_results().end(), [](const auto& row) {
                        return row.second.health == HostHealth::kSilent;
                      }));
  }

  EntryProber prober;
  bool others_hear = false;
  size_t asked = 0;
  size_t disputed = 0;

 private:
  static constexpr size_t kHosts = 12;
  size_t m_silent;
  TimePoint m_now{Seconds(1000)};
  std::multimap<TimePoint, std::function<void()>> m_actions;
  ServerDirectory m_directory{DirectoryPolicy{}};
  std::unique_ptr<Catalog> m_catalog;
};

TEST_CASE("hosts that answer other entry hosts are not reported as silent") {
  // Guards against orders that break up groups because the host that gives them
  // lost its way to some of their members.
  PartlyReached fleet(5);
  fleet.others_hear = true;
  fleet.RunFor(Milliseconds(900));
  CHECK(fleet.disputed >= 5);
  CHECK(fleet.CountSilent() == 0);
}

TEST_CASE("hosts that answer nobody are reported as silent") {
  PartlyReached fleet(5);
  fleet.RunFor(Milliseconds(900));
  CHECK(fleet.disputed == 0);
  CHECK(fleet.asked >= 3);
  CHECK(fleet.CountSilent() == 5);
}

TEST_CASE("rounds during which the prober's host was cut off decide nothing") {
  // Guards against groups that are broken up right after a cut of their
  // controller, by probes that were lost in it.
  PartlyReached fleet(2);
  fleet.RunFor(Milliseconds(350));
  fleet.prober.DiscardRounds();
  fleet.RunFor(Milliseconds(350));
  CHECK(fleet.CountSilent() == 0);
  fleet.RunFor(Milliseconds(400));
  CHECK(fleet.CountSilent() == 2);
}

TEST_CASE("the loss of one or two hosts is reported without a question") {
  // Guards against longer repairs of usual losses.
  PartlyReached fleet(2);
  fleet.RunFor(Milliseconds(900));
  CHECK(fleet.asked == 0);
  CHECK(fleet.CountSilent() == 2);
}

}  // namespace
}  // namespace filbertrack

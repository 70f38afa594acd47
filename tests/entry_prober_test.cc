#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <set>

#include "filbertrack/entry_prober.h"

namespace filbertrack {
namespace {

/// A host that is asked and time that the test moves.
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

  /// Which of the next questions are lost; those after them are, too.
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

TEST_CASE("a silent host is found within the patience of one round") {
  // Callers of a group wait until its lost member is noticed. Both questions
  // are under way at once, so that takes 0.4 s after the first was asked.
  ProbedHost host;
  host.RunFor(Milliseconds(390));
  CHECK(host.health() == HostHealth::kAnswers);
  CHECK(host.probes == 2);
  host.RunFor(Milliseconds(30));
  CHECK(host.health() == HostHealth::kSilent);
  CHECK(host.prober.probe_results().at("h").health == HostHealth::kSilent);
}

TEST_CASE("one lost question does not make a host silent") {
  // The host lives and a packet was lost. Were it given up, its group would be
  // taken apart and every stream there would break.
  ProbedHost host;
  host.Lose({true, false});
  host.RunFor(Milliseconds(450));
  CHECK(host.probes == 2);
  CHECK(host.health() == HostHealth::kAnswers);
}

TEST_CASE("a host that answers is asked once a round") {
  ProbedHost host;
  host.Lose({false, false, false});
  host.RunFor(Milliseconds(990));
  CHECK(host.probes == 2);
  CHECK(host.health() == HostHealth::kAnswers);
}

TEST_CASE("a host that was silent and answers again is heard") {
  ProbedHost host;
  host.Lose({true, true, false});
  host.RunFor(Milliseconds(450));
  CHECK(host.health() == HostHealth::kSilent);
  host.RunFor(Milliseconds(100));
  CHECK(host.health() == HostHealth::kAnswers);
}

TEST_CASE("answers to questions of an earlier lease do not count") {
  ProbedHost host;
  host.RunFor(Milliseconds(200));
  host.prober.Clear();
  host.RunFor(Milliseconds(250));
  CHECK(host.health() == HostHealth::kAnswers);
}

/// Forty hosts, some of which do not answer, asked by a prober whose own link
/// may stand still.
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
  /// On the prober's link.
  Duration transfer_time{0};
  int probes = 0;

 private:
  TimePoint m_now{Seconds(100)};
  TimePoint m_link_free_at{};
  std::multimap<TimePoint, std::function<void()>> m_actions;
  std::unique_ptr<Catalog> m_catalog;
};

TEST_CASE(
    "a weak host that stands in as prober asks less often and still finds") {
  // Forty hosts twice a second are more questions than its link carries. It
  // declares nobody silent that lives, and finds the one that is lost.
  ProbedFleet fleet;
  fleet.transfer_time = Milliseconds(20);
  fleet.RunFor(Seconds(8));
  CHECK(fleet.CountSilent() == 0);
  fleet.dead.insert("h105");
  fleet.RunFor(Seconds(5));
  CHECK(fleet.CountSilent() == 1);
  // Once there is room it asks as often as any other.
  fleet.transfer_time = Duration(0);
  fleet.RunFor(Seconds(40));
  fleet.probes = 0;
  fleet.RunFor(Seconds(2));
  CHECK(fleet.probes >= 4 * ProbedFleet::kHosts);
}

TEST_CASE("a prober that hears nobody declares nobody silent") {
  // Its own link is full for two seconds. Were all hosts declared silent, the
  // planner would close every group, and callers of the whole fleet would be
  // turned away.
  ProbedFleet fleet;
  fleet.RunFor(Seconds(2));
  fleet.link_blocked = true;
  fleet.RunFor(Seconds(2));
  CHECK(fleet.CountSilent() == 0);
  fleet.link_blocked = false;
  fleet.RunFor(Seconds(1));
  CHECK(fleet.CountSilent() == 0);
}

TEST_CASE("a third of the fleet lost at once is found within a round") {
  // As soon as with one host lost: 0.4 s after the next question.
  ProbedFleet fleet;
  fleet.RunFor(Seconds(2));
  for (int i = 0; i < ProbedFleet::kHosts / 3; ++i) {
    fleet.dead.insert("h" + std::to_string(100 + i));
  }
  fleet.RunFor(Milliseconds(920));
  CHECK(fleet.CountSilent() == ProbedFleet::kHosts / 3);
  // Half of what is left goes too: those that are silent already do not make
  // the prober doubt itself.
  for (int i = 0; i < 26; ++i) {
    fleet.dead.insert("h" + std::to_string(100 + i));
  }
  fleet.RunFor(Milliseconds(920));
  CHECK(fleet.CountSilent() == 26);
}

}  // namespace
}  // namespace filbertrack

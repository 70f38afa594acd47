#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>

#include <nlohmann/json.hpp>

#include "filbertrack/groups_assign.h"
#include "filbertrack/groups_evidence.h"
#include "filbertrack/groups_lease.h"
#include "filbertrack/groups_plan.h"

namespace filbertrack {
namespace {

const TimePoint kStart{Seconds(1000)};
const PlanPolicy kPolicy;

/// Simulated engines of one domain, as seen by the planner: they execute orders
/// at once and report.
class FakeDomain {
 public:
  explicit FakeDomain(int hosts) {
    m_hosts.domain = "d";
    for (int i = 0; i < hosts; ++i) {
      m_hosts.hosts.push_back({"h" + std::to_string(i), {}, 8, false});
      MemberReport report;
      report.host = m_hosts.hosts.back().name;
      report.incarnation = "1";
      m_engines[report.host] = {report, true};
    }
    m_resources.services["m"] = Service{"m", ServiceType::kModel, 0.9, {}, 1};
    m_resources.model_versions["v1"] = {"v1", "m", 1};
    m_resources.model_versions["v2"] = {"v2", "m", 1};
    ServingGroup group;
    group.name = "g";
    group.service = "m";
    group.model_version = "v1";
    group.replicas = 2;
    group.members_per_replica = 3;
    m_resources.serving_groups["g"] = group;
    m_wanted = {{"g", 2}};
  }

  void Kill(const std::string& host) { m_engines.at(host).alive = false; }
  void Revive(const std::string& host) {
    Engine& engine = m_engines.at(host);
    engine.alive = true;
    engine.report.group.clear();
    engine.report.epoch = 0;
    engine.report.phase = MemberPhase::kIdle;
    engine.report.incarnation += "+";
  }

  /// Simulates a successor, which starts without observations.
  void ForgetViews() {
    m_views.clear();
    m_phase_since.clear();
  }

  /// One pass: observe, plan, execute orders and store. Returns the action of
  /// the stored change; empty if there is none.
  std::string Pass() {
    m_now += Milliseconds(500);
    for (auto& [host, engine] : m_engines) {
      MemberEvidence evidence;
      evidence.OnConnect(m_now);
      HeartbeatLine beat;
      beat.report = engine.report;
      evidence.OnHeartbeatLine(beat, m_now);
      if (!engine.alive) {
        evidence.OnDisconnected();
      }
      ObserveHost(m_views[host], evidence, kPolicy, m_now);
    }
    const PlanInput input{m_state,  m_hosts,    m_views,      m_resources,
                          m_wanted, m_may_roll, m_phase_since};
    Plan plan = PlanDomain(input, kPolicy, m_now);
    for (const MemberOrder& order : plan.orders) {
      Execute(order);
    }
    if (!plan.change) {
      return "";
    }
    for (const Group& group : plan.change->next.groups) {
      const Group* before = nullptr;
      for (const Group& known : m_state.groups) {
        before = known.id == group.id ? &known : before;
      }
      if (before == nullptr || *before != group) {
        m_phase_since[group.id] = m_now;
      }
    }
    m_state = plan.change->next;
    return plan.change->record.action;
  }

  int CountServing() const {
    int serving = 0;
    for (const Group& group : m_state.groups) {
      serving += group.phase == GroupPhase::kServing ? 1 : 0;
    }
    return serving;
  }

  /// Whether no host is in two groups and every group has its full size.
  bool IsSound() const {
    std::set<std::string> seen;
    for (const Group& group : m_state.groups) {
      if (group.members.size() != 3) {
        return false;
      }
      for (const std::string& host : group.members) {
        if (!seen.insert(host).second) {
          return false;
        }
      }
    }
    return true;
  }

  DomainState m_state;
  DomainHosts m_hosts;
  Resources m_resources;
  std::map<std::string, int> m_wanted;
  std::vector<std::string> m_may_roll;
  std::string m_bad_version;
  TimePoint m_now = kStart;

 private:
  struct Engine {
    MemberReport report;
    bool alive = true;
  };

  void Execute(const MemberOrder& order) {
    if (const auto* leave = std::get_if<LeaveOrder>(&order)) {
      MemberReport& report = m_engines.at(leave->host).report;
      report.group.clear();
      report.phase = MemberPhase::kIdle;
      return;
    }
    const auto& join = std::get<JoinOrder>(order);
    Engine& engine = m_engines.at(join.host);
    if (!engine.alive) {
      return;
    }
    engine.report.group = join.group.id;
    engine.report.epoch = join.group.epoch;
    engine.report.phase = join.group.model_version == m_bad_version
                              ? MemberPhase::kFailed
                              : MemberPhase::kReady;
  }

  std::map<std::string, Engine> m_engines;
  HostViews m_views;
  std::map<std::string, TimePoint> m_phase_since;
};

void RunPasses(FakeDomain& domain, int passes = 40) {
  for (int i = 0; i < passes; ++i) {
    domain.Pass();
  }
}

TEST_CASE("a lost member is replaced by a spare, the others stay") {
  // The group is out of service for the duration of one load: a host dies, and
  // a free one takes its place in a new epoch.
  FakeDomain domain(7);
  RunPasses(domain);
  REQUIRE(domain.CountServing() == 2);
  const Group before = domain.m_state.groups[0];
  domain.Kill(before.members[1]);
  RunPasses(domain);
  const Group& after = domain.m_state.groups[0];
  CHECK(domain.CountServing() == 2);
  CHECK(after.epoch > before.epoch);
  CHECK(after.members[0] == before.members[0]);
  CHECK(after.members[1] != before.members[1]);
}

TEST_CASE(
    "without a spare a group breaks, and reloads when its member is back") {
  // Requests are refused, never answered in part. The only host that could help
  // is the lost one itself.
  FakeDomain domain(6);
  RunPasses(domain);
  const std::string victim = domain.m_state.groups[0].members[2];
  domain.Kill(victim);
  RunPasses(domain);
  CHECK(domain.CountServing() == 1);
  CHECK(domain.m_state.groups[0].phase == GroupPhase::kBroken);
  domain.Revive(victim);
  RunPasses(domain);
  CHECK(domain.CountServing() == 2);
}

TEST_CASE("a flapping member causes one repair, not one per flap") {
  // Guards against repeated gaps in service. A host's engine dies and returns
  // repeatedly; after the first loss it is a spare that has not settled.
  FakeDomain domain(7);
  RunPasses(domain);
  const std::string victim = domain.m_state.groups[0].members[0];
  int repairs = 0;
  for (int flap = 0; flap < 10; ++flap) {
    domain.Kill(victim);
    repairs += domain.Pass() == "replace-member" ? 1 : 0;
    repairs += domain.Pass() == "replace-member" ? 1 : 0;
    domain.Revive(victim);
    repairs += domain.Pass() == "replace-member" ? 1 : 0;
    repairs += domain.Pass() == "replace-member" ? 1 : 0;
  }
  CHECK(repairs == 1);
}

TEST_CASE("a host that was just lost joins no group until it has settled") {
  // Guards against a second repair right after the first. The only free host
  // flapped a moment ago; the group waits until it has settled.
  FakeDomain domain(7);
  RunPasses(domain);
  const std::string flapping = domain.m_state.groups[0].members[0];
  domain.Kill(flapping);
  RunPasses(domain);
  domain.Revive(flapping);
  domain.Kill(domain.m_state.groups[0].members[0]);
  CHECK(domain.Pass() == "break");
  TimePoint broken = domain.m_now;
  while (domain.Pass() != "replace-member") {
    REQUIRE(domain.m_now < broken + kPolicy.settle * 2);
  }
  CHECK(domain.m_now - broken >= kPolicy.settle);
}

TEST_CASE("an engine that obeyed an outdated order joins its group again") {
  // A paused controller's order reaches an engine that ignores fencing numbers,
  // and the engine leaves its group although its host is not lost. The group
  // does not serve until it is complete again.
  FakeDomain domain(6);
  RunPasses(domain);
  const std::string host = domain.m_state.groups[0].members[1];
  const uint64_t epoch = domain.m_state.groups[0].epoch;
  domain.Revive(host);
  CHECK(domain.Pass() == "reload");
  RunPasses(domain);
  CHECK(domain.CountServing() == 2);
  CHECK(domain.m_state.groups[0].epoch > epoch);
}

TEST_CASE("a version that fails to load is rolled back and not retried") {
  // Version v2 is declared and fails to load on the first replica that tries
  // it. The other replica keeps serving.
  FakeDomain domain(6);
  RunPasses(domain);
  ServingGroup& declared = domain.m_resources.serving_groups["g"];
  declared.model_version = "v2";
  declared.last_good_version = "v1";
  domain.m_bad_version = "v2";
  domain.m_may_roll = {"g"};
  int drains = 0;
  int fewest = 2;
  for (int i = 0; i < 60; ++i) {
    drains += domain.Pass() == "drain" ? 1 : 0;
    domain.m_may_roll.clear();
    if (domain.CountServing() == 2) {
      domain.m_may_roll = {"g"};
    }
    fewest = std::min(fewest, domain.CountServing());
  }
  CHECK(domain.CountServing() == 2);
  CHECK(domain.m_state.groups[0].model_version == "v1");
  CHECK(domain.m_state.failed_versions == std::vector<std::string>{"v2"});
  CHECK(drains == 1);
  CHECK(fewest == 1);
}

TEST_CASE("a group drains before it leaves a host that the platform removes") {
  // Requests in flight finish: the group drains before it changes members.
  FakeDomain domain(7);
  RunPasses(domain);
  const std::string leaving = domain.m_state.groups[0].members[0];
  for (PlatformHost& host : domain.m_hosts.hosts) {
    host.leaving = host.name == leaving;
  }
  CHECK(domain.Pass() == "drain");
  CHECK(domain.m_state.groups[0].phase == GroupPhase::kDraining);
  RunPasses(domain);
  CHECK(domain.CountServing() == 2);
  CHECK(FindGroupOfHost(domain.m_state, leaving) == nullptr);
}

TEST_CASE("property: with any hosts lost, groups stay disjoint and recover") {
  REQUIRE(rc::check("plan", [] {
    FakeDomain domain(*rc::gen::inRange(6, 10));
    const int steps = *rc::gen::inRange(10, 80);
    std::set<std::string> dead;
    for (int i = 0; i < steps; ++i) {
      const auto host =
          "h" + std::to_string(*rc::gen::inRange(
                    0, static_cast<int>(domain.m_hosts.hosts.size())));
      switch (*rc::gen::inRange(0, 6)) {
        case 0:
          domain.Kill(host);
          dead.insert(host);
          break;
        case 1:
          domain.Revive(host);
          dead.erase(host);
          break;
        case 2:
          domain.ForgetViews();
          break;
        default:
          domain.Pass();
      }
      RC_ASSERT(domain.IsSound());
    }
    for (const std::string& host : dead) {
      domain.Revive(host);
    }
    RunPasses(domain, 80);
    RC_ASSERT(domain.CountServing() == 2);
    RC_ASSERT(domain.IsSound());
  }));
}

TEST_CASE("a successor completes the steps of a controller that died") {
  // Both replicas serve in the end. The controller dies after each number of
  // passes, from forming to serving and through a repair.
  for (int deaths = 0; deaths < 12; ++deaths) {
    FakeDomain domain(7);
    for (int i = 0; i < deaths; ++i) {
      domain.Pass();
    }
    domain.ForgetViews();
    RunPasses(domain);
    REQUIRE(domain.CountServing() == 2);
    domain.Kill(domain.m_state.groups[1].members[0]);
    for (int i = 0; i < deaths; ++i) {
      domain.Pass();
    }
    domain.ForgetViews();
    RunPasses(domain);
    CHECK(domain.CountServing() == 2);
    CHECK(domain.IsSound());
  }
}

TEST_CASE("a buffered heartbeat line does not make a dead member look alive") {
  // Guards against answers of an incomplete group. The reader is paused for ten
  // seconds and the member dies after two; the reader then finds buffered
  // lines.
  MemberEvidence evidence;
  evidence.OnConnect(kStart);
  HeartbeatLine beat;
  beat.engine_clock_us = 7'000'000;
  evidence.OnHeartbeatLine(beat, kStart + Seconds(10));
  beat.engine_clock_us = 9'000'000;
  evidence.OnHeartbeatLine(beat, kStart + Seconds(10));
  CHECK(*evidence.alive_at() == kStart + Seconds(2));
}

TEST_CASE("a connection to a member that was paused at its start is renewed") {
  // Guards against a complete group that looks lost for minutes. The request
  // waited three seconds in a paused engine; dated relative to it, each later
  // line looks three seconds old.
  MemberEvidence evidence;
  evidence.OnConnect(kStart);
  evidence.OnHeartbeatLine({5'000'000, std::nullopt}, kStart + Seconds(3));
  CHECK(evidence.NeedsReconnect());
  evidence.OnConnect(kStart + Seconds(4));
  evidence.OnHeartbeatLine({6'001'000, std::nullopt},
                           kStart + Milliseconds(4002));
  CHECK(!evidence.NeedsReconnect());
}

TEST_CASE("property: no bytes crash the parsers of lines and stored values") {
  REQUIRE(rc::check("values", [] {
    const auto bytes = *rc::gen::container<std::string>(rc::gen::elementOf(
        std::string("{}[]\":,trgroupsholderfence0123456789-\xff\x80 \n")));
    ParseHeartbeatLine(bytes);
    ParseDomainState(bytes);
    ParseDomainHosts("d", bytes);
    DomainState state;
    state.lease = {"c", 3};
    state.groups.push_back({"d/1",
                            "m",
                            "g",
                            1,
                            GroupPhase::kServing,
                            DrainGoal::kNone,
                            "v1",
                            {"a"},
                            {"h0"}});
    std::string text = ToJson(state).dump();
    RC_ASSERT(ParseDomainState(text).value() == state);
    text[*rc::gen::inRange<size_t>(0, text.size())] =
        *rc::gen::elementOf(std::string("{}\":,9\xff"));
    ParseDomainState(text);
  }));
}

TEST_CASE("replicas of a broken domain are formed where there are free hosts") {
  // All groups of domain a are broken. The replica goes to b while b has free
  // hosts, and stays assigned to a when it has none.
  Resources resources;
  resources.services["m"] = Service{"m", ServiceType::kModel, 0.9, {}, 1};
  ServingGroup declared;
  declared.name = "g";
  declared.service = "m";
  declared.replicas = 1;
  declared.members_per_replica = 2;
  resources.serving_groups["g"] = declared;
  DomainSummaries domains;
  domains["a"].state.groups.push_back({"a/1",
                                       "m",
                                       "g",
                                       1,
                                       GroupPhase::kBroken,
                                       DrainGoal::kNone,
                                       "v1",
                                       {},
                                       {"x", "y"}});
  domains["b"].state.free_hosts = 2;
  Assignment wanted = AssignReplicas(resources, domains);
  CHECK(wanted["a"]["g"] == 0);
  CHECK(wanted["b"]["g"] == 1);
  domains["b"].state.free_hosts = 0;
  wanted = AssignReplicas(resources, domains);
  CHECK(wanted["a"]["g"] == 1);
}

}  // namespace
}  // namespace filbertrack

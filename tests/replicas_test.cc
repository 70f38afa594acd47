#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <random>

#include "filbertrack/replica_plan.h"

namespace filbertrack {
namespace {

const TimePoint kStart{Seconds(1000)};
constexpr Duration kStep = Milliseconds(100);
constexpr Duration kStall = Seconds(5);

ServiceProfile MakeService() {
  EngineProfile engine;
  engine.slots = 17;
  engine.loads_per_second = 5;
  engine.loads_at_once = 7;
  ModelProfile large{"large", 4, 0.5, 1, Seconds(16), Milliseconds(1600)};
  ModelProfile small{"small", 2, 0.5, 0.6, Seconds(12), Milliseconds(1100)};
  engine.models = {large, small};
  return {"llm", 300, engine};
}

/// Hosts that obey orders as the platform's page says, and a record of what
/// must never happen.
class FakeFleet {
 public:
  struct Host {
    BackendServer server;
    bool alive = true;
    /// Lives, but does not reach the store.
    bool cut = false;
    std::optional<TimePoint> silent_since;
    uint64_t newest_epoch = 0;
    std::vector<std::string> group_members;
    /// Under its present group and epoch it was ready once.
    bool was_ready = false;
    std::optional<TimePoint> ready_at;
    std::optional<TimePoint> staged_at;
    std::string staging;
    /// Of a head: since when a member is missing.
    std::optional<TimePoint> standing_since;
    /// Group that the host was last in, and its head.
    std::string last_head;
    std::string last_group;
  };

  explicit FakeFleet(uint64_t seed) : m_random(seed) {}

  void AddHost(const std::string& domain,
               bool staged,
               const std::string& model) {
    Host host;
    host.server.id = "h" + std::to_string(++m_last);
    host.server.service = "llm";
    host.server.domain = domain;
    if (staged) {
      host.server.staged = {model};
    }
    m_hosts[host.server.id] = host;
  }

  bool Chance(double part) {
    return std::uniform_real_distribution<double>(0, 1)(m_random) < part;
  }

  Host& Random() {
    auto it = m_hosts.begin();
    std::advance(it, static_cast<ptrdiff_t>(m_random() % m_hosts.size()));
    return it->second;
  }

  /// An order arrives, is lost, or arrives seconds late.
  void Send(const ReplicaOrder& order, TimePoint now, double late) {
    if (const auto* join = std::get_if<JoinGroup>(&order)) {
      for (const std::string& member : join->members) {
        Deliver(member, order, now, late);
      }
    } else if (const auto* open = std::get_if<OpenGroup>(&order)) {
      Deliver(open->head, order, now, late);
    } else if (const auto* close = std::get_if<CloseGroup>(&order)) {
      Deliver(close->head, order, now, late);
    } else if (const auto* leave = std::get_if<LeaveGroup>(&order)) {
      Deliver(leave->host, order, now, late);
    } else {
      Deliver(std::get<StageModel>(order).host, order, now, late);
    }
  }

  void Step(TimePoint now) {
    std::vector<Late> due;
    std::erase_if(m_late, [&](const Late& late) {
      if (late.at > now) {
        return false;
      }
      due.push_back(late);
      return true;
    });
    for (const Late& late : due) {
      Execute(late.host, late.order, now);
    }
    for (auto& [id, host] : m_hosts) {
      Progress(host, now);
    }
  }

  /// Registrations and direct answers as the controller sees them.
  void Show(ServerDirectory& directory, HostFindings& findings, TimePoint now) {
    for (auto& [id, host] : m_hosts) {
      const bool registers = host.alive && !host.cut;
      if (registers) {
        host.silent_since.reset();
        directory.Put(host.server, now);
      } else if (!host.silent_since) {
        host.silent_since = now;
      } else if (now - *host.silent_since > Milliseconds(3600)) {
        directory.Remove(id, now);
      }
      findings[id].health =
          host.alive ? HostHealth::kAnswers : HostHealth::kSilent;
    }
  }

  int CountServing() const {
    int serving = 0;
    for (const auto& [id, host] : m_hosts) {
      serving += IsOpen(host) && IsWhole(host) ? 1 : 0;
    }
    return serving;
  }

  std::map<std::string, Host>& hosts() { return m_hosts; }
  const std::vector<std::string>& violations() const { return m_violations; }

 private:
  struct Late {
    TimePoint at;
    std::string host;
    ReplicaOrder order;
  };

  static bool IsOpen(const Host& host) {
    return host.alive && host.server.membership &&
           host.server.membership->rank == 0 &&
           (host.server.membership->state == MembershipState::kOpen ||
            host.server.membership->state == MembershipState::kClosing);
  }

  bool IsWhole(const Host& head) const {
    for (const std::string& id : head.group_members) {
      const auto member = m_hosts.find(id);
      if (member == m_hosts.end() || !member->second.alive ||
          !member->second.server.membership ||
          member->second.server.membership->group !=
              head.server.membership->group ||
          member->second.server.membership->epoch !=
              head.server.membership->epoch) {
        return false;
      }
    }
    return true;
  }

  void Deliver(const std::string& id,
               const ReplicaOrder& order,
               TimePoint now,
               double late) {
    if (Chance(late)) {
      if (Chance(0.7)) {
        m_late.push_back({now + Milliseconds(2000 + static_cast<int64_t>(
                                                        m_random() % 10000)),
                          id, order});
      }
      return;
    }
    Execute(id, order, now);
  }

  void Execute(const std::string& id,
               const ReplicaOrder& order,
               TimePoint now) {
    const auto found = m_hosts.find(id);
    if (found == m_hosts.end() || !found->second.alive) {
      return;
    }
    Host& host = found->second;
    auto& place = host.server.membership;
    if (const auto* join = std::get_if<JoinGroup>(&order)) {
      Join(host, *join, now);
      return;
    }
    if (const auto* stage = std::get_if<StageModel>(&order)) {
      host.staging = stage->model;
      host.staged_at = now + Seconds(12);
      return;
    }
    if (const auto* leave = std::get_if<LeaveGroup>(&order)) {
      if (place && place->group == leave->group &&
          place->epoch == leave->epoch) {
        place.reset();
      }
      return;
    }
    if (const auto* open = std::get_if<OpenGroup>(&order)) {
      if (place && place->group == open->group && place->epoch == open->epoch &&
          place->rank == 0 && place->state == MembershipState::kReady) {
        CheckOpen(host);
        place->state = MembershipState::kOpen;
      }
      return;
    }
    const auto& close = std::get<CloseGroup>(order);
    if (place && place->group == close.group && place->epoch == close.epoch &&
        place->rank == 0 && IsOpen(host)) {
      place->state = MembershipState::kReady;
      host.standing_since.reset();
    }
  }

  void Join(Host& host, const JoinGroup& join, TimePoint now) {
    auto& place = host.server.membership;
    if (place && place->group == join.group && place->epoch == join.epoch) {
      return;
    }
    if (join.epoch < host.newest_epoch) {
      return;
    }
    CheckJoin(host, join, now);
    const auto rank =
        std::find(join.members.begin(), join.members.end(), host.server.id) -
        join.members.begin();
    const bool same_model = host.server.model == join.model;
    const bool staged =
        std::find(host.server.staged.begin(), host.server.staged.end(),
                  join.model) != host.server.staged.end();
    place = Membership{join.group, join.epoch, static_cast<int>(rank),
                       MembershipState::kJoining};
    host.newest_epoch = join.epoch;
    host.group_members = join.members;
    host.was_ready = false;
    host.standing_since.reset();
    host.last_group = join.group;
    host.last_head = join.members.front();
    host.server.model = join.model;
    host.ready_at = now + (same_model ? Milliseconds(200)
                           : staged   ? Milliseconds(1600)
                                      : Seconds(16));
  }

  void CheckOpen(const Host& head) {
    for (const std::string& id : head.group_members) {
      const auto member = m_hosts.find(id);
      const bool fine =
          member != m_hosts.end() &&
          (!member->second.alive || member->second.last_group == head.last_group
               ? member->second.was_ready
               : true);
      if (!fine) {
        m_violations.push_back("opened before " + id + " was ready");
      }
    }
  }

  /// A host must not join another group while the head of its last one could
  /// run requests.
  void CheckJoin(const Host& host, const JoinGroup& join, TimePoint now) {
    if (host.last_group.empty() || host.last_group == join.group) {
      return;
    }
    const auto found = m_hosts.find(host.last_head);
    if (found == m_hosts.end()) {
      return;
    }
    const Host& head = found->second;
    const bool same_group = head.server.membership &&
                            head.server.membership->group == host.last_group;
    if (!same_group || !IsOpen(head)) {
      return;
    }
    const bool broken =
        head.standing_since && now - *head.standing_since >= kStall;
    if (!broken) {
      m_violations.push_back(host.server.id + " joined " + join.group +
                             " while the head of " + host.last_group +
                             " was open");
    }
  }

  void Progress(Host& host, TimePoint now) {
    if (!host.alive) {
      return;
    }
    auto& place = host.server.membership;
    if (host.staged_at && now >= *host.staged_at) {
      host.server.staged = {host.staging};
      host.staged_at.reset();
    }
    if (place && place->state == MembershipState::kJoining && host.ready_at &&
        now >= *host.ready_at) {
      place->state = MembershipState::kReady;
      host.was_ready = true;
      host.server.staged = {host.server.model};
    }
    if (!IsOpen(host)) {
      return;
    }
    if (IsWhole(host)) {
      host.standing_since.reset();
      return;
    }
    if (!host.standing_since) {
      host.standing_since = now;
    }
    if (now - *host.standing_since >= kStall) {
      place->state = MembershipState::kBroken;
    }
  }

  std::mt19937_64 m_random;
  std::map<std::string, Host> m_hosts;
  std::vector<Late> m_late;
  std::vector<std::string> m_violations;
  int m_last = 0;
};

/// One controller over a fake fleet.
struct Run {
  explicit Run(uint64_t seed) : fleet(seed) {
    for (int domain = 0; domain < 3; ++domain) {
      for (int i = 0; i < 10; ++i) {
        fleet.AddHost("d" + std::to_string(domain), false, "");
      }
    }
    memory.term = 1;
  }

  void Pass(double late) {
    fleet.Step(now);
    fleet.Show(directory, findings, now);
    const ReplicaInput input{directory, findings, service,
                             now - kStart < Seconds(20), true};
    for (const PlannedOrder& planned :
         PlanReplicas(input, ReplicaPolicy{}, memory, now)) {
      fleet.Send(planned.order, now, late);
    }
    now += kStep;
  }

  void PassFor(Duration time, double late = 0) {
    const TimePoint end = now + time;
    while (now < end) {
      Pass(late);
    }
  }

  void TakeOver() {
    const uint64_t term = memory.term + 1;
    memory = {};
    memory.term = term;
  }

  FakeFleet fleet;
  ServiceProfile service = MakeService();
  ServerDirectory directory{DirectoryPolicy{}};
  HostFindings findings;
  ReplicaMemory memory;
  TimePoint now = kStart;
};

TEST_CASE("from nothing, groups of both models serve within the lead time") {
  Run run(1);
  run.PassFor(Seconds(20));
  // 30 hosts less 2 spares in each domain: 3 groups of 4 and 6 of 2.
  CHECK(run.fleet.CountServing() == 9);
  CHECK(run.fleet.violations().empty());
}

TEST_CASE("a lost member is replaced from a spare of its domain") {
  // Callers of one group see their streams break; two to three seconds later
  // as many groups serve as before. The member falls silent; its group's head
  // lives and is closed, and the others join again with a spare.
  Run run(1);
  run.PassFor(Seconds(25));
  REQUIRE(run.fleet.CountServing() == 9);
  for (auto& [id, host] : run.fleet.hosts()) {
    if (host.server.model == "large" && host.server.membership &&
        host.server.membership->rank == 2) {
      host.alive = false;
      break;
    }
  }
  run.Pass(0);
  CHECK(run.fleet.CountServing() == 8);
  run.PassFor(Seconds(3));
  CHECK(run.fleet.CountServing() == 9);
  CHECK(run.fleet.violations().empty());
}

TEST_CASE("hosts of a silent head wait until it can hold no request") {
  // The head may live behind a partition. Its members leave, so that it stands
  // still, and join other groups only after the stall.
  Run run(1);
  run.PassFor(Seconds(25));
  std::string member;
  for (auto& [id, host] : run.fleet.hosts()) {
    if (host.server.model == "small" && host.server.membership &&
        host.server.membership->rank == 0) {
      member = host.group_members.back();
      host.cut = true;
      break;
    }
  }
  REQUIRE(!member.empty());
  run.PassFor(Seconds(15));
  CHECK(run.fleet.violations().empty());
}

TEST_CASE(
    "a leaving member's group ends its requests before it is taken apart") {
  Run run(1);
  run.PassFor(Seconds(25));
  for (auto& [id, host] : run.fleet.hosts()) {
    if (host.server.model == "small" && host.server.membership &&
        host.server.membership->rank == 1) {
      host.server.draining = true;
      break;
    }
  }
  run.fleet.Show(run.directory, run.findings, run.now);
  const ReplicaInput input{run.directory, run.findings, run.service, false,
                           true};
  const auto orders = PlanReplicas(input, ReplicaPolicy{}, run.memory, run.now);
  const auto close = std::find_if(
      orders.begin(), orders.end(), [](const PlannedOrder& planned) {
        return std::holds_alternative<CloseGroup>(planned.order);
      });
  REQUIRE(close != orders.end());
  CHECK_FALSE(std::get<CloseGroup>(close->order).cancel);
}

TEST_CASE("a controller that takes over keeps the groups that serve") {
  Run run(1);
  run.PassFor(Seconds(25));
  const int before = run.fleet.CountServing();
  run.TakeOver();
  run.PassFor(Seconds(10));
  CHECK(run.fleet.CountServing() == before);
}

TEST_CASE("loads after traffic began keep to the allowed rate and number") {
  // Thirty empty hosts come at once. More loads than allowed would make every
  // one of them slower, and break the weight store's limit.
  Run run(1);
  run.PassFor(Seconds(25));
  for (int i = 0; i < 30; ++i) {
    run.fleet.AddHost("d0", false, "");
  }
  for (int i = 0; i < 100; ++i) {
    run.Pass(0);
    int loading = 0;
    for (const auto& [id, host] : run.fleet.hosts()) {
      loading += host.staged_at ? 1 : 0;
    }
    REQUIRE(loading <= 7);
  }
}

/// Random faults for 40 s; the first violation, or nothing.
std::string RunWithFaults(uint64_t seed) {
  Run run(seed);
  std::mt19937_64 random(seed);
  const auto chance = [&random](double part) {
    return std::uniform_real_distribution<double>(0, 1)(random) < part;
  };
  run.PassFor(Seconds(21), 0.1);
  const TimePoint end = run.now + Seconds(40);
  while (run.now < end) {
    FakeFleet::Host& host = run.fleet.Random();
    if (chance(0.05)) {
      host.alive = false;
    }
    if (chance(0.03)) {
      host.cut = !host.cut;
    }
    if (chance(0.02)) {
      host.server.draining = true;
    }
    if (chance(0.01)) {
      run.TakeOver();
    }
    if (chance(0.05)) {
      run.fleet.AddHost("d" + std::to_string(random() % 3), false, "");
    }
    run.Pass(0.3);
  }
  return run.fleet.violations().empty() ? "" : run.fleet.violations().front();
}

TEST_CASE("no host serves in two groups and no group opens unready") {
  REQUIRE(rc::check("random faults", [](uint64_t seed) {
    const std::string violation = RunWithFaults(seed);
    if (!violation.empty()) {
      RC_FAIL(violation);
    }
  }));
}

TEST_CASE("seeds that failed once") {
  // Each is a run of the property above in which a host once joined a group
  // while the head of its last one could run requests:
  // an order to open that went astray arrived before a join (38863981679,
  // 19936, 15738, 5431798); a late join completed a group that was given up
  // (203908499675382, 2445121976441, 14746254939895842); a head came back and
  // opened anew (3072527263); a member's own entry lapsed while it was held
  // (69671153244943, 2854481045377).
  for (const uint64_t seed :
       {38863981679ULL, 19936ULL, 15738ULL, 5431798ULL, 203908499675382ULL,
        2445121976441ULL, 14746254939895842ULL, 3072527263ULL,
        69671153244943ULL, 2854481045377ULL}) {
    CHECK(RunWithFaults(seed) == "");
  }
}

TEST_CASE("wanted replicas follow the shares and use the hosts") {
  const EngineProfile engine = *MakeService().engine;
  REQUIRE(rc::check("never more hosts than there are", [&engine] {
    const int hosts = *rc::gen::inRange(0, 500);
    const auto wanted = WantedReplicas(engine, hosts);
    int used = 0;
    for (const ModelProfile& model : engine.models) {
      used += wanted.at(model.name) * model.members;
    }
    RC_ASSERT(used <= hosts);
    RC_ASSERT(hosts - used < 2);
  }));
}

}  // namespace
}  // namespace filbertrack

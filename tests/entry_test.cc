#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <deque>

#include "filbertrack/entry_host.h"
#include "filbertrack/entry_lease.h"

namespace filbertrack {
namespace {

/// Store of a single record. Calls are queued until the test answers them.
class FakeRecords : public RecordStore {
 public:
  void Read(const std::string&,
            std::function<void(StoreResponse)> done) override {
    m_calls.push_back([this, done] { done(Current()); });
  }
  void Write(const std::string&,
             const std::string& value,
             uint64_t expected_version,
             std::function<void(StoreResponse)> done) override {
    m_calls.push_back([this, value, expected_version, done] {
      done(Apply(value, expected_version));
    });
    m_writes.push_back(
        [this, value, expected_version] { Apply(value, expected_version); });
  }
  void ReadAll(
      const std::string&,
      std::function<void(StoreStatus, std::vector<StoredObject>)>) override {}

  /// Applies and answers all queued calls.
  void AnswerAll() {
    while (!m_calls.empty()) {
      const auto call = std::move(m_calls.front());
      m_calls.pop_front();
      call();
    }
    m_writes.clear();
  }
  /// Applies the queued writes and loses the answers.
  void ApplyWithoutAnswer() {
    for (const auto& write : m_writes) {
      write();
    }
    DropCalls();
  }
  /// Loses the queued calls before they take effect.
  void DropCalls() {
    m_writes.clear();
    m_calls.clear();
  }

  uint64_t version() const { return m_version; }

 private:
  StoreResponse Current() const {
    if (m_version == 0) {
      return {StoreStatus::kNotFound, {}};
    }
    return {StoreStatus::kOk, {"groups-lease", m_value, m_version}};
  }
  StoreResponse Apply(const std::string& value, uint64_t expected_version) {
    if (expected_version != m_version) {
      StoreResponse answer = Current();
      answer.status = StoreStatus::kConflict;
      return answer;
    }
    m_value = value;
    ++m_version;
    return Current();
  }

  std::string m_value;
  uint64_t m_version = 0;
  std::deque<std::function<void()>> m_calls;
  std::vector<std::function<void()>> m_writes;
};

/// One entry host that competes for the lease.
struct Claimant {
  Claimant(const std::string& name, FakeRecords& store)
      : records(store),
        lease(
            name,
            {Milliseconds(1500), Milliseconds(500), Milliseconds(300)},
            store,
            [this] { return now; },
            {[this] { fences.push_back(lease.fence()); }, [this] { ++lost; }}) {
  }

  void Step(Duration time) {
    now += time;
    lease.Tick(true);
  }

  FakeRecords& records;
  TimePoint now{Seconds(100)};
  /// Fencing numbers under which the lease was acquired.
  std::vector<uint64_t> fences;
  int lost = 0;
  EntryLease lease;
};

/// Advances the claimant's clock until it has acquired the lease.
void AcquireLease(Claimant& claimant) {
  for (int i = 0; i < 20 && !claimant.lease.IsHeld(); ++i) {
    claimant.Step(Milliseconds(200));
    claimant.records.AnswerAll();
  }
  REQUIRE(claimant.lease.IsHeld());
}

TEST_CASE("a lapsed lease is acquired again only with a new fence") {
  // Guards against streams served by a group of which one member never joined.
  // Renewals fail until the lease lapses, then a late one succeeds. The holder
  // has discarded its plans by then; with the same fence it would assign the
  // same epochs to other groups, and members of two groups would look like one
  // complete group.
  FakeRecords records;
  Claimant claimant("a", records);
  AcquireLease(claimant);
  CHECK(claimant.fences == std::vector<uint64_t>{1});
  // All renewals are lost except the last one, which is sent while the lease is
  // held and answered after it has lapsed.
  for (int i = 0; i < 6; ++i) {
    claimant.Step(Milliseconds(200));
    records.DropCalls();
  }
  claimant.Step(Milliseconds(200));
  claimant.now += Milliseconds(200);
  CHECK_FALSE(claimant.lease.IsHeld());
  records.AnswerAll();
  CHECK_FALSE(claimant.lease.IsHeld());
  AcquireLease(claimant);
  CHECK(claimant.lost == 1);
  CHECK(claimant.fences == std::vector<uint64_t>{1, 2});
}

TEST_CASE("a renewal whose answer is lost does not lose the lease") {
  // Guards against interrupted repair of groups while the store loses some of
  // its answers. The renewal took effect, and the conflict of the next one
  // shows that this host still holds the lease.
  FakeRecords records;
  Claimant claimant("a", records);
  AcquireLease(claimant);
  for (int round = 0; round < 10; ++round) {
    for (int i = 0; i < 3; ++i) {
      claimant.Step(Milliseconds(200));
    }
    records.ApplyWithoutAnswer();
    for (int i = 0; i < 3; ++i) {
      claimant.Step(Milliseconds(200));
      records.AnswerAll();
    }
    CHECK(claimant.lease.IsHeld());
  }
  CHECK(claimant.lost == 0);
  CHECK(claimant.fences.size() == 1);
}

TEST_CASE("a lost answer does not extend the lease beyond its duration") {
  // The renewal took effect and its answer was lost. When a later call reveals
  // it, the lease still runs from the start of that renewal, because another
  // host may have started to measure the lease time then.
  FakeRecords records;
  Claimant claimant("a", records);
  AcquireLease(claimant);
  claimant.Step(Milliseconds(600));
  const TimePoint began = claimant.now;
  records.ApplyWithoutAnswer();
  claimant.Step(Milliseconds(500));
  records.AnswerAll();
  claimant.now = began + Milliseconds(1499);
  CHECK(claimant.lease.IsHeld());
  claimant.now = began + Milliseconds(1500);
  CHECK_FALSE(claimant.lease.IsHeld());
}

TEST_CASE("two claimants never hold the lease at the same time") {
  // The holder cannot reach the store and does not learn that another host has
  // taken over. Its lease must have expired on its own clock by then.
  FakeRecords records;
  Claimant first("a", records);
  AcquireLease(first);
  Claimant second("b", records);
  second.now = first.now;
  for (int i = 0; i < 30; ++i) {
    first.Step(Milliseconds(200));
    records.DropCalls();
    second.Step(Milliseconds(200));
    records.AnswerAll();
    const bool both = first.lease.IsHeld() && second.lease.IsHeld();
    CHECK_FALSE(both);
  }
  CHECK(second.lease.IsHeld());
  CHECK(second.lease.fence() > first.fences.back());
}

TEST_CASE("a released lease can be acquired at once") {
  FakeRecords records;
  Claimant first("a", records);
  AcquireLease(first);
  first.lease.Release();
  records.AnswerAll();
  Claimant second("b", records);
  second.now = first.now;
  AcquireLease(second);
  CHECK(second.now - first.now < Milliseconds(1500));
}

TEST_CASE("a restarted host reacquires its earlier lease at once") {
  // After a power failure of all hosts, groups that lost a member wait for a
  // lease holder to repair them. Other hosts must wait for 1.5 s without a
  // renewal before they take the lease; the restarted process of the holder
  // knows that its predecessor is gone.
  FakeRecords records;
  Claimant before("e1#1", records);
  AcquireLease(before);
  REQUIRE(before.lease.IsHeld());
  const uint64_t fence = before.lease.fence();
  Claimant after("e1#2", records);
  // `false`: it must not compete for the lease of another host.
  after.lease.Tick(false);
  records.AnswerAll();
  REQUIRE(after.lease.IsHeld());
  CHECK(after.lease.fence() > fence);
}

TEST_CASE("a host that starts does not acquire another host's lease") {
  FakeRecords records;
  Claimant holder("e1#1", records);
  AcquireLease(holder);
  Claimant other("e12#1", records);
  for (int i = 0; i < 3; ++i) {
    other.lease.Tick(false);
    records.AnswerAll();
    other.now += Milliseconds(600);
  }
  CHECK_FALSE(other.lease.IsHeld());
  // A host that does not compete for the lease leaves a free one alone, too.
  FakeRecords empty;
  Claimant idle("e3#1", empty);
  idle.lease.Tick(false);
  empty.AnswerAll();
  CHECK(empty.version() == 0);
}

TEST_CASE("the setting for coarse planning is auto by default") {
  const std::string node =
      "[node]\nname = e1\ndata_centre = z1\n"
      "[store]\naddress = 127.0.0.1:9\n";
  const auto planning = [&node](const std::string& lines) {
    return CoarseGroupsOf(*EntrySchema().ParseText(node + lines, "test"));
  };
  CHECK(planning("") == CoarseGroups::kAuto);
  CHECK(planning("[groups]\ncoarse_planning = yes\n") == CoarseGroups::kYes);
  CHECK(planning("[groups]\ncoarse_planning = no\n") == CoarseGroups::kNo);
  CHECK(!EntrySchema().ParseText(node + "[groups]\ncoarse_planning = maybe\n",
                                 "test"));
}

TEST_CASE("the time of a route's requests is that of the latest ones") {
  RouteTimes times;
  CHECK_FALSE(times.Expected("a"));
  times.OnAnswered("a", Seconds(1));
  CHECK(times.Expected("a") == Seconds(1));
  for (int i = 0; i < 50; ++i) {
    times.OnAnswered("a", Seconds(3));
  }
  CHECK(*times.Expected("a") > Milliseconds(2900));
  CHECK(*times.Expected("a") < Seconds(3));
  times.OnAnswered("b", Seconds(2));
  times.Retain({"b", "c"});
  CHECK_FALSE(times.Expected("a"));
  CHECK(times.Expected("b") == Seconds(2));
}

TEST_CASE("a stopping host waits until callers have read their responses") {
  // Guards against truncated responses: the process must not exit while the
  // last bytes of a complete response are still waiting to be written.
  constexpr Duration kMinTime = Seconds(3);
  constexpr Duration kMaxTime = Seconds(7);
  CHECK_FALSE(MayStop({Seconds(4), 0, 1}, kMinTime, kMaxTime));
  CHECK_FALSE(MayStop({Seconds(4), 1, 0}, kMinTime, kMaxTime));
  CHECK_FALSE(MayStop({Seconds(2), 0, 0}, kMinTime, kMaxTime));
  CHECK(MayStop({Seconds(4), 0, 0}, kMinTime, kMaxTime));
  CHECK(MayStop({Seconds(7), 1, 1}, kMinTime, kMaxTime));
}

}  // namespace
}  // namespace filbertrack

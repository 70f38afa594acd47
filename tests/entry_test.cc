#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <deque>

#include "filbertrack/entry_host.h"
#include "filbertrack/entry_lease.h"

namespace filbertrack {
namespace {

/// A store of one record whose calls wait until the test answers them.
class FakeRecords : public RecordStore {
 public:
  void Read(const std::string&,
            std::function<void(StoreAnswer)> done) override {
    m_calls.push_back([this, done] { done(Current()); });
  }
  void Write(const std::string&,
             const std::string& value,
             uint64_t expected_version,
             std::function<void(StoreAnswer)> done) override {
    m_calls.push_back([this, value, expected_version, done] {
      done(Apply(value, expected_version));
    });
    m_writes.push_back(
        [this, value, expected_version] { Apply(value, expected_version); });
  }
  void ReadAll(
      const std::string&,
      std::function<void(StoreStatus, std::vector<StoredObject>)>) override {}

  /// Answers all that was called.
  void AnswerAll() {
    while (!m_calls.empty()) {
      const auto call = std::move(m_calls.front());
      m_calls.pop_front();
      call();
    }
    m_writes.clear();
  }
  /// The writes take effect and nobody is told.
  void ApplyWithoutAnswer() {
    for (const auto& write : m_writes) {
      write();
    }
    DropCalls();
  }
  /// Nothing is done and nobody is told.
  void DropCalls() {
    m_writes.clear();
    m_calls.clear();
  }

  uint64_t version() const { return m_version; }

 private:
  StoreAnswer Current() const {
    if (m_version == 0) {
      return {StoreStatus::kNotFound, {}};
    }
    return {StoreStatus::kOk, {"groups-lease", m_value, m_version}};
  }
  StoreAnswer Apply(const std::string& value, uint64_t expected_version) {
    if (expected_version != m_version) {
      StoreAnswer answer = Current();
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

/// One entry host that stands for the lease.
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
  /// Fences under which the lease was gained.
  std::vector<uint64_t> fences;
  int lost = 0;
  EntryLease lease;
};

/// Lets the claimant take the lease.
void AcquireLease(Claimant& claimant) {
  for (int i = 0; i < 20 && !claimant.lease.IsHeld(); ++i) {
    claimant.Step(Milliseconds(200));
    claimant.records.AnswerAll();
  }
  REQUIRE(claimant.lease.IsHeld());
}

TEST_CASE("a lease that lapsed is held again only under a new fence") {
  // A caller's stream runs in a group of which one member never joined. The
  // store refuses the holder's renewals for a while; its lease lapses, and then
  // one renewal succeeds. What it planned is forgotten, so under the same fence
  // it would give the same epochs to other groups, and members of two groups
  // would look like one that is whole.
  FakeRecords records;
  Claimant claimant("a", records);
  AcquireLease(claimant);
  CHECK(claimant.fences == std::vector<uint64_t>{1});
  // Nothing of what it calls arrives, until a last renewal that was sent while
  // the lease was held; its answer comes when the lease has lapsed.
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

TEST_CASE("a renewal whose answer is lost does not cost the lease") {
  // Groups go on being repaired while the store loses some of its answers. The
  // renewal took effect; the next one conflicts with it, which shows that this
  // host still holds the lease.
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

TEST_CASE("a lost answer does not make the lease last longer than it may") {
  // The renewal took effect early and its answer was lost. What shows it later
  // counts from when that renewal began: a challenger may have begun to count
  // then.
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

TEST_CASE("two claimants never hold the lease at one time") {
  // The holder cannot reach the store and does not know that another host has
  // taken over; on its own clock its lease has ended by then.
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

TEST_CASE("a lease that is given back is free for the next at once") {
  FakeRecords records;
  Claimant first("a", records);
  AcquireLease(first);
  first.lease.GiveBack();
  records.AnswerAll();
  Claimant second("b", records);
  second.now = first.now;
  AcquireLease(second);
  CHECK(second.now - first.now < Milliseconds(1500));
}

TEST_CASE("a host that restarts takes back at once what its process held") {
  // All hosts lost power. Groups that lost a member meanwhile wait for somebody
  // who gives orders; the others may only conclude from 1.5 s of silence that
  // the holder is gone. Its own next process knows.
  FakeRecords records;
  Claimant before("e1#1", records);
  AcquireLease(before);
  REQUIRE(before.lease.IsHeld());
  const uint64_t fence = before.lease.fence();
  Claimant after("e1#2", records);
  // It does not stand for the lease of others.
  after.lease.Tick(false);
  records.AnswerAll();
  REQUIRE(after.lease.IsHeld());
  CHECK(after.lease.fence() > fence);
}

TEST_CASE("another host's lease is not taken back by a host that starts") {
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
  // Nor does a host that does not stand take one that nobody has.
  FakeRecords empty;
  Claimant idle("e3#1", empty);
  idle.lease.Tick(false);
  empty.AnswerAll();
  CHECK(empty.version() == 0);
}

TEST_CASE("a host that stops waits until callers have taken their answers") {
  // Guards against an answer that is whole here and cut on its way, since the
  // process ends while its last bytes wait to be written.
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

#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <deque>

#include "filbertrack/keyed_partition.h"

namespace filbertrack {
namespace {

const TimePoint kStart{Seconds(1000)};

/// The object API as a partition sees it: conditional writes that may take
/// effect late, or take effect without their response arriving.
struct FakeStore {
  std::map<std::string, std::pair<std::string, uint64_t>> objects;
  std::deque<WriteKeyObject> delayed_writes;
  uint64_t revision = 0;
  bool down = false;

  KeyStoreStatus Write(const WriteKeyObject& write, uint64_t* version) {
    auto& object = objects[write.key];
    if (object.second != write.expected_version) {
      return KeyStoreStatus::kConflict;
    }
    object = {write.value, ++revision};
    *version = revision;
    return KeyStoreStatus::kOk;
  }
};

enum class WriteOutcome { kAnswered, kResponseLost, kDelayed, kDropped };

/// One owner of the partition and the answers that it returned.
class FakeOwner {
 public:
  FakeOwner(FakeStore& store, KeyPartitionPolicy policy)
      : m_store(store), m_partition("p", policy) {}

  void Submit(uint64_t id, const KeyOperation& operation, TimePoint now) {
    m_partition.Submit(id, operation, now);
  }

  template <typename OutcomeSource>
  void Tick(TimePoint now, OutcomeSource next_outcome) {
    Run(m_partition.OnTick([](const std::string&, uint64_t) { return true; },
                           now, 0),
        next_outcome);
  }

  std::map<uint64_t, KeyAnswer> answers;
  uint64_t writes() const { return m_partition.writes(); }

 private:
  template <typename OutcomeSource>
  void Run(std::vector<KeyAction> actions, OutcomeSource next_outcome) {
    for (const KeyAction& action : actions) {
      if (const auto* answer = std::get_if<AnswerKeyOperation>(&action)) {
        answers[answer->id] = answer->answer;
      } else if (const auto* read = std::get_if<ReadKeyObject>(&action)) {
        Read(*read, next_outcome);
      } else {
        Write(std::get<WriteKeyObject>(action), next_outcome);
      }
    }
  }

  template <typename OutcomeSource>
  void Read(const ReadKeyObject& read, OutcomeSource next_outcome) {
    if (m_store.down) {
      Run(m_partition.OnRead(read.key, KeyStoreStatus::kUnavailable, "", 0),
          next_outcome);
      return;
    }
    const auto object = m_store.objects.find(read.key);
    const bool found = object != m_store.objects.end();
    Run(m_partition.OnRead(
            read.key, found ? KeyStoreStatus::kOk : KeyStoreStatus::kNotFound,
            found ? object->second.first : "",
            found ? object->second.second : 0),
        next_outcome);
  }

  template <typename OutcomeSource>
  void Write(const WriteKeyObject& write, OutcomeSource next_outcome) {
    uint64_t version = 0;
    KeyStoreStatus status = KeyStoreStatus::kUnavailable;
    switch (m_store.down ? WriteOutcome::kDropped : next_outcome()) {
      case WriteOutcome::kAnswered:
        status = m_store.Write(write, &version);
        break;
      case WriteOutcome::kResponseLost:
        m_store.Write(write, &version);
        break;
      case WriteOutcome::kDelayed:
        m_store.delayed_writes.push_back(write);
        break;
      case WriteOutcome::kDropped:
        break;
    }
    Run(m_partition.OnWritten(write.key, status, version), next_outcome);
  }

  FakeStore& m_store;
  KeyPartition m_partition;
};

KeyClaim Claim(const std::string& key, int number) {
  return {key, "claim-" + std::to_string(number), "n", 1, "same request"};
}

const auto kAnswered = [] { return WriteOutcome::kAnswered; };

TEST_CASE("a retry on another entry host receives the stored response") {
  // Guards against a retried request that runs again after a change of owner.
  // The first attempt ran through one owner, which then failed; the next owner
  // loads the log and must return the stored response.
  FakeStore store;
  FakeOwner first(store, KeyPartitionPolicy());
  first.Submit(1, Claim("k", 1), kStart);
  first.Tick(kStart, kAnswered);
  first.Tick(kStart, kAnswered);
  REQUIRE(first.answers[1].verdict == KeyVerdict::kRun);
  first.Submit(
      2, KeyCompletion{"k", "claim-1", Outcome::kRan, 200, "t", "b", true},
      kStart);
  first.Tick(kStart + Seconds(1), kAnswered);
  CHECK(first.answers[2].verdict == KeyVerdict::kRecorded);
  FakeOwner second(store, KeyPartitionPolicy());
  second.Submit(3, Claim("k", 2), kStart);
  second.Tick(kStart, kAnswered);
  second.Tick(kStart, kAnswered);
  CHECK(second.answers[3].verdict == KeyVerdict::kReplay);
  CHECK(second.answers[3].body == "b");
  KeyClaim other = Claim("k", 4);
  other.fingerprint = "another request";
  second.Submit(4, other, kStart);
  second.Tick(kStart + Seconds(1), kAnswered);
  CHECK(second.answers[4].verdict == KeyVerdict::kReused);
}

TEST_CASE("claims are answered as unavailable while the store is down") {
  // The caller must receive 503 not-run after two seconds instead of waiting
  // for the store.
  FakeStore store;
  store.down = true;
  FakeOwner owner(store, KeyPartitionPolicy());
  owner.Submit(1, Claim("k", 1), kStart);
  for (int i = 0; i <= 40; ++i) {
    owner.Tick(kStart + Milliseconds(50 * i), kAnswered);
  }
  REQUIRE(owner.answers.contains(1));
  CHECK(owner.answers[1].verdict == KeyVerdict::kUnavailable);
}

TEST_CASE("a claim whose write response was lost is granted once") {
  // Guards against a granted claim that is refused because its write's response
  // was lost. The store applied the write; the owner reloads the log and finds
  // its own claim there.
  FakeStore store;
  FakeOwner owner(store, KeyPartitionPolicy());
  bool lost = false;
  const auto lose_first = [&lost] {
    const bool now_lost = !lost;
    lost = true;
    return now_lost ? WriteOutcome::kResponseLost : WriteOutcome::kAnswered;
  };
  owner.Submit(1, Claim("k", 1), kStart);
  for (int i = 0; i < 10; ++i) {
    owner.Tick(kStart + Milliseconds(100 * i), lose_first);
  }
  REQUIRE(owner.answers.contains(1));
  CHECK(owner.answers[1].verdict == KeyVerdict::kRun);
  CHECK(owner.writes() == 1);
}

TEST_CASE("a claim abandoned before it took effect does not block the key") {
  // Guards against a key that stays claimed by an abandoned attempt. The first
  // attempt was answered not-run because the store was slow, and its completion
  // is recorded before its delayed claim.
  FakeStore store;
  FakeOwner owner(store, KeyPartitionPolicy());
  owner.Submit(
      1, KeyCompletion{"k", "claim-1", Outcome::kNotRun, 0, "", "", false},
      kStart);
  owner.Tick(kStart, kAnswered);
  owner.Tick(kStart, kAnswered);
  owner.Submit(2, Claim("k", 2), kStart);
  owner.Tick(kStart + Seconds(1), kAnswered);
  CHECK(owner.answers[2].verdict == KeyVerdict::kRun);
}

TEST_CASE("many operations share one write") {
  FakeStore store;
  FakeOwner owner(store, KeyPartitionPolicy());
  TimePoint now = kStart;
  const int requests = 1000;
  for (int i = 0; i < requests; ++i) {
    const std::string key = "k" + std::to_string(i);
    owner.Submit(static_cast<uint64_t>(2 * i), Claim(key, i), now);
    owner.Submit(static_cast<uint64_t>(2 * i + 1),
                 KeyCompletion{key, "claim-" + std::to_string(i), Outcome::kRan,
                               200, "t", "b", true},
                 now);
    now += Milliseconds(2);
    owner.Tick(now, kAnswered);
  }
  owner.Tick(now + Seconds(1), kAnswered);
  CHECK(owner.answers.size() == 2 * requests);
  CHECK(owner.writes() * 5 < requests);
}

TEST_CASE("property: at most one claim of a key is granted") {
  // Two hosts both act as owner of the partition; writes are lost, delayed or
  // applied without a response, and segments are sealed often.
  REQUIRE(rc::check("once", [] {
    FakeStore store;
    KeyPartitionPolicy policy;
    policy.gather = Milliseconds(0);
    policy.seal_bytes = 300;
    std::vector<FakeOwner> owners;
    owners.emplace_back(store, policy);
    owners.emplace_back(store, policy);
    const auto next_outcome = [] {
      return *rc::gen::element(WriteOutcome::kAnswered, WriteOutcome::kAnswered,
                               WriteOutcome::kAnswered,
                               WriteOutcome::kResponseLost,
                               WriteOutcome::kDelayed, WriteOutcome::kDropped);
    };
    struct PendingClaim {
      std::string key;
      std::string claim_id;
      bool abandoned = false;
    };
    std::map<uint64_t, PendingClaim> claims;
    std::set<uint64_t> seen;
    std::map<std::string, int> runs;
    uint64_t next_id = 0;
    TimePoint now = kStart;
    const int steps = *rc::gen::inRange(20, 120);
    for (int step = 0; step < steps; ++step) {
      now += Milliseconds(*rc::gen::inRange(1, 700));
      store.down = *rc::gen::inRange(0, 8) == 0;
      FakeOwner& owner = owners[*rc::gen::inRange<size_t>(0, 2)];
      if (*rc::gen::inRange(0, 3) == 0) {
        const std::string key = "k" + std::to_string(*rc::gen::inRange(0, 4));
        const uint64_t id = ++next_id;
        claims[id] = {key, "claim-" + std::to_string(id)};
        owner.Submit(id, Claim(key, static_cast<int>(id)), now);
      }
      owner.Tick(now, next_outcome);
      if (!store.delayed_writes.empty() && *rc::gen::arbitrary<bool>()) {
        uint64_t version = 0;
        store.Write(store.delayed_writes.front(), &version);
        store.delayed_writes.pop_front();
      }
      for (FakeOwner& each : owners) {
        for (const auto& [id, answer] : each.answers) {
          if (!claims.contains(id) || !seen.insert(id).second) {
            continue;
          }
          PendingClaim& pending = claims[id];
          if (answer.verdict == KeyVerdict::kRun) {
            ++runs[pending.key];
            RC_ASSERT(runs[pending.key] <= 1);
          } else if (answer.verdict == KeyVerdict::kUnavailable) {
            // Like the entry host, abandon a claim that will not run.
            each.Submit(++next_id,
                        KeyCompletion{pending.key, pending.claim_id,
                                      Outcome::kNotRun, 0, "", "", false},
                        now);
          }
        }
      }
    }
  }));
}

TEST_CASE("property: malformed stored or received bytes are parsed safely") {
  REQUIRE(rc::check("bytes", [] {
    std::string bytes = EncodeKeyOperation(Claim("k", 1));
    bytes[*rc::gen::inRange<size_t>(0, bytes.size())] =
        static_cast<char>(*rc::gen::inRange(0, 256));
    DecodeKeyOperation(bytes);
    DecodeKeyAnswer(bytes);
    FakeStore store;
    store.objects["keyed/p/head"] = {
        *rc::gen::container<std::string>(
            rc::gen::elementOf(std::string("{}[]\":,segmentsorders0 "))),
        1};
    FakeOwner owner(store, KeyPartitionPolicy());
    owner.Submit(1, Claim("k", 1), kStart);
    owner.Tick(kStart, kAnswered);
    owner.Tick(kStart, kAnswered);
    RC_ASSERT(!owner.answers.contains(1) ||
              owner.answers[1].verdict != KeyVerdict::kRun ||
              !store.objects["keyed/p/head"].first.empty());
  }));
}

}  // namespace
}  // namespace filbertrack

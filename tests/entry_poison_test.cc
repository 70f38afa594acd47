#include <doctest/doctest.h>

#include <deque>

#include "filbertrack/entry_poison.h"
#include "filbertrack/entry_poison_record.h"
#include "in_memory_record_store.h"
#include "run_until.h"

/// Tests how an entry host evaluates broken attempts: which servers terminated,
/// which requests are blocked, and how the blocks are persisted.

namespace filbertrack {
namespace {

const RequestDigest kCulprit = DigestRequest({"POST", "h", "/x", "w", "bad"});
const RequestDigest kInnocent = DigestRequest({"POST", "h", "/x", "w", "good"});

/// Poison detection of one entry host with nine servers, whose answers to
/// probes the test sets, and a clock that the test advances.
class FakeHost : public EngineClient {
 public:
  explicit FakeHost(uint64_t first_revision = 100)
      : poison(
            directory,
            *this,
            [this] { return now; },
            first_revision) {
    for (int i = 0; i < 9; ++i) {
      BackendServer server;
      server.id = "s" + std::to_string(i);
      server.service = "llm";
      server.domain = "d";
      server.process_start_ms = 5000;
      directory.Put(server, now);
    }
    poison.SetFleet("e1", {"e1"});
  }

  void Order(const BackendServer&,
             const ReplicaOrder&,
             std::function<void(OrderResult)>) override {}

  void Probe(const BackendServer&,
             Duration,
             std::function<void(const ProbeAnswer&)> done) override {
    ++probes;
    ProbeAnswer answer = next;
    if (!answers.empty()) {
      answer.answered = answers.front();
      answers.pop_front();
    }
    done(answer);
  }

  static DispatchTarget Target(int number) {
    DispatchTarget target;
    target.id = "s" + std::to_string(number);
    target.process_start_ms = 5000;
    return target;
  }

  /// Breaks the connection of an attempt that runs the culprit on the server.
  void BreakAttempt(int number) {
    poison.OnBroken(Target(number), {kCulprit, AttemptProgress::kBegun, now});
  }

  TimePoint now{Seconds(100)};
  ServerDirectory directory{DirectoryPolicy{}};
  /// Whether each of the next probes is answered; later ones follow `next`.
  std::deque<bool> answers;
  ProbeAnswer next;
  int probes = 0;
  EntryPoison poison;
};

TEST_CASE("a broken connection to a server that answers is no termination") {
  FakeHost host;
  host.next.answered = true;
  host.next.process_start_ms = 5000;
  for (int i = 0; i < 5; ++i) {
    host.BreakAttempt(i);
  }
  CHECK(host.poison.IsIdle());
  CHECK(host.probes == 5);
}

TEST_CASE("one lost probe answer does not count as a termination") {
  FakeHost host;
  host.answers = {false, true};
  host.next.process_start_ms = 5000;
  host.BreakAttempt(1);
  CHECK(host.probes == 2);
  CHECK(host.poison.IsIdle());
}

TEST_CASE("a different process at the address proves a termination") {
  FakeHost host;
  host.next.answered = true;
  host.next.process_start_ms = 6000;
  host.BreakAttempt(1);
  CHECK(host.poison.CountSuspectedEnds() == 1);
  host.next.process_start_ms = 5000;
  host.next.answered = false;
  host.next.wrong_server = true;
  host.BreakAttempt(2);
  CHECK(host.poison.CountSuspectedEnds() == 2);
}

TEST_CASE("the termination of a draining server is not attributed") {
  FakeHost host;
  BackendServer leaving = *host.directory.Find("s1");
  leaving.draining = true;
  host.directory.Put(leaving, host.now);
  host.BreakAttempt(1);
  CHECK(host.probes == 0);
  CHECK(host.poison.IsIdle());
}

TEST_CASE("further attempts on a terminated server need no probe") {
  FakeHost host;
  host.BreakAttempt(1);
  const int probes_before = host.probes;
  host.poison.OnBroken(FakeHost::Target(1),
                       {kInnocent, AttemptProgress::kAnswering, host.now});
  CHECK(host.probes == probes_before);
  CHECK(host.poison.CountSuspectedEnds() == 2);
  CHECK(host.poison.attempts_ended() == 2);
}

TEST_CASE("requests sent after a termination are not suspected of it") {
  // Guards against innocent requests gathering evidence: hosts that have not
  // heard of a termination yet keep sending to the server, and each of these
  // attempts breaks off too.
  FakeHost host;
  host.BreakAttempt(1);
  host.now += Milliseconds(300);
  host.poison.OnBroken(FakeHost::Target(1),
                       {kInnocent, AttemptProgress::kNoAnswer, host.now});
  CHECK(host.poison.CountSuspectedEnds() == 1);
  // An attempt that was sent before the termination and noticed later counts.
  host.poison.OnBroken(
      FakeHost::Target(1),
      {kInnocent, AttemptProgress::kNoAnswer, host.now - Seconds(1)});
  CHECK(host.poison.CountSuspectedEnds() == 2);
}

TEST_CASE("a blocked request is unblocked when its trial copy is answered") {
  FakeHost host;
  for (int i = 0; i < 3; ++i) {
    host.BreakAttempt(i);
  }
  CHECK(host.poison.CheckAdmission({kCulprit}, host.now) ==
        EntryPoison::Admission::kAllowed);
  host.now += Seconds(1);
  CHECK(host.poison.UpdateBlocks(host.now));
  CHECK(host.poison.CheckAdmission({kCulprit}, host.now) ==
        EntryPoison::Admission::kRefused);
  CHECK(host.poison.CheckAdmission({kInnocent}, host.now) ==
        EntryPoison::Admission::kAllowed);
  host.now += Seconds(6);
  // A host that may be partitioned from the others sends no trial copy.
  host.poison.SetFleet("e1", {});
  CHECK(host.poison.CheckAdmission({kCulprit}, host.now) ==
        EntryPoison::Admission::kRefused);
  host.poison.SetFleet("e1", {"e1"});
  REQUIRE(host.poison.CheckAdmission({kCulprit}, host.now) ==
          EntryPoison::Admission::kTrial);
  host.poison.BeginTrial({kCulprit}, host.now);
  CHECK(host.poison.CheckAdmission({kCulprit}, host.now) ==
        EntryPoison::Admission::kRefused);
  host.poison.OnServed(kCulprit);
  CHECK(host.poison.CheckAdmission({kCulprit}, host.now) ==
        EntryPoison::Admission::kAllowed);
}

TEST_CASE("answers withdraw terminations inferred from a partition") {
  // While the network between this host and the servers is down, all its
  // attempts break off and no probe is answered, as if the servers had
  // terminated. They answer once it is back.
  FakeHost host;
  for (int i = 0; i < 3; ++i) {
    host.BreakAttempt(i);
  }
  // An answer right after the break may come from a restarted process.
  host.poison.OnAnswer(FakeHost::Target(0), host.now);
  CHECK(host.poison.CountSuspectedEnds() == 3);
  host.now += Seconds(2);
  for (int i = 0; i < 3; ++i) {
    host.poison.OnAnswer(FakeHost::Target(i), host.now);
  }
  CHECK(host.poison.IsIdle());
}

TEST_CASE("hosts that exchange their evidence block the same request") {
  FakeHost one(100);
  FakeHost two(70000);
  one.BreakAttempt(0);
  two.BreakAttempt(1);
  two.BreakAttempt(2);
  one.poison.OnPeerUpdate(two.poison.Since(0, two.now), "two", one.now);
  two.poison.OnPeerUpdate(one.poison.Since(0, one.now), "one", two.now);
  for (FakeHost* host : {&one, &two}) {
    host->now += Seconds(1);
    CHECK(host->poison.UpdateBlocks(host->now));
    CHECK(host->poison.IsBlocked(kCulprit));
  }
}

TEST_CASE("blocks are persisted, and an operator removes them there") {
  EventLoop loop;
  InMemoryRecordStore records;
  const PoisonRecordPolicy policy{3, Milliseconds(20), Milliseconds(10),
                                  Milliseconds(30)};
  const std::string name = "poison-requests";
  FakeHost first;
  EntryPoisonRecord writer(loop, policy, first.poison, records,
                           [] { return true; });
  writer.Start();
  for (int i = 0; i < 3; ++i) {
    first.BreakAttempt(i);
  }
  first.now += Seconds(1);
  first.poison.UpdateBlocks(first.now);
  REQUIRE(RunUntil(loop, [&] { return !records.records[name].value.empty(); }));
  CHECK(records.records[name].value == kCulprit + " 3 0\n");
  // A host that starts reads the block from the record and writes nothing.
  FakeHost second;
  EntryPoisonRecord reader(loop, policy, second.poison, records,
                           [] { return false; });
  reader.Start();
  CHECK(second.poison.IsBlocked(kCulprit));
  records.records[name] = {name, kCulprit + " lifted\n", 7};
  REQUIRE(RunUntil(loop, [&] { return records.records[name].value.empty(); }));
  CHECK_FALSE(first.poison.IsBlocked(kCulprit));
}

TEST_CASE("an operator sees blocked parts in the record and lifts them there") {
  FakeHost host;
  for (int i = 0; i < 3; ++i) {
    host.poison.OnBroken(
        FakeHost::Target(i),
        {DigestRequest({"POST", "h", "/x", "w", std::to_string(i)}),
         AttemptProgress::kBegun,
         host.now,
         {"aa", "5c1e07a2"}});
  }
  host.poison.OnPartsAnswered(std::vector<PromptPart>{"aa"}, host.now);
  host.now += Seconds(1);
  REQUIRE(host.poison.UpdateBlocks(host.now));
  const std::string record = FormatPoisonRecord(host.poison.ActiveBlocks());
  CHECK(record == "part:5c1e07a2 3 0\n");
  const PoisonRecordText read = ParsePoisonRecord(record);
  REQUIRE(read.blocked.size() == 1);
  FakeHost other;
  other.poison.OnRecorded(read.blocked[0], other.now);
  const PoisonSubject part{{}, {"5c1e07a2"}};
  CHECK(other.poison.CheckAdmission(part, other.now) ==
        EntryPoison::Admission::kRefused);
  const PoisonRecordText lifted = ParsePoisonRecord("part:5c1e07a2 lifted\n");
  REQUIRE(lifted.unblocked.size() == 1);
  other.poison.OnUnblocked(lifted.unblocked[0], other.now);
  CHECK(other.poison.ActiveBlocks().empty());
}

TEST_CASE("malformed lines of the record unblock nothing") {
  const PoisonRecordText record = ParsePoisonRecord(
      kCulprit + " 3 1\nnonsense\n" + kInnocent + " lifted\n" + kInnocent +
      " three 0\n" + kInnocent + " 3\n");
  REQUIRE(record.blocked.size() == 1);
  CHECK(record.blocked[0].digest == kCulprit);
  CHECK(record.blocked[0].trials == 1);
  CHECK(record.unblocked == std::vector<PoisonSubject>{{kInnocent}});
  CHECK(ParsePoisonRecord("").blocked.empty());
}

}  // namespace
}  // namespace filbertrack

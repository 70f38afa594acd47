#include <doctest/doctest.h>

#include <deque>

#include "counted_records.h"
#include "filbertrack/entry_poison.h"
#include "filbertrack/entry_poison_record.h"
#include "run_until.h"

/// What an entry host makes of attempts that break off: which servers ended,
/// which requests are marked, and what of that outlasts it.

namespace filbertrack {
namespace {

const RequestDigest kCulprit = DigestRequest({"POST", "h", "/x", "w", "bad"});
const RequestDigest kInnocent = DigestRequest({"POST", "h", "/x", "w", "good"});

/// Servers that answer questions as the test says, and a clock that it moves.
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

  /// The server ends under the culprit.
  void BreakAttempt(int number) {
    poison.OnBroken(Target(number), {kCulprit, AttemptProgress::kBegun, now});
  }

  TimePoint now{Seconds(100)};
  ServerDirectory directory{DirectoryPolicy{}};
  /// Whether the next questions are answered; then as `next` says.
  std::deque<bool> answers;
  ProbeAnswer next;
  int probes = 0;
  EntryPoison poison;
};

TEST_CASE("a connection that broke at a server which answers is no end") {
  FakeHost host;
  host.next.answered = true;
  host.next.process_start_ms = 5000;
  for (int i = 0; i < 5; ++i) {
    host.BreakAttempt(i);
  }
  CHECK(host.poison.IsIdle());
  CHECK(host.probes == 5);
}

TEST_CASE("one lost answer to a question is no end") {
  FakeHost host;
  host.answers = {false, true};
  host.next.process_start_ms = 5000;
  host.BreakAttempt(1);
  CHECK(host.probes == 2);
  CHECK(host.poison.IsIdle());
}

TEST_CASE("another process at the address shows the end of the first") {
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

TEST_CASE("a server that leaves in order ends by itself") {
  FakeHost host;
  BackendServer leaving = *host.directory.Find("s1");
  leaving.draining = true;
  host.directory.Put(leaving, host.now);
  host.BreakAttempt(1);
  CHECK(host.probes == 0);
  CHECK(host.poison.IsIdle());
}

TEST_CASE("further attempts of an ended server count without a question") {
  FakeHost host;
  host.BreakAttempt(1);
  const int probes_before = host.probes;
  host.poison.OnBroken(FakeHost::Target(1),
                       {kInnocent, AttemptProgress::kAnswering, host.now});
  CHECK(host.probes == probes_before);
  CHECK(host.poison.CountSuspectedEnds() == 2);
  CHECK(host.poison.attempts_ended() == 2);
}

TEST_CASE("what was sent to a server that had ended is not at its end") {
  // Other hosts have not heard of an end yet and send there; their attempts
  // break off as well, at every server that has ended.
  FakeHost host;
  host.BreakAttempt(1);
  host.now += Milliseconds(300);
  host.poison.OnBroken(FakeHost::Target(1),
                       {kInnocent, AttemptProgress::kNoAnswer, host.now});
  CHECK(host.poison.CountSuspectedEnds() == 1);
  // One that was sent before and is noticed late counts.
  host.poison.OnBroken(
      FakeHost::Target(1),
      {kInnocent, AttemptProgress::kNoAnswer, host.now - Seconds(1)});
  CHECK(host.poison.CountSuspectedEnds() == 2);
}

TEST_CASE("a marked request is refused, tried once, and free when answered") {
  FakeHost host;
  for (int i = 0; i < 3; ++i) {
    host.BreakAttempt(i);
  }
  CHECK(host.poison.CheckAdmission(kCulprit, host.now) ==
        EntryPoison::Admission::kAllowed);
  host.now += Seconds(1);
  CHECK(host.poison.UpdateBlocks(host.now));
  CHECK(host.poison.CheckAdmission(kCulprit, host.now) ==
        EntryPoison::Admission::kRefused);
  CHECK(host.poison.CheckAdmission(kInnocent, host.now) ==
        EntryPoison::Admission::kAllowed);
  host.now += Seconds(6);
  // Not where another host is the one to try, nor where this host may be cut
  // off.
  host.poison.SetFleet("e1", {});
  CHECK(host.poison.CheckAdmission(kCulprit, host.now) ==
        EntryPoison::Admission::kRefused);
  host.poison.SetFleet("e1", {"e1"});
  REQUIRE(host.poison.CheckAdmission(kCulprit, host.now) ==
          EntryPoison::Admission::kTrial);
  host.poison.BeginTrial(kCulprit, host.now);
  CHECK(host.poison.CheckAdmission(kCulprit, host.now) ==
        EntryPoison::Admission::kRefused);
  host.poison.OnServed(kCulprit);
  CHECK(host.poison.CheckAdmission(kCulprit, host.now) ==
        EntryPoison::Admission::kAllowed);
}

TEST_CASE("a cut that looks like ends is taken back by answers") {
  // The link between this host and the servers breaks, so all its requests end
  // and no server answers it. When the link is back the servers answer.
  FakeHost host;
  for (int i = 0; i < 3; ++i) {
    host.BreakAttempt(i);
  }
  // An answer just after may be another process's.
  host.poison.OnAnswer(FakeHost::Target(0), host.now);
  CHECK(host.poison.CountSuspectedEnds() == 3);
  host.now += Seconds(2);
  for (int i = 0; i < 3; ++i) {
    host.poison.OnAnswer(FakeHost::Target(i), host.now);
  }
  CHECK(host.poison.IsIdle());
}

TEST_CASE("hosts that heard of ends from each other decide alike") {
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

TEST_CASE("the record keeps marks, and an operator lifts them there") {
  EventLoop loop;
  CountedRecords records;
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
  // A host that starts has it, and writes nothing.
  FakeHost second;
  EntryPoisonRecord reader(loop, policy, second.poison, records,
                           [] { return false; });
  reader.Start();
  CHECK(second.poison.IsBlocked(kCulprit));
  records.records[name] = {name, kCulprit + " lifted\n", 7};
  REQUIRE(RunUntil(loop, [&] { return records.records[name].value.empty(); }));
  CHECK_FALSE(first.poison.IsBlocked(kCulprit));
}

TEST_CASE("lines of the record that cannot be read lift nothing") {
  const PoisonRecordText record = ParsePoisonRecord(
      kCulprit + " 3 1\nnonsense\n" + kInnocent + " lifted\n" + kInnocent +
      " three 0\n" + kInnocent + " 3\n");
  REQUIRE(record.blocked.size() == 1);
  CHECK(record.blocked[0].digest == kCulprit);
  CHECK(record.blocked[0].trials == 1);
  CHECK(record.unblocked == std::vector<RequestDigest>{kInnocent});
  CHECK(ParsePoisonRecord("").blocked.empty());
}

}  // namespace
}  // namespace filbertrack

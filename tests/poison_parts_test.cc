#include <doctest/doctest.h>

#include "poison_fixture.h"

/// Tests which parts of prompts are blocked, on one ledger.

namespace filbertrack {
namespace {

using Parts = std::vector<PromptPart>;

constexpr Duration kSettled = Milliseconds(600);

struct PartsLedger {
  PoisonLedger ledger{PoisonPolicy{}, 1000};
  int servers = 0;
  TimePoint now = kStart;

  /// A server ends with a request at its beginning, of which no other copy
  /// exists.
  void End(const Parts& parts, EndProgress progress = EndProgress::kBegun) {
    now += Milliseconds(100);
    ++servers;
    ledger.Note(EndedDuringRequest{MakeServerInstance(servers),
                                   MakeDigest(servers), progress, parts},
                now);
  }
  std::vector<Blocked> Update() {
    now += kSettled;
    return ledger.UpdateBlocks(now);
  }
  bool Blocks(const Parts& parts) const {
    const RequestDigest other = MakeDigest(1'000'000);
    return ledger.FindBlock(parts, [&other]() -> const RequestDigest& {
      return other;
    }) != nullptr;
  }
};

TEST_CASE("what requests at three ends have in common is blocked as a set") {
  // Guards against the refusal of all requests that share one of the parts.
  PartsLedger run;
  run.End({"aa", "f00d", "c1"});
  run.End({"aa", "c2", "f00d"});
  run.End({"f00d", "aa"});
  const auto blocked = run.Update();
  REQUIRE(blocked.size() == 1);
  CHECK(blocked[0].parts == Parts{"aa", "f00d"});
  CHECK(blocked[0].ends == 3);
  CHECK(run.Blocks({"c9", "f00d", "aa"}));
  CHECK_FALSE(run.Blocks({"aa", "c1"}));
  CHECK_FALSE(run.Blocks({"bb", "f00d"}));
  // The next end lacks the shared part, so it is not the cause.
  run.ledger.BeginTrial({{}, {"aa", "f00d"}}, run.now);
  run.End({"bb", "f00d"});
  const auto narrowed = run.Update();
  REQUIRE(narrowed.size() == 1);
  CHECK(narrowed[0].parts == Parts{"f00d"});
  CHECK(narrowed[0].trials == 1);
  REQUIRE(run.ledger.ActiveBlocks().size() == 1);
  CHECK(run.Blocks({"f00d"}));
  CHECK_FALSE(run.Blocks({"aa"}));
}

TEST_CASE("a part that is answered meanwhile is not blocked") {
  PartsLedger run;
  for (int i = 0; i < 3; ++i) {
    run.now += PoisonPolicy{}.part_grace;
    run.End({"aa", "f00d"});
    CHECK(run.ledger.IsSuspectPart("aa"));
    run.ledger.Note(PartCleared{"aa"}, run.now);
    CHECK_FALSE(run.ledger.IsSuspectPart("aa"));
  }
  const auto blocked = run.Update();
  REQUIRE(blocked.size() == 1);
  CHECK(blocked[0].parts == Parts{"f00d"});
}

TEST_CASE("requests that wait beside one that has begun are no suspects") {
  PartsLedger run;
  for (int i = 0; i < 6; ++i) {
    run.End({"f00d"});
    run.ledger.Note(EndedDuringRequest{MakeServerInstance(run.servers),
                                       MakeDigest(100 + i),
                                       EndProgress::kNoAnswer,
                                       {"aa"}},
                    run.now);
  }
  run.Update();
  CHECK(run.Blocks({"f00d"}));
  CHECK_FALSE(run.Blocks({"aa"}));
}

TEST_CASE("copies of one request are blocked by its digest, not by its parts") {
  PoisonLedger ledger{PoisonPolicy{}, 1000};
  for (int server = 1; server <= 3; ++server) {
    ledger.Note(EndedDuringRequest{MakeServerInstance(server),
                                   MakeDigest(0),
                                   EndProgress::kBegun,
                                   {"aa", "bb"}},
                kStart);
  }
  const auto blocked = ledger.UpdateBlocks(kStart + kSettled);
  REQUIRE(blocked.size() == 1);
  CHECK(blocked[0].digest == MakeDigest(0));
  CHECK(blocked[0].parts.empty());
}

TEST_CASE("an operator lifts a block of parts, and later ends bring it back") {
  PartsLedger run;
  for (int i = 0; i < 3; ++i) {
    run.End({"f00d"});
  }
  run.Update();
  REQUIRE(run.Blocks({"f00d"}));
  run.ledger.Note(PartCleared{"f00d"}, run.now);
  CHECK_FALSE(run.Blocks({"f00d"}));
  run.now += Seconds(5);
  for (int i = 0; i < 3; ++i) {
    run.End({"f00d"});
  }
  run.Update();
  CHECK(run.Blocks({"f00d"}));
}

TEST_CASE("an end counts at once when all hosts have told what they know") {
  PartsLedger run;
  for (int i = 0; i < 3; ++i) {
    run.End({"f00d"});
  }
  CHECK(run.ledger.UpdateBlocks(run.now + Milliseconds(150)).empty());
  run.ledger.SetCompleteUntil(run.now + Milliseconds(110));
  CHECK(run.ledger.UpdateBlocks(run.now + Milliseconds(150)).size() == 1);
}

TEST_CASE("another host that receives the facts blocks the same parts") {
  PartsLedger run;
  for (int i = 0; i < 3; ++i) {
    run.End({"aa", "f00d"});
  }
  PoisonLedger other(PoisonPolicy{}, 50000);
  for (const TimedPoisonFact& row : run.ledger.Since(0, run.now).facts) {
    other.Note(row.fact, run.now - row.age);
  }
  run.Update();
  other.UpdateBlocks(run.now);
  CHECK(other.IsBlocked({{}, {"aa", "f00d"}}));
  CHECK(run.ledger.IsBlocked({{}, {"aa", "f00d"}}));
}

TEST_CASE("subjects are written and read alike, and other texts rejected") {
  for (const PoisonSubject& subject :
       {PoisonSubject{MakeDigest(1), {}}, PoisonSubject{{}, {"5c1e07a2"}},
        PoisonSubject{{}, {"1", "aa"}}}) {
    CHECK(ParsePoisonSubject(FormatPoisonSubject(subject)) == subject);
  }
  for (const char* text : {"", "part:", "part:G", "aa", "part:a+b", "+part:a",
                           "part:0123456789abcdef0123456789abcdef0"}) {
    CAPTURE(text);
    CHECK(ParsePoisonSubject(text) == PoisonSubject{});
  }
}

}  // namespace
}  // namespace filbertrack

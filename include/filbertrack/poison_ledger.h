#pragma once

/// Finds the request under which servers end, from reports of all entry hosts,
/// and keeps it from further servers.
///
/// The load that it is made for: one request ends each server that begins to
/// run it, and comes again several times a second, under new ids, at any entry
/// host, among hundreds of requests that run beside it on the same servers. No
/// entry host sees three of its ends, and each end takes a dozen innocent
/// requests along, some of which follow it to the next server.
///
/// Whom an end is laid to: of the requests that a server had when it ended,
/// those that were at most other ends as well, above all where they had just
/// begun to run. Whoever was there by chance is at fewer ends than the culprit,
/// or has an answer by now, which clears it.
///
/// Facts are sets that only grow, and are told with their age. So hosts that
/// heard the same facts in any order, and any number of times, decide alike.

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "filbertrack/base_time.h"
#include "filbertrack/poison_digest.h"
#include "filbertrack/server_instance.h"

namespace filbertrack {

/// How far a server had come with a request when it ended.
enum class EndProgress : int {
  /// Parts of the answer had come, so it had run for a while.
  kAnswering = 0,
  /// Nothing had come: it may have waited in a queue.
  kNoAnswer = 1,
  /// The answer had begun and held nothing yet.
  kBegun = 2,
};

// Facts.

/// A server ended while it had the request.
struct EndedDuringRequest {
  ServerInstance server;
  RequestDigest digest;
  EndProgress progress = EndProgress::kNoAnswer;
};
/// A server that was said to have ended has answered since.
struct FoundAlive {
  ServerInstance server;
};
/// The request was answered to its end, or an operator lifted its mark.
struct Cleared {
  RequestDigest digest;
};
/// So many servers ended under the request: it reaches no more. It holds since
/// the first of these ends, so that an answer after that speaks against it.
struct Blocked {
  RequestDigest digest;
  int ends = 0;
  /// Copies let through since.
  int trials = 0;
};
/// A marked request was let through this many times, to see whether servers
/// still end under it.
struct TrialsSent {
  RequestDigest digest;
  int trials = 0;
};
using PoisonFact =
    std::variant<EndedDuringRequest, FoundAlive, Cleared, Blocked, TrialsSent>;

struct TimedPoisonFact {
  PoisonFact fact;
  Duration age{0};
};

/// Facts for another entry host.
struct PoisonUpdate {
  /// The teller's facts up to this revision are told with these.
  uint64_t revision = 0;
  std::vector<TimedPoisonFact> facts;
};

struct PoisonPolicy {
  /// What a request is turned away at: three ends at which it had just begun. A
  /// second end may be chance where many servers end at once.
  int evidence_to_block = 60;
  /// What one end is worth, by how far the request was. Those that ran for a
  /// while, or may have waited, are at ends by chance much more often, so they
  /// need a fourth and a fifth end.
  int begun_evidence = 20;
  int no_answer_evidence = 15;
  int answering_evidence = 12;
  /// An end counts after this: reports of other entry hosts, who had the
  /// culprit there, take up to three rounds of questions.
  Duration settle_time = Milliseconds(500);
  /// The same where reports pass through hosts that speak for a data centre:
  /// these ask each other every 300 ms, and are asked every 600 ms.
  Duration relayed_settle = Milliseconds(1500);
  /// Words that clear are the same word within this time. A fact grows younger
  /// by its time on the way with each host that passes it on; taken for a later
  /// one, it would be passed round for ever and clear ends that came after it.
  Duration duplicate_window = Milliseconds(500);
  /// Ends further apart than this are not connected.
  Duration fact_ttl = Seconds(600);
  /// One copy is let through after these times, over the whole fleet. All
  /// servers of a service that lose power together end under the requests that
  /// callers send all the time; an answer to the copy takes their mark off. Two
  /// copies, so that with one that two hosts let through at once a culprit
  /// still reaches three servers at most.
  std::array<Duration, 2> trial_pauses = {Seconds(5), Seconds(60)};
  /// A mark that nobody lifts ends after a day: what made the servers end may
  /// be mended. One more end marks the request again.
  Duration block_ttl = Seconds(24 * 3600);
  /// Bounds memory to about 200 KB. Ends of requests that were at one end only
  /// go first, so that ever new requests do not push out one that comes again.
  size_t max_ends = 1024;
  size_t max_blocks = 256;
  /// Words that clear a request or a server, kept against late reports of ends.
  size_t max_records = 1024;
  /// Facts in one message: 15 KB.
  size_t max_records_per_message = 256;
};

class PoisonLedger {
 public:
  /// Revisions begin above `first_revision`: random, so that a host that starts
  /// again is not taken for the one before.
  PoisonLedger(PoisonPolicy policy, uint64_t first_revision)
      : m_policy(policy), m_revision(first_revision) {}

  /// Whether reports pass through hosts that speak for a data centre.
  void SetRelayed(bool is_relayed) { m_is_relayed = is_relayed; }

  /// Takes up a fact that held at `at`; false where it says nothing new.
  bool Note(const PoisonFact& fact, TimePoint at);

  /// Forgets what is old, and marks requests. Returns the new marks.
  std::vector<Blocked> UpdateBlocks(TimePoint now);

  /// Whether the request must reach no further server.
  bool IsBlocked(const RequestDigest& digest) const;
  /// Whether a copy of the marked request may be let through now.
  bool MayStartTrial(const RequestDigest& digest, TimePoint now) const;
  void BeginTrial(const RequestDigest& digest, TimePoint now);
  /// Whether a server ended under the request, so that its answer is news.
  bool IsSuspect(const RequestDigest& digest) const;
  /// Neither ends nor marks are known.
  bool IsEmpty() const { return m_ends.empty() && m_blocks.empty(); }
  /// When this life of a server was first said to have ended.
  std::optional<TimePoint> EndedAt(const ServerInstance& server) const;
  /// Marks in force.
  std::vector<Blocked> ActiveBlocks() const;
  /// Servers whose ends are laid to the request now.
  std::vector<std::string> EndsAttributedTo(const RequestDigest& digest,
                                            TimePoint now) const;
  size_t CountEnds() const { return m_end_count; }
  /// Servers that ended while they had the request, whoever is to blame.
  int CountEndsOf(const RequestDigest& digest) const;

  uint64_t revision() const { return m_revision; }
  /// Facts that came after `known`, a revision of this ledger, the oldest
  /// first; all of them where it is none.
  PoisonUpdate Since(uint64_t known, TimePoint now) const;

 private:
  struct End {
    EndProgress progress = EndProgress::kNoAnswer;
    TimePoint at;
    uint64_t revision = 0;
  };
  struct Stamp {
    TimePoint at;
    uint64_t revision = 0;
  };
  struct Block {
    int ends = 0;
    TimePoint at;
    uint64_t revision = 0;
    int trials = 0;
    TimePoint tried_at;
    bool expired = false;
    /// Stronger marked requests explain its ends.
    bool explained = false;

    bool IsActive() const { return !expired && !explained; }
  };
  using Suspects = std::map<RequestDigest, End>;

  bool Apply(const EndedDuringRequest& fact, TimePoint at);
  bool Apply(const FoundAlive& fact, TimePoint at);
  bool Apply(const Cleared& fact, TimePoint at);
  bool Apply(const Blocked& fact, TimePoint at);
  bool Apply(const TrialsSent& fact, TimePoint at);

  void EraseEnd(const ServerInstance& server, const RequestDigest& digest);
  /// All hosts had time to tell of the server's end. A host knows its own
  /// requests' part in it before it hears of the culprit that another host had
  /// there; it counts for all of them or for none.
  bool HasSettled(const Suspects& suspects, TimePoint now) const;
  /// How strongly a request is suspected: the evidence of all its ends. A
  /// request beside the culprit may be at one end more where the report of that
  /// one was lost with its host; it does not outweigh it for that.
  int TotalEvidence(const RequestDigest& digest, TimePoint now) const;
  bool IsAttributedTo(const Suspects& suspects,
                      const RequestDigest& digest,
                      TimePoint now) const;
  struct Attribution {
    /// Ends laid to the request that all hosts had time to tell of.
    int ends = 0;
    int evidence = 0;
    TimePoint first_end;
  };
  Attribution AttributeEnds(const RequestDigest& digest, TimePoint now) const;
  int EvidenceOf(EndProgress progress) const;
  /// A host that was cut off from the one which had the culprit may have marked
  /// a request that was at the same ends. With that host's reports its mark is
  /// in force no more. Nothing is erased: all hosts see it alike.
  void ReviewBlocks(TimePoint now);
  /// Evidence of the ends that no stronger marked request was at.
  int UnexplainedEvidence(const RequestDigest& digest, TimePoint now) const;
  void EvictExpired(TimePoint now);
  void BoundEnds();
  void BoundBlocks();
  /// Drops the oldest word above the bound.
  template <typename Records>
  void BoundRecords(Records& records) const;
  struct Row {
    uint64_t revision = 0;
    TimedPoisonFact timed;
  };
  /// The facts that came after this revision, the oldest first.
  std::vector<Row> FactsAfter(uint64_t revision, TimePoint now) const;

  PoisonPolicy m_policy;
  bool m_is_relayed = false;
  uint64_t m_revision;
  std::map<ServerInstance, Suspects> m_ends;
  std::map<RequestDigest, std::set<ServerInstance>> m_ends_of;
  size_t m_end_count = 0;
  std::map<ServerInstance, Stamp> m_alive;
  std::map<RequestDigest, Stamp> m_cleared;
  std::map<RequestDigest, Block> m_blocks;
};

}  // namespace filbertrack

#pragma once

/// Detects poison requests, i.e. requests that terminate the servers which run
/// them, from the reports of all entry hosts, and blocks them. The termination
/// of a server process is called an end; a report names a request that the
/// server was handling at that time.
///
/// The design case: one request terminates every server that begins to run it.
/// It is retried several times a second, under new ids and at any entry host,
/// among hundreds of requests that run on the same servers. No entry host sees
/// three of the ends itself. Each end also breaks a dozen unrelated requests,
/// and some of those are retried on the next server that the poison request
/// reaches.
///
/// Attribution: of the requests that a server was running when it ended, the
/// end is attributed to those with the most evidence over all ends. Evidence
/// weighs most where a request had just begun. A request that was present by
/// chance is involved in fewer ends than the poison request, or has been
/// answered in the meantime, which clears it.
///
/// Requests that differ may have nothing but a faulty part of their prompts in
/// common. Of the requests at their beginning on a server when it ended, the
/// ledger also keeps the parts. A part that was answered at about the time of
/// an end is no evidence. What the ends of a part have in common otherwise is
/// blocked as a set, so that a request with only some of these parts is still
/// served; each further end removes from the set what it does not share.
///
/// Facts form grow-only sets and are exchanged with their age, so hosts that
/// received the same facts reach the same decisions, whatever the order and
/// number of deliveries.

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "filbertrack/base_time.h"
#include "filbertrack/poison_digest.h"
#include "filbertrack/poison_subject.h"
#include "filbertrack/server_instance.h"

namespace filbertrack {

/// How far a server had processed a request when the server ended.
enum class EndProgress : int {
  /// Part of the answer had arrived, so the request had been running.
  kAnswering = 0,
  /// Nothing had arrived; the request may still have been queued.
  kNoAnswer = 1,
  /// The answer had begun, without any content yet.
  kBegun = 2,
};

// Facts.

/// A server process ended while it was handling the request.
struct EndedDuringRequest {
  ServerInstance server;
  RequestDigest digest;
  EndProgress progress = EndProgress::kNoAnswer;
  /// The parts of its prompt; empty if it was being answered.
  std::vector<PromptPart> parts = {};
};
/// A server that was reported as ended has answered since.
struct FoundAlive {
  ServerInstance server;
};
/// The request was answered completely, or an operator lifted its block.
struct Cleared {
  RequestDigest digest;
};
/// A request with this part was answered beyond its beginning, or an operator
/// lifted the block of the part.
struct PartCleared {
  PromptPart part;
};
/// `ends` servers have ended because of the request, or of requests with all of
/// `parts`, so it is sent to no further server. The fact is dated at the first
/// of these ends, so that a later complete answer overrides it.
struct Blocked {
  /// Empty if the block is on parts.
  RequestDigest digest;
  int ends = 0;
  /// Trial copies sent since the block.
  int trials = 0;
  std::vector<PromptPart> parts = {};

  PoisonSubject subject() const { return {digest, parts}; }
};
/// The number of trial copies of a blocked request that were sent to check
/// whether servers still end because of it.
struct TrialsSent {
  RequestDigest digest;
  int trials = 0;
  std::vector<PromptPart> parts = {};

  PoisonSubject subject() const { return {digest, parts}; }
};
using PoisonFact = std::variant<EndedDuringRequest,
                                FoundAlive,
                                Cleared,
                                PartCleared,
                                Blocked,
                                TrialsSent>;

struct TimedPoisonFact {
  PoisonFact fact;
  Duration age{0};
};

/// Facts to send to another entry host.
struct PoisonUpdate {
  /// Revision of the sender's ledger up to which all facts are included.
  uint64_t revision = 0;
  std::vector<TimedPoisonFact> facts;
};

struct PoisonPolicy {
  /// Evidence at which a request is blocked: three ends at which it had just
  /// begun. Two ends can coincide by chance when many servers end at the same
  /// time.
  int evidence_to_block = 60;
  /// Evidence of one end, by the progress of the request. Requests that may
  /// have been queued, or that had been running for a while, are involved in
  /// ends by chance much more often; four ends without an answer or five with a
  /// partial answer are needed to block them.
  int begun_evidence = 20;
  int no_answer_evidence = 15;
  int answering_evidence = 12;
  /// Time after which an end counts. The reports of the other entry hosts that
  /// had the poison request on that server take up to three gossip rounds.
  Duration settle_time = Milliseconds(500);
  /// Settle time where reports are relayed by the representatives of data
  /// centres: these poll each other every 300 ms and are polled every 600 ms.
  Duration relayed_settle = Milliseconds(1500);
  /// Time within which an entry host notices an end. An end counts sooner than
  /// `settle_time` once all other hosts have answered a request for their facts
  /// that was sent this long after it.
  Duration report_time = Milliseconds(100);
  /// Ends up to this long after an answer with a part are not attributed to the
  /// part: while most servers are gone, nothing is answered that could clear it
  /// again.
  Duration part_grace = Seconds(2);
  /// Clearing facts about the same subject within this time are duplicates. A
  /// fact's age excludes its time in transit, so each relay makes it appear
  /// more recent. Without this window it would be accepted as a new fact,
  /// circulate forever and clear ends that happened after it.
  Duration duplicate_window = Milliseconds(500);
  /// Lifetime of a fact; ends further apart are unrelated.
  Duration fact_ttl = Seconds(600);
  /// Delays before each trial copy of a blocked request, counted over the whole
  /// fleet. If all servers of a service lose power at once, they end while
  /// running the requests that callers send all the time; a complete answer to
  /// a trial copy lifts such a block. There are two trials, so that a poison
  /// request still reaches at most three servers if two hosts send one trial at
  /// the same time.
  std::array<Duration, 2> trial_pauses = {Seconds(5), Seconds(60)};
  /// A block expires after a day, since the cause may have been fixed. One more
  /// end then blocks the request again.
  Duration block_ttl = Seconds(24 * 3600);
  /// Limits memory to about 200 KB. Ends of requests that were involved in one
  /// end only are evicted first, so that a stream of new requests cannot evict
  /// a recurring one.
  size_t max_ends = 1024;
  size_t max_blocks = 256;
  /// Limit of the clearing facts that are kept to reject late reports of ends;
  /// applies separately to requests and to servers.
  size_t max_records = 1024;
  /// Limit of the facts in one message, about 15 KB.
  size_t max_records_per_message = 256;
};

class PoisonLedger {
 public:
  /// Revisions start above `first_revision`. It must be random, so that peers
  /// do not mistake a restarted host for its previous process.
  PoisonLedger(PoisonPolicy policy, uint64_t first_revision)
      : m_policy(policy), m_revision(first_revision) {}

  /// Sets whether reports are relayed by the representatives of data centres,
  /// which selects the settle time.
  void SetRelayed(bool is_relayed) { m_is_relayed = is_relayed; }

  /// All facts that other hosts noted before this time are known here.
  void SetCompleteUntil(TimePoint at) { m_complete_until = at; }

  /// Applies a fact dated `at`. Returns false if it adds nothing new.
  bool Note(const PoisonFact& fact, TimePoint at);

  /// Evicts expired facts, re-evaluates existing blocks and blocks further
  /// requests. Returns the new blocks.
  std::vector<Blocked> UpdateBlocks(TimePoint now);

  /// Whether the request must not be sent to any further server.
  bool IsBlocked(const RequestDigest& digest) const {
    return IsBlocked(PoisonSubject{digest, {}});
  }
  bool IsBlocked(const PoisonSubject& subject) const;
  /// The block in force that applies to a request with these parts; null if
  /// there is none. `digest` is called only if whole requests are blocked.
  const PoisonSubject* FindBlock(
      std::span<const PromptPart> parts,
      const std::function<const RequestDigest&()>& digest) const;
  /// Whether a trial copy of the request may be sent now. The subject must have
  /// a block.
  bool MayStartTrial(const RequestDigest& digest, TimePoint now) const {
    return MayStartTrial(PoisonSubject{digest, {}}, now);
  }
  bool MayStartTrial(const PoisonSubject& subject, TimePoint now) const;
  void BeginTrial(const RequestDigest& digest, TimePoint now) {
    BeginTrial(PoisonSubject{digest, {}}, now);
  }
  void BeginTrial(const PoisonSubject& subject, TimePoint now);
  /// Whether an end or a block of the request is known, so that an answer to it
  /// must be reported to peers.
  bool IsSuspect(const RequestDigest& digest) const;
  /// Whether an end of a request with the part counts as evidence, or the part
  /// is blocked.
  bool IsSuspectPart(const PromptPart& part) const;
  /// Whether ends or blocks of whole requests are known.
  bool HasSuspectRequests() const {
    return !m_ends_of.empty() || !m_active_digests.empty();
  }
  /// Whether neither ends nor blocks are known.
  bool IsEmpty() const { return m_ends.empty() && m_blocks.empty(); }
  /// When this process of a server was first reported as ended.
  std::optional<TimePoint> EndedAt(const ServerInstance& server) const;
  /// Blocks in force.
  std::vector<Blocked> ActiveBlocks() const;
  /// Ids of the servers whose ends are currently attributed to the request.
  std::vector<std::string> EndsAttributedTo(const RequestDigest& digest,
                                            TimePoint now) const;
  /// Ids of the servers that ended with a request of the subject at its
  /// beginning.
  std::vector<std::string> ServersOf(const PoisonSubject& subject) const;
  size_t CountEnds() const { return m_end_count; }
  /// Number of servers that ended while handling the request, whatever the
  /// attribution.
  int CountEndsOf(const RequestDigest& digest) const;

  uint64_t revision() const { return m_revision; }
  /// The revision at which the last end of a request with parts was noted.
  uint64_t parts_revision() const { return m_parts_revision; }
  /// Facts added after `known`, a revision of this ledger, oldest first. If
  /// `known` is not a revision of this ledger, all facts. At most
  /// `max_records_per_message`; `revision` of the result tells where to
  /// continue.
  PoisonUpdate Since(uint64_t known, TimePoint now) const;

 private:
  struct End {
    EndProgress progress = EndProgress::kNoAnswer;
    TimePoint at;
    uint64_t revision = 0;
    /// In ascending order.
    std::vector<PromptPart> parts;
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
    /// Its ends are explained by blocked requests with more evidence.
    bool explained = false;

    bool IsActive() const { return !expired && !explained; }
  };
  using Suspects = std::map<RequestDigest, End>;

  bool Apply(const EndedDuringRequest& fact, TimePoint at);
  bool Apply(const FoundAlive& fact, TimePoint at);
  bool Apply(const Cleared& fact, TimePoint at);
  bool Apply(const PartCleared& fact, TimePoint at);
  bool Apply(const Blocked& fact, TimePoint at);
  bool Apply(const TrialsSent& fact, TimePoint at);

  void EraseEnd(const ServerInstance& server, const RequestDigest& digest);
  /// Whether all hosts had time to report the server's end. A host knows which
  /// of its own requests were involved before it hears of another host's poison
  /// request on the same server, so an end counts for all of its requests or
  /// for none.
  bool HasSettled(const Suspects& suspects, TimePoint now) const;
  /// The evidence of all settled ends of a request, attributed to it or not.
  /// Comparing evidence instead of the number of ends matters when a report of
  /// the poison request is lost with its host: a request beside it may then be
  /// involved in one end more.
  int TotalEvidence(const RequestDigest& digest, TimePoint now) const;
  bool IsAttributedTo(const Suspects& suspects,
                      const RequestDigest& digest,
                      TimePoint now) const;
  /// Whether a blocked subject explains the end: a request at its beginning on
  /// that server belongs to it, and `digest` does not.
  bool IsExplainedByParts(const Suspects& suspects,
                          const RequestDigest& digest) const;

  // Faulty parts; in poison_parts.cc.

  using Servers = std::set<ServerInstance>;
  using PartSet = std::vector<PromptPart>;
  /// The requests at their beginning when the server ended: those whose answer
  /// had begun without content or, if there are none, those without an answer.
  static std::vector<const End*> Starters(const Suspects& suspects);
  static bool HasPart(const End& end, const PromptPart& part);
  static bool HasAllParts(const End& end, const PartSet& parts);
  /// Whether the part was answered at or after the end.
  bool WasAnsweredSince(const PromptPart& part, TimePoint ended) const;
  /// Whether the part was answered so late that the end is no evidence.
  bool IsExonerated(const PromptPart& part, TimePoint ended) const;
  /// Evidence that one end is against requests with all of `parts`.
  int EvidenceAgainst(const PartSet& parts,
                      const std::vector<const End*>& starters) const;
  /// One settled end.
  struct PartEnd {
    const Suspects* suspects = nullptr;
    std::vector<const End*> starters;
    /// The parts of the blocks in force that explain the end, in ascending
    /// order; if there are any, the end is not attributed to other parts.
    PartSet blocked;

    bool MayBeCausedBy(const PromptPart& part) const {
      return blocked.empty() ||
             std::binary_search(blocked.begin(), blocked.end(), part);
    }
  };
  /// The settled ends, and the evidence that they are against each suspect.
  struct Assessment {
    std::vector<PartEnd> ends;
    std::map<PromptPart, int> parts;
    /// The same with the ends that may yet be exonerated: while it is unknown
    /// whether a part crashes servers, its ends are not attributed to others.
    std::map<PromptPart, int> undecided_parts;
    std::map<RequestDigest, int> requests;
  };
  Assessment Assess(TimePoint now) const;
  /// As PartEnd::blocked.
  PartSet BlockedParts(const std::vector<const End*>& starters) const;
  /// Whether another suspect of the end has more evidence than the part, so
  /// that the end is not attributed to it.
  bool HasStrongerSuspect(const Assessment& assessment,
                          const PartEnd& end,
                          const PromptPart& part) const;
  /// What all requests with the part have in common that may have caused these
  /// ends.
  PartSet CommonParts(const PromptPart& part,
                      const std::vector<const PartEnd*>& ends) const;
  /// The block that the ends of the part call for; nullopt if none.
  std::optional<std::pair<Blocked, TimePoint>> AssessPart(
      const Assessment& assessment,
      const PromptPart& part) const;
  void UpdatePartBlocks(TimePoint now, std::vector<Blocked>& blocked);
  /// Whether a block in force has a proper subset of the parts.
  bool IsNarrowed(const PartSet& parts) const;
  /// Whether each of the parts was answered at or after `since`.
  bool IsAnswered(const PartSet& parts, TimePoint since) const;
  /// When a server last ended with a request at its beginning that has all of
  /// the parts; the epoch of the clock if none did.
  TimePoint LastEndOf(const PartSet& parts) const;
  /// Updates the lookup tables of the blocks in force.
  void IndexBlocks();

  struct Attribution {
    /// Settled ends attributed to the request.
    int ends = 0;
    int evidence = 0;
    TimePoint first_end;
  };
  Attribution AttributeEnds(const RequestDigest& digest, TimePoint now) const;
  int EvidenceOf(EndProgress progress) const;
  /// Suspends blocks that the facts no longer support. A host that was
  /// partitioned from the one with the poison request may have blocked another
  /// request involved in the same ends. Once the missing reports arrive, that
  /// block is no longer in force. No fact is erased, so all hosts reach the
  /// same result.
  void ReviewBlocks(TimePoint now);
  /// Evidence of the ends in which no blocked request with more evidence was
  /// involved.
  int UnexplainedEvidence(const RequestDigest& digest, TimePoint now) const;
  void EvictExpired(TimePoint now);
  void BoundEnds();
  void BoundBlocks();
  /// Evicts the oldest record above `max_records`.
  template <typename Records>
  void BoundRecords(Records& records) const;
  struct Row {
    uint64_t revision = 0;
    TimedPoisonFact timed;
  };
  /// The facts added after this revision, oldest first.
  std::vector<Row> FactsAfter(uint64_t revision, TimePoint now) const;

  PoisonPolicy m_policy;
  bool m_is_relayed = false;
  uint64_t m_revision;
  std::map<ServerInstance, Suspects> m_ends;
  std::map<RequestDigest, Servers> m_ends_of;
  struct PartEnds {
    Servers servers;
    TimePoint last;
  };
  /// Servers that ended with a request that has the part and was not being
  /// answered.
  std::map<PromptPart, PartEnds> m_ends_of_part;
  size_t m_end_count = 0;
  std::map<ServerInstance, Stamp> m_alive;
  std::map<RequestDigest, Stamp> m_cleared;
  /// The latest answer with each part.
  std::map<PromptPart, Stamp> m_answered_parts;
  std::map<PoisonSubject, Block> m_blocks;
  TimePoint m_complete_until;
  uint64_t m_parts_revision = 0;
  /// The revision that UpdatePartBlocks() last assessed with all ends settled.
  uint64_t m_assessed_revision = 0;
  // Blocks in force: the digests, and the part sets by their first part.
  std::set<RequestDigest> m_active_digests;
  std::map<PromptPart, std::vector<const PoisonSubject*>, std::less<>>
      m_active_parts;
  /// All parts of blocks, in force or not.
  std::set<PromptPart> m_blocked_parts;
};

}  // namespace filbertrack

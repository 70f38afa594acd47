#include "filbertrack/poison_ledger.h"

#include <algorithm>
#include <utility>

namespace filbertrack {

bool PoisonLedger::Note(const PoisonFact& fact, TimePoint at) {
  return std::visit([this, at](const auto& kind) { return Apply(kind, at); },
                    fact);
}

bool PoisonLedger::Apply(const EndedDuringRequest& fact, TimePoint at) {
  const auto cleared = m_cleared.find(fact.digest);
  if (cleared != m_cleared.end() && cleared->second.at >= at) {
    return false;
  }
  const auto alive = m_alive.find(fact.server);
  if (alive != m_alive.end() && alive->second.at >= at) {
    return false;
  }
  const auto [row, is_new] = m_ends[fact.server].try_emplace(fact.digest);
  End& end = row->second;
  if (!is_new && end.progress >= fact.progress) {
    return false;
  }
  if (is_new) {
    m_ends_of[fact.digest].insert(fact.server);
    ++m_end_count;
    end.at = at;
  }
  if (end.parts.empty()) {
    end.parts = fact.parts;
    std::sort(end.parts.begin(), end.parts.end());
    for (const PromptPart& part : end.parts) {
      PartEnds& ends = m_ends_of_part[part];
      ends.servers.insert(fact.server);
      ends.last = std::max(ends.last, at);
    }
  }
  end.progress = std::max(end.progress, fact.progress);
  end.revision = ++m_revision;
  if (!end.parts.empty()) {
    m_parts_revision = m_revision;
  }
  BoundEnds();
  return true;
}

bool PoisonLedger::Apply(const FoundAlive& fact, TimePoint at) {
  const auto ended = m_ends.find(fact.server);
  Stamp& stamp = m_alive[fact.server];
  if (stamp.revision != 0 && at <= stamp.at + m_policy.duplicate_window) {
    return false;
  }
  stamp = {at, ++m_revision};
  BoundRecords(m_alive);
  if (ended == m_ends.end()) {
    return true;
  }
  const Suspects suspects = ended->second;
  for (const auto& [digest, end] : suspects) {
    if (end.at <= at) {
      EraseEnd(fact.server, digest);
    }
  }
  return true;
}

bool PoisonLedger::Apply(const Cleared& fact, TimePoint at) {
  Stamp& stamp = m_cleared[fact.digest];
  if (stamp.revision != 0 && at <= stamp.at + m_policy.duplicate_window) {
    return false;
  }
  stamp = {at, ++m_revision};
  BoundRecords(m_cleared);
  const auto found = m_ends_of.find(fact.digest);
  if (found != m_ends_of.end()) {
    const std::set<ServerInstance> servers = found->second;
    for (const ServerInstance& server : servers) {
      if (m_ends.at(server).at(fact.digest).at <= at) {
        EraseEnd(server, fact.digest);
      }
    }
  }
  const auto block = m_blocks.find({fact.digest, {}});
  if (block != m_blocks.end() && block->second.at <= at) {
    m_blocks.erase(block);
    IndexBlocks();
  }
  return true;
}

bool PoisonLedger::Apply(const PartCleared& fact, TimePoint at) {
  Stamp& stamp = m_answered_parts[fact.part];
  if (stamp.revision != 0 && at <= stamp.at + m_policy.duplicate_window) {
    return false;
  }
  stamp = {at, ++m_revision};
  BoundRecords(m_answered_parts);
  const size_t erased = std::erase_if(m_blocks, [this](const auto& row) {
    return !row.first.is_whole_request() &&
           IsAnswered(row.first.parts, row.second.at);
  });
  if (erased > 0) {
    IndexBlocks();
  }
  return true;
}

bool PoisonLedger::Apply(const Blocked& fact, TimePoint at) {
  const PoisonSubject subject = fact.subject();
  const auto cleared = m_cleared.find(fact.digest);
  const bool is_cleared =
      subject.is_whole_request()
          ? cleared != m_cleared.end() && cleared->second.at >= at
          : IsAnswered(subject.parts, at);
  if (is_cleared) {
    return false;
  }
  Block& block = m_blocks[subject];
  const bool is_known = block.revision != 0;
  if (is_known && block.ends >= fact.ends &&
      (!block.expired || block.at >= at)) {
    return false;
  }
  block.ends = std::max(block.ends, fact.ends);
  block.at = at;
  block.revision = ++m_revision;
  block.trials = std::max(block.trials, fact.trials);
  block.expired = false;
  BoundBlocks();
  IndexBlocks();
  return true;
}

bool PoisonLedger::Apply(const TrialsSent& fact, TimePoint at) {
  const auto block = m_blocks.find(fact.subject());
  if (block == m_blocks.end() || block->second.trials >= fact.trials) {
    return false;
  }
  block->second.trials = fact.trials;
  block->second.tried_at = at;
  block->second.revision = ++m_revision;
  return true;
}

bool PoisonLedger::MayStartTrial(const PoisonSubject& subject,
                                 TimePoint now) const {
  const Block& block = m_blocks.at(subject);
  const auto trials = static_cast<size_t>(block.trials);
  if (trials >= m_policy.trial_pauses.size()) {
    return false;
  }
  TimePoint since = std::max(block.at, block.tried_at);
  if (subject.is_whole_request()) {
    const auto ends = m_ends_of.find(subject.digest);
    if (ends != m_ends_of.end()) {
      for (const ServerInstance& server : ends->second) {
        since = std::max(since, m_ends.at(server).at(subject.digest).at);
      }
    }
  } else {
    since = std::max(since, LastEndOf(subject.parts));
  }
  return now - since >= m_policy.trial_pauses[trials];
}

void PoisonLedger::BeginTrial(const PoisonSubject& subject, TimePoint now) {
  const int trials = m_blocks.at(subject).trials + 1;
  Apply(TrialsSent{subject.digest, trials, subject.parts}, now);
}

void PoisonLedger::EraseEnd(const ServerInstance& server,
                            const RequestDigest& digest) {
  const auto ended = m_ends.find(server);
  const PartSet parts = ended->second.at(digest).parts;
  ended->second.erase(digest);
  for (const PromptPart& part : parts) {
    const bool is_shared = std::any_of(
        ended->second.begin(), ended->second.end(),
        [&part](const auto& row) { return HasPart(row.second, part); });
    if (!is_shared) {
      const auto of = m_ends_of_part.find(part);
      of->second.servers.erase(server);
      if (of->second.servers.empty()) {
        m_ends_of_part.erase(of);
      }
    }
  }
  if (ended->second.empty()) {
    m_ends.erase(ended);
  }
  const auto of = m_ends_of.find(digest);
  of->second.erase(server);
  if (of->second.empty()) {
    m_ends_of.erase(of);
  }
  --m_end_count;
}

bool PoisonLedger::HasSettled(const Suspects& suspects, TimePoint now) const {
  const Duration settle_time =
      m_is_relayed ? m_policy.relayed_settle : m_policy.settle_time;
  return std::any_of(suspects.begin(), suspects.end(),
                     [this, settle_time, now](const auto& row) {
                       const TimePoint at = row.second.at;
                       return now - at >= settle_time ||
                              at + m_policy.report_time <= m_complete_until;
                     });
}

int PoisonLedger::TotalEvidence(const RequestDigest& digest,
                                TimePoint now) const {
  const auto found = m_ends_of.find(digest);
  if (found == m_ends_of.end()) {
    return 0;
  }
  int evidence = 0;
  for (const ServerInstance& server : found->second) {
    const Suspects& suspects = m_ends.at(server);
    evidence += HasSettled(suspects, now)
                    ? EvidenceOf(suspects.at(digest).progress)
                    : 0;
  }
  return evidence;
}

bool PoisonLedger::IsAttributedTo(const Suspects& suspects,
                                  const RequestDigest& digest,
                                  TimePoint now) const {
  const auto own_evidence = TotalEvidence(digest, now);
  const bool is_blocked = IsBlocked(digest);
  if (!is_blocked && IsExplainedByParts(suspects, digest)) {
    return false;
  }
  return std::none_of(suspects.begin(), suspects.end(), [&](const auto& row) {
    const RequestDigest& other = row.first;
    if (other == digest) {
      return false;
    }
    // A blocked request explains every end in which it was involved.
    if (IsBlocked(other) != is_blocked) {
      return !is_blocked;
    }
    return TotalEvidence(other, now) > own_evidence;
  });
}

int PoisonLedger::EvidenceOf(EndProgress progress) const {
  switch (progress) {
    case EndProgress::kAnswering:
      return m_policy.answering_evidence;
    case EndProgress::kNoAnswer:
      return m_policy.no_answer_evidence;
    case EndProgress::kBegun:
      return m_policy.begun_evidence;
  }
  return m_policy.answering_evidence;
}

PoisonLedger::Attribution PoisonLedger::AttributeEnds(
    const RequestDigest& digest,
    TimePoint now) const {
  const auto block = m_blocks.find({digest, {}});
  const bool expired = block != m_blocks.end() && block->second.expired;
  Attribution attribution;
  // After its block expired, one more end of any kind blocks it again.
  attribution.evidence =
      expired ? m_policy.evidence_to_block - m_policy.answering_evidence : 0;
  for (const ServerInstance& server : m_ends_of.at(digest)) {
    const Suspects& suspects = m_ends.at(server);
    const End& end = suspects.at(digest);
    if (HasSettled(suspects, now) && IsAttributedTo(suspects, digest, now)) {
      attribution.first_end = attribution.ends == 0
                                  ? end.at
                                  : std::min(attribution.first_end, end.at);
      ++attribution.ends;
      attribution.evidence += EvidenceOf(end.progress);
    }
  }
  return attribution;
}

int PoisonLedger::CountEndsOf(const RequestDigest& digest) const {
  const auto found = m_ends_of.find(digest);
  return found == m_ends_of.end() ? 0 : static_cast<int>(found->second.size());
}

std::vector<std::string> PoisonLedger::EndsAttributedTo(
    const RequestDigest& digest,
    TimePoint now) const {
  std::vector<std::string> servers;
  const auto found = m_ends_of.find(digest);
  if (found == m_ends_of.end()) {
    return servers;
  }
  for (const ServerInstance& server : found->second) {
    if (IsAttributedTo(m_ends.at(server), digest, now)) {
      servers.push_back(server.id);
    }
  }
  return servers;
}

std::vector<Blocked> PoisonLedger::UpdateBlocks(TimePoint now) {
  EvictExpired(now);
  ReviewBlocks(now);
  std::vector<Blocked> blocked;
  std::vector<TimePoint> since;
  for (const auto& [digest, servers] : m_ends_of) {
    const auto block = m_blocks.find({digest, {}});
    if (block != m_blocks.end() && !block->second.expired) {
      continue;
    }
    const bool may_be =
        block != m_blocks.end() ||
        static_cast<int>(servers.size()) * m_policy.begun_evidence >=
            m_policy.evidence_to_block;
    if (!may_be) {
      continue;
    }
    const Attribution attribution = AttributeEnds(digest, now);
    if (attribution.evidence >= m_policy.evidence_to_block) {
      blocked.push_back({digest, attribution.ends, 0});
      since.push_back(attribution.first_end);
    }
  }
  for (size_t i = 0; i < blocked.size(); ++i) {
    Apply(blocked[i], since[i]);
  }
  UpdatePartBlocks(now, blocked);
  return blocked;
}

void PoisonLedger::ReviewBlocks(TimePoint now) {
  for (auto& [subject, block] : m_blocks) {
    if (!subject.is_whole_request()) {
      block.explained = IsNarrowed(subject.parts);
      continue;
    }
    const RequestDigest& digest = subject.digest;
    const auto ends = m_ends_of.find(digest);
    // The ends of an old block have expired, so no facts contradict it.
    const bool has_ends = ends != m_ends_of.end() &&
                          static_cast<int>(ends->second.size()) >= block.ends;
    block.explained = has_ends && UnexplainedEvidence(digest, now) <
                                      m_policy.evidence_to_block;
  }
  IndexBlocks();
}

int PoisonLedger::UnexplainedEvidence(const RequestDigest& digest,
                                      TimePoint now) const {
  const int own_evidence = TotalEvidence(digest, now);
  const auto explains = [&](const auto& row) {
    return row.first != digest && m_blocks.contains({row.first, {}}) &&
           TotalEvidence(row.first, now) > own_evidence;
  };
  int evidence = 0;
  for (const ServerInstance& server : m_ends_of.at(digest)) {
    const Suspects& suspects = m_ends.at(server);
    const End& end = suspects.at(digest);
    if (!IsExplainedByParts(suspects, digest) &&
        std::none_of(suspects.begin(), suspects.end(), explains)) {
      evidence += EvidenceOf(end.progress);
    }
  }
  return evidence;
}

bool PoisonLedger::IsBlocked(const PoisonSubject& subject) const {
  const auto found = m_blocks.find(subject);
  return found != m_blocks.end() && found->second.IsActive();
}

bool PoisonLedger::IsSuspect(const RequestDigest& digest) const {
  return m_ends_of.contains(digest) || m_blocks.contains({digest, {}});
}

std::vector<Blocked> PoisonLedger::ActiveBlocks() const {
  std::vector<Blocked> blocks;
  for (const auto& [subject, block] : m_blocks) {
    if (block.IsActive()) {
      blocks.push_back(
          {subject.digest, block.ends, block.trials, subject.parts});
    }
  }
  return blocks;
}

std::optional<TimePoint> PoisonLedger::EndedAt(
    const ServerInstance& server) const {
  const auto found = m_ends.find(server);
  if (found == m_ends.end()) {
    return std::nullopt;
  }
  TimePoint first = found->second.begin()->second.at;
  for (const auto& [digest, end] : found->second) {
    first = std::min(first, end.at);
  }
  return first;
}

void PoisonLedger::EvictExpired(TimePoint now) {
  const auto is_expired = [this, now](TimePoint at) {
    return now - at > m_policy.fact_ttl;
  };
  std::vector<std::pair<ServerInstance, RequestDigest>> expired_ends;
  for (const auto& [server, suspects] : m_ends) {
    for (const auto& [digest, end] : suspects) {
      if (is_expired(end.at)) {
        expired_ends.emplace_back(server, digest);
      }
    }
  }
  for (const auto& [server, digest] : expired_ends) {
    EraseEnd(server, digest);
  }
  std::erase_if(m_alive,
                [&](const auto& row) { return is_expired(row.second.at); });
  std::erase_if(m_cleared,
                [&](const auto& row) { return is_expired(row.second.at); });
  std::erase_if(m_answered_parts,
                [&](const auto& row) { return is_expired(row.second.at); });
  for (auto& [subject, block] : m_blocks) {
    block.expired = block.expired || now - block.at > m_policy.block_ttl;
  }
}

void PoisonLedger::BoundEnds() {
  if (m_end_count <= m_policy.max_ends) {
    return;
  }
  // Evict the oldest end among the requests with the fewest ends, whether of
  // the request itself or of a part of its prompt.
  const ServerInstance* server_out = nullptr;
  const RequestDigest* digest_out = nullptr;
  std::pair<size_t, TimePoint> lowest;
  for (const auto& [server, suspects] : m_ends) {
    for (const auto& [digest, end] : suspects) {
      size_t ends = m_ends_of.at(digest).size();
      for (const PromptPart& part : end.parts) {
        ends = std::max(ends, m_ends_of_part.at(part).servers.size());
      }
      const std::pair<size_t, TimePoint> rank(ends, end.at);
      if (digest_out == nullptr || rank < lowest) {
        server_out = &server;
        digest_out = &digest;
        lowest = rank;
      }
    }
  }
  EraseEnd(ServerInstance(*server_out), RequestDigest(*digest_out));
}

void PoisonLedger::BoundBlocks() {
  if (m_blocks.size() <= m_policy.max_blocks) {
    return;
  }
  m_blocks.erase(std::min_element(m_blocks.begin(), m_blocks.end(),
                                  [](const auto& left, const auto& right) {
                                    return left.second.at < right.second.at;
                                  }));
}

template <typename Records>
void PoisonLedger::BoundRecords(Records& records) const {
  if (records.size() <= m_policy.max_records) {
    return;
  }
  records.erase(std::min_element(records.begin(), records.end(),
                                 [](const auto& left, const auto& right) {
                                   return left.second.at < right.second.at;
                                 }));
}

std::vector<PoisonLedger::Row> PoisonLedger::FactsAfter(uint64_t revision,
                                                        TimePoint now) const {
  std::vector<Row> rows;
  const auto add = [&rows, now](uint64_t row, PoisonFact fact, TimePoint at) {
    rows.push_back({row, {std::move(fact), std::max(Duration(0), now - at)}});
  };
  // Facts are only built for new rows: in a large fleet, replies are produced
  // fifty times a second and most rows are already known.
  for (const auto& [server, suspects] : m_ends) {
    for (const auto& [digest, end] : suspects) {
      if (end.revision > revision) {
        add(end.revision,
            EndedDuringRequest{server, digest, end.progress, end.parts},
            end.at);
      }
    }
  }
  for (const auto& [server, stamp] : m_alive) {
    if (stamp.revision > revision) {
      add(stamp.revision, FoundAlive{server}, stamp.at);
    }
  }
  for (const auto& [digest, stamp] : m_cleared) {
    if (stamp.revision > revision) {
      add(stamp.revision, Cleared{digest}, stamp.at);
    }
  }
  for (const auto& [part, stamp] : m_answered_parts) {
    if (stamp.revision > revision) {
      add(stamp.revision, PartCleared{part}, stamp.at);
    }
  }
  for (const auto& [subject, block] : m_blocks) {
    if (block.expired || block.revision <= revision) {
      continue;
    }
    add(block.revision, Blocked{subject.digest, block.ends, 0, subject.parts},
        block.at);
    if (block.trials > 0) {
      add(block.revision,
          TrialsSent{subject.digest, block.trials, subject.parts},
          block.tried_at);
    }
  }
  // Stable, so that a block precedes its trials, which have the same revision.
  std::stable_sort(rows.begin(), rows.end(),
                   [](const Row& left, const Row& right) {
                     return left.revision < right.revision;
                   });
  return rows;
}

PoisonUpdate PoisonLedger::Since(uint64_t known, TimePoint now) const {
  PoisonUpdate update{m_revision, {}};
  if (known == m_revision) {
    return update;
  }
  std::vector<Row> rows = FactsAfter(known > m_revision ? 0 : known, now);
  if (rows.size() > m_policy.max_records_per_message) {
    rows.resize(m_policy.max_records_per_message);
    // Continue with the rows that may share the last revision.
    update.revision = rows.back().revision - 1;
  }
  for (Row& row : rows) {
    update.facts.push_back(std::move(row.timed));
  }
  return update;
}

}  // namespace filbertrack

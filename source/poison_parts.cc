#include <algorithm>
#include <utility>

#include "filbertrack/poison_ledger.h"

/// PoisonLedger: parts of prompts that crash servers.

namespace filbertrack {

bool PoisonLedger::HasPart(const End& end, const PromptPart& part) {
  return std::binary_search(end.parts.begin(), end.parts.end(), part);
}

bool PoisonLedger::HasAllParts(const End& end, const PartSet& parts) {
  return std::includes(end.parts.begin(), end.parts.end(), parts.begin(),
                       parts.end());
}

std::vector<const PoisonLedger::End*> PoisonLedger::Starters(
    const Suspects& suspects) {
  std::vector<const End*> starters;
  for (const EndProgress progress :
       {EndProgress::kBegun, EndProgress::kNoAnswer}) {
    for (const auto& [digest, end] : suspects) {
      if (end.progress == progress) {
        starters.push_back(&end);
      }
    }
    if (!starters.empty()) {
      break;
    }
  }
  return starters;
}

bool PoisonLedger::WasAnsweredSince(const PromptPart& part,
                                    TimePoint ended) const {
  const auto answered = m_answered_parts.find(part);
  return answered != m_answered_parts.end() && answered->second.at >= ended;
}

bool PoisonLedger::IsExonerated(const PromptPart& part, TimePoint ended) const {
  const auto answered = m_answered_parts.find(part);
  return answered != m_answered_parts.end() &&
         ended <= answered->second.at + m_policy.part_grace;
}

bool PoisonLedger::IsAnswered(const PartSet& parts, TimePoint since) const {
  return std::all_of(parts.begin(), parts.end(), [&](const PromptPart& part) {
    return WasAnsweredSince(part, since);
  });
}

TimePoint PoisonLedger::LastEndOf(const PartSet& parts) const {
  TimePoint last;
  const auto of = m_ends_of_part.find(parts.front());
  if (of == m_ends_of_part.end()) {
    return last;
  }
  for (const ServerInstance& server : of->second.servers) {
    for (const End* end : Starters(m_ends.at(server))) {
      if (HasAllParts(*end, parts)) {
        last = std::max(last, end->at);
      }
    }
  }
  return last;
}

std::vector<std::string> PoisonLedger::ServersOf(
    const PoisonSubject& subject) const {
  std::vector<std::string> servers;
  const auto of = subject.is_whole_request()
                      ? m_ends_of_part.end()
                      : m_ends_of_part.find(subject.parts.front());
  if (of == m_ends_of_part.end()) {
    return servers;
  }
  for (const ServerInstance& server : of->second.servers) {
    if (EvidenceAgainst(subject.parts, Starters(m_ends.at(server))) > 0) {
      servers.push_back(server.id);
    }
  }
  return servers;
}

int PoisonLedger::EvidenceAgainst(
    const PartSet& parts,
    const std::vector<const End*>& starters) const {
  int evidence = 0;
  for (const End* end : starters) {
    const bool is_evidence =
        HasAllParts(*end, parts) &&
        std::any_of(parts.begin(), parts.end(), [&](const PromptPart& part) {
          return !IsExonerated(part, end->at);
        });
    if (is_evidence) {
      evidence = std::max(evidence, EvidenceOf(end->progress));
    }
  }
  return evidence;
}

bool PoisonLedger::IsSuspectPart(const PromptPart& part) const {
  const auto of = m_ends_of_part.find(part);
  return (of != m_ends_of_part.end() && !IsExonerated(part, of->second.last)) ||
         m_blocked_parts.contains(part);
}

bool PoisonLedger::IsExplainedByParts(const Suspects& suspects,
                                      const RequestDigest& digest) const {
  if (m_active_parts.empty()) {
    return false;
  }
  const auto own = suspects.find(digest);
  const std::vector<const End*> starters = Starters(suspects);
  for (const auto& [first, subjects] : m_active_parts) {
    for (const PoisonSubject* subject : subjects) {
      const bool is_own =
          own != suspects.end() && HasAllParts(own->second, subject->parts);
      if (!is_own && EvidenceAgainst(subject->parts, starters) > 0) {
        return true;
      }
    }
  }
  return false;
}

PoisonLedger::Assessment PoisonLedger::Assess(TimePoint now) const {
  Assessment assessment;
  for (const auto& [server, suspects] : m_ends) {
    if (!HasSettled(suspects, now)) {
      continue;
    }
    PartEnd end{&suspects, Starters(suspects), {}};
    end.blocked = BlockedParts(end.starters);
    std::map<PromptPart, int> parts;
    std::map<PromptPart, int> undecided;
    for (const End* starter : end.starters) {
      const int evidence = EvidenceOf(starter->progress);
      for (const PromptPart& part : starter->parts) {
        if (!end.MayBeCausedBy(part)) {
          continue;
        }
        if (!WasAnsweredSince(part, starter->at)) {
          undecided[part] = std::max(undecided[part], evidence);
        }
        if (!IsExonerated(part, starter->at)) {
          parts[part] = std::max(parts[part], evidence);
        }
      }
    }
    for (const auto& [part, evidence] : parts) {
      assessment.parts[part] += evidence;
    }
    for (const auto& [part, evidence] : undecided) {
      assessment.undecided_parts[part] += evidence;
    }
    for (const auto& [digest, row] : suspects) {
      assessment.requests[digest] += EvidenceOf(row.progress);
    }
    assessment.ends.push_back(std::move(end));
  }
  return assessment;
}

PoisonLedger::PartSet PoisonLedger::BlockedParts(
    const std::vector<const End*>& starters) const {
  PartSet blocked;
  for (const auto& [first, subjects] : m_active_parts) {
    for (const PoisonSubject* subject : subjects) {
      if (EvidenceAgainst(subject->parts, starters) > 0) {
        blocked.insert(blocked.end(), subject->parts.begin(),
                       subject->parts.end());
      }
    }
  }
  std::sort(blocked.begin(), blocked.end());
  return blocked;
}

bool PoisonLedger::HasStrongerSuspect(const Assessment& assessment,
                                      const PartEnd& end,
                                      const PromptPart& part) const {
  const int own_evidence = assessment.undecided_parts.at(part);
  const bool has_stronger_request = std::any_of(
      end.suspects->begin(), end.suspects->end(), [&](const auto& row) {
        const auto& [digest, suspect] = row;
        return !HasPart(suspect, part) &&
               (IsBlocked(digest) ||
                assessment.requests.at(digest) > own_evidence);
      });
  // Several faulty parts together explain no more ends than a sound one that
  // all their requests share, so an undecided part must explain far more.
  const auto is_stronger = [&](const PromptPart& other) {
    const auto decided = assessment.parts.find(other);
    const auto undecided = assessment.undecided_parts.find(other);
    return (decided != assessment.parts.end() &&
            decided->second > own_evidence) ||
           (undecided != assessment.undecided_parts.end() &&
            undecided->second > 2 * own_evidence);
  };
  return has_stronger_request ||
         std::any_of(end.starters.begin(), end.starters.end(),
                     [&](const End* starter) {
                       return std::any_of(starter->parts.begin(),
                                          starter->parts.end(), is_stronger);
                     });
}

PoisonLedger::PartSet PoisonLedger::CommonParts(
    const PromptPart& part,
    const std::vector<const PartEnd*>& ends) const {
  PartSet common;
  TimePoint first_end = TimePoint::max();
  for (const PartEnd* part_end : ends) {
    // With several such requests on a server, each may have ended it.
    PartSet held;
    for (const End* end : part_end->starters) {
      if (HasPart(*end, part)) {
        first_end = std::min(first_end, end->at);
        held.insert(held.end(), end->parts.begin(), end->parts.end());
      }
    }
    std::sort(held.begin(), held.end());
    held.erase(std::unique(held.begin(), held.end()), held.end());
    PartSet shared;
    std::set_intersection(common.begin(), common.end(), held.begin(),
                          held.end(), std::back_inserter(shared));
    common = part_end == ends.front() ? held : shared;
  }
  std::erase_if(common, [&](const PromptPart& other) {
    return other != part && IsExonerated(other, first_end);
  });
  return common;
}

std::optional<std::pair<Blocked, TimePoint>> PoisonLedger::AssessPart(
    const Assessment& assessment,
    const PromptPart& part) const {
  int evidence = 0;
  TimePoint first_end = TimePoint::max();
  std::vector<const PartEnd*> ends;
  std::set<RequestDigest> requests;
  for (const PartEnd& end : assessment.ends) {
    const int against = EvidenceAgainst({part}, end.starters);
    if (against == 0 || !end.MayBeCausedBy(part) ||
        HasStrongerSuspect(assessment, end, part)) {
      continue;
    }
    evidence += against;
    ends.push_back(&end);
    for (const auto& [digest, row] : *end.suspects) {
      if (HasPart(row, part)) {
        requests.insert(digest);
        first_end = std::min(first_end, row.at);
      }
    }
  }
  // Copies of one request are blocked as such.
  if (evidence < m_policy.evidence_to_block || requests.size() < 2) {
    return std::nullopt;
  }
  return std::pair(
      Blocked{{}, static_cast<int>(ends.size()), 0, CommonParts(part, ends)},
      first_end);
}

void PoisonLedger::UpdatePartBlocks(TimePoint now,
                                    std::vector<Blocked>& blocked) {
  if (m_ends_of_part.empty() || m_assessed_revision == m_revision) {
    return;
  }
  const uint64_t revision = m_revision;
  const Assessment assessment = Assess(now);
  std::map<PartSet, std::pair<Blocked, TimePoint>> assessed;
  for (const auto& [part, evidence] : assessment.parts) {
    auto block = evidence < m_policy.evidence_to_block
                     ? std::nullopt
                     : AssessPart(assessment, part);
    if (block) {
      assessed.emplace(block->first.parts, std::move(*block));
    }
  }
  for (auto& [parts, row] : assessed) {
    auto& [block, first_end] = row;
    const auto known = m_blocks.find(block.subject());
    const bool is_active = known != m_blocks.end() && known->second.IsActive();
    if (parts.empty() || is_active || IsNarrowed(parts)) {
      continue;
    }
    // The trials of a block that this one narrows were trials of this one too.
    for (const auto& [subject, other] : m_blocks) {
      if (std::includes(subject.parts.begin(), subject.parts.end(),
                        parts.begin(), parts.end())) {
        block.trials = std::max(block.trials, other.trials);
      }
    }
    if (Apply(block, first_end)) {
      blocked.push_back(block);
    }
  }
  for (auto& [subject, block] : m_blocks) {
    block.explained = block.explained || IsNarrowed(subject.parts);
  }
  IndexBlocks();
  // The result depends on the time only until all ends have settled.
  if (assessment.ends.size() == m_ends.size()) {
    m_assessed_revision = revision;
  }
}

bool PoisonLedger::IsNarrowed(const PartSet& parts) const {
  return std::any_of(m_blocks.begin(), m_blocks.end(), [&](const auto& row) {
    const auto& [subject, block] = row;
    return !subject.is_whole_request() && !block.expired &&
           subject.parts.size() < parts.size() &&
           std::includes(parts.begin(), parts.end(), subject.parts.begin(),
                         subject.parts.end());
  });
}

void PoisonLedger::IndexBlocks() {
  m_active_digests.clear();
  m_active_parts.clear();
  m_blocked_parts.clear();
  for (const auto& [subject, block] : m_blocks) {
    m_blocked_parts.insert(subject.parts.begin(), subject.parts.end());
    if (!block.IsActive()) {
      continue;
    }
    if (subject.is_whole_request()) {
      m_active_digests.insert(subject.digest);
    } else {
      m_active_parts[subject.parts.front()].push_back(&subject);
    }
  }
}

const PoisonSubject* PoisonLedger::FindBlock(
    std::span<const PromptPart> parts,
    const std::function<const RequestDigest&()>& digest) const {
  if (!m_active_parts.empty()) {
    for (const PromptPart& part : parts) {
      const auto found = m_active_parts.find(part);
      if (found == m_active_parts.end()) {
        continue;
      }
      for (const PoisonSubject* subject : found->second) {
        const bool has_all =
            std::all_of(subject->parts.begin(), subject->parts.end(),
                        [parts](const PromptPart& other) {
                          return std::find(parts.begin(), parts.end(), other) !=
                                 parts.end();
                        });
        if (has_all) {
          return subject;
        }
      }
    }
  }
  if (m_active_digests.empty() || !m_active_digests.contains(digest())) {
    return nullptr;
  }
  return &m_blocks.find({digest(), {}})->first;
}

}  // namespace filbertrack

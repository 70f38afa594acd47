#include "filbertrack/poison_ledger.h"

#include <algorithm>
#include <utility>

namespace filbertrack {

bool PoisonLedger::Note(const PoisonFact& fact, TimePoint at) {
  return std::visit([this, at](const auto& kind) { return Take(kind, at); },
                    fact);
}

bool PoisonLedger::Take(const EndedUnder& fact, TimePoint at) {
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
    ++m_end_rows;
    end.at = at;
  }
  end.progress = std::max(end.progress, fact.progress);
  end.revision = ++m_revision;
  BoundEnds();
  return true;
}

bool PoisonLedger::Take(const FoundAlive& fact, TimePoint at) {
  const auto ended = m_ends.find(fact.server);
  Stamp& stamp = m_alive[fact.server];
  if (stamp.revision != 0 && at <= stamp.at + m_policy.same_word) {
    return false;
  }
  stamp = {at, ++m_revision};
  BoundWords(m_alive);
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

bool PoisonLedger::Take(const Cleared& fact, TimePoint at) {
  Stamp& stamp = m_cleared[fact.digest];
  if (stamp.revision != 0 && at <= stamp.at + m_policy.same_word) {
    return false;
  }
  stamp = {at, ++m_revision};
  BoundWords(m_cleared);
  const auto found = m_ends_of.find(fact.digest);
  if (found != m_ends_of.end()) {
    const std::set<ServerLife> servers = found->second;
    for (const ServerLife& server : servers) {
      if (m_ends.at(server).at(fact.digest).at <= at) {
        EraseEnd(server, fact.digest);
      }
    }
  }
  const auto mark = m_marks.find(fact.digest);
  if (mark != m_marks.end() && mark->second.at <= at) {
    m_marks.erase(mark);
  }
  return true;
}

bool PoisonLedger::Take(const Marked& fact, TimePoint at) {
  const auto cleared = m_cleared.find(fact.digest);
  if (cleared != m_cleared.end() && cleared->second.at >= at) {
    return false;
  }
  Mark& mark = m_marks[fact.digest];
  const bool is_known = mark.revision != 0;
  if (is_known && mark.ends >= fact.ends && (!mark.lapsed || mark.at >= at)) {
    return false;
  }
  mark.ends = std::max(mark.ends, fact.ends);
  mark.at = at;
  mark.revision = ++m_revision;
  mark.trials = std::max(mark.trials, fact.trials);
  mark.lapsed = false;
  BoundMarks();
  return true;
}

bool PoisonLedger::Take(const Tried& fact, TimePoint at) {
  const auto mark = m_marks.find(fact.digest);
  if (mark == m_marks.end() || mark->second.trials >= fact.trials) {
    return false;
  }
  mark->second.trials = fact.trials;
  mark->second.tried_at = at;
  mark->second.revision = ++m_revision;
  return true;
}

bool PoisonLedger::MayTry(const RequestDigest& digest, TimePoint now) const {
  const Mark& mark = m_marks.at(digest);
  const auto trials = static_cast<size_t>(mark.trials);
  if (trials >= m_policy.trial_pauses.size()) {
    return false;
  }
  TimePoint since = std::max(mark.at, mark.tried_at);
  const auto ends = m_ends_of.find(digest);
  if (ends != m_ends_of.end()) {
    for (const ServerLife& server : ends->second) {
      since = std::max(since, m_ends.at(server).at(digest).at);
    }
  }
  return now - since >= m_policy.trial_pauses[trials];
}

void PoisonLedger::BeginTrial(const RequestDigest& digest, TimePoint now) {
  Take(Tried{digest, m_marks.at(digest).trials + 1}, now);
}

void PoisonLedger::EraseEnd(const ServerLife& server,
                            const RequestDigest& digest) {
  const auto ended = m_ends.find(server);
  ended->second.erase(digest);
  if (ended->second.empty()) {
    m_ends.erase(ended);
  }
  const auto of = m_ends_of.find(digest);
  of->second.erase(server);
  if (of->second.empty()) {
    m_ends_of.erase(of);
  }
  --m_end_rows;
}

bool PoisonLedger::IsTold(const Suspects& suspects, TimePoint now) const {
  const Duration settle = m_is_far ? m_policy.far_settle : m_policy.settle;
  return std::any_of(
      suspects.begin(), suspects.end(),
      [settle, now](const auto& row) { return now - row.second.at >= settle; });
}

int PoisonLedger::Weight(const RequestDigest& digest, TimePoint now) const {
  const auto found = m_ends_of.find(digest);
  if (found == m_ends_of.end()) {
    return 0;
  }
  int weight = 0;
  for (const ServerLife& server : found->second) {
    const Suspects& suspects = m_ends.at(server);
    weight +=
        IsTold(suspects, now) ? EvidenceOf(suspects.at(digest).progress) : 0;
  }
  return weight;
}

bool PoisonLedger::IsLaidTo(const Suspects& suspects,
                            const RequestDigest& digest,
                            TimePoint now) const {
  const auto own = Weight(digest, now);
  const bool is_marked = IsMarked(digest);
  return std::none_of(suspects.begin(), suspects.end(), [&](const auto& row) {
    const RequestDigest& other = row.first;
    if (other == digest) {
      return false;
    }
    // What is known to end servers explains an end that it was at.
    if (IsMarked(other) != is_marked) {
      return !is_marked;
    }
    return Weight(other, now) > own;
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

PoisonLedger::Verdict PoisonLedger::Judge(const RequestDigest& digest,
                                          TimePoint now) const {
  const auto mark = m_marks.find(digest);
  const bool lapsed = mark != m_marks.end() && mark->second.lapsed;
  Verdict verdict;
  // One more end of any kind marks it again.
  verdict.evidence =
      lapsed ? m_policy.evidence_to_mark - m_policy.answering_evidence : 0;
  for (const ServerLife& server : m_ends_of.at(digest)) {
    const Suspects& suspects = m_ends.at(server);
    const End& end = suspects.at(digest);
    if (IsTold(suspects, now) && IsLaidTo(suspects, digest, now)) {
      verdict.first_end =
          verdict.ends == 0 ? end.at : std::min(verdict.first_end, end.at);
      ++verdict.ends;
      verdict.evidence += EvidenceOf(end.progress);
    }
  }
  return verdict;
}

int PoisonLedger::CountEndsOf(const RequestDigest& digest) const {
  const auto found = m_ends_of.find(digest);
  return found == m_ends_of.end() ? 0 : static_cast<int>(found->second.size());
}

std::vector<std::string> PoisonLedger::EndsLaidTo(const RequestDigest& digest,
                                                  TimePoint now) const {
  std::vector<std::string> servers;
  const auto found = m_ends_of.find(digest);
  if (found == m_ends_of.end()) {
    return servers;
  }
  for (const ServerLife& server : found->second) {
    if (IsLaidTo(m_ends.at(server), digest, now)) {
      servers.push_back(server.id);
    }
  }
  return servers;
}

std::vector<Marked> PoisonLedger::Settle(TimePoint now) {
  ForgetOld(now);
  DoubtMarks(now);
  std::vector<Marked> marked;
  std::vector<TimePoint> since;
  for (const auto& [digest, servers] : m_ends_of) {
    const auto mark = m_marks.find(digest);
    if (mark != m_marks.end() && !mark->second.lapsed) {
      continue;
    }
    const bool may_be =
        mark != m_marks.end() ||
        static_cast<int>(servers.size()) * m_policy.begun_evidence >=
            m_policy.evidence_to_mark;
    if (!may_be) {
      continue;
    }
    const Verdict verdict = Judge(digest, now);
    if (verdict.evidence >= m_policy.evidence_to_mark) {
      marked.push_back({digest, verdict.ends, 0});
      since.push_back(verdict.first_end);
    }
  }
  for (size_t i = 0; i < marked.size(); ++i) {
    Take(marked[i], since[i]);
  }
  return marked;
}

void PoisonLedger::DoubtMarks(TimePoint now) {
  for (auto& [digest, mark] : m_marks) {
    const auto ends = m_ends_of.find(digest);
    // Of an old mark the ends are forgotten, and nothing speaks against it.
    const bool has_ends = ends != m_ends_of.end() &&
                          static_cast<int>(ends->second.size()) >= mark.ends;
    mark.doubted = has_ends &&
                   UnexplainedEvidence(digest, now) < m_policy.evidence_to_mark;
  }
}

int PoisonLedger::UnexplainedEvidence(const RequestDigest& digest,
                                      TimePoint now) const {
  const int own = Weight(digest, now);
  const auto explains = [&](const auto& row) {
    return row.first != digest && m_marks.contains(row.first) &&
           Weight(row.first, now) > own;
  };
  int evidence = 0;
  for (const ServerLife& server : m_ends_of.at(digest)) {
    const Suspects& suspects = m_ends.at(server);
    const End& end = suspects.at(digest);
    if (std::none_of(suspects.begin(), suspects.end(), explains)) {
      evidence += EvidenceOf(end.progress);
    }
  }
  return evidence;
}

bool PoisonLedger::IsMarked(const RequestDigest& digest) const {
  const auto found = m_marks.find(digest);
  return found != m_marks.end() && found->second.IsInForce();
}

bool PoisonLedger::IsSuspect(const RequestDigest& digest) const {
  return m_ends_of.contains(digest) || m_marks.contains(digest);
}

std::vector<Marked> PoisonLedger::Marks() const {
  std::vector<Marked> marks;
  for (const auto& [digest, mark] : m_marks) {
    if (mark.IsInForce()) {
      marks.push_back({digest, mark.ends, mark.trials});
    }
  }
  return marks;
}

std::optional<TimePoint> PoisonLedger::EndedAt(const ServerLife& server) const {
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

void PoisonLedger::ForgetOld(TimePoint now) {
  const auto is_old = [this, now](TimePoint at) {
    return now - at > m_policy.fact_life;
  };
  std::vector<std::pair<ServerLife, RequestDigest>> old;
  for (const auto& [server, suspects] : m_ends) {
    for (const auto& [digest, end] : suspects) {
      if (is_old(end.at)) {
        old.emplace_back(server, digest);
      }
    }
  }
  for (const auto& [server, digest] : old) {
    EraseEnd(server, digest);
  }
  std::erase_if(m_alive,
                [&](const auto& row) { return is_old(row.second.at); });
  std::erase_if(m_cleared,
                [&](const auto& row) { return is_old(row.second.at); });
  for (auto& [digest, mark] : m_marks) {
    mark.lapsed = mark.lapsed || now - mark.at > m_policy.mark_life;
  }
}

void PoisonLedger::BoundEnds() {
  if (m_end_rows <= m_policy.most_ends) {
    return;
  }
  // Of the least suspected ones the oldest.
  const ServerLife* server_out = nullptr;
  const RequestDigest* digest_out = nullptr;
  std::pair<size_t, TimePoint> least;
  for (const auto& [server, suspects] : m_ends) {
    for (const auto& [digest, end] : suspects) {
      const std::pair<size_t, TimePoint> rank(m_ends_of.at(digest).size(),
                                              end.at);
      if (digest_out == nullptr || rank < least) {
        server_out = &server;
        digest_out = &digest;
        least = rank;
      }
    }
  }
  EraseEnd(ServerLife(*server_out), RequestDigest(*digest_out));
}

void PoisonLedger::BoundMarks() {
  if (m_marks.size() <= m_policy.most_marks) {
    return;
  }
  m_marks.erase(std::min_element(m_marks.begin(), m_marks.end(),
                                 [](const auto& left, const auto& right) {
                                   return left.second.at < right.second.at;
                                 }));
}

template <typename Words>
void PoisonLedger::BoundWords(Words& words) const {
  if (words.size() <= m_policy.most_words) {
    return;
  }
  words.erase(std::min_element(words.begin(), words.end(),
                               [](const auto& left, const auto& right) {
                                 return left.second.at < right.second.at;
                               }));
}

std::vector<PoisonLedger::Row> PoisonLedger::RowsAfter(uint64_t revision,
                                                       TimePoint now) const {
  std::vector<Row> rows;
  const auto add = [&rows, now](uint64_t row, PoisonFact fact, TimePoint at) {
    rows.push_back({row, {std::move(fact), std::max(Duration(0), now - at)}});
  };
  // Facts are made of new rows only: the loads of a large fleet are exchanged
  // fifty times a second, and most rows are known.
  for (const auto& [server, suspects] : m_ends) {
    for (const auto& [digest, end] : suspects) {
      if (end.revision > revision) {
        add(end.revision, EndedUnder{server, digest, end.progress}, end.at);
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
  for (const auto& [digest, mark] : m_marks) {
    if (mark.lapsed || mark.revision <= revision) {
      continue;
    }
    add(mark.revision, Marked{digest, mark.ends, 0}, mark.at);
    if (mark.trials > 0) {
      add(mark.revision, Tried{digest, mark.trials}, mark.tried_at);
    }
  }
  // A mark stands before its trials, which have its revision.
  std::stable_sort(rows.begin(), rows.end(),
                   [](const Row& left, const Row& right) {
                     return left.revision < right.revision;
                   });
  return rows;
}

PoisonNews PoisonLedger::Since(uint64_t known, TimePoint now) const {
  PoisonNews news{m_revision, {}};
  if (known == m_revision) {
    return news;
  }
  std::vector<Row> rows = RowsAfter(known > m_revision ? 0 : known, now);
  if (rows.size() > m_policy.most_told) {
    rows.resize(m_policy.most_told);
    // The next part begins with what may have the same revision.
    news.revision = rows.back().revision - 1;
  }
  for (Row& row : rows) {
    news.facts.push_back(std::move(row.timed));
  }
  return news;
}

}  // namespace filbertrack

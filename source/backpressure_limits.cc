#include "filbertrack/backpressure_limits.h"

#include <algorithm>

namespace filbertrack {

namespace {

/// Times that a limit which lasts is told again within its life.
constexpr int kConfirmations = 4;

}  // namespace

void LimitLedger::Put(const ServerLife& server,
                      std::optional<double> limit,
                      TimePoint at) {
  m_words[server] = {limit, at, at, ++m_revision};
}

void LimitLedger::Confirm(Word& word, TimePoint at) {
  word.at = std::max(word.at, at);
  // Not each time: a word is told again so rarely that its way through all
  // entry hosts takes less.
  if (at > word.told_at + m_policy.limit_life / kConfirmations) {
    word.told_at = at;
    word.revision = ++m_revision;
  }
}

bool LimitLedger::OnAnswer(const LimitReading& reading, TimePoint now) {
  const auto found = m_words.find(reading.server);
  const bool is_limited = found != m_words.end() && found->second.limit;
  if (!reading.limit) {
    if (!is_limited || reading.sent <= found->second.at) {
      return false;
    }
    Put(reading.server, std::nullopt, now);
    return true;
  }
  if (is_limited && found->second.limit == reading.limit) {
    Confirm(found->second, now);
    return false;
  }
  Put(reading.server, reading.limit, now);
  return true;
}

bool LimitLedger::OnNews(const LimitWord& word, TimePoint now) {
  const TimePoint at = now - word.age;
  const auto found = m_words.find(word.server);
  if (found != m_words.end() && found->second.limit == word.limit) {
    if (at > found->second.told_at + m_policy.limit_life / kConfirmations) {
      Confirm(found->second, at);
    }
    return false;
  }
  if (found != m_words.end() && at <= found->second.at) {
    return false;
  }
  const bool changes = found != m_words.end() || word.limit.has_value();
  Put(word.server, word.limit, at);
  return changes;
}

std::optional<double> LimitLedger::LimitOf(const ServerLife& server) const {
  const auto found = m_words.find(server);
  return found == m_words.end() ? std::nullopt : found->second.limit;
}

std::vector<ServerLife> LimitLedger::Limited() const {
  std::vector<ServerLife> limited;
  for (const auto& [server, word] : m_words) {
    if (word.limit) {
      limited.push_back(server);
    }
  }
  return limited;
}

bool LimitLedger::ForgetOld(TimePoint now) {
  const size_t before = m_words.size();
  std::erase_if(m_words, [this, now](const auto& row) {
    const Word& word = row.second;
    return now - word.at >
           (word.limit ? m_policy.limit_life : m_policy.end_life);
  });
  while (m_words.size() > m_policy.most_words) {
    m_words.erase(std::min_element(m_words.begin(), m_words.end(),
                                   [](const auto& left, const auto& right) {
                                     return left.second.at < right.second.at;
                                   }));
  }
  return m_words.size() != before;
}

LimitNews LimitLedger::Since(uint64_t known, TimePoint now) const {
  LimitNews news{m_revision, {}};
  if (known == m_revision) {
    return news;
  }
  const uint64_t after = known > m_revision ? 0 : known;
  std::vector<std::pair<uint64_t, LimitWord>> rows;
  for (const auto& [server, word] : m_words) {
    if (word.revision > after) {
      rows.push_back({word.revision, {server, word.limit, now - word.at}});
    }
  }
  std::sort(rows.begin(), rows.end(), [](const auto& left, const auto& right) {
    return left.first < right.first;
  });
  if (rows.size() > m_policy.most_told) {
    rows.resize(m_policy.most_told);
    news.revision = rows.back().first;
  }
  for (auto& [revision, word] : rows) {
    news.words.push_back(std::move(word));
  }
  return news;
}

}  // namespace filbertrack

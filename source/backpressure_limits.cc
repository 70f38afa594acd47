#include "filbertrack/backpressure_limits.h"

#include <algorithm>

namespace filbertrack {

namespace {

/// How often an unchanged limit is advertised again within limit_ttl.
constexpr int kAdvertisementsPerTtl = 4;

}  // namespace

void LimitLedger::Put(const ServerInstance& server,
                      std::optional<double> limit,
                      TimePoint at) {
  m_stored[server] = {limit, at, at, ++m_revision};
}

void LimitLedger::Refresh(StoredLimit& record, TimePoint at) {
  record.at = std::max(record.at, at);
  // Advertising each confirmation would keep the record circulating; the
  // interval is longer than a record takes to reach all entry hosts.
  if (at > record.advertised_at + m_policy.limit_ttl / kAdvertisementsPerTtl) {
    record.advertised_at = at;
    record.revision = ++m_revision;
  }
}

bool LimitLedger::OnAnswer(const LimitObservation& observation, TimePoint now) {
  const auto found = m_stored.find(observation.server);
  const bool is_limited = found != m_stored.end() && found->second.limit;
  if (!observation.limit) {
    if (!is_limited || observation.sent <= found->second.at) {
      return false;
    }
    Put(observation.server, std::nullopt, now);
    return true;
  }
  if (is_limited && found->second.limit == observation.limit) {
    Refresh(found->second, now);
    return false;
  }
  Put(observation.server, observation.limit, now);
  return true;
}

bool LimitLedger::OnPeerUpdate(const LimitRecord& record, TimePoint now) {
  const TimePoint at = now - record.age;
  const auto found = m_stored.find(record.server);
  if (found != m_stored.end() && found->second.limit == record.limit) {
    if (at > found->second.advertised_at +
                 m_policy.limit_ttl / kAdvertisementsPerTtl) {
      Refresh(found->second, at);
    }
    return false;
  }
  if (found != m_stored.end() && at <= found->second.at) {
    return false;
  }
  const bool changes = found != m_stored.end() || record.limit.has_value();
  Put(record.server, record.limit, at);
  return changes;
}

std::optional<double> LimitLedger::LimitOf(const ServerInstance& server) const {
  const auto found = m_stored.find(server);
  return found == m_stored.end() ? std::nullopt : found->second.limit;
}

std::vector<ServerInstance> LimitLedger::LimitedServers() const {
  std::vector<ServerInstance> limited;
  for (const auto& [server, record] : m_stored) {
    if (record.limit) {
      limited.push_back(server);
    }
  }
  return limited;
}

bool LimitLedger::ForgetOld(TimePoint now) {
  const size_t before = m_stored.size();
  std::erase_if(m_stored, [this, now](const auto& row) {
    const StoredLimit& record = row.second;
    return now - record.at >
           (record.limit ? m_policy.limit_ttl : m_policy.tombstone_ttl);
  });
  while (m_stored.size() > m_policy.max_records) {
    m_stored.erase(std::min_element(m_stored.begin(), m_stored.end(),
                                    [](const auto& left, const auto& right) {
                                      return left.second.at < right.second.at;
                                    }));
  }
  return m_stored.size() != before;
}

LimitUpdate LimitLedger::Since(uint64_t known, TimePoint now) const {
  LimitUpdate update{m_revision, {}};
  if (known == m_revision) {
    return update;
  }
  const uint64_t after = known > m_revision ? 0 : known;
  std::vector<std::pair<uint64_t, LimitRecord>> rows;
  for (const auto& [server, record] : m_stored) {
    if (record.revision > after) {
      rows.push_back(
          {record.revision, {server, record.limit, now - record.at}});
    }
  }
  std::sort(rows.begin(), rows.end(), [](const auto& left, const auto& right) {
    return left.first < right.first;
  });
  if (rows.size() > m_policy.max_records_per_message) {
    rows.resize(m_policy.max_records_per_message);
    update.revision = rows.back().first;
  }
  for (auto& [revision, record] : rows) {
    update.words.push_back(std::move(record));
  }
  return update;
}

}  // namespace filbertrack

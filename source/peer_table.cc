#include "filbertrack/peer_table.h"

#include <algorithm>

#include "filbertrack/base_hash.h"

namespace filbertrack {

namespace {

uint64_t StateDigest(const PeerState& state) {
  uint64_t digest = Hash64(state.node, state.incarnation);
  digest = Hash64(state.data_centre, digest ^ state.generation);
  return Hash64(state.address.ToString(),
                digest ^ (state.division << 1) ^ (state.leaving ? 1 : 0));
}

}  // namespace

void PeerTable::Learn(const PeerState& state, TimePoint alive_at) {
  if (state.node == m_self.node || state.node.empty()) {
    return;
  }
  const auto known = m_records.find(state.node);
  if (known == m_records.end()) {
    m_records[state.node] = {state, alive_at};
    return;
  }
  PeerRecord& record = known->second;
  if (state.incarnation < record.state.incarnation) {
    return;
  }
  if (state.incarnation > record.state.incarnation) {
    record = {state, alive_at};
    return;
  }
  // States of one process may arrive over several paths and out of order. The
  // generation and the division only grow within a process, and leaving is
  // final, so the larger value is the newer one.
  if (alive_at > record.alive_at) {
    const PeerState before = record.state;
    record = {state, alive_at};
    record.state.generation = std::max(before.generation, state.generation);
    record.state.division = std::max(before.division, state.division);
    record.state.leaving = before.leaving || state.leaving;
  }
}

void PeerTable::Forget(TimePoint now) {
  std::erase_if(m_records, [this, now](const auto& entry) {
    return now - entry.second.alive_at > m_policy.forget_after;
  });
}

bool PeerTable::IsLive(const PeerRecord& record, TimePoint now) const {
  return now - record.alive_at <= m_policy.dead_after && !record.state.leaving;
}

std::vector<std::string> PeerTable::Live(TimePoint now) const {
  std::vector<std::string> names;
  for (const auto& [name, record] : m_records) {
    if (IsLive(record, now)) {
      names.push_back(name);
    }
  }
  if (!m_self.leaving) {
    names.push_back(m_self.node);
  }
  std::sort(names.begin(), names.end());
  return names;
}

std::vector<PeerState> PeerTable::Neighbours(uint64_t round,
                                             TimePoint now) const {
  std::vector<std::string> ring = Live(now);
  std::erase(ring, m_self.node);
  const auto after =
      std::upper_bound(ring.begin(), ring.end(), m_self.node) - ring.begin();
  std::vector<size_t> distances;
  for (size_t distance = 1; distance <= ring.size(); distance *= 2) {
    distances.push_back(distance);
  }
  std::vector<PeerState> neighbours;
  const size_t count = std::min(m_policy.neighbours, distances.size());
  for (size_t i = 0; i < count; ++i) {
    const size_t distance = distances[(round * count + i) % distances.size()];
    const size_t index =
        (static_cast<size_t>(after) + distance - 1) % ring.size();
    neighbours.push_back(m_records.find(ring[index])->second.state);
  }
  return neighbours;
}

bool PeerTable::IsChosen(std::string_view item,
                         std::string_view data_centre,
                         size_t count,
                         TimePoint now) const {
  const uint64_t own = RendezvousWeight(item, m_self.node);
  size_t before = 0;
  for (const auto& [name, record] : m_records) {
    if (IsLive(record, now) &&
        (data_centre.empty() || record.state.data_centre == data_centre) &&
        RendezvousWeight(item, name) > own) {
      ++before;
    }
  }
  return before < count;
}

std::string PeerTable::Owner(std::string_view item, TimePoint now) const {
  const std::vector<std::string> live = Live(now);
  if (live.empty()) {
    return m_self.node;
  }
  return *std::max_element(
      live.begin(), live.end(), [item](const auto& left, const auto& right) {
        return RendezvousWeight(item, left) < RendezvousWeight(item, right);
      });
}

uint64_t PeerTable::Digest() const {
  uint64_t digest = StateDigest(m_self);
  for (const auto& [name, record] : m_records) {
    digest ^= StateDigest(record.state);
  }
  return digest;
}

}  // namespace filbertrack

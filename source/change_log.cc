#include "filbertrack/change_log.h"

#include <algorithm>

namespace filbertrack {

namespace {

void EraseEntry(std::multimap<uint64_t, std::string>& index,
                uint64_t version,
                std::string_view id) {
  const auto [first, last] = index.equal_range(version);
  const auto found = std::find_if(
      first, last, [id](const auto& entry) { return entry.second == id; });
  if (found != last) {
    index.erase(found);
  }
}

}  // namespace

bool ChangeLog::Put(const LoggedObject& object) {
  const auto found = m_objects.find(object.id);
  // An object without a record may have been removed up to the compacted
  // revision.
  const uint64_t known_version =
      found == m_objects.end() ? m_compacted_revision : found->second.version;
  if (known_version >= object.version) {
    return false;
  }
  LoggedObject& known = m_objects[object.id];
  EraseEntry(m_by_version, known.version, object.id);
  EraseEntry(m_removed, known.version, object.id);
  known = object;
  m_by_version.emplace(object.version, object.id);
  if (object.text.empty()) {
    m_removed.emplace(object.version, object.id);
    CompactRemovals();
  }
  return true;
}

void ChangeLog::CompactRemovals() {
  while (m_removed.size() > m_max_removed) {
    const auto oldest = m_removed.begin();
    m_compacted_revision = std::max(m_compacted_revision, oldest->first);
    EraseEntry(m_by_version, oldest->first, oldest->second);
    m_objects.erase(oldest->second);
    m_removed.erase(oldest);
  }
}

void ChangeLog::AdvanceTo(uint64_t revision) {
  m_revision = std::max(m_revision, revision);
}

std::optional<std::vector<LoggedObject>> ChangeLog::Since(
    uint64_t revision) const {
  if (revision < m_compacted_revision) {
    return std::nullopt;
  }
  std::vector<LoggedObject> changed;
  for (auto it = m_by_version.upper_bound(revision); it != m_by_version.end();
       ++it) {
    changed.push_back(m_objects.find(it->second)->second);
  }
  return changed;
}

std::vector<LoggedObject> ChangeLog::All() const {
  std::vector<LoggedObject> all;
  for (const auto& [id, object] : m_objects) {
    if (!object.text.empty()) {
      all.push_back(object);
    }
  }
  return all;
}

}  // namespace filbertrack

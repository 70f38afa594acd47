#pragma once

/// Versions and texts of the store's registrations as one entry host knows
/// them, so that it can tell another one exactly what that one has missed.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace filbertrack {

/// One object at one version of the store. An empty text: it was removed.
struct LoggedObject {
  std::string id;
  uint64_t version = 0;
  std::string text;

  bool operator==(const LoggedObject&) const = default;
};

class ChangeLog {
 public:
  /// Removed objects are remembered up to this many.
  explicit ChangeLog(size_t max_removed) : m_max_removed(max_removed) {}

  /// Keeps `object` if it is newer than what is known; true if it was.
  bool Put(const LoggedObject& object);

  /// Everything up to `revision` of the store is known.
  void AdvanceTo(uint64_t revision);
  uint64_t revision() const { return m_revision; }

  /// What changed after `revision`, in the order of versions. Nullopt: the log
  /// does not reach back so far, and All() is needed.
  std::optional<std::vector<LoggedObject>> Since(uint64_t revision) const;

  /// Objects that exist.
  std::vector<LoggedObject> All() const;

 private:
  void CompactRemovals();

  size_t m_max_removed;
  uint64_t m_revision = 0;
  /// Removals up to this version were forgotten.
  uint64_t m_compacted_revision = 0;
  std::map<std::string, LoggedObject, std::less<>> m_objects;
  std::multimap<uint64_t, std::string> m_by_version;
  std::multimap<uint64_t, std::string> m_removed;
};

}  // namespace filbertrack

#pragma once

/// A log of store registrations by version. An entry host uses it to send a
/// peer exactly the changes that the peer has missed.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace filbertrack {

/// One object at one version of the store. An empty text marks a removal.
struct LoggedObject {
  std::string id;
  uint64_t version = 0;
  std::string text;

  bool operator==(const LoggedObject&) const = default;
};

class ChangeLog {
 public:
  /// Keeps at most `max_removed` removal records; older ones are compacted.
  explicit ChangeLog(size_t max_removed) : m_max_removed(max_removed) {}

  /// Stores `object` if its version is newer than the known one. Returns
  /// whether it was stored.
  bool Put(const LoggedObject& object);

  /// Records that all changes up to store revision `revision` are in the log.
  void AdvanceTo(uint64_t revision);
  uint64_t revision() const { return m_revision; }

  /// Changes after `revision`, in version order. Returns nullopt if removals
  /// after `revision` have been compacted; the caller must then use All().
  std::optional<std::vector<LoggedObject>> Since(uint64_t revision) const;

  /// All objects that have not been removed.
  std::vector<LoggedObject> All() const;

 private:
  void CompactRemovals();

  size_t m_max_removed;
  uint64_t m_revision = 0;
  /// Highest version whose removal record has been compacted.
  uint64_t m_compacted_revision = 0;
  std::map<std::string, LoggedObject, std::less<>> m_objects;
  std::multimap<uint64_t, std::string> m_by_version;
  std::multimap<uint64_t, std::string> m_removed;
};

}  // namespace filbertrack

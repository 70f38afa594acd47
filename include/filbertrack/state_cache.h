#pragma once

/// Cache of the objects of the platform's object API in one process. The store
/// orders the versions of each object, and the cache keeps the highest version
/// received from any source, so that a stale read or a delayed message from a
/// peer cannot revert an object. Two caches compare digests and exchange only
/// what differs.

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace filbertrack {

/// A stored value and its version. The store only increases the version of an
/// object. Version 0 means that the object does not exist.
struct StoredObject {
  std::string key;
  std::string value;
  uint64_t version = 0;
};

/// Key and version of an object, for comparing caches.
struct ObjectVersion {
  std::string key;
  uint64_t version = 0;
};

class ObjectCache {
 public:
  /// Stores `object` if it is newer than the cached version; returns whether it
  /// was.
  bool Offer(const StoredObject& object);

  /// Returns null if the object is not cached.
  const StoredObject* Find(std::string_view key) const;

  /// Returns all cached objects whose key starts with `prefix`, sorted by key.
  std::vector<const StoredObject*> List(std::string_view prefix) const;

  void Forget(std::string_view key);

  /// Returns a digest of all keys and versions. Equal caches have equal
  /// digests.
  uint64_t Digest() const { return m_digest; }

  std::vector<ObjectVersion> Inventory() const;

  /// Returns the keys in `inventory` whose version is newer than the cached
  /// one.
  std::vector<std::string> Missing(
      const std::vector<ObjectVersion>& inventory) const;

  size_t size() const { return m_objects.size(); }

 private:
  std::map<std::string, StoredObject, std::less<>> m_objects;
  uint64_t m_digest = 0;
};

}  // namespace filbertrack

#pragma once

/// The objects of the platform's object API as one process knows them. The
/// store orders the versions of each object; this keeps the highest one seen,
/// from whomever it came, so that a stale read or a late peer takes nothing
/// back. Two caches compare digests and exchange only what differs.

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace filbertrack {

/// A stored value with the store's version of it; versions of one object only
/// grow. Version 0 means that the object does not exist.
struct StoredObject {
  std::string key;
  std::string value;
  uint64_t version = 0;
};

/// Key and version, for comparing caches.
struct ObjectVersion {
  std::string key;
  uint64_t version = 0;
};

class ObjectCache {
 public:
  /// Keeps `object` if it is newer than what is known; true if it was.
  bool Offer(const StoredObject& object);

  /// Null where the object is not known.
  const StoredObject* Find(std::string_view key) const;

  /// All known objects whose key starts with `prefix`, in the order of keys.
  std::vector<const StoredObject*> List(std::string_view prefix) const;

  void Forget(std::string_view key);

  /// Equal for equal caches.
  uint64_t Digest() const { return m_digest; }

  std::vector<ObjectVersion> Inventory() const;

  /// What of `inventory` is newer than what is known here.
  std::vector<std::string> Missing(
      const std::vector<ObjectVersion>& inventory) const;

  size_t size() const { return m_objects.size(); }

 private:
  std::map<std::string, StoredObject, std::less<>> m_objects;
  uint64_t m_digest = 0;
};

}  // namespace filbertrack

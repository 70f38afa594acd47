#include "filbertrack/state_cache.h"

#include "filbertrack/base_hash.h"

namespace filbertrack {

namespace {

/// Digest of one object. The cache's digest combines them by exclusive or, so
/// that a change updates it without a pass over the whole cache.
uint64_t ObjectDigest(std::string_view key, uint64_t version) {
  return Hash64(key, version);
}

}  // namespace

bool ObjectCache::Offer(const StoredObject& object) {
  const auto known = m_objects.find(object.key);
  if (known == m_objects.end()) {
    m_objects.emplace(object.key, object);
    m_digest ^= ObjectDigest(object.key, object.version);
    return true;
  }
  if (object.version <= known->second.version) {
    return false;
  }
  m_digest ^= ObjectDigest(object.key, known->second.version);
  m_digest ^= ObjectDigest(object.key, object.version);
  known->second = object;
  return true;
}

const StoredObject* ObjectCache::Find(std::string_view key) const {
  const auto known = m_objects.find(key);
  return known == m_objects.end() ? nullptr : &known->second;
}

std::vector<const StoredObject*> ObjectCache::List(
    std::string_view prefix) const {
  std::vector<const StoredObject*> objects;
  for (auto known = m_objects.lower_bound(prefix);
       known != m_objects.end() && known->first.starts_with(prefix); ++known) {
    objects.push_back(&known->second);
  }
  return objects;
}

void ObjectCache::Forget(std::string_view key) {
  const auto known = m_objects.find(key);
  if (known != m_objects.end()) {
    m_digest ^= ObjectDigest(key, known->second.version);
    m_objects.erase(known);
  }
}

std::vector<ObjectVersion> ObjectCache::Inventory() const {
  std::vector<ObjectVersion> inventory;
  inventory.reserve(m_objects.size());
  for (const auto& [key, object] : m_objects) {
    inventory.push_back({key, object.version});
  }
  return inventory;
}

std::vector<std::string> ObjectCache::Missing(
    const std::vector<ObjectVersion>& inventory) const {
  std::vector<std::string> missing;
  for (const ObjectVersion& offered : inventory) {
    const StoredObject* known = Find(offered.key);
    if (known == nullptr || known->version < offered.version) {
      missing.push_back(offered.key);
    }
  }
  return missing;
}

}  // namespace filbertrack

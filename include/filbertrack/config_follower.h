#pragma once

/// Follows the configuration root object in the cache and adopts each newer
/// generation. Objects that the cache lacks are fetched from the store.

#include <functional>
#include <set>
#include <string>

#include "filbertrack/config_generation.h"
#include "filbertrack/config_resources.h"
#include "filbertrack/store_client.h"

namespace filbertrack {

class ConfigFollower {
 public:
  /// `on_adopted` is called after a newer generation has come into force.
  ConfigFollower(StoreClient& store,
                 ObjectCache& cache,
                 std::function<void()> on_adopted);

  /// Must be called after every change of the cache. Drops obsolete objects
  /// from the cache, then adopts the generation that the root names or starts
  /// to fetch the next missing object. If the stored objects are inconsistent
  /// or the resources are invalid, logs `config-refused` and keeps the present
  /// set.
  void Follow();

  const ConfigSet& set() const { return m_set; }
  const Resources& resources() const { return m_resources; }

 private:
  void Fetch(const std::string& key);
  void Adopt(ConfigSet set);

  StoreClient& m_store;
  ObjectCache& m_cache;
  std::function<void()> m_on_adopted;
  std::set<std::string> m_fetching;
  ConfigSet m_set;
  Resources m_resources;
};

}  // namespace filbertrack

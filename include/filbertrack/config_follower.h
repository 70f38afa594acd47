#pragma once

/// Brings a process's configuration to the generation that the cached root
/// names, fetching what the cache lacks from the store.

#include <functional>
#include <set>
#include <string>

#include "filbertrack/config_generation.h"
#include "filbertrack/config_resources.h"
#include "filbertrack/store_client.h"

namespace filbertrack {

class ConfigFollower {
 public:
  ConfigFollower(StoreClient& store,
                 ObjectCache& cache,
                 std::function<void()> on_adopted);

  /// To be called whenever the cache has changed.
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

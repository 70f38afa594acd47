#include "filbertrack/config_follower.h"

#include "filbertrack/log.h"

namespace filbertrack {

ConfigFollower::ConfigFollower(StoreClient& store,
                               ObjectCache& cache,
                               std::function<void()> on_adopted)
    : m_store(store), m_cache(cache), m_on_adopted(std::move(on_adopted)) {}

void ConfigFollower::Follow() {
  for (const std::string& key : ObsoleteConfigKeys(m_cache)) {
    m_cache.Forget(key);
  }
  FollowStep step = FollowConfig(m_cache, m_set);
  if (const auto* need = std::get_if<NeedObject>(&step)) {
    Fetch(need->key);
  } else if (const auto* corrupt = std::get_if<CorruptConfig>(&step)) {
    Log(LogLevel::kError, "config-refused", {{"why", corrupt->message}});
  } else if (auto* adopt = std::get_if<AdoptSet>(&step)) {
    Adopt(std::move(adopt->set));
  }
}

void ConfigFollower::Fetch(const std::string& key) {
  if (!m_fetching.insert(key).second) {
    return;
  }
  m_store.Get(key, [this](const StoreResponse& response) {
    m_fetching.erase(response.object.key);
    if (response.status == StoreStatus::kOk) {
      m_cache.Offer(response.object);
      Follow();
    }
  });
}

void ConfigFollower::Adopt(ConfigSet set) {
  Result<Resources> resources = ParseResources(set.resources);
  if (!resources) {
    // Operators' commands validate a change before they write it, so this set
    // was written by a newer version of the program. The present set stays in
    // force, and the status page shows its generation.
    Log(LogLevel::kError, "config-refused",
        {{"generation", set.generation}, {"why", resources.error().message}});
    return;
  }
  m_set = std::move(set);
  m_resources = std::move(*resources);
  Log(LogLevel::kInfo, "config-in-force", {{"generation", m_set.generation}});
  m_on_adopted();
}

}  // namespace filbertrack

#include "filbertrack/store_watch.h"

#include <algorithm>

namespace filbertrack {

namespace {

constexpr Duration kMinBackoff = Milliseconds(100);
constexpr Duration kMaxBackoff = Seconds(5);

}  // namespace

StoreWatch::StoreWatch(EventLoop& loop,
                       StoreClient& store,
                       ObjectCache& cache,
                       std::function<void()> on_change)
    : m_loop(loop),
      m_store(store),
      m_cache(cache),
      m_on_change(std::move(on_change)) {}

void StoreWatch::SetPrefixes(const std::vector<std::string>& prefixes) {
  std::erase_if(m_prefixes, [&prefixes](const auto& watched) {
    return std::find(prefixes.begin(), prefixes.end(), watched->prefix) ==
           prefixes.end();
  });
  for (const std::string& prefix : prefixes) {
    const bool known = std::any_of(
        m_prefixes.begin(), m_prefixes.end(),
        [&prefix](const auto& watched) { return watched->prefix == prefix; });
    if (!known) {
      m_prefixes.push_back(std::make_shared<WatchedPrefix>());
      m_prefixes.back()->prefix = prefix;
      StartWatch(m_prefixes.back());
    }
  }
}

bool StoreWatch::healthy() const {
  return std::all_of(m_prefixes.begin(), m_prefixes.end(),
                     [](const auto& prefix) { return prefix->healthy; });
}

void StoreWatch::StartWatch(const std::shared_ptr<WatchedPrefix>& prefix) {
  m_store.Watch(
      prefix->prefix, prefix->revision,
      [this, weak = std::weak_ptr<WatchedPrefix>(prefix)](
          const WatchResponse& response) {
        if (const std::shared_ptr<WatchedPrefix> watched = weak.lock()) {
          OnResponse(watched, response);
        }
      });
}

void StoreWatch::OnResponse(const std::shared_ptr<WatchedPrefix>& prefix,
                            const WatchResponse& response) {
  prefix->healthy = response.status == StoreStatus::kOk;
  if (!prefix->healthy) {
    prefix->backoff = std::clamp(prefix->backoff * 2, kMinBackoff, kMaxBackoff);
    prefix->timer = m_loop.After(
        prefix->backoff, [this, weak = std::weak_ptr<WatchedPrefix>(prefix)] {
          if (const std::shared_ptr<WatchedPrefix> watched = weak.lock()) {
            StartWatch(watched);
          }
        });
    return;
  }
  prefix->backoff = Duration(0);
  prefix->revision = response.revision;
  bool changed = false;
  for (const StoredObject& object : response.objects) {
    changed = m_cache.Offer(object) || changed;
  }
  StartWatch(prefix);
  if (changed) {
    m_on_change();
  }
}

}  // namespace filbertrack

#include "filbertrack/store_watch.h"

#include <algorithm>

namespace filbertrack {

namespace {

constexpr Duration kFirstBackoff = Milliseconds(100);
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
      m_prefixes.push_back(std::make_shared<Prefix>());
      m_prefixes.back()->prefix = prefix;
      Ask(m_prefixes.back());
    }
  }
}

bool StoreWatch::healthy() const {
  return std::all_of(m_prefixes.begin(), m_prefixes.end(),
                     [](const auto& prefix) { return prefix->healthy; });
}

void StoreWatch::Ask(const std::shared_ptr<Prefix>& prefix) {
  m_store.Watch(
      prefix->prefix, prefix->revision,
      [this, weak = std::weak_ptr<Prefix>(prefix)](const WatchAnswer& answer) {
        if (const std::shared_ptr<Prefix> watched = weak.lock()) {
          OnAnswer(watched, answer);
        }
      });
}

void StoreWatch::OnAnswer(const std::shared_ptr<Prefix>& prefix,
                          const WatchAnswer& answer) {
  prefix->healthy = answer.status == StoreStatus::kOk;
  if (!prefix->healthy) {
    prefix->backoff =
        std::clamp(prefix->backoff * 2, kFirstBackoff, kMaxBackoff);
    prefix->timer = m_loop.After(
        prefix->backoff, [this, weak = std::weak_ptr<Prefix>(prefix)] {
          if (const std::shared_ptr<Prefix> watched = weak.lock()) {
            Ask(watched);
          }
        });
    return;
  }
  prefix->backoff = Duration(0);
  prefix->revision = answer.revision;
  bool changed = false;
  for (const StoredObject& object : answer.objects) {
    changed = m_cache.Offer(object) || changed;
  }
  Ask(prefix);
  if (changed) {
    m_on_change();
  }
}

}  // namespace filbertrack

#pragma once

/// Keeps a cache in step with the object API by watching prefixes. While the
/// store does not answer, the cache stays as it is and the watch asks again.

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "filbertrack/state_cache.h"
#include "filbertrack/store_client.h"

namespace filbertrack {

class StoreWatch {
 public:
  StoreWatch(EventLoop& loop,
             StoreClient& store,
             ObjectCache& cache,
             std::function<void()> on_change);

  /// Watches these prefixes from now on; empty: none.
  void SetPrefixes(const std::vector<std::string>& prefixes);

  /// Whether the last answer of each watch was one.
  bool healthy() const;

 private:
  struct WatchedPrefix {
    std::string prefix;
    uint64_t revision = 0;
    Duration backoff{0};
    bool healthy = false;
    std::unique_ptr<Timer> timer;
  };

  void StartWatch(const std::shared_ptr<WatchedPrefix>& prefix);
  void OnResponse(const std::shared_ptr<WatchedPrefix>& prefix,
                  const WatchResponse& response);

  EventLoop& m_loop;
  StoreClient& m_store;
  ObjectCache& m_cache;
  std::function<void()> m_on_change;
  std::vector<std::shared_ptr<WatchedPrefix>> m_prefixes;
};

}  // namespace filbertrack

#pragma once

/// Updates a cache by watching prefixes of the object API. While the store does
/// not respond, the cache stays unchanged and the watch is retried with
/// exponential backoff.

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

  /// Replaces the watched prefixes; an empty list stops watching.
  void SetPrefixes(const std::vector<std::string>& prefixes);

  /// Returns whether the last call for each watched prefix succeeded; true if
  /// none is watched.
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

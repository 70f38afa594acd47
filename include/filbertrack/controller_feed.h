#pragma once

/// Source of the store's objects for a controller. It queries the gateway of
/// the same entry host as an observer, so that the number of watches at the
/// store does not grow with the number of controllers. While the gateway does
/// not answer, the controller watches the store itself, so that a fault of the
/// gateway does not stop it.

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "filbertrack/peer_link.h"
#include "filbertrack/settings.h"
#include "filbertrack/store_watch.h"

namespace filbertrack {

class ControllerFeed {
 public:
  ControllerFeed(EventLoop& loop,
                 const Settings& settings,
                 StoreClient& store,
                 ObjectCache& cache,
                 std::function<void()> on_change);
  ~ControllerFeed();

 private:
  void Tick();
  void RequestObjects();
  void OnReply(const std::string* payload);

  ObjectCache& m_cache;
  std::function<void()> m_on_change;
  StoreWatch m_watch;
  std::unique_ptr<PeerClient> m_gateway;
  std::vector<std::string> m_wanted_keys;
  TimePoint m_last_reply;
  std::unique_ptr<Timer> m_timer;
};

}  // namespace filbertrack

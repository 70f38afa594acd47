#pragma once

/// Checks whether this entry host reaches the backend servers: feeds the events
/// of its connections to a ReachMonitor and probes servers when that asks for
/// it. Without requests in flight it does nothing.

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "filbertrack/base_address.h"
#include "filbertrack/event_loop.h"
#include "filbertrack/http_client.h"
#include "filbertrack/net_stream.h"
#include "filbertrack/reach_monitor.h"

namespace filbertrack {

class EntryReach : public HttpClientObserver {
 public:
  /// Returns the addresses of all registered backend servers.
  using Servers = std::function<std::vector<Address>()>;

  struct Events {
    /// A check was started, so the servers may be unreachable.
    std::function<void()> suspected;
    /// reachable() changed.
    std::function<void()> changed;
  };

  /// Observes `client`, which must outlive this object.
  EntryReach(EventLoop& loop,
             ReachPolicy policy,
             HttpClient& client,
             uint64_t seed,
             Servers servers,
             Events events);
  ~EntryReach() override;

  /// Tells how many requests are in flight on this host.
  void SetRequests(size_t requests);

  const ReachMonitor& monitor() const { return m_monitor; }
  /// Number of connection probes since the start.
  uint64_t probes() const { return m_probes_sent; }
  /// How much later than due the event loop ran its timers lately.
  Duration lateness() const { return m_lateness; }

  // HttpClientObserver.
  void OnConnected(const Address& address) override;
  void OnBytes(const Address& address) override;
  void OnConnectionFailed(const Address& address) override;

 private:
  void Tick();
  /// Starts a check if one is due.
  void CheckIfDue();
  void StartProbe(const Address& server);
  void OnProbed(bool accepted);
  void EndCheck();
  /// Up to `count` servers, spread over all of them.
  std::vector<Address> Sample(size_t count);
  /// Runs the timer while there is something to observe.
  void UpdateTimer();

  EventLoop& m_loop;
  ReachMonitor m_monitor;
  HttpClient& m_client;
  std::mt19937_64 m_random;
  Servers m_servers;
  Events m_events;
  size_t m_requests = 0;
  std::unique_ptr<Timer> m_tick_timer;
  TimePoint m_ticked_at;
  Duration m_lateness{0};

  // The current check.
  std::vector<std::shared_ptr<TcpStream>> m_probes;
  ReachCheck m_check;
  size_t m_pending = 0;
  TimePoint m_check_began;
  std::unique_ptr<Timer> m_check_timer;
  uint64_t m_probes_sent = 0;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace filbertrack

#pragma once

/// Checks whether this entry host reaches the backend servers: feeds the events
/// of its connections to a ReachMonitor, for all servers together, and to a
/// ServerReach, for single ones, and probes servers when these ask for it.
/// Without requests in flight it does nothing.

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "filbertrack/base_address.h"
#include "filbertrack/event_loop.h"
#include "filbertrack/http_client.h"
#include "filbertrack/net_stream.h"
#include "filbertrack/reach_monitor.h"
#include "filbertrack/reach_servers.h"

namespace filbertrack {

class EntryReach : public HttpClientObserver {
 public:
  /// Returns the addresses of all registered backend servers.
  using Servers = std::function<std::vector<Address>()>;

  struct Events {
    /// A check was started, or a server is unreachable: requests may have to be
    /// forwarded.
    std::function<void()> suspected;
    /// ReachMonitor::reachable() changed.
    std::function<void()> changed;
    /// A single server became unreachable.
    std::function<void(const Address& server)> server_lost;
  };

  /// Observes `client`, which must outlive this object.
  EntryReach(EventLoop& loop,
             HttpClient& client,
             uint64_t seed,
             Servers servers,
             Events events);
  ~EntryReach() override;

  /// Tells how many requests are in flight on this host.
  void SetRequests(size_t requests);

  const ReachMonitor& monitor() const { return m_monitor; }
  /// Servers that accept no connections from this host, while most do.
  const std::set<Address>& unreachable_servers() const {
    return m_server_reach.unreachable();
  }
  /// Number of connection probes since the start.
  uint64_t probes() const { return m_probes_sent; }
  /// How much later than due the event loop ran its timers lately.
  Duration lateness() const { return m_lateness; }

  // HttpClientObserver.
  void OnConnected(const Address& address) override;
  void OnBytes(const Address& address) override;
  void OnConnectionFailed(const Address& address) override;

 private:
  struct Probe {
    std::shared_ptr<TcpStream> stream;
    Address server;
    /// One of the sample by which a check decides about all servers.
    bool is_sample = false;
    TimePoint started;
  };

  void Tick();
  /// Probes a server that may be unreachable, and starts a check of all servers
  /// if one is due.
  void Suspect(const Address& server);
  void CheckIfDue();
  void ProbeUnreachable();
  bool IsProbed(const Address& server) const;
  void StartProbe(const Address& server, bool is_sample);
  /// `decides` is false if the outcome is not known, as this process was late.
  void EndProbe(uint64_t id, bool accepted, bool decides);
  void ExpireProbe(uint64_t id);
  void EndCheck();
  void RecordServer(const Address& server, bool accepted);
  /// Up to `count` servers, spread over all of them.
  std::vector<Address> Sample(size_t count);
  /// Runs the timer while there is something to observe.
  void UpdateTimer();

  EventLoop& m_loop;
  ReachMonitor m_monitor;
  ServerReach m_server_reach;
  HttpClient& m_client;
  std::mt19937_64 m_random;
  Servers m_servers;
  Events m_events;
  size_t m_requests = 0;
  std::unique_ptr<Timer> m_tick_timer;
  TimePoint m_ticked_at;
  uint64_t m_ticks = 0;
  Duration m_lateness{0};

  std::map<uint64_t, Probe> m_probes;
  uint64_t m_probes_sent = 0;
  // The current check of all servers.
  ReachCheck m_check;
  size_t m_pending_samples = 0;
  TimePoint m_check_began;
  /// Outcomes for single servers, which hold if the check finds that the
  /// servers as a whole are reachable.
  std::vector<std::pair<Address, bool>> m_outcomes;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace filbertrack

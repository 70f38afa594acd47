#pragma once

/// The request path of one entry host.

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

#include "filbertrack/admission_limits.h"
#include "filbertrack/admission_queue.h"
#include "filbertrack/config_follower.h"
#include "filbertrack/fleet_view.h"
#include "filbertrack/gateway_peers.h"
#include "filbertrack/gateway_relay.h"
#include "filbertrack/member_watch.h"
#include "filbertrack/metrics.h"
#include "filbertrack/request_retry_budget.h"
#include "filbertrack/settings.h"
#include "filbertrack/store_watch.h"

namespace filbertrack {

SettingsSchema GatewaySchema();

class Gateway : public RelayHost {
 public:
  Gateway(EventLoop& loop, const Settings& settings);
  ~Gateway() override;

  /// Listens on the addresses of the settings.
  Result<bool> Listen();

  const Address& caller_address() const { return m_caller_address; }
  const Address& admin_address() const { return m_admin_address; }
  const Address& peer_address() const { return m_peer_address; }

  /// Goes unready, serves on for the grace time and until nothing is in
  /// flight, then stops the loop.
  void Drain();

  void Seek(uint64_t relay, bool is_retry) override;
  void CancelSeek(uint64_t relay) override;
  TargetCheck Check(const AttemptTarget& target,
                    TimePoint arrived,
                    TimePoint now) override;
  void AttemptStarted(uint64_t relay, const AttemptTarget& target) override;
  void FirstToken(const AttemptTarget& target, Duration measured) override;
  void AttemptEnded(uint64_t relay,
                    const AttemptTarget& target,
                    bool failed,
                    Duration measured) override;
  void Ended(uint64_t relay, RelayEnd end) override;

 private:
  void OnCaller(const std::shared_ptr<HttpExchange>& exchange);
  void OnAdmin(HttpExchange& exchange);
  std::string StatusText() const;
  bool IsReady() const;

  void OnObjects();
  void OnConfig();
  /// Other entry hosts came or went: who watches what may change.
  void OnMembership();
  void RefreshRates();
  void OnEvidence(const std::string& host, const MemberEvidence& evidence);
  void WatchMembers();
  void NotifyGroup(const std::string& group);
  /// Tells open requests that evidence about their targets changed.
  void NotifyRelays(std::span<const uint64_t> ids);

  /// Starts a relay whose request has been admitted.
  void StartRelay(CallerRequest request,
                  std::string request_id,
                  std::shared_ptr<HttpExchange> exchange);
  Relay* FindRelay(uint64_t id);
  RouteQuery QueryFor(const Relay& relay) const;
  /// Gives the relay a target if there is one now.
  bool TryRoute(Relay& relay, RouteDenial* denial);
  void Enqueue(Relay& relay, const RouteDenial& denial);
  void DrainQueues();
  void CheckDrained();

  EventLoop& m_loop;
  Settings m_settings;
  std::string m_node;
  ObjectCache m_cache;
  StoreClient m_store;
  std::unique_ptr<StoreWatch> m_watch;
  ConfigFollower m_config;
  FleetView m_fleet;
  MemberWatch m_members;
  HttpClient m_upstream;
  Metrics m_metrics;
  AdmissionLimits m_limits;
  EntitlementParts m_parts;
  std::unique_ptr<GatewayPeers> m_peers;
  RetryBudget m_retries;
  RoutePolicy m_route_policy;
  RouteLimits m_route_limits;
  EvidenceMode m_evidence_mode = EvidenceMode::kBound;
  IntakePolicy m_intake;
  RequestPolicy m_request_policy;
  std::mt19937_64 m_random;

  uint64_t m_last_relay = 0;
  std::map<uint64_t, std::unique_ptr<Relay>> m_relays;
  std::map<std::string, std::set<uint64_t>, std::less<>> m_relays_of_target;
  std::map<std::string, FairQueue, std::less<>> m_queues;
  std::map<uint64_t, std::string> m_queue_of_relay;

  std::unique_ptr<HttpServer> m_caller_server;
  std::unique_ptr<HttpServer> m_admin_server;
  Address m_caller_address;
  Address m_admin_address;
  Address m_peer_address;
  std::unique_ptr<Timer> m_rate_timer;
  std::unique_ptr<Timer> m_queue_timer;
  std::unique_ptr<Timer> m_drain_timer;
  bool m_draining = false;
};

}  // namespace filbertrack

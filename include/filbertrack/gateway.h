#pragma once

/// Gateway of one entry host: accepts callers' requests, admits them and relays
/// them to serving groups and backend servers.

#include <memory>
#include <string>

#include "filbertrack/admission_limits.h"
#include "filbertrack/admission_parts.h"
#include "filbertrack/config_follower.h"
#include "filbertrack/fleet_view.h"
#include "filbertrack/gateway_keys.h"
#include "filbertrack/gateway_peers.h"
#include "filbertrack/gateway_router.h"
#include "filbertrack/member_watch.h"
#include "filbertrack/metrics.h"
#include "filbertrack/settings.h"
#include "filbertrack/store_watch.h"

namespace filbertrack {

SettingsSchema GatewaySchema();

class Gateway {
 public:
  Gateway(EventLoop& loop, const Settings& settings);
  ~Gateway();

  /// Listens on the configured addresses for callers, administration and peers.
  /// Returns the error of the first one that cannot be used.
  Result<bool> Listen();

  const Address& caller_address() const { return m_caller_address; }
  const Address& admin_address() const { return m_admin_address; }
  const Address& peer_address() const { return m_peer_address; }

  /// Reports unready, keeps serving for the grace time and until no request is
  /// in flight, then stops the loop.
  void Drain();

 private:
  void OnCallerRequest(const std::shared_ptr<HttpExchange>& exchange);
  void OnAdminRequest(HttpExchange& exchange);
  std::string StatusText() const;
  bool IsReady() const;

  void OnObjects();
  void OnConfig();
  /// Called when the set of live entry hosts changes. Updates which prefixes of
  /// the store and which group members this host watches.
  void OnMembership();
  void RefreshRates();
  void OnEvidence(const std::string& host, const MemberEvidence& evidence);
  void WatchMembers();
  /// Starts a request with an idempotency key. It runs only after its key has
  /// been claimed.
  void StartKeyed(CallerRequest request,
                  const std::string& request_id,
                  const std::shared_ptr<HttpExchange>& exchange);
  void RunClaimed(CallerRequest request,
                  const std::string& request_id,
                  const std::shared_ptr<HttpExchange>& exchange,
                  const KeyClaim& claim);
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
  Metrics m_metrics;
  AdmissionLimits m_limits;
  EntitlementParts m_parts;
  IntakePolicy m_intake;
  GatewayRouter m_router;
  std::unique_ptr<GatewayPeers> m_peers;
  std::unique_ptr<GatewayKeys> m_keys;

  std::unique_ptr<HttpServer> m_caller_server;
  std::unique_ptr<HttpServer> m_admin_server;
  Address m_caller_address;
  Address m_admin_address;
  Address m_peer_address;
  std::unique_ptr<Timer> m_rate_timer;
  std::unique_ptr<Timer> m_drain_timer;
  bool m_draining = false;
};

}  // namespace filbertrack

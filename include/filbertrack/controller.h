#pragma once

/// Control loop of one entry host. Acquires the leases of fabric domains that
/// no controller holds and reconciles the groups of its domains with the
/// declared resources. All decisions are stored in the domain objects, so that
/// any other controller can continue.

#include <map>
#include <memory>
#include <string>

#include "filbertrack/config_follower.h"
#include "filbertrack/controller_feed.h"
#include "filbertrack/groups_assign.h"
#include "filbertrack/groups_lease.h"
#include "filbertrack/groups_plan.h"
#include "filbertrack/http_client.h"
#include "filbertrack/http_server.h"
#include "filbertrack/member_watch.h"
#include "filbertrack/settings.h"
#include "filbertrack/store_client.h"

namespace filbertrack {

SettingsSchema ControllerSchema();

class Controller {
 public:
  Controller(EventLoop& loop, const Settings& settings);
  ~Controller();

  Result<Address> Listen();

  /// Releases the leases, so that successors need not wait for their expiry,
  /// then stops the loop. Waits at most 2 s for the writes.
  void Stop();

 private:
  struct Domain;

  void OnObjects();
  void ReadDomains();
  void ReadState(Domain& domain, const StoredObject& object);
  void WatchHosts();
  void RunPass();
  void ProcessDomain(Domain& domain);
  void ReconcileDomain(Domain& domain, TimePoint now);

  bool MayActOn(const Domain& domain) const;
  bool HoldsAnyLease() const;
  void Heartbeat();
  void OnHeartbeat(uint64_t version, TimePoint began, bool written);
  Duration RankDelay(const Domain& domain) const;
  void TryAcquireLease(Domain& domain);
  void ReadHolderHeartbeat(Domain& domain);
  void AcquireLease(Domain& domain);

  void Write(Domain& domain, const DomainState& next);
  void OnWritten(const std::string& name,
                 const std::string& text,
                 uint64_t term,
                 const StoreResponse& response);
  /// Applies the stored state of a domain. If it equals `own_text`, this
  /// controller's write took effect, and the domain counts as verified in the
  /// lease term `term`.
  void ApplyStoredState(const std::string& name,
                        const StoredObject& object,
                        const std::string& own_text,
                        uint64_t term);
  static void LogGroups(const Domain& domain);
  void SendOrders(Domain& domain, const std::vector<MemberOrder>& orders);
  void SendOrder(Domain& domain, const std::string& host, std::string body);
  std::string StatusText() const;

  EventLoop& m_loop;
  Settings m_settings;
  std::string m_node;
  std::string m_incarnation;
  LeaseKeeper m_keeper;
  uint64_t m_heartbeat_version = 0;
  uint64_t m_heartbeats = 0;
  bool m_heartbeat_writing = false;
  LeasePolicy m_lease_policy;
  PlanPolicy m_plan_policy;
  ObjectCache m_cache;
  StoreClient m_store;
  std::unique_ptr<ControllerFeed> m_feed;
  ConfigFollower m_config;
  MemberWatch m_members;
  HttpClient m_http;
  std::map<std::string, std::unique_ptr<Domain>, std::less<>> m_domains;
  std::unique_ptr<Timer> m_pass_timer;
  std::unique_ptr<HttpServer> m_admin_server;
  std::unique_ptr<Timer> m_stop_timer;
  bool m_stopping = false;
};

}  // namespace filbertrack

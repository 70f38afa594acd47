#pragma once

/// The request path of one entry host: admits callers' requests according to
/// the active configuration, maintains the list of targets, and owns the relays
/// of the requests in flight.

#include <memory>
#include <span>
#include <string>
#include <unordered_map>

#include "filbertrack/change_log.h"
#include "filbertrack/dispatch_selector.h"
#include "filbertrack/entry_backpressure.h"
#include "filbertrack/entry_metrics.h"
#include "filbertrack/entry_placer.h"
#include "filbertrack/entry_poison.h"
#include "filbertrack/entry_ports.h"
#include "filbertrack/entry_reach.h"
#include "filbertrack/entry_relay.h"
#include "filbertrack/entry_route_times.h"
#include "filbertrack/entry_targets.h"
#include "filbertrack/entry_view.h"
#include "filbertrack/gossip_fleet.h"
#include "filbertrack/gossip_message.h"
#include "filbertrack/replica_plan.h"
#include "filbertrack/request_held_answers.h"
#include "filbertrack/server_directory.h"
#include "filbertrack/settings.h"
#include "filbertrack/site_evacuations.h"
#include "filbertrack/site_regions.h"
#include "filbertrack/store_absence.h"

namespace filbertrack {

SettingsSchema EntrySchema();

/// Whether the key `mechanism` in section [mechanisms] is "yes".
bool IsEnabled(const Settings& settings, std::string_view mechanism);

/// Policies derived from the settings.
CoarseGroups CoarseGroupsOf(const Settings& settings);
DispatchPolicy DispatchPolicyOf(const Settings& settings);
RetryBudgetPolicy RetryPolicyOf(const Settings& settings);
HeldAnswersPolicy HeldPolicyOf(const Settings& settings);

/// One entry host's share of the retries that the whole fleet may make beyond
/// the retry ratio (`retries.slack`).
double MaxSavedRetries(const Settings& settings, size_t entry_hosts);

/// Work that an entry host still has after the stop signal.
struct DrainState {
  /// Time since the stop signal.
  Duration since{0};
  size_t requests = 0;
  /// Connections with response bytes that the caller has not read.
  size_t unsent = 0;
};

/// Whether the process may exit now: from `min_time` after the stop signal as
/// soon as nothing is in flight, and unconditionally from `max_time` on.
bool MayStop(const DrainState& state, Duration min_time, Duration max_time);

class EntryHost : public SiteListener {
 public:
  EntryHost(EventLoop& loop,
            const Settings& settings,
            const CallHeaderCodec& header_codec,
            EngineClient& engines);
  ~EntryHost() override;

  /// Starts listening on the caller and readiness addresses of the settings.
  /// Fails if an address cannot be bound.
  Result<bool> Listen();

  const Address& caller_address() const { return m_caller_address; }
  const Address& ready_address() const { return m_ready_address; }

  /// Applies the settings that can change at run time: the retry budget and the
  /// grace period. Listen addresses require a restart.
  void Reload(const Settings& settings);

  /// Reports not ready, keeps serving until the platform's load balancer has
  /// noticed and no request is in flight, then stops the event loop. Requests
  /// still running shortly before the end of the grace period are refused, or
  /// broken off if their answer has begun.
  void Drain();

  /// Whether the load balancer should send callers here: the configuration and
  /// the server list are known, and the host is not draining.
  bool IsReady() const;

  // SiteListener.
  void OnCatalog(std::shared_ptr<const Catalog> catalog,
                 std::string text) override;
  void OnServers(ServerChanges changes) override;
  void OnEvacuations(SiteEvacuations::DataCentres data_centres,
                     uint64_t revision) override;
  void OnStoreLost(Duration unanswered) override;
  void OnStoreReturned() override;
  void OnStoreAnswered() override;

  /// State for peers: store revisions, evacuations, and this host's own load on
  /// each target.
  GossipState OwnGossipState() const;
  bool store_away() const { return m_outage_detector.is_unreachable(); }
  /// Merges the evacuations that a peer reports.
  void OnPeerEvacuations(const EvacuationUpdate& update);
  const SiteEvacuations& evacuations() const { return m_evacuations; }
  /// A peer reported that the store came back at `returned`.
  void OnPeerSawStoreReturn(std::string_view peer, TimePoint returned);
  /// A peer reported a period in which the store served some host.
  void OnPeerStoreService(const StoreService& service);
  /// The active configuration, compressed for peers; empty if there is none.
  const std::string& compressed_catalog();
  const ChangeLog& server_log() const { return m_server_log; }

  /// Sets the summed load of the other entry hosts that reported;
  /// `unreported_hosts` more exist but have not reported yet.
  void OnRemoteLoads(const FleetGossip::Loads& heard, size_t unreported_hosts);

  /// Highest ratio of demand to capacity of any model or plain service.
  double MaxPressure(TimePoint now) const {
    return m_selector.MaxPressure(now);
  }

  /// Sets the host's access to placement; null: none. It must outlive the host
  /// or be removed before it is destroyed.
  void SetPlacer(RequestPlacer* placer) { m_context.placer = placer; }
  const Settings& settings() const { return m_settings; }
  /// Number of regions that the data centres are in.
  size_t CountRegions() const;
  /// The targets of requests, with those in evacuated data centres.
  std::vector<DispatchTarget> Targets() const;

  /// Prefers targets of the local data centre, whose load reports are fresher.
  /// Has no effect if the setting `mechanisms.prefers_near` is off.
  void SetPrefersLocal(bool prefers) {
    m_context.local_data_centre =
        prefers && IsEnabled(m_settings, "prefers_near")
            ? m_settings.Text("node", "data_centre")
            : std::string();
  }

  /// Whether this host's view of the site may be used.
  EntryView& view() { return m_view; }

  const ServerDirectory& directory() const { return m_directory; }
  /// The head of the group confirmed that it has left it.
  void OnHeadLeft(const GroupId& group) { m_directory.OnHeadLeft(group); }
  const Catalog* catalog() const { return m_catalog.get(); }
  /// Entry hosts in the fleet, with this one and those that have not reported.
  size_t entry_hosts() const { return m_context.entry_hosts; }
  /// Whether a caller has sent a request since the process started.
  bool traffic_seen() const { return m_traffic_seen; }

  /// Ratio of demand to the capacity of its groups, for each model of the
  /// service.
  std::map<std::string, double, std::less<>> Pressure(
      const ServiceProfile& service) const;

  EntryMetrics& metrics() { return m_metrics; }

  /// Bytes buffered for callers: unread responses and request bodies.
  size_t HeldBytes() const;
  /// Bytes of responses that are collected before they are passed on.
  size_t CollectedBytes() const { return m_context.collected.bytes(); }
  /// Connections closed because the caller did not read its response.
  uint64_t dropped_callers() const { return m_caller_server->unread_dropped(); }

  /// Detection of poison requests, which crash the servers that run them.
  EntryPoison& poison() { return m_poison; }
  const EntryPoison& poison() const { return m_poison; }
  /// Blocks newly identified poison requests and refuses the copies of them
  /// that are still waiting for an answer.
  void BlockPoisonRequests();

  /// Whether this host reaches the backend servers.
  const ReachMonitor& reach() const { return m_reach.monitor(); }

  const std::set<Address>& unreachable_servers() const {
    return m_reach.unreachable_servers();
  }

  /// Limits and back-offs that servers request in their responses.
  EntryBackpressure& backpressure() { return m_backpressure; }

  /// Starts accepting requests that other entry hosts forward to this one.
  /// `secret` is the shared secret of the entry hosts.
  Result<Address> ListenForForwarded(const Address& address,
                                     const std::string& secret);
  /// How this host takes forwarded requests; nullopt if it does not listen.
  std::optional<ForwardOffer> OwnForwardOffer() const;
  /// A peer answered how it takes forwarded requests.
  void OnPeerForwardOffer(const FleetHost& peer,
                          const std::string& peer_address,
                          const ForwardOffer& offer);
  /// Whether the offers of the peers are needed, as this host may not reach the
  /// backend servers.
  bool NeedsForwardOffers() const;
  /// Sets the callback for NeedsForwardOffers() becoming true.
  void OnForwardOffersNeeded(std::function<void()> action) {
    m_on_offers_needed = std::move(action);
  }

  /// Sets the callback for changes of the server directory, the evacuations or
  /// the configuration.
  void OnChange(std::function<void()> action) {
    m_on_change = std::move(action);
  }

 private:
  void OnCaller(const std::shared_ptr<HttpExchange>& exchange,
                TimePoint arrived);
  void AddGauges();
  void OnProbe(HttpExchange& exchange);
  /// Fills in `request`; false if it was rejected, with the refusal sent.
  bool Admit(const std::shared_ptr<HttpExchange>& exchange,
             EntryRequest& request);
  void Reject(HttpExchange& exchange,
              const EntryRequest& request,
              ResultCode code);
  void StartRelay(EntryRequest request,
                  const std::shared_ptr<HttpExchange>& exchange);
  void EndRelay(EntryRelay& relay, const EntryResult& end);
  /// True if the directory changed. Once callers have sent requests, a new or
  /// restarted server is assumed cold unless its registration says how long it
  /// is.
  bool ApplyRegistration(Registration& registration, TimePoint now);
  /// Handles a removed registration that `from` reported; true if the server is
  /// not used any more.
  bool ApplyRemoval(const RemovedServer& removed,
                    std::string_view from,
                    TimePoint now);
  /// Logs that a server reports that it leaves.
  void LogDraining(const Registration& registration,
                   std::string_view from) const;
  /// `before` is the set of data centres that were evacuated until now.
  void OnEvacuationsChanged(const SiteEvacuations::DataCentres& before);
  /// Treats the servers of a data centre whose evacuation has ended as cold:
  /// they may have cooled down without traffic.
  void AssumeCold(std::string_view data_centre, TimePoint now);
  /// Drops a server whose registration cannot be parsed; true if it was known.
  bool ApplyUnreadable(const UnreadableServer& server, TimePoint now);
  void OnSiteChanged();
  void RefreshTargets();
  /// Passes the cold targets and their rate limits to the backpressure state.
  void UpdateColdTargets(std::span<const DispatchTarget> targets,
                         TimePoint now);
  /// Whether a newer process is registered under the name of the server that
  /// the request was sent to.
  bool HasRestarted(const EntryRelay& relay) const;
  /// Reports the relay's attempt to the poison detection if its server was
  /// restarted.
  void ReportRestart(const EntryRelay& relay);
  void ScheduleExpiry();
  /// Applies a change of the detector's verdict to the directory.
  void ApplyStoreReturn();
  std::vector<EntryRelay*> OpenRelays() const;
  void CheckSilence();
  /// Enforces the bound on the bytes buffered for callers.
  void CheckHeldBytes();
  void CheckDrained();
  /// Time from the stop signal to the end of all requests.
  Duration DrainTime() const;
  /// Whether a request that arrives while the host stops can be answered before
  /// it exits, as far as the times of the route's requests tell.
  bool EndsBeforeStop(const EntryRequest& request) const;
  /// Ends all requests because the process is about to exit.
  void EndRequests();
  /// Addresses of the registered servers that are not draining.
  std::vector<Address> ServerAddresses() const;
  /// Whether enough servers accept connections from this host has changed.
  void OnReachChanged();
  void OnServerUnreachable(const Address& server);
  /// This host may not reach the servers; a check has been started.
  void OnReachSuspected();
  /// Applies the limits of the configuration to forwarded requests.
  void UpdateForwardLimits();
  void OnForwarded(const std::shared_ptr<HttpExchange>& exchange,
                   TimePoint arrived);
  /// Whether this host can serve requests of hosts that reach no server.
  bool AcceptsForwarded() const;

  EventLoop& m_loop;
  Settings m_settings;
  const CallHeaderCodec& m_header_codec;
  std::shared_ptr<const Catalog> m_catalog;
  TimePoint m_catalog_at;
  std::string m_catalog_text;
  /// Built on the first request of a peer; empty until then.
  std::string m_compressed_catalog;
  ServerDirectory m_directory;
  ChangeLog m_server_log;
  SiteEvacuations m_evacuations;
  /// Region of each data centre, from the settings.
  RegionMap m_regions;
  bool m_servers_known = false;
  /// Registrations since the start that could not be parsed.
  uint64_t m_unreadable = 0;
  StoreOutageDetector m_outage_detector;
  bool m_traffic_seen = false;
  HeldAnswersPolicy m_held_policy;
  /// Of the bodies of requests, of callers and forwarded ones alike.
  std::shared_ptr<SharedBudget> m_request_budget =
      std::make_shared<SharedBudget>(0);
  HeldAnswersDecision m_held_decision;

  HttpClient m_upstream;
  EntryReach m_reach;
  TargetSelector m_selector;
  RetryBudgets m_retries;
  EntryPoison m_poison;
  EntryBackpressure m_backpressure;
  EntryForward m_forward;
  EntryView m_view;
  RelayContext m_context;
  EntryMetrics m_metrics;
  RouteTimes m_route_times;
  std::unordered_map<const EntryRelay*, std::unique_ptr<EntryRelay>> m_relays;
  std::mt19937_64 m_random;

  std::unique_ptr<HttpServer> m_caller_server;
  std::unique_ptr<HttpServer> m_probe_server;
  /// Null until ListenForForwarded().
  std::unique_ptr<HttpServer> m_forward_server;
  Address m_forward_address;
  TimePoint m_suspected_at;
  std::function<void()> m_on_offers_needed;
  Address m_caller_address;
  Address m_ready_address;
  std::unique_ptr<Timer> m_silence_timer;
  std::unique_ptr<Timer> m_expiry_timer;
  std::unique_ptr<Timer> m_drain_timer;
  std::function<void()> m_on_change;
  bool m_draining = false;
  TimePoint m_drain_began;
  /// Requests that the end of the grace period ended.
  size_t m_cut_requests = 0;
};

}  // namespace filbertrack

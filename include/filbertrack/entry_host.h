#pragma once

/// The request path of one entry host: admits callers' requests by the
/// configuration in force, keeps the list of targets, and owns the relays.

#include <memory>
#include <span>
#include <string>
#include <unordered_map>

#include "filbertrack/change_log.h"
#include "filbertrack/dispatch_selector.h"
#include "filbertrack/entry_backpressure.h"
#include "filbertrack/entry_metrics.h"
#include "filbertrack/entry_poison.h"
#include "filbertrack/entry_ports.h"
#include "filbertrack/entry_relay.h"
#include "filbertrack/entry_targets.h"
#include "filbertrack/gossip_fleet.h"
#include "filbertrack/gossip_message.h"
#include "filbertrack/request_held_answers.h"
#include "filbertrack/server_directory.h"
#include "filbertrack/settings.h"
#include "filbertrack/site_evacuations.h"
#include "filbertrack/site_regions.h"
#include "filbertrack/store_absence.h"

namespace filbertrack {

SettingsSchema EntrySchema();

/// Whether a mechanism of the section [mechanisms] is switched on.
bool IsEnabled(const Settings& settings, std::string_view mechanism);

/// What the settings say of single parts.
DispatchPolicy DispatchPolicyOf(const Settings& settings);
RetryBudgetPolicy RetryPolicyOf(const Settings& settings);
HeldAnswersPolicy HeldPolicyOf(const Settings& settings);

/// Each entry host's part of the retries that are allowed beside the ratio.
double MaxSavedRetries(const Settings& settings, size_t entry_hosts);

/// What an entry host that stops still has.
struct DrainState {
  /// Since the signal to stop.
  Duration since{0};
  size_t requests = 0;
  /// Callers that have not taken all of their answers.
  size_t unsent = 0;
};

/// Whether the process may end now: after `most` in any case, not before
/// `least`.
bool MayStop(const DrainState& state, Duration min_time, Duration max_time);

class EntryHost : public SiteListener {
 public:
  EntryHost(EventLoop& loop,
            const Settings& settings,
            const CallHeaderCodec& header_codec,
            EngineClient& engines);
  ~EntryHost() override;

  /// Listens on the addresses of the settings.
  Result<bool> Listen();

  const Address& caller_address() const { return m_caller_address; }
  const Address& ready_address() const { return m_ready_address; }

  /// Takes over what may change while the process runs: the budget of retries
  /// and the grace time. Addresses stay until the next start.
  void Reload(const Settings& settings);

  /// Goes unready, serves on until the platform's balancer has learned of it
  /// and nothing is in flight, then stops the loop.
  void Drain();

  /// Whether callers should be sent here.
  bool IsReady() const;

  // SiteListener.
  void OnCatalog(std::shared_ptr<const Catalog> catalog,
                 std::string text) override;
  void OnServers(ServerChanges changes) override;
  void OnEvacuations(SiteEvacuations::DataCentres data_centres,
                     uint64_t revision) override;
  void OnStoreLost() override;
  void OnStoreReturned() override;

  /// What this entry host knows of the store and has at the targets.
  GossipState OwnGossipState() const;
  bool store_away() const { return m_outage_detector.is_unreachable(); }
  /// What a peer knows of evacuations.
  void OnPeerEvacuations(const EvacuationUpdate& update);
  const SiteEvacuations& evacuations() const { return m_evacuations; }
  /// A peer saw the store come back.
  void OnPeerSawStoreReturn(TimePoint returned);
  /// The configuration in force, compressed, for peers.
  const std::string& compressed_catalog();
  const ChangeLog& server_log() const { return m_server_log; }

  /// Work of all other entry hosts that were heard, added up; `unheard` more
  /// are there.
  void OnRemoteLoads(const FleetGossip::Loads& heard, size_t unreported_hosts);

  /// The highest pressure of any model or plain service.
  double MaxPressure(TimePoint now) const {
    return m_selector.MaxPressure(now);
  }

  /// Targets of the own data centre go first: their loads are the fresh ones.
  void SetPrefersLocal(bool prefers) {
    m_context.local_data_centre =
        prefers && IsEnabled(m_settings, "prefers_near")
            ? m_settings.Text("node", "data_centre")
            : std::string();
  }

  const ServerDirectory& directory() const { return m_directory; }
  /// The head confirmed that it left the group.
  void OnHeadLeft(const std::string& group, uint64_t epoch) {
    m_directory.OnHeadLeft(group, epoch);
  }
  const Catalog* catalog() const { return m_catalog.get(); }
  /// Entry hosts that are heard, with this one.
  size_t entry_hosts() const { return m_context.entry_hosts; }
  /// A caller's request has come since the start.
  bool traffic_seen() const { return m_traffic_seen; }

  /// How much of what its groups can do is asked of each model of the service.
  std::map<std::string, double, std::less<>> Pressure(
      const ServiceProfile& service) const;

  EntryMetrics& metrics() { return m_metrics; }

  /// Bytes of answers that callers have not taken, and of their requests.
  size_t HeldBytes() const;
  /// Callers that were let go since they did not read.
  uint64_t dropped_callers() const { return m_caller_server->unread_dropped(); }

  /// Requests under which servers end.
  EntryPoison& poison() { return m_poison; }
  const EntryPoison& poison() const { return m_poison; }
  /// Decides which those are, and ends the copies that wait.
  void BlockPoisonRequests();

  /// What servers ask for in their answers.
  EntryBackpressure& backpressure() { return m_backpressure; }

  /// Called after each change of directory or configuration.
  void OnChange(std::function<void()> action) {
    m_on_change = std::move(action);
  }

 private:
  void OnCaller(const std::shared_ptr<HttpExchange>& exchange);
  void AddGauges();
  void OnProbe(HttpExchange& exchange);
  /// Null where the request was answered with a refusal.
  bool Admit(const std::shared_ptr<HttpExchange>& exchange,
             EntryRequest& request);
  void Reject(HttpExchange& exchange,
              const EntryRequest& request,
              ResultCode code);
  void StartRelay(EntryRequest request,
                  const std::shared_ptr<HttpExchange>& exchange);
  void EndRelay(EntryRelay& relay, const EntryResult& end);
  /// True if it is news.
  bool ApplyRegistration(Registration& registration, TimePoint now);
  /// `before`: what was evacuated until now.
  void OnEvacuationsChanged(const SiteEvacuations::DataCentres& before);
  /// Servers of a data centre that is taken back may have turned cold.
  void AssumeCold(std::string_view data_centre, TimePoint now);
  /// True if a server that was known is out.
  bool ApplyUnreadable(const UnreadableServer& server, TimePoint now);
  void OnSiteChanged();
  void RefreshTargets();
  /// Tells which of the targets are cold, and what they bear.
  void UpdateColdTargets(std::span<const DispatchTarget> targets,
                         TimePoint now);
  /// The process that the request was sent to has ended: another one has its
  /// name.
  bool HasRestarted(const EntryRelay& relay) const;
  /// If the process that has the relay's attempt ended, says so.
  void ReportRestart(const EntryRelay& relay);
  void ScheduleExpiry();
  std::vector<EntryRelay*> OpenRelays() const;
  void CheckSilence();
  /// Bounds the bytes that are held for callers.
  void CheckHeldBytes();
  void CheckDrained();

  EventLoop& m_loop;
  Settings m_settings;
  const CallHeaderCodec& m_header_codec;
  std::shared_ptr<const Catalog> m_catalog;
  TimePoint m_catalog_at;
  std::string m_catalog_text;
  /// Made when a peer first wants it.
  std::string m_compressed_catalog;
  ServerDirectory m_directory;
  ChangeLog m_server_log;
  SiteEvacuations m_evacuations;
  /// Region of each data centre, as the settings name them.
  RegionMap m_regions;
  bool m_servers_known = false;
  /// Registrations so far that could not be read.
  uint64_t m_unreadable = 0;
  StoreOutageDetector m_outage_detector;
  std::optional<TimePoint> m_store_returned;
  bool m_traffic_seen = false;
  HeldAnswersPolicy m_held_policy;
  HeldAnswersDecision m_held_decision;

  HttpClient m_upstream;
  TargetSelector m_selector;
  RetryBudget m_retries;
  EntryPoison m_poison;
  EntryBackpressure m_backpressure;
  RelayContext m_context;
  EntryMetrics m_metrics;
  std::unordered_map<const EntryRelay*, std::unique_ptr<EntryRelay>> m_relays;
  std::mt19937_64 m_random;

  std::unique_ptr<HttpServer> m_caller_server;
  std::unique_ptr<HttpServer> m_probe_server;
  Address m_caller_address;
  Address m_ready_address;
  std::unique_ptr<Timer> m_silence_timer;
  std::unique_ptr<Timer> m_expiry_timer;
  std::unique_ptr<Timer> m_drain_timer;
  std::function<void()> m_on_change;
  bool m_draining = false;
  TimePoint m_drain_began;
};

}  // namespace filbertrack

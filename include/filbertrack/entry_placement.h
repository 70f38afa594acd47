#pragma once

/// Placement of requests by one entry host for all, on one entry host: asks
/// the placers of the pools on behalf of the relays, answers the asks of the
/// other hosts for the pools that this host places, and exchanges the messages.

#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "filbertrack/entry_host.h"
#include "filbertrack/entry_peers.h"
#include "filbertrack/entry_placement_rule.h"
#include "filbertrack/entry_placer.h"
#include "filbertrack/peer_link.h"
#include "filbertrack/placement_client.h"
#include "filbertrack/placement_placer.h"

namespace filbertrack {

class EntryPlacement : public RequestPlacer {
 public:
  /// Registers itself with `host` and `peers`, which must outlive it.
  EntryPlacement(EventLoop& loop,
                 std::string name,
                 EntryHost& host,
                 EntryPeers& peers);
  ~EntryPlacement() override;

  // RequestPlacer.
  bool Places(std::string_view service, std::string_view model) const override;
  uint64_t NextId() override { return ++m_last_id; }
  bool TryAsk(PlacementAsk ask, OnDecision on_decision) override;
  void Withdraw(uint64_t id) override;
  void Report(const PoolKey& pool, PlacementEvent event) override;
  void OnGrantUnused() override;
  void OnTargets(std::span<const DispatchTarget> targets,
                 const Catalog& catalog) override;
  void OnSettings(const Settings& settings) override;
  /// Declines further asks, hands the queued ones back and leaves the role of a
  /// placer to other hosts. This host's own asks go to these.
  void Drain() override;

  /// The host that the pool's asks go to; empty if placement is off for it or
  /// nobody places it.
  std::string PlacerOf(const PoolKey& pool) const;
  /// The pools that this host places.
  const Placer& placer() const { return m_placer; }

  /// Messages sent to other entry hosts.
  struct Traffic {
    uint64_t requests = 0;
    uint64_t notices = 0;
  };
  const Traffic& sent() const { return m_sent; }

 private:
  /// A pool for which placement is on.
  struct Pool {
    PoolKey key;
    /// Hosts that are asked in turn; empty: nobody.
    std::vector<std::string> ranking;
  };
  struct PendingAsk {
    OnDecision on_decision;
    TimePoint asked_at;
  };
  /// A time in which asks of one placer are decided locally.
  struct Fallback {
    PlacementFallback cause = PlacementFallback::kNone;
    TimePoint began;
    uint64_t count = 0;
  };
  using Links = std::map<std::string, std::unique_ptr<PeerClient>, std::less<>>;

  /// Updates pools, placers and roles from the configuration, the settings and
  /// the live hosts.
  void Refresh(TimePoint now);
  std::vector<Pool> ComputePools(std::span<const FleetHost> live) const;
  /// Sets this host's part in each pool and logs the pools that it begins or
  /// ends to place.
  void UpdateRole(std::span<const FleetHost> live, TimePoint now);
  std::vector<PlacementRole> ComputeRoles(TimePoint now) const;
  /// The first host in the pool's ranking; empty if nobody is ranked.
  std::string FirstOf(const PoolKey& key) const;
  /// Tells the placer of this host which hosts do not reply, and has the client
  /// ask those that it wants to know about.
  void ExchangeUnresponsive(TimePoint now);
  void OnRound();
  /// Drops the loads of askers that are gone.
  void ForgetAskers(TimePoint now);
  void UpdateUnsynced(TimePoint now);

  /// Runs Pump() after the current callback of the event loop, so that asks and
  /// events that come together share a message.
  void SchedulePump();
  /// Sends the messages that are due and sets the timer for the next ones.
  void Pump();
  void ArmTimer(TimePoint now);
  /// Decides the asks that were not answered in time. Called by the timer only:
  /// the event loop has then read the replies that were there when it fell due,
  /// also if the process was stopped meanwhile.
  void Expire();
  void Send(const std::string& placer, const PlacementRequest& request);
  void SendNotice(const std::string& asker, const PlacementNotice& notice);
  /// Link to another entry host; null if its address is not known. A link that
  /// still waits for a reply is closed first.
  PeerClient* IdleLink(Links& links, const std::string& host);
  /// `reply` is null if there was none.
  void OnReply(const std::string& placer, const PlacementReply* reply);
  void OnMessage(std::string_view payload, const PeerServer::Answer& answer);
  void Decide(std::vector<PlacementClient::Decided> decided);

  /// Begins or ends the fallback of a placer.
  void UpdateFallback(const std::string& placer, TimePoint now);
  /// Ends the fallbacks of hosts that place no pool any more.
  void EndStaleFallbacks(TimePoint now);
  static void LogFallbackEnd(const std::string& placer,
                             const Fallback& fallback,
                             TimePoint now);
  void CountFallback(const std::string& placer, PlacementFallback cause);
  void SampleMetrics(Metrics& metrics);

  /// The loads of hosts that have not synced are estimated for this long after
  /// a role began: the time in which all live hosts learn of a new placer.
  static constexpr Duration kUnsyncedTime = Milliseconds(1500);
  /// An asker that sent no message for this long and is not live is gone, as in
  /// FleetGossipPolicy::host_ttl.
  static constexpr Duration kAskerTtl = Milliseconds(1500);

  EventLoop& m_loop;
  std::string m_name;
  EntryHost& m_host;
  EntryPeers& m_peers;
  PlacementMode m_mode;
  PlacementClient m_client;
  Placer m_placer;
  uint64_t m_last_id = 0;
  bool m_draining = false;

  std::vector<Pool> m_pools;
  /// Targets of each pool, without evacuated ones.
  std::map<PoolKey, size_t> m_target_counts;
  std::set<PoolKey> m_own_pools;
  std::vector<PlacementRole> m_roles;
  uint64_t m_logged_claims = 0;
  /// Until then the loads of hosts that have not synced are estimated.
  TimePoint m_unsynced_until;
  uint64_t m_seen_membership = 0;
  /// Hosts that are only listed no longer count as live.
  bool m_started_up = false;
  /// Time of the latest message of each asker.
  std::map<std::string, TimePoint, std::less<>> m_askers;

  std::unordered_map<uint64_t, PendingAsk> m_pending;
  std::map<std::string, Fallback, std::less<>> m_fallbacks;
  std::set<int> m_sampled_priorities;
  Traffic m_sent;

  // Connections of their own, so that gossip is not delayed.
  Links m_ask_links;
  Links m_notice_links;
  bool m_pump_scheduled = false;
  std::unique_ptr<Timer> m_timer;
  /// When `m_timer` fires.
  TimePoint m_timer_at;
  /// Expires on destruction, for callbacks posted to the event loop.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace filbertrack

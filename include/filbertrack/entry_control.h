#pragma once

/// Control loop of an entry host: acquires the lease on the groups when it is
/// free. While this host holds it, the loop probes the hosts that form groups
/// and sends them the orders of the replica planner.

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "filbertrack/entry_host.h"
#include "filbertrack/entry_lease.h"
#include "filbertrack/entry_outbox.h"
#include "filbertrack/entry_peers.h"
#include "filbertrack/entry_ports.h"
#include "filbertrack/entry_prober.h"
#include "filbertrack/replica_plan.h"

namespace filbertrack {

struct ControlPolicy {
  LeasePolicy lease{Milliseconds(1500), Milliseconds(500), Milliseconds(300)};
  ReplicaPolicy replicas;
  ProbePolicy probes;
  Duration pass_interval = Milliseconds(200);
  /// Delay from a change to the planning pass that it triggers; further changes
  /// in this time are handled by the same pass.
  Duration coalesce_delay = Milliseconds(10);
  /// Delay between two batches of orders, in which the event loop handles
  /// responses and lease renewals.
  Duration batch_pause = Milliseconds(2);
  /// Releases the lease after stronger hosts have been live without a break for
  /// this long. Twice FleetGossipPolicy::host_ttl, the time for which a host
  /// that stopped responding still counts as live.
  Duration yield_after = Seconds(3);
  /// Time for which a host that reaches no backend server keeps the lease.
  Duration cut_off_yield_after = Seconds(1);
  /// Time after which a release that did not take effect is repeated.
  Duration release_interval = Milliseconds(500);
  /// Hosts that answer others but not this one from which it leaves the lease
  /// to others, and for how long.
  size_t min_disputed = 3;
  Duration disputed_pause = Seconds(5);
};

class EntryControl {
 public:
  EntryControl(EventLoop& loop,
               const std::string& node,
               const ControlPolicy& policy,
               EntryHost& host,
               EntryPeers& peers,
               EngineClient& engines,
               RecordStore& records);
  ~EntryControl();

  void Start();
  /// Stops the loop and releases the lease, so that the next holder need not
  /// wait for it to expire.
  void Stop();

  bool holds_lease() const { return m_lease.IsHeld(); }

 private:
  void Tick();
  /// Releases the lease if stronger hosts have been live for `yield_after`.
  void YieldToStronger(TimePoint now);
  /// Whether this host reaches no server for long enough to leave the lease to
  /// others: it can neither probe hosts nor send orders.
  bool IsCutOff(TimePoint now) const;
  /// Probes servers on behalf of another entry host.
  void ProbeForPeer(
      const std::vector<std::string>& servers,
      const std::function<void(const std::vector<std::string>&)>& done);
  void ReleaseIfCutOff(TimePoint now);
  void OnLeaseGained();
  void OnLeaseLost();
  /// Runs a pass after `coalesce_delay` unless one is scheduled already.
  void SchedulePass();
  /// Plans the orders of all services and sends the first batch. Does nothing
  /// while orders of an earlier pass are queued.
  void RunPass();
  static void LogCounts(const std::string& service,
                        const ReplicaCounts& counts);
  void EnqueueOrder(const std::string& service, const PlannedOrder& planned);
  /// Sends one batch of the queued orders and schedules the next one.
  void SendBatch();
  void OnOrderResult(const std::string& service,
                     const ReplicaOrder& order,
                     OrderResult result);
  void SendOrder(const std::string& host_id, const ReplicaOrder& order);

  EventLoop& m_loop;
  ControlPolicy m_policy;
  EntryHost& m_host;
  EntryPeers& m_peers;
  EngineClient& m_engines;
  EntryLease m_lease;
  EntryProber m_prober;
  bool m_stopping = false;
  /// Start of the current period in which stronger hosts are live; nullopt if
  /// there are none or the lease is not held.
  std::optional<TimePoint> m_stronger_since;

  // Valid while this host holds the lease.
  ReplicaMemories m_memory;
  /// Whether this host reached the servers at the last Tick().
  bool m_was_reachable = true;
  /// When ReleaseIfCutOff() last released the lease.
  TimePoint m_released_at;
  /// Latest time at which hosts answered others but not this one.
  std::optional<TimePoint> m_disputed_at;
  EntryOutbox m_outbox;
  std::unique_ptr<Timer> m_tick_timer;
  TimePoint m_counts_logged_at;
  bool m_pass_pending = false;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace filbertrack

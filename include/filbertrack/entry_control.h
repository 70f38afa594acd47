#pragma once

/// The control loop of an entry host: takes the lease on the groups when
/// nobody holds it, and while it holds it asks the hosts how they are and
/// gives the orders that the planner decides.

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
  /// Reports that arrive within this time of each other share a pass.
  Duration coalesce_delay = Milliseconds(10);
  /// Between batches of orders: answers and the lease come first.
  Duration batch_pause = Milliseconds(2);
  /// A host that is much weaker than others gives the lease back once these
  /// were heard for so long: two times that a host which fell silent counts as
  /// there.
  Duration yield_after = Seconds(3);
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
  /// Gives the lease back, so that a successor need not wait.
  void Stop();

  bool holds_lease() const { return m_lease.IsHeld(); }

 private:
  void Tick();
  /// Gives the lease back where much stronger hosts can take it.
  void YieldToStronger(TimePoint now);
  void OnLeaseGained();
  void OnLeaseLost();
  void SchedulePass();
  void RunPass();
  static void LogCounts(const std::string& service,
                        const ReplicaCounts& counts);
  void EnqueueOrder(const PlannedOrder& planned);
  /// Sends a batch of what waits, and the rest from later turns of the loop.
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
  /// Since when stronger hosts have been there without a break.
  std::optional<TimePoint> m_stronger_since;

  // While this host holds it.
  std::map<std::string, ReplicaMemory, std::less<>> m_memory;
  EntryOutbox m_outbox;
  std::unique_ptr<Timer> m_tick_timer;
  TimePoint m_counts_logged_at;
  bool m_pass_pending = false;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace filbertrack

#pragma once

/// The control loop of an entry host: takes the lease on the groups when
/// nobody holds it, and while it holds it asks the hosts how they are and
/// gives the orders that the planner decides.

#include <map>
#include <memory>
#include <string>

#include "filbertrack/entry_host.h"
#include "filbertrack/entry_lease.h"
#include "filbertrack/entry_peers.h"
#include "filbertrack/entry_ports.h"
#include "filbertrack/replica_plan.h"

namespace filbertrack {

struct ControlPolicy {
  LeasePolicy lease{Milliseconds(1500), Milliseconds(500), Milliseconds(300)};
  ReplicaPolicy replicas;
  /// How often members of groups are asked. Two answers that do not come make a
  /// host silent: the time to notice a loss is at most this and two timeouts.
  Duration probe_interval = Milliseconds(500);
  Duration probe_timeout = Milliseconds(350);
  /// Hosts without a group are asked this many times less often.
  int idle_probe_divisor = 4;
  Duration pass_interval = Milliseconds(200);
  /// Reports that arrive within this time of each other share a pass.
  Duration gather = Milliseconds(10);
};

class EntryControl {
 public:
  EntryControl(EventLoop& loop,
               const std::string& node,
               const ControlPolicy& policy,
               EntryHost& host,
               EntryPeers& peers,
               EngineLink& engines,
               RecordStore& records);
  ~EntryControl();

  void Start();
  /// Gives the lease back, so that a successor need not wait.
  void Stop();

  bool holds_lease() const { return m_lease.IsHeld(); }

 private:
  struct ProbeState {
    bool open = false;
    /// At least one question was answered or timed out.
    bool ended = false;
    int misses = 0;
    TimePoint asked_at;
  };

  void Tick();
  void Gained();
  void Lost();
  void ProbeHosts(TimePoint now);
  void OnProbe(const std::string& id, const ProbeAnswer& answer);
  void PassSoon();
  void Pass();
  bool AllAsked(const std::string& service) const;
  static void LogCounts(const std::string& service,
                        const ReplicaCounts& counts);
  void Send(const PlannedOrder& planned);
  void OnOrdered(const ReplicaOrder& order, OrderResult result);
  void SendOne(const std::string& host_id, const ReplicaOrder& order);

  EventLoop& m_loop;
  ControlPolicy m_policy;
  EntryHost& m_host;
  EntryPeers& m_peers;
  EngineLink& m_engines;
  EntryLease m_lease;
  bool m_stopping = false;

  // While this host holds it.
  HostFindings m_findings;
  std::map<std::string, ProbeState, std::less<>> m_probes;
  std::map<std::string, ReplicaMemory, std::less<>> m_memory;
  std::unique_ptr<Timer> m_tick_timer;
  TimePoint m_counted_at;
  bool m_pass_pending = false;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace filbertrack

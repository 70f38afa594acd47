#pragma once

/// State of the other entry hosts as received by gossip: which are alive, which
/// reach the store, and their loads at the targets.
///
/// Hosts of one data centre exchange their own loads; hosts of different data
/// centres exchange the sum of their data centre. Local loads are therefore
/// fresh however many hosts there are, and remote loads cost one message for
/// each data centre instead of one for each host.

#include <map>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "filbertrack/base_time.h"
#include "filbertrack/dispatch_selector.h"
#include "filbertrack/gossip_message.h"

namespace filbertrack {

struct FleetGossipPolicy {
  /// Loads older than this are not counted. Eight gossip rounds of 150 ms.
  Duration load_ttl = Milliseconds(1200);
  /// A host without an update for this long counts as gone.
  Duration host_ttl = Milliseconds(1500);
  /// A relay's sum of the local data centre replaces the loads that the hosts
  /// sent themselves while it is younger than this. Their own messages are 250
  /// ms old on average.
  Duration local_sum_ttl = Milliseconds(250);
};

class FleetGossip {
 public:
  /// Loads by target id.
  using LoadSums = std::map<std::string, TargetLoad, std::less<>>;

  FleetGossip(std::string node,
              std::string data_centre,
              FleetGossipPolicy policy)
      : m_node(std::move(node)),
        m_data_centre(std::move(data_centre)),
        m_policy(policy) {}

  /// Records the state that a peer sent; `now` is when it was received.
  void Note(const GossipState& state, TimePoint now);

  /// Replaces the loads and hosts in `own` by those of the whole local data
  /// centre and marks it as covering the data centre, for a receiver in another
  /// one.
  void CoverDataCentre(GossipState& own, TimePoint now) const;

  /// Adds the received loads of the other data centres to `own`, for a receiver
  /// in the local data centre.
  void AddRemoteLoads(GossipState& own, TimePoint now) const;

  /// Adds the sum of the local data centre to `own`, for the receiver
  /// `requester`. The sum includes this host but not `requester`, which counts
  /// its own loads itself.
  void AddLocalLoads(GossipState& own,
                     std::string_view requester,
                     TimePoint now) const;

  struct Loads {
    LoadSums loads;
    /// Number of other live hosts.
    size_t hosts = 0;
    /// Mean age of the summed loads at their hosts, weighted by requests.
    Duration age{0};
  };
  /// Returns the loads of all other hosts, each host counted once.
  Loads SumLoads(TimePoint now) const;

  /// Return the number and the names of the other live hosts: those with an
  /// update within `host_ttl`.
  size_t CountHosts(TimePoint now) const;
  std::vector<std::string> Hosts(TimePoint now) const;
  /// Returns the live hosts that did not report that the store fails.
  std::vector<std::string> HostsWithStore(TimePoint now) const;
  /// Returns all other live hosts with their data centre and capacity.
  std::vector<FleetHost> Fleet(TimePoint now) const;

  /// Removes hosts and loads that are older than `host_ttl`.
  void ForgetOld(TimePoint now);

  /// Changes whenever a host is added or removed, or its data centre, capacity
  /// or access to the store changes. The choice of relays and watchers depends
  /// on nothing else here, so callers may cache it until then.
  uint64_t membership() const { return m_membership; }

 private:
  struct ReceivedState {
    GossipState state;
    TimePoint at;
  };
  struct KnownHost {
    FleetHost host;
    TimePoint at;
  };
  struct ReceivedLoads {
    DataCentreLoads sum;
    TimePoint at;
  };

  void RecordHost(const GossipHost& host,
                  std::string_view data_centre,
                  TimePoint at);
  void RecordDataCentreLoads(const DataCentreLoads& sum, TimePoint at);

  bool IsFresh(TimePoint received, TimePoint now) const {
    return now - received <= m_policy.load_ttl;
  }
  /// Returns a relay's sum of the local data centre; null if there is none or
  /// it is older than `local_sum_ttl`.
  const ReceivedLoads* LocalSum(TimePoint now) const;
  /// Returns whether the loads of `node` are part of a sum that is counted, so
  /// that its own message must not be. `covered_hosts` are the hosts in the sum
  /// of the local data centre.
  bool IsCovered(const std::string& node,
                 const ReceivedState& received,
                 const std::unordered_set<std::string_view>& covered_hosts,
                 TimePoint now) const;
  /// Returns the sum of `own` and the loads of the other local hosts except
  /// `excluded`.
  DataCentreLoads SumLocalLoads(const std::vector<GossipLoad>& own,
                                std::string_view excluded,
                                TimePoint now) const;

  std::string m_node;
  std::string m_data_centre;
  FleetGossipPolicy m_policy;
  /// Latest state that each host sent about itself.
  std::map<std::string, ReceivedState, std::less<>> m_states;
  /// Latest sum of each data centre.
  std::map<std::string, ReceivedLoads, std::less<>> m_data_centre_loads;
  std::map<std::string, KnownHost, std::less<>> m_hosts;
  uint64_t m_membership = 0;
};

}  // namespace filbertrack

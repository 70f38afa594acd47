#pragma once

/// What an entry host has heard of the others: who lives, who reaches the
/// store, and what work they have at the targets.
///
/// Hosts of one data centre tell each other their own work; hosts of different
/// ones tell the sum of their data centre. So loads of the own data centre are
/// fresh however many hosts there are, and those of others cost one message for
/// a data centre and not one for a host.

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
  /// Loads that were not told for this long are not counted: eight rounds of
  /// questions.
  Duration load_ttl = Milliseconds(1200);
  /// A host that was not heard of for this long counts as gone.
  Duration host_ttl = Milliseconds(1500);
  /// A relay's sum of the own data centre counts instead of what its hosts told
  /// themselves while it is younger than this: their own words are 250 ms old
  /// in the mean.
  Duration local_sum_ttl = Milliseconds(250);
};

class FleetGossip {
 public:
  /// By target.
  using LoadSums = std::map<std::string, TargetLoad, std::less<>>;

  FleetGossip(std::string node,
              std::string data_centre,
              FleetGossipPolicy policy)
      : m_node(std::move(node)),
        m_data_centre(std::move(data_centre)),
        m_policy(policy) {}

  /// A peer's message; `now` is when it came.
  void Note(const GossipState& state, TimePoint now);

  /// Turns this host's own state into one for a host of another data centre.
  void CoverDataCentre(GossipState& own, TimePoint now) const;

  /// Adds what was heard of other data centres, for a host of the own one.
  void AddRemoteLoads(GossipState& own, TimePoint now) const;

  /// Adds the sum of the own data centre, this host included and `asker` left
  /// out, for that host.
  void AddLocalLoads(GossipState& own,
                     std::string_view requester,
                     TimePoint now) const;

  struct Loads {
    LoadSums loads;
    /// Other hosts that were heard of.
    size_t hosts = 0;
    /// Mean time since what was added up was true at its hosts, by request.
    Duration age{0};
  };
  /// Work of all other hosts.
  Loads SumLoads(TimePoint now) const;

  /// Other hosts that were heard of lately, counted and by name.
  size_t CountHosts(TimePoint now) const;
  std::vector<std::string> Hosts(TimePoint now) const;
  /// Those of them that reach the store, as far as they know.
  std::vector<std::string> HostsWithStore(TimePoint now) const;
  /// The same hosts, with what they can carry.
  std::vector<FleetHost> Fleet(TimePoint now) const;

  void ForgetOld(TimePoint now);

  /// Changes whenever a host is heard for the first time, is forgotten, or is
  /// another one than before: until then, who does what for the others stays.
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
  /// The relay's sum of the own data centre; null: there is none, or it is too
  /// old to stand for what the hosts told themselves.
  const ReceivedLoads* LocalSum(TimePoint now) const;
  /// A host's own message is not counted where its data centre's sum has it.
  /// `near_covered`: the hosts that the sum of the own data centre has.
  bool IsCovered(const std::string& node,
                 const ReceivedState& received,
                 const std::unordered_set<std::string_view>& covered_hosts,
                 TimePoint now) const;
  /// `own` and the work of the other hosts of the data centre but `left_out`.
  DataCentreLoads SumLocalLoads(const std::vector<GossipLoad>& own,
                                std::string_view excluded,
                                TimePoint now) const;

  std::string m_node;
  std::string m_data_centre;
  FleetGossipPolicy m_policy;
  /// Latest message of each host about itself.
  std::map<std::string, ReceivedState, std::less<>> m_states;
  /// Latest sum of each other data centre.
  std::map<std::string, ReceivedLoads, std::less<>> m_data_centre_loads;
  std::map<std::string, KnownHost, std::less<>> m_hosts;
  uint64_t m_membership = 0;
};

}  // namespace filbertrack

#pragma once

/// The fleet as one entry host's router sees it: the groups of every fabric
/// domain, the evidence about their members, and this host's own experience
/// with each of them.

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "filbertrack/config_resources.h"
#include "filbertrack/groups_evidence.h"
#include "filbertrack/groups_state.h"
#include "filbertrack/peer_message.h"
#include "filbertrack/routing_choice.h"
#include "filbertrack/state_cache.h"

namespace filbertrack {

/// A group with what its domain's objects say of it.
struct FleetGroup {
  Group group;
  std::string domain;
  std::string data_centre;
  /// Addresses of the members, in the order of `group.members`; empty hosts
  /// are not on the platform's list.
  std::vector<Address> addresses;
  /// The same as `group.members`, kept by requests that outlive the epoch.
  std::shared_ptr<const std::vector<std::string>> members;
};

class FleetView {
 public:
  /// Takes over the resources of the generation that came in force.
  void SetResources(const Resources& resources, TimePoint now);

  /// Takes over the domains' objects of the cache.
  void ReadDomains(const ObjectCache& cache, TimePoint now);

  /// New evidence about one host, read by this process. Returns the id of the
  /// group that it is about; empty where the host is in none.
  std::string OnMember(std::string_view host,
                       const MemberEvidence& evidence,
                       TimePoint now);

  /// Evidence about a group that another process read: `whole` or with a member
  /// missing at time `at`. The later word counts. True where it was news.
  bool OnGroupEvidence(std::string_view group,
                       uint64_t epoch,
                       bool whole,
                       TimePoint at,
                       int load);

  /// What an answer of a group said of its load.
  void OnAnswerLoad(std::string_view group,
                    const AnswerLoad& load,
                    TimePoint now);

  /// Evidence about all groups that this process knows, in the order of ids.
  std::vector<GroupEvidence> Evidence(TimePoint now) const;

  /// Drops what was read of hosts that this process no longer watches.
  void PruneMembers(const std::map<std::string, Address, std::less<>>& watched);

  const std::map<std::string, FleetGroup, std::less<>>& groups() const {
    return m_groups;
  }
  std::vector<RouteCandidate>& candidates() { return m_candidates; }
  RouteCandidate* FindCandidate(std::string_view id);

  /// Whether the group may answer now, by the default bound.
  bool IsWholeNow(std::string_view id, TimePoint now) const;

  /// Hosts of all domains with their addresses.
  const std::map<std::string, Address, std::less<>>& hosts() const {
    return m_hosts;
  }

 private:
  struct MemberState {
    MemberReport report;
    std::optional<TimePoint> alive_at;
  };

  void RebuildCandidates(TimePoint now);
  void AddPlainServers(std::vector<RouteCandidate>& candidates, TimePoint now);
  void AddGroups(std::vector<RouteCandidate>& candidates, TimePoint now);
  void UpdateCompleteness(RouteCandidate& candidate,
                          const Group& group,
                          TimePoint now);
  bool IsWatched(std::string_view group) const;
  RouteCandidate FindOrMakeCandidate(const std::string& id,
                                     uint64_t epoch,
                                     TimePoint now);

  Resources m_resources;
  std::map<std::string, FleetGroup, std::less<>> m_groups;
  std::map<std::string, Address, std::less<>> m_hosts;
  std::map<std::string, MemberState, std::less<>> m_members;
  std::map<std::string, std::string, std::less<>> m_group_of_host;
  std::map<std::string, size_t, std::less<>> m_index;
  std::vector<RouteCandidate> m_candidates;
};

}  // namespace filbertrack

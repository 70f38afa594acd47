#pragma once

/// The router's view of the fleet on one entry host: the groups of all fabric
/// domains, liveness evidence about their members, and this host's own request
/// history with each of them.

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

/// A group with its domain, data centre and member addresses, from the stored
/// objects of its domain.
struct FleetGroup {
  Group group;
  std::string domain;
  std::string data_centre;
  /// Member addresses in the order of `group.members`; a default `Address` for
  /// a member that is not on the platform's host list.
  std::vector<Address> addresses;
  /// Copy of `group.members`, shared with requests that outlive the epoch.
  std::shared_ptr<const std::vector<std::string>> members;
};

class FleetView {
 public:
  /// Applies the resources of the configuration generation now in force.
  void SetResources(const Resources& resources, TimePoint now);

  /// Rebuilds the groups and candidates from the domain objects in the cache.
  /// Domains whose objects cannot be parsed are skipped.
  void ReadDomains(const ObjectCache& cache, TimePoint now);

  /// Records evidence that this process has read from one host. Returns the id
  /// of the host's group; empty if the host is in no group, or in one that is
  /// neither serving nor draining.
  std::string OnMember(std::string_view host,
                       const MemberEvidence& evidence,
                       TimePoint now);

  /// Records evidence about a group that a peer has read: all members present
  /// (`whole`) or a member missing, as of `at`. The more recent observation
  /// wins. Returns false if the group is unknown in this epoch or `at` is not
  /// newer than what is known.
  bool OnGroupEvidence(std::string_view group,
                       uint64_t epoch,
                       bool whole,
                       TimePoint at,
                       int load);

  /// Updates a group's load from the Filbert-Load header of one of its answers.
  void OnAnswerLoad(std::string_view group,
                    const AnswerLoad& load,
                    TimePoint now);

  /// Evidence about all known groups, in the order of their ids.
  std::vector<GroupEvidence> Evidence(TimePoint now) const;

  /// Removes the evidence about hosts that this process no longer watches.
  void PruneMembers(const std::map<std::string, Address, std::less<>>& watched);

  const std::map<std::string, FleetGroup, std::less<>>& groups() const {
    return m_groups;
  }
  std::vector<RouteCandidate>& candidates() { return m_candidates; }
  RouteCandidate* FindCandidate(std::string_view id);

  /// Whether the evidence that all members are present is recent enough for the
  /// group to answer now, by the default `RouteLimits`.
  bool IsWholeNow(std::string_view id, TimePoint now) const;

  /// Addresses of the hosts of all domains, by host name.
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

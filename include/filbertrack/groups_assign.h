#pragma once

/// Spreads the replicas of serving groups over fabric domains. Every controller
/// computes the same from the same objects; a moment's disagreement forms or
/// drains a replica too many, and never breaks a rule of safety, which each
/// domain's own object keeps.

#include <map>
#include <string>
#include <vector>

#include "filbertrack/config_resources.h"
#include "filbertrack/groups_state.h"

namespace filbertrack {

/// A domain as its stored objects tell of it.
struct DomainSummary {
  DomainHosts hosts;
  DomainState state;
};

using DomainSummaries = std::map<std::string, DomainSummary, std::less<>>;

/// Wanted replicas by domain and serving group.
using Assignment = std::map<std::string, std::map<std::string, int>>;

/// Replicas that serve, load or drain for an update keep their place; missing
/// ones go to the domain with the most free hosts. `downtime_weight` of the
/// service decides whether a place is filled from hosts that the declaration
/// keeps as spares: below one half it is.
Assignment AssignReplicas(const Resources& resources,
                          const DomainSummaries& domains);

/// Serving groups whose replicas in `domain` may start a change of version:
/// every other replica of the group serves, and no domain of a lower name
/// still has one of the old version.
std::vector<std::string> RolloutCandidates(const Resources& resources,
                                           const DomainSummaries& domains,
                                           std::string_view domain);

}  // namespace filbertrack

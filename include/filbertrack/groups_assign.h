#pragma once

/// Distributes the replicas of serving groups over fabric domains. Controllers
/// that read the same objects compute the same assignment. While their views
/// differ, one replica too many may be formed or drained. Safety does not
/// depend on agreement: each domain's own object enforces it.

#include <map>
#include <string>
#include <vector>

#include "filbertrack/config_resources.h"
#include "filbertrack/groups_state.h"

namespace filbertrack {

/// Hosts and state of a domain, as stored.
struct DomainSummary {
  DomainHosts hosts;
  DomainState state;
};

using DomainSummaries = std::map<std::string, DomainSummary, std::less<>>;

/// Wanted number of replicas, by domain and serving group.
using Assignment = std::map<std::string, std::map<std::string, int>>;

/// Replicas that serve, load or drain for an update stay in their domain;
/// missing ones are assigned to the domain with the most free hosts, serving
/// groups with the highest `downtime_weight` first. Only services with a
/// `downtime_weight` below 0.5 use the hosts that the declaration reserves as
/// spares for this. A broken replica that fits nowhere else stays assigned to
/// its domain.
Assignment AssignReplicas(const Resources& resources,
                          const DomainSummaries& domains);

/// Serving groups of which a replica in `domain` may start a version change:
/// all replicas of the serving group are serving, and no domain earlier in name
/// order still has a replica that differs from the declared version or
/// adapters.
std::vector<std::string> RolloutCandidates(const Resources& resources,
                                           const DomainSummaries& domains,
                                           std::string_view domain);

}  // namespace filbertrack

#pragma once

/// Decides what the holder of a fabric domain's lease does next: at most one
/// change of the domain's state a pass, and the orders that bring the engines
/// to the state as it is stored. Nothing is remembered between passes but what
/// the state holds, so a successor carries on where a controller died.

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "filbertrack/base_time.h"
#include "filbertrack/config_resources.h"
#include "filbertrack/groups_evidence.h"
#include "filbertrack/groups_state.h"

namespace filbertrack {

/// How a group that lost a member is repaired.
enum class RepairPolicy {
  /// Swap in a spare of the domain; the other members keep their weights.
  kSwapMember,
  /// Dissolve the group and form a new one: the simplest policy, kept as the
  /// baseline for measurements.
  kRebuildGroup,
};

struct PlanPolicy {
  RepairPolicy repair = RepairPolicy::kSwapMember;
  /// Silence after which a member counts as lost.
  Duration lost_after = Milliseconds(900);
  /// A host is used for a new place only after being seen for this long since
  /// its last loss; a host that flaps costs one repair, not one a flap.
  Duration settle = Seconds(5);
  /// Draining ends after this even if requests are still in flight.
  Duration drain_limit = Seconds(120);
  /// A draining group's members are kept at least this long, so that routers
  /// that heard of it late have stopped sending.
  Duration drain_floor = Seconds(2);
};

/// What this controller has seen of one host.
struct HostView {
  MemberReport report;
  std::optional<TimePoint> alive_at;
  /// Start of the present unbroken time of being alive.
  TimePoint alive_since;
  int losses = 0;
  bool was_alive = false;
};

/// Takes over what a host's standing response says now, and counts a loss when
/// the host was alive and is no more.
void ObserveHost(HostView& view,
                 const MemberEvidence& evidence,
                 const PlanPolicy& policy,
                 TimePoint now);

using HostViews = std::map<std::string, HostView, std::less<>>;

/// Null where the host was never seen.
const HostView* FindView(const HostViews& views, std::string_view host);

struct PlanInput {
  const DomainState& state;
  const DomainHosts& hosts;
  const HostViews& views;
  const Resources& resources;
  /// Wanted replicas here, by serving group.
  const std::map<std::string, int>& wanted;
  /// Serving groups of which one replica here may leave service now for a
  /// change of version, so that capacity elsewhere keeps what sales promised.
  const std::vector<std::string>& rollout_candidates;
  /// When this controller first saw each group in its present epoch and phase.
  const std::map<std::string, TimePoint>& phase_since;
};

struct JoinOrder {
  std::string host;
  Group group;
};
struct LeaveOrder {
  std::string host;
};
using MemberOrder = std::variant<JoinOrder, LeaveOrder>;

/// A change to write before any order that follows from it is sent.
struct PlannedChange {
  DomainState next;
  DecisionRecord record;
};

struct Plan {
  std::optional<PlannedChange> change;
  std::vector<MemberOrder> orders;
};

/// Whether the host was heard within `lost_after`.
bool IsAlive(const PlanInput& input,
             std::string_view host,
             const PlanPolicy& policy,
             TimePoint now);

Plan PlanDomain(const PlanInput& input,
                const PlanPolicy& policy,
                TimePoint now);

/// Hosts of the domain that may take a place in a group now.
std::vector<std::string> FreeHosts(const PlanInput& input,
                                   const PlanPolicy& policy,
                                   TimePoint now);

/// Accelerators held by no serving group, and those of broken ones.
int StrandedAccelerators(const DomainState& state, const DomainHosts& hosts);

}  // namespace filbertrack

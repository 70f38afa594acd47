#pragma once

/// Planner for the lease holder of a fabric domain. Each pass yields at most
/// one change of the domain's state, and the orders that bring the engines to
/// the state as stored. Decisions are kept in the stored state only, so a
/// successor continues where a failed controller stopped.

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
  /// Replace the member by a spare of the domain; the other members keep their
  /// weights.
  kSwapMember,
  /// Dissolve the group and form a new one; the baseline for measurements.
  kRebuildGroup,
};

struct PlanPolicy {
  RepairPolicy repair = RepairPolicy::kSwapMember;
  /// Time without a heartbeat after which a member counts as lost.
  Duration lost_after = Milliseconds(900);
  /// A host that was lost may join a group only after it has been alive for
  /// this long, so that a flapping host causes one repair, not one per flap.
  Duration settle = Seconds(5);
  /// Maximum duration of draining, even if requests are still in flight.
  Duration drain_limit = Seconds(120);
  /// Minimum duration of draining, so that routers that learn of it late have
  /// stopped sending.
  Duration drain_floor = Seconds(2);
};

/// A controller's observations of one host.
struct HostView {
  MemberReport report;
  std::optional<TimePoint> alive_at;
  /// Start of the current uninterrupted period of being alive.
  TimePoint alive_since;
  int losses = 0;
  bool was_alive = false;
};

/// Updates `view` from a host's latest evidence. Counts a loss when a host that
/// was alive no longer is, or when its engine has restarted.
void ObserveHost(HostView& view,
                 const MemberEvidence& evidence,
                 const PlanPolicy& policy,
                 TimePoint now);

using HostViews = std::map<std::string, HostView, std::less<>>;

/// Null if the host has never been observed.
const HostView* FindView(const HostViews& views, std::string_view host);

struct PlanInput {
  const DomainState& state;
  const DomainHosts& hosts;
  const HostViews& views;
  const Resources& resources;
  /// Wanted number of replicas in this domain, by serving group.
  const std::map<std::string, int>& wanted;
  /// Serving groups of which one replica in this domain may leave service now
  /// for a version change, without loss of the promised capacity elsewhere.
  const std::vector<std::string>& rollout_candidates;
  /// When this controller first saw each group in its current epoch and phase,
  /// by group id.
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

/// A state change that must be stored before any order that follows from it is
/// sent.
struct PlannedChange {
  DomainState next;
  DecisionRecord record;
};

struct Plan {
  std::optional<PlannedChange> change;
  std::vector<MemberOrder> orders;
};

/// Whether the host's latest sign of life is at most `lost_after` old.
bool IsAlive(const PlanInput& input,
             std::string_view host,
             const PlanPolicy& policy,
             TimePoint now);

Plan PlanDomain(const PlanInput& input,
                const PlanPolicy& policy,
                TimePoint now);

/// Hosts of the domain that may join a group now: alive, not leaving, in no
/// group, and settled after their last loss.
std::vector<std::string> FreeHosts(const PlanInput& input,
                                   const PlanPolicy& policy,
                                   TimePoint now);

/// Number of accelerators on hosts that are not members of a serving group.
int StrandedAccelerators(const DomainState& state, const DomainHosts& hosts);

}  // namespace filbertrack

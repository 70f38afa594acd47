#include "filbertrack/groups_plan.h"

#include <algorithm>
#include <variant>

namespace filbertrack {

namespace {

/// Change found by one planning step, if any. The first step that finds one
/// ends the search for this pass.
using StepResult = std::optional<PlannedChange>;

bool Contains(std::span<const std::string> names, std::string_view name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

bool IsLeaving(const PlanInput& input, std::string_view host) {
  const PlatformHost* row = FindHost(input.hosts, host);
  return row == nullptr || row->leaving;
}

/// Why a member counts as lost; empty if it does not.
std::string LossReason(const PlanInput& input,
                       const std::string& host,
                       const PlanPolicy& policy,
                       TimePoint now) {
  const HostView* view = FindView(input.views, host);
  if (view == nullptr || !view->alive_at) {
    return "host " + host + " has no live engine";
  }
  if (now - *view->alive_at > policy.lost_after) {
    return "host " + host + " silent for " +
           std::to_string(ToMilliseconds(now - *view->alive_at)) + " ms";
  }
  return "";
}

bool HasJoined(const HostView& view, const Group& group) {
  return view.report.group == group.id && view.report.epoch == group.epoch;
}

PlannedChange MakeChange(const PlanInput& input,
                         const Group& group,
                         std::string action,
                         std::string evidence) {
  PlannedChange change{input.state, {}};
  change.record.action = std::move(action);
  change.record.group = group.id;
  change.record.epoch = group.epoch;
  change.record.evidence = std::move(evidence);
  return change;
}

Group& FindGroup(DomainState& state, std::string_view id) {
  return *std::find_if(state.groups.begin(), state.groups.end(),
                       [id](const Group& group) { return group.id == id; });
}

void RemoveGroup(DomainState& state, std::string_view id) {
  std::erase_if(state.groups,
                [id](const Group& group) { return group.id == id; });
}

/// Starts a new epoch, which all members must join; membership in the old epoch
/// no longer counts.
void StartEpoch(DomainState& state, Group& group) {
  group.epoch = ++state.last_epoch;
  group.phase = GroupPhase::kLoading;
  group.drain_goal = DrainGoal::kNone;
}

Duration TimeInPhase(const PlanInput& input,
                     const Group& group,
                     TimePoint now) {
  const auto since = input.phase_since.find(group.id);
  return since == input.phase_since.end() ? Duration(0) : now - since->second;
}

bool HasRequests(const PlanInput& input, const Group& group) {
  return std::any_of(group.members.begin(), group.members.end(),
                     [&input](const std::string& host) {
                       const HostView* view = FindView(input.views, host);
                       return view != nullptr && view->report.running > 0;
                     });
}

/// Replaces lost members by spares, or marks the group as broken until there
/// are enough spares. Reloads a broken group once all its members are back.
StepResult RepairGroup(const PlanInput& input,
                       const Group& group,
                       const PlanPolicy& policy,
                       TimePoint now) {
  std::vector<std::string> lost;
  std::string evidence;
  for (const std::string& host : group.members) {
    const std::string why = LossReason(input, host, policy, now);
    if (!why.empty()) {
      lost.push_back(host);
      evidence += evidence.empty() ? why : "; " + why;
    }
  }
  if (lost.empty()) {
    if (group.phase != GroupPhase::kBroken) {
      return std::nullopt;
    }
    PlannedChange change =
        MakeChange(input, group, "reload", "all members are back");
    StartEpoch(change.next, FindGroup(change.next, group.id));
    return change;
  }
  if (policy.repair == RepairPolicy::kRebuildGroup) {
    PlannedChange change = MakeChange(input, group, "dissolve", evidence);
    RemoveGroup(change.next, group.id);
    return change;
  }
  const std::vector<std::string> spares = FreeHosts(input, policy, now);
  if (spares.size() < lost.size()) {
    if (group.phase == GroupPhase::kBroken) {
      return std::nullopt;
    }
    PlannedChange change = MakeChange(
        input, group, "break",
        evidence +
            "; free hosts in the domain: " + std::to_string(spares.size()));
    FindGroup(change.next, group.id).phase = GroupPhase::kBroken;
    return change;
  }
  PlannedChange change = MakeChange(input, group, "replace-member", evidence);
  Group& next = FindGroup(change.next, group.id);
  for (size_t i = 0; i < lost.size(); ++i) {
    std::replace(next.members.begin(), next.members.end(), lost[i], spares[i]);
    change.record.evidence +=
        "; " + spares[i] + " takes the place of " + lost[i];
  }
  StartEpoch(change.next, next);
  return change;
}

/// Reloads a group with a member that is alive but no longer in the group's
/// epoch: its engine was restarted, or obeyed an order of an earlier
/// controller.
StepResult RejoinMembers(const PlanInput& input, const Group& group) {
  if (group.phase != GroupPhase::kServing) {
    return std::nullopt;
  }
  for (const std::string& host : group.members) {
    const HostView* view = FindView(input.views, host);
    if (view == nullptr || HasJoined(*view, group)) {
      continue;
    }
    PlannedChange change =
        MakeChange(input, group, "reload",
                   "host " + host + " reports group '" + view->report.group +
                       "' epoch " + std::to_string(view->report.epoch) +
                       ", incarnation " + view->report.incarnation);
    StartEpoch(change.next, FindGroup(change.next, group.id));
    return change;
  }
  return std::nullopt;
}

/// A loading group serves once every member is ready in its epoch, and goes
/// back to the last good version if one of them cannot load this one.
StepResult FinishLoading(const PlanInput& input, const Group& group) {
  if (group.phase != GroupPhase::kLoading) {
    return std::nullopt;
  }
  size_t ready = 0;
  for (const std::string& host : group.members) {
    const HostView* view = FindView(input.views, host);
    if (view == nullptr || !HasJoined(*view, group)) {
      continue;
    }
    ready += view->report.phase == MemberPhase::kReady ? 1 : 0;
    if (view->report.phase != MemberPhase::kFailed) {
      continue;
    }
    const auto declared =
        input.resources.serving_groups.find(group.serving_group);
    if (declared == input.resources.serving_groups.end() ||
        declared->second.last_good_version.empty() ||
        declared->second.last_good_version == group.model_version) {
      return std::nullopt;
    }
    PlannedChange change = MakeChange(
        input, group, "roll-back",
        "version " + group.model_version + " failed to load on host " + host);
    change.next.failed_versions.push_back(group.model_version);
    Group& next = FindGroup(change.next, group.id);
    next.model_version = declared->second.last_good_version;
    StartEpoch(change.next, next);
    return change;
  }
  if (ready < group.members.size()) {
    return std::nullopt;
  }
  PlannedChange change =
      MakeChange(input, group, "serve",
                 "all " + std::to_string(ready) + " members are ready");
  FindGroup(change.next, group.id).phase = GroupPhase::kServing;
  return change;
}

StepResult FinishDraining(const PlanInput& input,
                          const Group& group,
                          const PlanPolicy& policy,
                          TimePoint now) {
  if (group.phase != GroupPhase::kDraining) {
    return std::nullopt;
  }
  const Duration since = TimeInPhase(input, group, now);
  const bool quiet = since >= policy.drain_floor && !HasRequests(input, group);
  if (!quiet && since < policy.drain_limit) {
    return std::nullopt;
  }
  const std::string evidence =
      quiet ? "no request in flight" : "the drain limit has passed";
  if (group.drain_goal == DrainGoal::kDissolve) {
    PlannedChange change = MakeChange(input, group, "dissolve", evidence);
    RemoveGroup(change.next, group.id);
    return change;
  }
  if (group.drain_goal == DrainGoal::kChangeVersion) {
    PlannedChange change = MakeChange(input, group, "change-version", evidence);
    Group& next = FindGroup(change.next, group.id);
    const auto declared =
        input.resources.serving_groups.find(group.serving_group);
    if (declared != input.resources.serving_groups.end()) {
      next.model_version = declared->second.model_version;
      next.adapters = declared->second.adapters;
    }
    StartEpoch(change.next, next);
    return change;
  }
  PlannedChange change = MakeChange(input, group, "replace-member", evidence);
  Group& next = FindGroup(change.next, group.id);
  for (const std::string& spare : FreeHosts(input, policy, now)) {
    const auto leaving = std::find_if(
        next.members.begin(), next.members.end(),
        [&input](const std::string& host) { return IsLeaving(input, host); });
    if (leaving == next.members.end()) {
      break;
    }
    *leaving = spare;
  }
  StartEpoch(change.next, next);
  return change;
}

/// Drains a group with a member on a host that the platform is about to remove,
/// if a spare is free, so that the member is replaced while it still answers.
StepResult MoveOffLeavingHost(const PlanInput& input,
                              const Group& group,
                              const PlanPolicy& policy,
                              TimePoint now) {
  if (group.phase != GroupPhase::kServing) {
    return std::nullopt;
  }
  for (const std::string& host : group.members) {
    if (!IsLeaving(input, host)) {
      continue;
    }
    if (FreeHosts(input, policy, now).empty()) {
      return std::nullopt;
    }
    PlannedChange change =
        MakeChange(input, group, "drain", "host " + host + " is leaving");
    Group& next = FindGroup(change.next, group.id);
    next.phase = GroupPhase::kDraining;
    next.drain_goal = DrainGoal::kReplaceMember;
    return change;
  }
  return std::nullopt;
}

StepResult StartRollout(const PlanInput& input, const Group& group) {
  const auto declared =
      input.resources.serving_groups.find(group.serving_group);
  if (group.phase != GroupPhase::kServing ||
      declared == input.resources.serving_groups.end() ||
      !Contains(input.rollout_candidates, group.serving_group)) {
    return std::nullopt;
  }
  const ServingGroup& wanted = declared->second;
  const bool same = wanted.model_version == group.model_version &&
                    wanted.adapters == group.adapters;
  if (same || Contains(input.state.failed_versions, wanted.model_version)) {
    return std::nullopt;
  }
  PlannedChange change =
      MakeChange(input, group, "drain",
                 "version " + wanted.model_version + " is declared, " +
                     group.model_version + " is served");
  Group& next = FindGroup(change.next, group.id);
  next.phase = GroupPhase::kDraining;
  next.drain_goal = DrainGoal::kChangeVersion;
  return change;
}

int CountReplicas(const DomainState& state, std::string_view serving_group) {
  return static_cast<int>(
      std::count_if(state.groups.begin(), state.groups.end(),
                    [serving_group](const Group& group) {
                      return group.serving_group == serving_group &&
                             group.drain_goal != DrainGoal::kDissolve;
                    }));
}

int WantedReplicas(const PlanInput& input, const std::string& serving_group) {
  const auto wanted = input.wanted.find(serving_group);
  return wanted == input.wanted.end() ? 0 : wanted->second;
}

/// Drains a replica in excess of the wanted number; broken and loading ones go
/// first.
StepResult RemoveExcessReplica(const PlanInput& input) {
  for (const GroupPhase phase :
       {GroupPhase::kBroken, GroupPhase::kLoading, GroupPhase::kServing}) {
    for (const Group& group : input.state.groups) {
      if (group.phase != phase ||
          CountReplicas(input.state, group.serving_group) <=
              WantedReplicas(input, group.serving_group)) {
        continue;
      }
      PlannedChange change =
          MakeChange(input, group, "drain", "fewer replicas are wanted here");
      Group& next = FindGroup(change.next, group.id);
      next.phase = GroupPhase::kDraining;
      next.drain_goal = DrainGoal::kDissolve;
      return change;
    }
  }
  return std::nullopt;
}

StepResult FormGroup(const PlanInput& input,
                     const PlanPolicy& policy,
                     TimePoint now) {
  // Repair takes precedence over new replicas: a broken group may need these
  // hosts.
  const bool repairing = std::any_of(
      input.state.groups.begin(), input.state.groups.end(),
      [](const Group& group) { return group.phase == GroupPhase::kBroken; });
  const std::vector<std::string> free = FreeHosts(input, policy, now);
  for (const auto& [name, declared] : input.resources.serving_groups) {
    if (CountReplicas(input.state, name) >= WantedReplicas(input, name)) {
      continue;
    }
    const int reserve = CountReplicas(input.state, name) > 0 || repairing
                            ? declared.spares_per_domain
                            : 0;
    const auto needed = static_cast<size_t>(declared.members_per_replica);
    if (free.size() < needed + static_cast<size_t>(reserve)) {
      continue;
    }
    PlannedChange change{input.state, {}};
    Group group;
    group.service = declared.service;
    group.serving_group = name;
    group.model_version =
        Contains(input.state.failed_versions, declared.model_version) &&
                !declared.last_good_version.empty()
            ? declared.last_good_version
            : declared.model_version;
    group.adapters = declared.adapters;
    group.members.assign(free.begin(),
                         free.begin() + static_cast<ptrdiff_t>(needed));
    StartEpoch(change.next, group);
    group.id = input.hosts.domain + "/" + std::to_string(group.epoch);
    change.record.action = "form";
    change.record.group = group.id;
    change.record.epoch = group.epoch;
    change.record.evidence = std::to_string(free.size()) +
                             " free hosts; serving group " + name + " wants " +
                             std::to_string(WantedReplicas(input, name)) +
                             " replicas here";
    change.next.groups.push_back(std::move(group));
    return change;
  }
  return std::nullopt;
}

StepResult PlanChange(const PlanInput& input,
                      const PlanPolicy& policy,
                      TimePoint now) {
  for (const Group& group : input.state.groups) {
    if (group.drain_goal == DrainGoal::kDissolve) {
      continue;
    }
    if (StepResult change = RepairGroup(input, group, policy, now)) {
      return change;
    }
  }
  for (const Group& group : input.state.groups) {
    if (StepResult change = RejoinMembers(input, group)) {
      return change;
    }
    if (StepResult change = FinishLoading(input, group)) {
      return change;
    }
    if (StepResult change = FinishDraining(input, group, policy, now)) {
      return change;
    }
    if (StepResult change = MoveOffLeavingHost(input, group, policy, now)) {
      return change;
    }
  }
  if (StepResult change = RemoveExcessReplica(input)) {
    return change;
  }
  if (StepResult change = FormGroup(input, policy, now)) {
    return change;
  }
  for (const Group& group : input.state.groups) {
    if (StepResult change = StartRollout(input, group)) {
      return change;
    }
  }
  return std::nullopt;
}

std::vector<MemberOrder> PlanOrders(const PlanInput& input,
                                    const PlanPolicy& policy,
                                    TimePoint now) {
  std::vector<MemberOrder> orders;
  for (const auto& [host, view] : input.views) {
    if (!IsAlive(input, host, policy, now)) {
      continue;
    }
    const Group* group = FindGroupOfHost(input.state, host);
    if (group == nullptr) {
      if (!view.report.group.empty()) {
        orders.emplace_back(LeaveOrder{host});
      }
      continue;
    }
    const bool joins = group->phase == GroupPhase::kLoading;
    if (joins && !HasJoined(view, *group)) {
      orders.emplace_back(JoinOrder{host, *group});
    }
  }
  return orders;
}

}  // namespace

Plan PlanDomain(const PlanInput& input,
                const PlanPolicy& policy,
                TimePoint now) {
  Plan plan;
  plan.change = PlanChange(input, policy, now);
  // Orders follow the stored state only. Those for the change of this pass wait
  // until it is stored: if another controller's update wins, no engine may have
  // received them.
  plan.orders = PlanOrders(input, policy, now);
  return plan;
}

}  // namespace filbertrack

#include <algorithm>

#include "replica_pass.h"

/// Part of the planner that opens complete groups and dissolves broken ones.

namespace filbertrack {

void ReplicaPass::ReconcileStandby(const ReplicaView& replica) {
  for (const BackendServer* member : replica.members) {
    if (member != nullptr) {
      m_released.insert(member->id);
    }
  }
}

void ReplicaPass::ReconcileReplica(const ReplicaView& replica) {
  const bool any_evacuated =
      std::any_of(replica.members.begin(), replica.members.end(),
                  [this](const BackendServer* member) {
                    return member != nullptr && IsEvacuated(*member);
                  });
  if (any_evacuated) {
    return;
  }
  if (IsStandbyGroup(replica.group.name)) {
    ReconcileStandby(replica);
    return;
  }
  const ModelProfile* model =
      m_engine.FindModel(ModelOfGroup(replica.group.name));
  const size_t size =
      model == nullptr ? 0 : static_cast<size_t>(model->members);
  bool complete =
      replica.members.size() == size && size > 0 && !replica.interrupted;
  bool joining = false;
  for (const BackendServer* member : replica.members) {
    complete = complete && IsUsable(member);
    joining = joining || (member != nullptr && member->membership->state ==
                                                   MembershipState::kJoining);
  }
  if (complete && model != nullptr && IsDonorGroup(replica)) {
    ReconcileDonor(replica);
    return;
  }
  if (complete && model != nullptr) {
    ReconcileComplete(replica, *model, joining);
    return;
  }
  if (!replica.interrupted && IsForming(replica)) {
    return;
  }
  Dissolve(replica, "a member is missing, leaving or silent");
}

bool ReplicaPass::IsForming(const ReplicaView& replica) {
  const bool any_lost =
      std::any_of(replica.members.begin(), replica.members.end(),
                  [this](const BackendServer* member) {
                    return member != nullptr && !IsUsable(member);
                  });
  const BackendServer* head = replica.head();
  const bool opened = head != nullptr &&
                      head->membership->state != MembershipState::kJoining &&
                      head->membership->state != MembershipState::kReady;
  const auto since =
      m_memory.joining_since.try_emplace(replica.group, m_now).first->second;
  const auto join = m_memory.pending_joins.find(replica.group);
  const bool repeats = m_policy.repeats_joins && replica.head() != nullptr &&
                       join != m_memory.pending_joins.end() &&
                       join->second.wanted;
  const Duration timeout =
      repeats ? m_policy.forming_timeout : m_policy.headless_timeout;
  const bool forming = !any_lost && !opened && m_now - since < timeout;
  if (forming && repeats) {
    RetryJoin(join->second);
  }
  return forming;
}

void ReplicaPass::RetryJoin(PendingJoin& join) {
  const bool due = m_now - join.last_sent >= m_policy.order_retry;
  std::vector<std::string> missing;
  for (const std::string& member : join.order.members) {
    const BackendServer* server = m_input.directory.Find(member);
    const bool joined =
        server != nullptr && GroupOf(*server) == join.order.group;
    if (!joined) {
      missing.push_back(member);
      // Not available for another group until it has started to join.
      MarkBusy(member);
    }
  }
  if (due && !missing.empty()) {
    join.last_sent = m_now;
    m_orders.push_back(
        {join.order, "a member has not started to join", std::move(missing)});
  }
}

void ReplicaPass::ReconcileComplete(const ReplicaView& replica,
                                    const ModelProfile& model,
                                    bool joining) {
  AdjustGroupCount(replica, model, 1);
  const BackendServer& head = *replica.head();
  switch (head.membership->state) {
    case MembershipState::kBroken:
      AdjustGroupCount(replica, model, -1);
      Disband(replica);
      return;
    case MembershipState::kReady:
      if (IsSuperseded(replica)) {
        AdjustGroupCount(replica, model, -1);
        Disband(replica);
        return;
      }
      if (!joining && !IsBusy(head.id)) {
        MarkBusy(head.id);
        OpenOrders& open_orders = m_memory.open_orders[replica.group];
        open_orders.last_sent = m_now;
        ++open_orders.unanswered;
        AddOrder(OpenGroup{head.id, replica.group}, "all members are ready");
      }
      return;
    case MembershipState::kJoining:
      AbandonSlowJoin(replica, model);
      return;
    case MembershipState::kOpen:
    case MembershipState::kClosing:
      return;
  }
}

bool ReplicaPass::IsSuperseded(const ReplicaView& replica) const {
  if (replica.group.epoch / kEpochsPerTerm != m_memory.term) {
    return true;
  }
  return std::any_of(replica.members.begin(), replica.members.end(),
                     [this, &replica](const BackendServer* member) {
                       const auto ordered =
                           m_memory.ordered_epoch.find(member->id);
                       return ordered != m_memory.ordered_epoch.end() &&
                              ordered->second != replica.group.epoch;
                     });
}

void ReplicaPass::AbandonSlowJoin(const ReplicaView& replica,
                                  const ModelProfile& model) {
  const auto since =
      m_memory.joining_since.try_emplace(replica.group, m_now).first->second;
  const auto timeout = Duration(static_cast<int64_t>(
      m_policy.join_timeout_factor * static_cast<double>(model.load.count())));
  if (m_now - since > timeout) {
    AdjustGroupCount(replica, model, -1);
    Disband(replica);
  }
}

void ReplicaPass::AdjustGroupCount(const ReplicaView& replica,
                                   const ModelProfile& model,
                                   int change) {
  m_group_counts[model.name] += change;
  m_group_counts_in[replica.domain][model.name] += change;
}

void ReplicaPass::Dissolve(const ReplicaView& replica, std::string_view why) {
  if (HeadLeft(replica)) {
    ReleaseMembers(replica);
    return;
  }
  const BackendServer* head = replica.head();
  if (head == nullptr || Health(*head) != HostHealth::kAnswers) {
    DissolveWithoutHead(replica, head);
    return;
  }
  switch (head->membership->state) {
    case MembershipState::kOpen:
    case MembershipState::kClosing: {
      if (IsBusy(head->id)) {
        return;
      }
      // If all members answer and none has left or restarted, running requests
      // may finish.
      const bool graceful =
          !replica.interrupted &&
          std::none_of(replica.members.begin(), replica.members.end(),
                       [this](const BackendServer* member) {
                         return member == nullptr ||
                                Health(*member) != HostHealth::kAnswers;
                       });
      if (graceful && head->membership->state == MembershipState::kClosing) {
        return;
      }
      MarkBusy(head->id);
      AddOrder(CloseGroup{head->id, replica.group, !graceful},
               std::string(why));
      return;
    }
    case MembershipState::kJoining:
    case MembershipState::kReady:
    case MembershipState::kBroken:
      Disband(replica);
      return;
  }
}

bool ReplicaPass::HeadLeft(const ReplicaView& replica) const {
  return m_input.directory.HeadLeft(replica.group);
}

void ReplicaPass::DissolveWithoutHead(const ReplicaView& replica,
                                      const BackendServer* head) {
  const bool process_ended =
      head != nullptr && Health(*head) == HostHealth::kGone;
  if (process_ended) {
    ReleaseMembers(replica);
    return;
  }
  if (head == nullptr && OrderUnregisteredHead(replica)) {
    return;
  }
  // The head may be alive behind a network partition and hold requests. Without
  // its members it stalls, and refuses the requests at the end of the stall.
  for (const BackendServer* member : replica.members) {
    if (member == nullptr || member == head || !IsUsable(member) ||
        IsBusy(member->id)) {
      continue;
    }
    MarkBusy(member->id);
    AddOrder(LeaveGroup{member->id, replica.group}, "the head is silent");
  }
}

bool ReplicaPass::OrderUnregisteredHead(const ReplicaView& replica) {
  const BackendServer* head = m_input.directory.FindLastHead(replica.group);
  if (head == nullptr) {
    return false;
  }
  const TimePoint since =
      m_memory.headless_since.try_emplace(replica.group, m_now).first->second;
  if (m_memory.recent_orders.contains(head->id)) {
    return m_now - since < 2 * m_policy.order_retry;
  }
  MarkBusy(head->id);
  if (m_now == since) {
    AddOrder(CloseGroup{head->id, replica.group, false},
             "the head is no longer registered");
  } else {
    AddOrder(LeaveGroup{head->id, replica.group},
             "the head is no longer registered");
  }
  return m_now - since < 2 * m_policy.order_retry;
}

void ReplicaPass::Disband(const ReplicaView& replica) {
  const BackendServer& head = *replica.head();
  if (head.membership->state == MembershipState::kJoining) {
    // A head that is still joining cannot have been ordered to open.
    m_released.insert(head.id);
    ReleaseMembers(replica);
    return;
  }
  if (!IsBusy(head.id)) {
    MarkBusy(head.id);
    AddOrder(LeaveGroup{head.id, replica.group}, "the group is dissolved");
  }
}

void ReplicaPass::ReleaseMembers(const ReplicaView& replica) {
  for (const BackendServer* member : replica.members) {
    if (member != nullptr && member->membership->rank > 0) {
      m_released.insert(member->id);
    }
  }
}

}  // namespace filbertrack

#include <algorithm>

#include "replica_pass.h"

/// The part of the planner that opens groups, and takes broken ones apart.

namespace filbertrack {

void ReplicaPass::TendStandby(const ReplicaView& replica) {
  for (const BackendServer* member : replica.members) {
    if (member != nullptr) {
      m_freed.insert(member->id);
    }
  }
}

void ReplicaPass::TendReplica(const ReplicaView& replica) {
  const bool any_evacuated =
      std::any_of(replica.members.begin(), replica.members.end(),
                  [this](const BackendServer* member) {
                    return member != nullptr && IsEvacuated(*member);
                  });
  if (any_evacuated) {
    return;
  }
  if (IsStandbyGroup(replica.group)) {
    TendStandby(replica);
    return;
  }
  const ModelProfile* model = m_engine.FindModel(ModelOfGroup(replica.group));
  const size_t size =
      model == nullptr ? 0 : static_cast<size_t>(model->members);
  bool whole =
      replica.members.size() == size && size > 0 && !replica.interrupted;
  bool joining = false;
  for (const BackendServer* member : replica.members) {
    whole = whole && IsUsable(member);
    joining = joining || (member != nullptr && member->membership->state ==
                                                   MembershipState::kJoining);
  }
  if (whole && model != nullptr) {
    TendWhole(replica, *model, joining);
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
      m_memory.joining_since.try_emplace(Key(replica), m_now).first->second;
  const auto given = m_memory.joins.find(replica.group);
  const bool repeats = m_policy.repeats_joins && replica.head() != nullptr &&
                       given != m_memory.joins.end() && given->second.wanted &&
                       given->second.order.epoch == replica.epoch;
  const Duration patience =
      repeats ? m_policy.forming_patience : m_policy.headless_patience;
  const bool forming = !any_lost && !opened && m_now - since < patience;
  if (forming && repeats) {
    RepeatJoin(given->second);
  }
  return forming;
}

void ReplicaPass::RepeatJoin(GivenJoin& given) {
  const bool due = m_now - given.last_sent >= m_policy.order_retry;
  std::vector<std::string> missing;
  for (const std::string& member : given.order.members) {
    const BackendServer* server = m_input.directory.Find(member);
    const bool begun = server != nullptr && server->membership &&
                       server->membership->group == given.order.group;
    if (!begun) {
      missing.push_back(member);
      // Until it begins it must not go to another group.
      Occupy(member);
    }
  }
  if (due && !missing.empty()) {
    given.last_sent = m_now;
    m_orders.push_back(
        {given.order, "a member did not begin to join", std::move(missing)});
  }
}

void ReplicaPass::TendWhole(const ReplicaView& replica,
                            const ModelProfile& model,
                            bool joining) {
  CountWhole(replica, model, 1);
  const BackendServer& head = *replica.head();
  switch (head.membership->state) {
    case MembershipState::kBroken:
      CountWhole(replica, model, -1);
      Free(replica);
      return;
    case MembershipState::kReady:
      if (IsSuperseded(replica)) {
        CountWhole(replica, model, -1);
        Free(replica);
        return;
      }
      if (!joining && !IsBusy(head.id)) {
        Occupy(head.id);
        OpenOrders& opens = m_memory.opens[replica.group];
        opens.epoch = replica.epoch;
        opens.last_sent = m_now;
        ++opens.unanswered;
        Give(OpenGroup{head.id, replica.group, replica.epoch},
             "all members are ready");
      }
      return;
    case MembershipState::kJoining:
      GiveUpSlowJoin(replica, model);
      return;
    case MembershipState::kOpen:
    case MembershipState::kClosing:
      return;
  }
}

bool ReplicaPass::IsSuperseded(const ReplicaView& replica) const {
  if (replica.epoch / kEpochsPerTerm != m_memory.term) {
    return true;
  }
  return std::any_of(replica.members.begin(), replica.members.end(),
                     [this, &replica](const BackendServer* member) {
                       const auto ordered =
                           m_memory.ordered_epoch.find(member->id);
                       return ordered != m_memory.ordered_epoch.end() &&
                              ordered->second != replica.epoch;
                     });
}

void ReplicaPass::GiveUpSlowJoin(const ReplicaView& replica,
                                 const ModelProfile& model) {
  const auto since =
      m_memory.joining_since.try_emplace(Key(replica), m_now).first->second;
  const auto patience = Duration(static_cast<int64_t>(
      m_policy.join_patience * static_cast<double>(model.load.count())));
  if (m_now - since > patience) {
    CountWhole(replica, model, -1);
    Free(replica);
  }
}

void ReplicaPass::CountWhole(const ReplicaView& replica,
                             const ModelProfile& model,
                             int change) {
  m_whole[model.name] += change;
  m_whole_in[replica.domain][model.name] += change;
}

void ReplicaPass::Dissolve(const ReplicaView& replica, std::string_view why) {
  if (HeadLeft(replica)) {
    FreeMembers(replica);
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
      // Members that only leave in an orderly way let the requests end.
      const bool orderly =
          !replica.interrupted &&
          std::none_of(replica.members.begin(), replica.members.end(),
                       [this](const BackendServer* member) {
                         return member == nullptr ||
                                Health(*member) != HostHealth::kAnswers;
                       });
      if (orderly && head->membership->state == MembershipState::kClosing) {
        return;
      }
      Occupy(head->id);
      Give(CloseGroup{head->id, replica.group, replica.epoch, !orderly},
           std::string(why));
      return;
    }
    case MembershipState::kJoining:
    case MembershipState::kReady:
    case MembershipState::kBroken:
      Free(replica);
      return;
  }
}

bool ReplicaPass::HeadLeft(const ReplicaView& replica) const {
  return m_input.directory.HeadLeft(replica.group, replica.epoch);
}

void ReplicaPass::DissolveWithoutHead(const ReplicaView& replica,
                                      const BackendServer* head) {
  const bool certainly_gone =
      head != nullptr && Health(*head) == HostHealth::kGone;
  if (certainly_gone) {
    FreeMembers(replica);
    return;
  }
  if (head == nullptr && AskLapsedHead(replica)) {
    return;
  }
  // The head may live behind a partition and hold requests. Without its
  // members it stands still, and refuses them after the stall.
  for (const BackendServer* member : replica.members) {
    if (member == nullptr || member == head || !IsUsable(member) ||
        IsBusy(member->id)) {
      continue;
    }
    Occupy(member->id);
    Give(LeaveGroup{member->id, replica.group, replica.epoch},
         "the head is silent");
  }
}

bool ReplicaPass::AskLapsedHead(const ReplicaView& replica) {
  const BackendServer* head =
      m_input.directory.FindLastHead(replica.group, replica.epoch);
  if (head == nullptr) {
    return false;
  }
  const TimePoint since =
      m_memory.headless_since.try_emplace(Key(replica), m_now).first->second;
  if (m_memory.given.contains(head->id)) {
    return m_now - since < 2 * m_policy.order_retry;
  }
  Occupy(head->id);
  if (m_now == since) {
    Give(CloseGroup{head->id, replica.group, replica.epoch, false},
         "the head is not registered any more");
  } else {
    Give(LeaveGroup{head->id, replica.group, replica.epoch},
         "the head is not registered any more");
  }
  return m_now - since < 2 * m_policy.order_retry;
}

void ReplicaPass::Free(const ReplicaView& replica) {
  const BackendServer& head = *replica.head();
  if (head.membership->state == MembershipState::kJoining) {
    // Nobody can have ordered it to open.
    m_freed.insert(head.id);
    FreeMembers(replica);
    return;
  }
  if (!IsBusy(head.id)) {
    Occupy(head.id);
    Give(LeaveGroup{head.id, replica.group, replica.epoch},
         "the group is taken apart");
  }
}

void ReplicaPass::FreeMembers(const ReplicaView& replica) {
  for (const BackendServer* member : replica.members) {
    if (member != nullptr && member->membership->rank > 0) {
      m_freed.insert(member->id);
    }
  }
}

}  // namespace filbertrack

#include "filbertrack/server_directory.h"

#include <algorithm>

namespace filbertrack {

namespace {

/// Number of recorded groups from which those without members are forgotten.
constexpr size_t kMaxGroupsWithoutHead = 256;
/// Limit of the recorded registrations of removed servers; larger than the
/// number that can expire at once. At the limit, the entry with the lowest id
/// is dropped for a new one, whatever its age.
constexpr size_t kMaxRemoved = 1024;

bool IsHeadOf(const BackendServer& server, const GroupId& group) {
  return server.membership && server.membership->rank == 0 &&
         server.membership->epoch == group.epoch &&
         server.membership->group == group.name &&
         server.service == group.service;
}

}  // namespace

std::optional<GroupId> GroupOf(const BackendServer& server) {
  if (!server.membership) {
    return std::nullopt;
  }
  return GroupId{server.service, server.membership->group,
                 server.membership->epoch};
}

bool IsStandbyGroup(std::string_view group) {
  return group.ends_with(kStandbySuffix);
}

bool ServerDirectory::Put(BackendServer server, TimePoint now) {
  const BackendServer* last = FindLast(server.id);
  if (last != nullptr &&
      IsNewerInstance(last->process_start_ms, server.process_start_ms)) {
    return false;
  }
  m_pending_removal.erase(server.id);
  const auto [row, arrived] = m_servers.try_emplace(server.id);
  BackendServer& known = row->second;
  if (arrived) {
    m_last_arrival = now;
    auto before = m_removed.extract(server.id);
    if (!before.empty()) {
      known = std::move(before.mapped());
    }
  }
  NoteCold(server, now);
  if (known == server) {
    // A removed server that returns unchanged is a change, too.
    return arrived;
  }
  if (IsNewerInstance(server.process_start_ms, known.process_start_ms)) {
    ResetInstance(known);
    m_last_arrival = now;
  }
  NoteInterruption(known, server);
  NoteDeparture(known, server, now);
  NoteOpen(known, server, now);
  known = std::move(server);
  ForgetEmptyGroups();
  return true;
}

void ServerDirectory::NoteCold(const BackendServer& server, TimePoint now) {
  if (server.cold_left.value_or(Duration(0)) > Duration(0)) {
    m_cold[server.id] = now + *server.cold_left;
  } else {
    m_cold.erase(server.id);
  }
}

void ServerDirectory::AssumeCold(const std::string& id, TimePoint until) {
  m_assumed_cold[id] = until;
}

std::optional<TimePoint> ServerDirectory::ColdUntil(std::string_view id,
                                                    TimePoint now) const {
  std::optional<TimePoint> until;
  for (const auto* cold : {&m_cold, &m_assumed_cold}) {
    const auto found = cold->find(id);
    if (found != cold->end() && found->second > now) {
      until = std::max(until.value_or(found->second), found->second);
    }
  }
  return until;
}

void ServerDirectory::ResetInstance(BackendServer& known) {
  BackendServer after;
  after.id = known.id;
  NoteInterruption(known, after);
  NoteHeadDeparture(known, after);
  m_open_since.erase(known.id);
  // The new process is in no group, so no head can run requests on it.
  m_departures.erase(known.id);
  known = std::move(after);
}

void ServerDirectory::NoteInterruption(const BackendServer& before,
                                       const BackendServer& after) {
  if (!before.membership ||
      before.membership->state == MembershipState::kJoining) {
    return;
  }
  const bool stays = GroupOf(after) == GroupOf(before) &&
                     after.membership->state != MembershipState::kJoining;
  if (!stays) {
    m_interrupted.insert(*GroupOf(before));
  }
}

void ServerDirectory::NoteHeadDeparture(const BackendServer& before,
                                        const BackendServer& after) {
  if (!before.membership || before.membership->rank != 0) {
    return;
  }
  if (GroupOf(after) != GroupOf(before)) {
    m_headless_groups.insert(*GroupOf(before));
  }
}

void ServerDirectory::NoteOpen(const BackendServer& before,
                               const BackendServer& after,
                               TimePoint now) {
  const bool is_open = after.membership && after.membership->rank == 0 &&
                       after.membership->state == MembershipState::kOpen;
  if (!is_open) {
    m_open_since.erase(after.id);
    return;
  }
  if (before.membership != after.membership) {
    m_open_since[after.id] = now;
  }
}

std::optional<TimePoint> ServerDirectory::OpenSince(
    const GroupId& group) const {
  const BackendServer* head = FindLastHead(group);
  const auto found =
      head == nullptr ? m_open_since.end() : m_open_since.find(head->id);
  if (found == m_open_since.end()) {
    return std::nullopt;
  }
  return found->second;
}

void ServerDirectory::ForgetEmptyGroups() {
  if (m_headless_groups.size() < kMaxGroupsWithoutHead &&
      m_interrupted.size() < kMaxGroupsWithoutHead) {
    return;
  }
  std::set<GroupId> present;
  for (const auto& [id, server] : m_servers) {
    if (const auto group = GroupOf(server)) {
      present.insert(*group);
    }
  }
  const auto is_empty = [&present](const GroupId& group) {
    return !present.contains(group);
  };
  std::erase_if(m_headless_groups, is_empty);
  std::erase_if(m_interrupted, is_empty);
}

const BackendServer* ServerDirectory::FindHead(const GroupId& group) const {
  for (const auto& [id, server] : m_servers) {
    if (IsHeadOf(server, group)) {
      return &server;
    }
  }
  return nullptr;
}

void ServerDirectory::NoteDeparture(const BackendServer& before,
                                    const BackendServer& after,
                                    TimePoint now) {
  NoteHeadDeparture(before, after);
  // A standby host counts as a host without a group: a late order to stand by
  // must not end the time for which it is held.
  if (after.membership && !IsStandbyGroup(after.membership->group)) {
    m_departures.erase(after.id);
    return;
  }
  if (!before.membership || before.membership->rank == 0) {
    return;
  }
  const GroupId group = *GroupOf(before);
  const BackendServer* head = FindHead(group);
  // A group whose head is still joining was never opened.
  const bool never_open =
      head != nullptr && head->membership->state == MembershipState::kJoining;
  if (!never_open && !HeadLeft(group)) {
    m_departures[after.id] = {group, now, now};
  }
}

void ServerDirectory::OnInitialListing(TimePoint now) {
  if (m_listed) {
    return;
  }
  m_listed = true;
  const bool any_group = std::any_of(
      m_servers.begin(), m_servers.end(),
      [](const auto& row) { return row.second.membership.has_value(); });
  for (const auto& [id, server] : m_servers) {
    if (any_group && !server.membership) {
      m_departures[id] = {std::nullopt, now, now};
    }
  }
}

const Departure* ServerDirectory::FindDeparture(std::string_view id) const {
  const auto found = m_departures.find(id);
  if (found == m_departures.end()) {
    return nullptr;
  }
  const Departure& departure = found->second;
  const bool is_over = departure.group && HeadLeft(*departure.group);
  return is_over ? nullptr : &departure;
}

bool ServerDirectory::IsHeld(std::string_view id,
                             Duration stall,
                             TimePoint now) const {
  const Departure* departure = FindDeparture(id);
  return departure != nullptr &&
         (now - departure->held_from < stall ||
          (departure->group && FindHead(*departure->group) != nullptr));
}

void ServerDirectory::NoteHeadRemoved(const BackendServer& head,
                                      TimePoint now) {
  if (!head.membership || head.membership->rank != 0) {
    return;
  }
  for (auto& [id, departure] : m_departures) {
    if (departure.group == GroupOf(head)) {
      departure.held_from = now;
    }
  }
}

void ServerDirectory::RemoveRegistration(std::string_view id, TimePoint now) {
  const auto found = m_servers.find(id);
  NoteHeadRemoved(found->second, now);
  if (m_removed.size() >= kMaxRemoved) {
    m_open_since.erase(m_removed.begin()->first);
    m_removed.erase(m_removed.begin());
  }
  const auto cold = m_cold.find(id);
  if (cold != m_cold.end()) {
    m_cold.erase(cold);
  }
  const auto assumed = m_assumed_cold.find(id);
  if (assumed != m_assumed_cold.end()) {
    m_assumed_cold.erase(assumed);
  }
  m_removed.insert_or_assign(found->first, std::move(found->second));
  m_servers.erase(found);
}

bool ServerDirectory::Remove(std::string_view id, TimePoint now) {
  const auto found = m_servers.find(id);
  if (found == m_servers.end()) {
    return false;
  }
  const bool just_returned =
      m_store_returned && now - *m_store_returned < m_policy.expiry_grace;
  // A draining server is removed at once, even after an outage.
  if (just_returned && !found->second.draining) {
    m_pending_removal.try_emplace(found->first,
                                  *m_store_returned + m_policy.expiry_grace);
    return false;
  }
  m_pending_removal.erase(found->first);
  RemoveRegistration(id, now);
  return true;
}

bool ServerDirectory::Discard(std::string_view id, TimePoint now) {
  if (!m_servers.contains(id)) {
    return false;
  }
  const auto expiry = m_pending_removal.find(id);
  if (expiry != m_pending_removal.end()) {
    m_pending_removal.erase(expiry);
  }
  RemoveRegistration(id, now);
  return true;
}

void ServerDirectory::OnStoreReturned(TimePoint returned) {
  m_store_returned = returned;
  for (auto& [id, expiry] : m_pending_removal) {
    expiry = std::min(expiry, returned + m_policy.expiry_grace);
  }
}

bool ServerDirectory::OnReturnDisproved(TimePoint now) {
  m_store_returned.reset();
  for (auto& [id, expiry] : m_pending_removal) {
    expiry = now;
  }
  return Expire(now);
}

bool ServerDirectory::Expire(TimePoint now) {
  bool changed = false;
  for (auto it = m_pending_removal.begin(); it != m_pending_removal.end();) {
    if (it->second > now) {
      ++it;
      continue;
    }
    RemoveRegistration(it->first, now);
    it = m_pending_removal.erase(it);
    changed = true;
  }
  return changed;
}

std::optional<TimePoint> ServerDirectory::HeldUntil(std::string_view id) const {
  const auto found = m_pending_removal.find(id);
  return found == m_pending_removal.end() ? std::nullopt
                                          : std::optional(found->second);
}

std::optional<TimePoint> ServerDirectory::NextExpiry() const {
  std::optional<TimePoint> next;
  for (const auto& [id, at] : m_pending_removal) {
    next = next ? std::min(*next, at) : at;
  }
  return next;
}

const BackendServer* ServerDirectory::Find(std::string_view id) const {
  const auto found = m_servers.find(id);
  return found == m_servers.end() ? nullptr : &found->second;
}

const BackendServer* ServerDirectory::FindLast(std::string_view id) const {
  if (const BackendServer* server = Find(id)) {
    return server;
  }
  const auto found = m_removed.find(id);
  return found == m_removed.end() ? nullptr : &found->second;
}

const BackendServer* ServerDirectory::FindLastHead(const GroupId& group) const {
  if (const BackendServer* head = FindHead(group)) {
    return head;
  }
  for (const auto& [id, server] : m_removed) {
    if (IsHeadOf(server, group)) {
      return &server;
    }
  }
  return nullptr;
}

std::vector<ReplicaView> ServerDirectory::Replicas(
    std::string_view service) const {
  std::map<std::pair<std::string_view, uint64_t>, ReplicaView> by_epoch;
  for (const auto& [id, server] : m_servers) {
    if (server.service != service || !server.membership) {
      continue;
    }
    const Membership& membership = *server.membership;
    ReplicaView& replica = by_epoch[{membership.group, membership.epoch}];
    replica.group = *GroupOf(server);
    replica.domain = server.domain;
    replica.interrupted = m_interrupted.contains(replica.group);
    const auto rank = static_cast<size_t>(std::max(0, membership.rank));
    if (replica.members.size() <= rank) {
      replica.members.resize(rank + 1, nullptr);
    }
    replica.members[rank] = &server;
  }
  std::vector<ReplicaView> replicas;
  replicas.reserve(by_epoch.size());
  for (auto& [key, replica] : by_epoch) {
    replicas.push_back(std::move(replica));
  }
  return replicas;
}

bool IsIntact(const ReplicaView& replica, int size) {
  return !replica.interrupted &&
         replica.members.size() == static_cast<size_t>(size) &&
         std::none_of(
             replica.members.begin(), replica.members.end(),
             [](const BackendServer* member) { return member == nullptr; });
}

bool IsServing(const ReplicaView& replica, int size) {
  if (!IsIntact(replica, size)) {
    return false;
  }
  for (const BackendServer* member : replica.members) {
    if (member->draining) {
      return false;
    }
    const MembershipState wanted = member->membership->rank == 0
                                       ? MembershipState::kOpen
                                       : MembershipState::kReady;
    if (member->membership->state != wanted) {
      return false;
    }
  }
  return true;
}

}  // namespace filbertrack

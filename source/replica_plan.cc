#include "replica_pass.h"

#include <algorithm>

namespace filbertrack {

namespace {

/// Adds the hosts that an order is sent to.
struct RecordRecipients {
  std::set<std::string, std::less<>>& hosts;

  void operator()(const JoinGroup& order) const {
    hosts.insert(order.members.begin(), order.members.end());
  }
  void operator()(const OpenGroup& order) const { hosts.insert(order.head); }
  void operator()(const CloseGroup& order) const { hosts.insert(order.head); }
  void operator()(const LeaveGroup& order) const { hosts.insert(order.host); }
  void operator()(const StageModel& order) const { hosts.insert(order.host); }
};

/// Updates the pending joins for an order that is sent: an open order completes
/// the join of its group, a close or leave order abandons it.
struct PendingJoinUpdate {
  std::map<GroupId, PendingJoin>& joins;

  void operator()(const OpenGroup& order) const { joins.erase(order.group); }
  void operator()(const CloseGroup& order) const { Abandon(order.group); }
  void operator()(const LeaveGroup& order) const { Abandon(order.group); }
  void operator()(const JoinGroup&) const {}
  void operator()(const StageModel&) const {}

  void Abandon(const GroupId& group) const {
    const auto found = joins.find(group);
    if (found != joins.end()) {
      found->second.wanted = false;
    }
  }
};

}  // namespace

std::vector<PlannedOrder> ReplicaPass::Run() {
  if (!m_memory.term_start) {
    m_memory.term_start = m_now;
  }
  PruneMemory();
  InheritLoads();
  if (IsSettling()) {
    return {};
  }
  DecideCoarseGroups();
  for (const ReplicaView& replica : m_replicas) {
    ReconcileReplica(replica);
  }
  UpdatePressure();
  if (m_policy.follows_demand) {
    AdaptShares();
  }
  FormGroups();
  StageModels();
  if (m_policy.warms_spares) {
    WarmSpares();
  }
  if (HasCoarseGroups() && m_policy.follows_demand && m_policy.moves_groups) {
    MoveGroups();
  }
  return std::move(m_orders);
}

bool ReplicaPass::IsSettling() const {
  const auto arrival = m_input.directory.last_arrival();
  return m_input.before_traffic && m_replicas.empty() && arrival &&
         m_now - *arrival < m_policy.settle;
}

HostHealth ReplicaPass::Health(const BackendServer& server) const {
  const auto found = m_input.probe_results.find(server.id);
  if (found == m_input.probe_results.end() ||
      IsNewerInstance(server.process_start_ms,
                      found->second.process_start_ms)) {
    return HostHealth::kAnswers;
  }
  // The probe reached a newer process than the registered one, which has
  // therefore ended; the registration is not renewed yet.
  return IsNewerInstance(found->second.process_start_ms,
                         server.process_start_ms)
             ? HostHealth::kGone
             : found->second.health;
}

bool ReplicaPass::IsUsable(const BackendServer* server) const {
  return server != nullptr && !server->draining &&
         Health(*server) == HostHealth::kAnswers;
}

bool ReplicaPass::IsEvacuated(const BackendServer& server) const {
  return m_input.evacuations != nullptr &&
         m_input.evacuations->Contains(server.data_centre);
}

bool ReplicaPass::IsBusy(const std::string& host) const {
  const auto found = m_memory.recent_orders.find(host);
  if (found == m_memory.recent_orders.end() ||
      m_now - found->second.at >= m_policy.order_retry) {
    return false;
  }
  const BackendServer* server = m_input.directory.Find(host);
  return server != nullptr && server->membership == found->second.before;
}

bool ReplicaPass::IsQuarantined(const std::string& host) const {
  const Departure* departure = m_input.directory.FindDeparture(host);
  if (departure == nullptr) {
    return false;
  }
  if (departure->group && m_memory.pending_joins.contains(*departure->group)) {
    // The group was never ordered to open, so its head holds no requests.
    return false;
  }
  const Duration stall = m_policy.stall + m_policy.stall_margin;
  if (!departure->group || CannotReopen(*departure)) {
    // The head has been stalled since its member left, or since it opened after
    // that. At the end of the stall it refuses the requests that it holds.
    const OpenOrders* opens =
        departure->group ? FindOpenOrders(*departure->group) : nullptr;
    const TimePoint opened_by = opens == nullptr
                                    ? departure->left_at
                                    : opens->last_sent + m_policy.order_retry;
    return m_now - std::max(departure->left_at, opened_by) < stall;
  }
  return m_input.directory.IsHeld(host, stall + m_policy.order_ttl, m_now);
}

const OpenOrders* ReplicaPass::FindOpenOrders(const GroupId& group) const {
  const auto found = m_memory.open_orders.find(group);
  return found == m_memory.open_orders.end() ? nullptr : &found->second;
}

bool ReplicaPass::CannotReopen(const Departure& departure) const {
  const GroupId& group = *departure.group;
  if (group.epoch / kEpochsPerTerm == m_memory.term) {
    const OpenOrders* opens = FindOpenOrders(group);
    return opens == nullptr || opens->unanswered == 0;
  }
  if (m_now - m_memory.term_start.value_or(m_now) >= m_policy.order_ttl) {
    return true;
  }
  // The open order of an earlier controller was sent no later than the head was
  // first seen open.
  const auto open_since = m_input.directory.OpenSince(group);
  return open_since && departure.left_at - *open_since >= m_policy.order_ttl;
}

bool ReplicaPass::HasStaged(const BackendServer& server,
                            std::string_view model) {
  return std::find(server.staged.begin(), server.staged.end(), model) !=
         server.staged.end();
}

bool ReplicaPass::IsLoading(const BackendServer& server) const {
  if (m_memory.loading.contains(server.id)) {
    return true;
  }
  const auto found = m_input.probe_results.find(server.id);
  return found != m_input.probe_results.end() && found->second.busy &&
         server.staged.empty();
}

std::optional<std::string> ReplicaPass::InheritedModel(
    const BackendServer& server) const {
  const auto& membership = server.membership;
  if (membership && membership->state == MembershipState::kClosing) {
    return std::nullopt;
  }
  if (membership && membership->state == MembershipState::kJoining) {
    const std::string model(ModelOfGroup(membership->group));
    return HasStaged(server, model) || server.model == model
               ? std::nullopt
               : std::optional(model);
  }
  // A host is not ordered to load weights that it has.
  std::string lacking;
  for (const ModelProfile& model : m_engine.models) {
    if (HasStaged(server, model.name)) {
      continue;
    }
    if (!lacking.empty()) {
      return "";
    }
    lacking = model.name;
  }
  return lacking;
}

void ReplicaPass::InheritLoads() {
  // Orders of earlier controllers may still arrive for this long.
  if (m_input.before_traffic ||
      m_now - *m_memory.term_start > m_policy.order_ttl) {
    return;
  }
  for (const auto& [id, server] : m_input.directory.servers()) {
    if (server.service != m_input.service.name || !IsExecuting(id) ||
        m_memory.known_orders.contains(id)) {
      continue;
    }
    const auto model = InheritedModel(server);
    if (!model) {
      continue;
    }
    m_memory.known_orders.insert(id);
    const bool serves = server.membership &&
                        server.membership->state != MembershipState::kJoining &&
                        !IsStandbyGroup(server.membership->group);
    m_memory.loading[id] = {m_now, *model, serves, true};
    // It may have started within the window.
    m_memory.load_starts.push_back(m_now);
  }
}

void ReplicaPass::AddOrder(ReplicaOrder order, std::string reason) {
  std::visit(RecordRecipients{m_memory.known_orders}, order);
  std::visit(PendingJoinUpdate{m_memory.pending_joins}, order);
  m_orders.push_back({std::move(order), std::move(reason), {}});
}

void ReplicaPass::MarkBusy(const std::string& host) {
  const BackendServer* server = m_input.directory.Find(host);
  m_memory.recent_orders[host] = {
      m_now, server == nullptr ? std::nullopt : server->membership};
}

void ReplicaPass::ForgetEarlierInstances() {
  for (const auto& [id, server] : m_input.directory.servers()) {
    uint64_t& known = m_memory.process_starts[id];
    if (IsNewerInstance(server.process_start_ms, known)) {
      m_memory.recent_orders.erase(id);
      m_memory.loading.erase(id);
      m_memory.known_orders.erase(id);
    }
    known = server.process_start_ms;
  }
  std::erase_if(m_memory.process_starts, [this](const auto& row) {
    return m_input.directory.FindLast(row.first) == nullptr;
  });
}

void ReplicaPass::PruneMemory() {
  ForgetEarlierInstances();
  std::erase_if(m_memory.recent_orders, [this](const auto& entry) {
    return m_now - entry.second.at > m_policy.order_retry;
  });
  while (!m_memory.load_starts.empty() &&
         m_now - m_memory.load_starts.front() > m_policy.load_window) {
    m_memory.load_starts.pop_front();
  }
  std::erase_if(m_memory.loading, [this](const auto& entry) {
    const BackendServer* server = m_input.directory.Find(entry.first);
    const bool is_over = entry.second.is_inherited && !IsExecuting(entry.first);
    const bool done =
        server == nullptr || is_over || HasStaged(*server, entry.second.model);
    return done || m_now - entry.second.at > LoadTimeout();
  });
  // Once this time has passed since an order was sent, the order can no longer
  // be executed, and a head that opened by it without its members has refused
  // the requests that it held.
  const Duration settled =
      m_policy.order_ttl + m_policy.stall + m_policy.stall_margin;
  std::erase_if(m_memory.open_orders, [this, settled](const auto& entry) {
    return m_now - entry.second.last_sent > settled;
  });
  std::erase_if(m_memory.pending_joins, [this](const auto& entry) {
    return m_now - entry.second.last_sent >
           m_policy.order_ttl + m_policy.stall + m_policy.stall_margin;
  });
  std::erase_if(m_memory.known_orders, [this](const std::string& id) {
    return m_input.directory.Find(id) == nullptr;
  });
  std::erase_if(m_memory.ordered_epoch, [this](const auto& entry) {
    return m_input.directory.Find(entry.first) == nullptr;
  });
  std::set<GroupId> present;
  for (const ReplicaView& replica : m_replicas) {
    present.insert(replica.group);
  }
  std::erase_if(m_memory.headless_since, [&present](const auto& entry) {
    return !present.contains(entry.first);
  });
  PruneDonorGroups();
  std::erase_if(m_memory.joining_since, [&present](const auto& entry) {
    return !present.contains(entry.first);
  });
}

Duration ReplicaPass::LoadTimeout() const {
  Duration longest{0};
  for (const ModelProfile& model : m_engine.models) {
    longest = std::max(longest, model.load);
  }
  return 2 * longest;
}

LoadCounts CountOtherLoads(const ReplicaMemories& memories,
                           std::string_view service,
                           const ReplicaPolicy& policy,
                           TimePoint now) {
  LoadCounts counts;
  for (const auto& [name, memory] : memories) {
    if (name == service) {
      continue;
    }
    counts.under_way += memory.loading.size();
    counts.started += static_cast<size_t>(
        std::count_if(memory.load_starts.begin(), memory.load_starts.end(),
                      [&policy, now](TimePoint started) {
                        return now - started <= policy.load_window;
                      }));
  }
  return counts;
}

std::vector<PlannedOrder> PlanReplicas(const ReplicaInput& input,
                                       const ReplicaPolicy& policy,
                                       ReplicaMemory& memory,
                                       TimePoint now) {
  if (!input.service.engine) {
    return {};
  }
  return ReplicaPass(input, policy, memory, now).Run();
}

void OnOrderAnswered(const ReplicaOrder& order, ReplicaMemory& memory) {
  const auto* open = std::get_if<OpenGroup>(&order);
  if (open == nullptr) {
    return;
  }
  const auto found = memory.open_orders.find(open->group);
  if (found != memory.open_orders.end()) {
    found->second.unanswered = std::max(0, found->second.unanswered - 1);
  }
}

ReplicaCounts CountReplicas(const ReplicaInput& input,
                            const ReplicaPolicy& policy,
                            ReplicaMemory& memory,
                            TimePoint now) {
  ReplicaCounts counts;
  const ReplicaPass pass(input, policy, memory, now);
  counts.loading = static_cast<int>(memory.loading.size());
  for (const ReplicaView& replica :
       input.directory.Replicas(input.service.name)) {
    const std::string model(ModelOfGroup(replica.group.name));
    if (IsStandbyGroup(replica.group.name)) {
      ++counts.standing_by[model];
      continue;
    }
    const ModelProfile* profile = input.service.engine->FindModel(model);
    const bool serves =
        profile != nullptr && IsServing(replica, profile->members);
    ++(serves ? counts.serving : counts.not_serving)[model];
  }
  for (const auto& [id, server] : input.directory.servers()) {
    if (server.service != input.service.name || server.draining) {
      continue;
    }
    if (pass.Health(server) != HostHealth::kAnswers) {
      ++counts.silent;
      continue;
    }
    ++counts.usable;
    if (server.membership) {
      continue;
    }
    counts.quarantined += pass.IsQuarantined(id) ? 1 : 0;
    if (server.staged.empty()) {
      ++counts.empty;
    } else {
      ++counts.standing_by[server.staged.back()];
    }
  }
  return counts;
}

std::map<std::string, int, std::less<>> WantedReplicas(
    const EngineProfile& engine,
    int hosts) {
  double shares = 0;
  for (const ModelProfile& model : engine.models) {
    shares += model.share;
  }
  std::map<std::string, int, std::less<>> wanted;
  int left = hosts;
  for (const ModelProfile& model : engine.models) {
    const double part = shares <= 0 ? 0 : hosts * model.share / shares;
    const int groups = static_cast<int>(part / model.members);
    wanted[model.name] = groups;
    left -= groups * model.members;
  }
  // Remaining hosts go to the models furthest below their share.
  bool placed = true;
  while (placed) {
    placed = false;
    const ModelProfile* neediest = nullptr;
    double least = 0;
    for (const ModelProfile& model : engine.models) {
      const double filled =
          wanted[model.name] * model.members / std::max(model.share, 1e-9);
      if (model.members <= left && (neediest == nullptr || filled < least)) {
        neediest = &model;
        least = filled;
      }
    }
    if (neediest != nullptr) {
      ++wanted[neediest->name];
      left -= neediest->members;
      placed = true;
    }
  }
  return wanted;
}

std::string_view ModelOfGroup(std::string_view group) {
  return group.substr(0, group.rfind(kGroupNameSeparator));
}

}  // namespace filbertrack

#include <algorithm>
#include <cmath>

#include "filbertrack/replica_demand.h"
#include "replica_pass.h"

/// Part of the planner that moves whole groups between models. A move is not
/// stored: each pass derives it from the weights that the hosts report, so that
/// another controller continues or abandons it.

namespace filbertrack {

namespace {

/// A group moves only if the load of the receiver's hosts stays this much
/// higher than that of the donor's. Covers the error of the needs, which are
/// computed from the usual tokens of all models together, and keeps a group
/// from moving back.
constexpr double kMinLoadRatio = 1.1;

}  // namespace

void ReplicaPass::RecordNeeds() {
  RecordedNeed need;
  need.at = m_now;
  for (const ModelProfile& model : m_engine.models) {
    const auto pressure = m_input.pressure.find(model.name);
    const auto smoothed = m_memory.pressure.find(model.name);
    const auto groups = m_group_counts.find(model.name);
    if (pressure == m_input.pressure.end() ||
        smoothed == m_memory.pressure.end() || groups == m_group_counts.end() ||
        groups->second <= 0) {
      // The demand for a model that no group serves is unknown.
      m_memory.needs.clear();
      return;
    }
    const double present = HostsNeeded(m_engine, model, groups->second,
                                       pressure->second, m_policy.utilisation);
    const double mean = HostsNeeded(m_engine, model, groups->second,
                                    smoothed->second, m_policy.utilisation);
    need.low[model.name] = std::min(present, mean);
    need.high[model.name] = std::max(present, mean);
  }
  m_memory.needs.push_back(std::move(need));
  while (m_now - m_memory.needs.front().at > m_policy.move_memory) {
    m_memory.needs.pop_front();
  }
}

std::optional<double> ReplicaPass::LeastNeed(std::string_view model) const {
  if (m_memory.needs.empty() ||
      m_now - m_memory.needs.front().at < m_policy.move_delay) {
    return std::nullopt;
  }
  std::optional<double> least;
  for (const RecordedNeed& need : m_memory.needs) {
    const auto found = need.low.find(model);
    if (m_now - need.at <= m_policy.move_delay && found != need.low.end()) {
      least = std::min(least.value_or(found->second), found->second);
    }
  }
  return least;
}

double ReplicaPass::GreatestNeed(std::string_view model) const {
  double greatest = 0;
  for (const RecordedNeed& need : m_memory.needs) {
    const auto found = need.high.find(model);
    greatest = std::max(greatest, found == need.high.end() ? 0 : found->second);
  }
  return greatest;
}

bool ReplicaPass::IsDonorGroup(const ReplicaView& replica) const {
  return m_memory.donor_groups.contains(replica.group);
}

bool ReplicaPass::IsKeptForOther(const std::string& host,
                                 std::string_view model) const {
  return std::any_of(m_memory.donor_groups.begin(), m_memory.donor_groups.end(),
                     [&host, model](const auto& entry) {
                       const auto& members = entry.second.members;
                       return entry.second.receiver != model &&
                              std::find(members.begin(), members.end(), host) !=
                                  members.end();
                     });
}

void ReplicaPass::PruneDonorGroups() {
  if (m_memory.donor_groups.empty()) {
    return;
  }
  for (const ReplicaView& replica : m_replicas) {
    const auto donor = m_memory.donor_groups.find(replica.group);
    if (donor != m_memory.donor_groups.end() && HasHead(replica)) {
      donor->second.last_seen = m_now;
    }
  }
  // The hosts of several small groups form one large group only once the last
  // of them is closed.
  std::set<std::string, std::less<>> closing;
  for (const auto& [group, donor] : m_memory.donor_groups) {
    if (m_now - donor.last_seen <= m_policy.order_retry) {
      closing.insert(donor.domain);
    }
  }
  std::erase_if(m_memory.donor_groups, [&closing](const auto& entry) {
    return !closing.contains(entry.second.domain);
  });
}

void ReplicaPass::ReconcileDonor(const ReplicaView& replica) {
  Dissolve(replica, "its hosts serve another model");
}

int ReplicaPass::CountGroups(std::string_view model) const {
  return static_cast<int>(
      std::count_if(m_replicas.begin(), m_replicas.end(),
                    [this, model](const ReplicaView& replica) {
                      return ModelOfGroup(replica.group.name) == model &&
                             !IsStandbyGroup(replica.group.name) &&
                             !IsDonorGroup(replica) && HasHead(replica);
                    }));
}

int ReplicaPass::CountConvertible(const ModelProfile& model) const {
  int groups = 0;
  for (const auto& [name, domain] : m_domains) {
    size_t hosts = CountStandby(domain, model);
    for (const ModelProfile& other : m_engine.models) {
      const bool converts = other.name != model.name && Shortage(other) <= 0;
      hosts += converts ? FindIdle(domain, other).size() : 0;
    }
    groups += static_cast<int>(hosts) / model.members;
  }
  return groups;
}

int ReplicaPass::CountMovable(const ModelProfile& donor,
                              const ModelProfile& receiver) const {
  const auto least = LeastNeed(receiver.name);
  if (!least) {
    return 0;
  }
  const double greatest = GreatestNeed(donor.name);
  int receiving = CountGroups(receiver.name) + CountConvertible(receiver);
  for (const auto& [group, closing] : m_memory.donor_groups) {
    receiving += closing.receiver == receiver.name ? closing.groups : 0;
  }
  const auto found = m_group_counts.find(donor.name);
  const int have = found == m_group_counts.end() ? 0 : found->second;
  // One group more than needed is kept for the next loss.
  const int needed = static_cast<int>(std::ceil(greatest / donor.members)) + 1;
  const auto wanted = m_wanted.find(donor.name);
  const int kept =
      std::max(needed, wanted == m_wanted.end() ? 0 : wanted->second);
  int moved = 0;
  while (have - moved > kept) {
    const int hosts = (moved + 1) * donor.members;
    const double receiver_load =
        *least / std::max(1, receiving * receiver.members + hosts);
    const double donor_load = greatest / (have * donor.members - hosts);
    if (receiver_load < donor_load * kMinLoadRatio) {
      break;
    }
    ++moved;
  }
  return moved;
}

bool ReplicaPass::MayMove(const ReplicaView& replica,
                          const ModelProfile& donor) const {
  return ModelOfGroup(replica.group.name) == donor.name &&
         !IsStandbyGroup(replica.group.name) && !IsDonorGroup(replica) &&
         IsServing(replica, donor.members) && !IsBusy(replica.head()->id) &&
         std::all_of(replica.members.begin(), replica.members.end(),
                     [this](const BackendServer* member) {
                       return IsUsable(member) && !IsEvacuated(*member);
                     });
}

std::optional<ReplicaPass::Move> ReplicaPass::FindMove(
    const std::string& domain_name,
    const Domain& domain,
    const ModelProfile& donor,
    const ModelProfile& receiver) const {
  const auto size = static_cast<size_t>(receiver.members);
  std::vector<const BackendServer*> hosts;
  const auto loads = [this, &receiver](const BackendServer* host) {
    const auto loading = m_memory.loading.find(host->id);
    return loading != m_memory.loading.end() &&
           loading->second.model == receiver.name;
  };
  // Spares count if they have the weights.
  for (const BackendServer* host : domain.free) {
    if (IsWarm(*host, receiver.name) || loads(host)) {
      hosts.push_back(host);
    }
  }
  if (hosts.size() >= size) {
    // A group forms without a move.
    return std::nullopt;
  }
  Move move;
  std::vector<const BackendServer*> cold;
  for (const ReplicaView& replica : m_replicas) {
    const bool needs_more = hosts.size() + cold.size() < size;
    if (replica.domain != domain_name || !needs_more ||
        !MayMove(replica, donor)) {
      continue;
    }
    move.donors.push_back(&replica);
    for (const BackendServer* member : replica.members) {
      const bool ready = HasStaged(*member, receiver.name) || loads(member);
      (ready ? hosts : cold).push_back(member);
    }
  }
  // Members that are not the head become free first.
  std::stable_partition(
      cold.begin(), cold.end(),
      [](const BackendServer* host) { return host->membership->rank > 0; });
  if (move.donors.empty() || hosts.size() + cold.size() < size) {
    return std::nullopt;
  }
  // One group is enough: loads are scarce, and hosts that remain idle load the
  // weights after repairs have had theirs.
  const size_t groups = std::max<size_t>(1, hosts.size() / size);
  move.groups = static_cast<int>(groups);
  move.loading =
      static_cast<size_t>(std::count_if(hosts.begin(), hosts.end(), loads));
  cold.resize(std::min(cold.size(),
                       groups * size - std::min(groups * size, hosts.size())));
  move.to_load = std::move(cold);
  return move;
}

bool ReplicaPass::IsExecuting(const std::string& host) const {
  const auto probe = m_input.probe_results.find(host);
  return probe != m_input.probe_results.end() && probe->second.busy;
}

size_t ReplicaPass::CountMoveLoads() const {
  size_t loads = 0;
  for (const auto& [id, server] : m_input.directory.servers()) {
    const auto loading = m_memory.loading.find(id);
    if (loading != m_memory.loading.end()) {
      loads += loading->second.for_move;
      continue;
    }
    // A member of a serving group that executes an order loads weights for a
    // move that an earlier controller began.
    const bool serves = server.service == m_input.service.name &&
                        server.membership &&
                        server.membership->state != MembershipState::kJoining &&
                        !IsStandbyGroup(server.membership->group);
    loads += serves && IsExecuting(id);
  }
  return loads;
}

void ReplicaPass::MoveGroups() {
  if (m_input.before_traffic) {
    return;
  }
  RecordNeeds();
  for (const ModelProfile& receiver : m_engine.models) {
    // The model with the most room gives.
    const ModelProfile* donor = nullptr;
    int movable = 0;
    for (const ModelProfile& model : m_engine.models) {
      const int groups =
          model.name == receiver.name ? 0 : CountMovable(model, receiver);
      const int most = donor == nullptr ? 0 : movable * donor->members;
      if (groups * model.members > most) {
        donor = &model;
        movable = groups;
      }
    }
    if (donor == nullptr) {
      m_memory.short_since.erase(receiver.name);
      continue;
    }
    const TimePoint since =
        m_memory.short_since.try_emplace(receiver.name, m_now).first->second;
    if (m_now - since >= m_policy.move_delay) {
      MoveBetween(*donor, movable, receiver);
    }
  }
}

void ReplicaPass::MoveBetween(const ModelProfile& donor,
                              int movable,
                              const ModelProfile& receiver) {
  std::vector<Move> moves;
  for (const auto& [name, domain] : m_domains) {
    const bool gives =
        std::any_of(m_replicas.begin(), m_replicas.end(),
                    [this, &name = name](const ReplicaView& replica) {
                      return replica.domain == name && IsDonorGroup(replica);
                    });
    auto move = gives ? std::nullopt : FindMove(name, domain, donor, receiver);
    if (move) {
      moves.push_back(std::move(*move));
    }
  }
  // Fewest loads first, so that a move that has begun is continued.
  std::stable_sort(moves.begin(), moves.end(),
                   [](const Move& left, const Move& right) {
                     return left.to_load.size() < right.to_load.size();
                   });
  for (const Move& move : moves) {
    const int closed = static_cast<int>(move.donors.size());
    if (closed > movable) {
      return;
    }
    movable -= closed;
    if (move.to_load.empty() && move.loading == 0) {
      CloseForMove(move, receiver);
    } else {
      StageForMove(move, receiver);
    }
  }
}

void ReplicaPass::StageForMove(const Move& move, const ModelProfile& receiver) {
  const bool repair_waits = std::any_of(
      m_domains.begin(), m_domains.end(),
      [this](const auto& row) { return FindEmpty(row.second) != nullptr; });
  const double allowed = m_policy.move_load_share * m_engine.loads_at_once;
  for (const BackendServer* host : move.to_load) {
    const auto loads = static_cast<double>(CountMoveLoads() + 1);
    if (IsExecuting(host->id)) {
      continue;
    }
    if (repair_waits || loads > allowed || !MayLoad(1)) {
      return;
    }
    RecordLoad(host->id, receiver.name);
    m_memory.loading[host->id].for_move = true;
    AddOrder(StageModel{host->id, receiver.name},
             "the host's group moves to another model");
  }
}

void ReplicaPass::CloseForMove(const Move& move, const ModelProfile& receiver) {
  int groups = move.groups;
  for (const ReplicaView* replica : move.donors) {
    // The groups formed are counted once.
    DonorGroup& donor = m_memory.donor_groups[replica->group];
    donor = {receiver.name, groups, m_now, replica->domain, {}};
    for (const BackendServer* member : replica->members) {
      donor.members.push_back(member->id);
    }
    groups = 0;
    ReconcileDonor(*replica);
  }
}

}  // namespace filbertrack

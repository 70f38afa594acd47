#include <algorithm>
#include <cmath>

#include "replica_pass.h"

/// Part of the planner that chooses the weights of spare hosts of a service
/// with coarse groups.

namespace filbertrack {

namespace {

/// Rate of lost hosts until losses have been observed: one in 100 s per host.
constexpr double kInitialLossRate = 0.01;
/// Least rate of lost hosts that is assumed. Spares of quiet times are loaded
/// before the next losses, so what is lost most must still decide.
constexpr double kMinLossRate = 0.001;
/// Time constant of the observed rate of lost hosts, about that of a load.
constexpr Duration kLossWindow = Seconds(10);
/// Value of a further group of a model that lacks none, relative to a missing
/// group.
constexpr double kSurplusValue = 0.2;
/// Value of a load towards a group for which the domain has too few empty
/// hosts: others may be added during the load.
constexpr double kIncompleteValue = 0.1;
/// Value of a host back in service after a loss that is expected, relative to
/// one whose group is broken already.
constexpr double kProtectValue = 0.5;

/// A host that was lost is replaced within this time, or not soon: a domain
/// with too few hosts for a group need not be kept for that group any longer.
constexpr Duration kReplacementTime = Seconds(5);

/// Probability that more than `count` events occur where `mean` are expected.
double ProbabilityOfMore(double mean, size_t count) {
  double term = std::exp(-mean);
  double at_most = term;
  for (size_t i = 1; i <= count; ++i) {
    term *= mean / static_cast<double>(i);
    at_most += term;
  }
  return std::max(0.0, 1 - at_most);
}

}  // namespace

void ReplicaPass::StageModels() {
  if (HasCoarseGroups()) {
    UpdateLossRate();
    StageCoarse();
    if (m_policy.converts_idle && !m_input.before_traffic) {
      ConvertLeftovers();
    }
    return;
  }
  StageSpares();
  if (m_policy.converts_idle) {
    ConvertIdle();
  }
}

void ReplicaPass::UpdateLossRate() {
  std::map<std::string, uint64_t, std::less<>> usable;
  for (const auto& [id, server] : m_input.directory.servers()) {
    if (server.service == m_input.service.name && IsUsable(&server)) {
      usable[id] = server.process_start_ms;
    }
  }
  int lost = 0;
  for (const auto& [id, process_start_ms] : m_memory.usable_hosts) {
    const BackendServer* last = m_input.directory.FindLast(id);
    const auto found = usable.find(id);
    const bool left = last == nullptr || last->draining;
    lost += found == usable.end() ? !left : found->second != process_start_ms;
  }
  const double elapsed = ToSeconds(m_now - m_memory.loss_rate_at);
  const double window = ToSeconds(kLossWindow);
  if (!m_memory.loss_rate || m_input.before_traffic) {
    m_memory.loss_rate = kInitialLossRate;
  } else {
    const double hosts =
        std::max<double>(1, static_cast<double>(m_memory.usable_hosts.size()));
    m_memory.loss_rate = *m_memory.loss_rate * std::exp(-elapsed / window) +
                         lost / (window * hosts);
  }
  m_memory.loss_rate_at = m_now;
  m_memory.usable_hosts = std::move(usable);
}

void ReplicaPass::ReadIdle() {
  std::set<std::string_view> assigned;
  for (const ReplicaView& replica : m_replicas) {
    const ModelProfile* model =
        m_engine.FindModel(ModelOfGroup(replica.group.name));
    const BackendServer* head = replica.head();
    const bool complete =
        model != nullptr && !IsStandbyGroup(replica.group.name) &&
        IsIntact(replica, model->members) &&
        head->membership->state != MembershipState::kBroken &&
        std::all_of(replica.members.begin(), replica.members.end(),
                    [this](const auto* member) { return IsUsable(member); });
    for (const BackendServer* member : replica.members) {
      if (complete) {
        assigned.insert(member->id);
      }
    }
  }
  for (const auto& [group, join] : m_memory.pending_joins) {
    for (const std::string& member : join.order.members) {
      if (join.wanted) {
        assigned.insert(member);
      }
    }
  }
  m_idle.clear();
  for (const auto& [id, server] : m_input.directory.servers()) {
    if (server.service == m_input.service.name && IsUsable(&server) &&
        !IsEvacuated(server) && !assigned.contains(id)) {
      m_idle[server.domain].push_back(&server);
    }
  }
}

bool ReplicaPass::HasOrLoads(const BackendServer& host,
                             const ModelProfile& model) const {
  const auto loading = m_memory.loading.find(host.id);
  return loading == m_memory.loading.end()
             ? IsWarm(host, model.name)
             : loading->second.model == model.name;
}

size_t ReplicaPass::CountSparesOf(const std::string& domain,
                                  const ModelProfile& model) const {
  const auto idle = m_idle.find(domain);
  if (idle == m_idle.end()) {
    return 0;
  }
  const auto present = std::count_if(
      idle->second.begin(), idle->second.end(),
      [this, &model](const auto* host) { return HasOrLoads(*host, model); });
  return static_cast<size_t>(present % model.members);
}

double ReplicaPass::GroupValue(const ModelProfile& model) const {
  const double shortage = Shortage(model);
  return model.members * (shortage > 0 ? 1 + shortage : kSurplusValue);
}

double ReplicaPass::SpareValue(const Domain& domain,
                               const ModelProfile& model,
                               size_t spares) const {
  const auto groups = domain.groups.find(model.name);
  const int present = groups == domain.groups.end() ? 0 : groups->second;
  const double losses = std::max(kMinLossRate, *m_memory.loss_rate) *
                        model.members * present * ToSeconds(model.load);
  return kProtectValue * (model.members - 1) *
         ProbabilityOfMore(losses, spares);
}

size_t ReplicaPass::CountEmpty(const Domain& domain) const {
  return static_cast<size_t>(
      std::count_if(domain.free.begin(), domain.free.end(),
                    [this](const auto* host) { return IsEmpty(*host); }));
}

double ReplicaPass::LoadValue(const std::string& name,
                              const ModelProfile& model) const {
  const Domain& domain = m_domains.at(name);
  const size_t spares = CountSparesOf(name, model);
  const size_t lacking = static_cast<size_t>(model.members) - spares;
  const double completes =
      GroupValue(model) / static_cast<double>(lacking) *
      (CountEmpty(domain) >= lacking ? 1 : kIncompleteValue);
  return (completes + SpareValue(domain, model, spares)) /
         ToSeconds(model.load);
}

void ReplicaPass::StageCoarse() {
  ReadIdle();
  while (MayLoad(1)) {
    const BackendServer* best_host = nullptr;
    const ModelProfile* best_model = nullptr;
    double best = 0;
    for (const auto& [name, domain] : m_domains) {
      const BackendServer* host = FindEmpty(domain);
      for (const ModelProfile& model : m_engine.models) {
        const double value = host == nullptr ? 0 : LoadValue(name, model);
        if (value > best) {
          best = value;
          best_host = host;
          best_model = &model;
        }
      }
    }
    if (best_host == nullptr) {
      return;
    }
    Stage(*best_host, *best_model);
  }
}

std::vector<const BackendServer*> ReplicaPass::FindConvertible(
    const Domain& domain,
    const ModelProfile& model) const {
  std::vector<const BackendServer*> found;
  for (const BackendServer* host : domain.free) {
    const bool only_this =
        host->staged.size() == 1 && host->staged.front() == model.name;
    if (only_this && !IsLoading(*host) && !IsBusy(host->id)) {
      found.push_back(host);
    }
  }
  return found;
}

bool ReplicaPass::IsIncompleteForLong(const std::string& name,
                                      const ModelProfile& model) {
  const std::string key = name + kGroupNameSeparator + model.name;
  const auto idle = m_idle.find(name);
  const size_t hosts = idle == m_idle.end() ? 0 : idle->second.size();
  if (hosts >= static_cast<size_t>(model.members)) {
    m_memory.incomplete_since.erase(key);
    return false;
  }
  const auto since =
      m_memory.incomplete_since.try_emplace(key, m_now).first->second;
  return m_now - since >= kReplacementTime;
}

double ReplicaPass::ConversionCost(const std::string& name,
                                   const ModelProfile& model,
                                   size_t count) {
  const size_t spares = CountSparesOf(name, model);
  if (spares < count) {
    return GroupValue(model);
  }
  const double size = model.members;
  const double before = static_cast<double>(spares) / size;
  const double after = static_cast<double>(spares - count) / size;
  double cost = IsIncompleteForLong(name, model)
                    ? 0
                    : GroupValue(model) * (before * before - after * after);
  for (size_t left = spares - count; left < spares; ++left) {
    cost += SpareValue(m_domains.at(name), model, left);
  }
  return cost;
}

bool ReplicaPass::ConvertFor(const std::string& name,
                             const ModelProfile& wanted) {
  const Domain& domain = m_domains.at(name);
  const size_t lacking =
      static_cast<size_t>(wanted.members) - CountSparesOf(name, wanted);
  const size_t empty = CountEmpty(domain);
  if (empty >= lacking || !MayLoad(lacking)) {
    return false;
  }
  const size_t count = lacking - empty;
  for (const ModelProfile& other : m_engine.models) {
    const auto hosts = FindConvertible(domain, other);
    if (other.name == wanted.name || hosts.size() < count ||
        ConversionCost(name, other, count) >= GroupValue(wanted)) {
      continue;
    }
    for (size_t i = 0; i < count; ++i) {
      Stage(*hosts[i], wanted);
    }
    while (const BackendServer* host = FindEmpty(domain)) {
      Stage(*host, wanted);
    }
    return true;
  }
  return false;
}

void ReplicaPass::ConvertLeftovers() {
  for (const ModelProfile* wanted : ModelsByShortage()) {
    for (const auto& [name, domain] : m_domains) {
      ConvertFor(name, *wanted);
    }
  }
}

}  // namespace filbertrack

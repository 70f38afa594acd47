#include <algorithm>

#include "replica_pass.h"

/// Part of the planner that loads weights in advance.

namespace filbertrack {

namespace {

/// Need for a further group of a model that lacks none; added to the missing
/// fraction of the wanted groups.
constexpr double kMinNeed = 0.2;
/// Estimated probability that a group loses a member during one load.
constexpr double kLossProbability = 0.4;

}  // namespace

size_t ReplicaPass::CountLoading() const {
  size_t loading = 0;
  for (const auto& [id, server] : m_input.directory.servers()) {
    loading += server.service == m_input.service.name && IsLoading(server);
  }
  return loading;
}

bool ReplicaPass::MayLoad(size_t count) const {
  if (count == 0) {
    return true;
  }
  if (m_input.before_traffic) {
    return true;
  }
  if (!m_input.loads_known) {
    return false;
  }
  // A group with more members than the limit is loaded on its own.
  const size_t concurrent =
      CountLoading() + m_input.other_loads.under_way + count;
  const size_t limit =
      std::max(static_cast<size_t>(m_engine.loads_at_once), count);
  if (concurrent > limit) {
    return false;
  }
  const double allowed = m_engine.loads_per_second *
                         ToSeconds(m_policy.load_window) *
                         m_policy.load_rate_share;
  const size_t started =
      m_memory.load_starts.size() + m_input.other_loads.started + count;
  return static_cast<double>(started) <= allowed;
}

void ReplicaPass::RecordLoad(const std::string& host,
                             const std::string& model) {
  m_memory.loading[host] = {m_now, model};
  m_memory.load_starts.push_back(m_now);
}

size_t ReplicaPass::CountStandby(const Domain& domain,
                                 const ModelProfile& model) const {
  return static_cast<size_t>(
      std::count_if(domain.free.begin(), domain.free.end(),
                    [this, &model](const BackendServer* host) {
                      const auto loading = m_memory.loading.find(host->id);
                      return IsWarm(*host, model.name) ||
                             (loading != m_memory.loading.end() &&
                              loading->second.model == model.name);
                    }));
}

bool ReplicaPass::IsEmpty(const BackendServer& host) const {
  return host.staged.empty() && host.model.empty() && !IsLoading(host) &&
         !IsBusy(host.id);
}

const BackendServer* ReplicaPass::FindEmpty(const Domain& domain) const {
  for (const BackendServer* host : domain.free) {
    if (IsEmpty(*host)) {
      return host;
    }
  }
  return nullptr;
}

bool ReplicaPass::StageFirstSpare(const ModelProfile& model) {
  if (!IsLarge(model) || !MayLoad(1)) {
    return false;
  }
  for (auto& [name, domain] : m_domains) {
    const auto groups = domain.groups.find(model.name);
    const BackendServer* host = FindEmpty(domain);
    const bool full = domain.free.size() < static_cast<size_t>(model.members);
    if (groups != domain.groups.end() && groups->second > 0 && full &&
        host != nullptr && CountStandby(domain, model) == 0) {
      Stage(*host, model);
      return true;
    }
  }
  return false;
}

double ReplicaPass::StageValue(const Domain& domain,
                               const ModelProfile& model) const {
  const auto size = static_cast<size_t>(model.members);
  const size_t standing_by = CountStandby(domain, model);
  const size_t lacking = size - standing_by % size;
  const double completes = static_cast<double>(size) /
                           static_cast<double>(lacking) *
                           (kMinNeed + std::max(0.0, Shortage(model)));
  const auto groups = domain.groups.find(model.name);
  const int present = groups == domain.groups.end() ? 0 : groups->second;
  const double protects =
      standing_by == 0 ? kLossProbability * present * (model.members - 1) : 0;
  return completes + protects;
}

void ReplicaPass::Stage(const BackendServer& host, const ModelProfile& model) {
  MarkBusy(host.id);
  RecordLoad(host.id, model.name);
  AddOrder(StageModel{host.id, model.name},
           "a host without a group loads weights in advance");
}

void ReplicaPass::StageSpares() {
  while (MayLoad(1)) {
    const BackendServer* best_host = nullptr;
    const ModelProfile* best_model = nullptr;
    double best = 0;
    for (const auto& [name, domain] : m_domains) {
      const BackendServer* host = FindEmpty(domain);
      for (const ModelProfile& model : m_engine.models) {
        const double value = host == nullptr ? 0 : StageValue(domain, model);
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

std::vector<const BackendServer*> ReplicaPass::FindIdle(
    const Domain& domain,
    const ModelProfile& model) const {
  std::vector<const BackendServer*> idle;
  for (const BackendServer* host : domain.free) {
    const bool only_this =
        host->staged.size() == 1 && host->staged.front() == model.name;
    if (only_this && !IsLoading(*host) && !IsBusy(host->id)) {
      idle.push_back(host);
    }
  }
  const auto groups = domain.groups.find(model.name);
  const bool protects =
      IsLarge(model) && groups != domain.groups.end() && groups->second > 0;
  const auto kept =
      protects ? static_cast<size_t>(m_policy.spares_per_domain) : 0;
  idle.resize(idle.size() - std::min(idle.size(), kept));
  return idle;
}

void ReplicaPass::ConvertIdle() {
  if (m_input.before_traffic) {
    return;
  }
  for (const ModelProfile* wanted : ModelsByShortage()) {
    const auto size = static_cast<size_t>(wanted->members);
    for (auto& [name, domain] : m_domains) {
      for (const ModelProfile& other : m_engine.models) {
        const size_t present = CountStandby(domain, *wanted);
        const size_t lacking = present >= size ? 0 : size - present;
        const auto idle = FindIdle(domain, other);
        const bool helps = other.name != wanted->name && Shortage(other) <= 0 &&
                           lacking > 0 && idle.size() >= lacking &&
                           MayLoad(lacking);
        for (size_t i = 0; helps && i < lacking; ++i) {
          Stage(*idle[i], *wanted);
        }
      }
    }
  }
}

void ReplicaPass::WarmSpares() {
  for (const auto& [name, domain] : m_domains) {
    for (const BackendServer* host : domain.free) {
      const bool may_warm = !host->membership && !host->staged.empty() &&
                            host->model != host->staged.back() &&
                            !IsBusy(host->id);
      const ModelProfile* model =
          may_warm ? m_engine.FindModel(host->staged.back()) : nullptr;
      if (model == nullptr || model->members == 1) {
        continue;
      }
      JoinGroup join;
      join.group = NewGroup(*model, kStandbySuffix);
      join.model = model->name;
      join.members = {host->id};
      m_memory.ordered_epoch[host->id] = join.group.epoch;
      MarkBusy(host->id);
      AddOrder(std::move(join), "a spare loads its weights into memory");
    }
  }
}

}  // namespace filbertrack

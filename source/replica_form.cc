#include <algorithm>

#include "replica_pass.h"

/// Part of the planner that forms new groups.

namespace filbertrack {

namespace {

/// Score of a domain's existing groups, where each free host scores 1. Greater
/// than the number of hosts of a domain, so that the groups decide.
constexpr double kColocationWeight = 1000;

}  // namespace

bool ReplicaPass::IsFree(const BackendServer& server) const {
  return server.service == m_input.service.name && IsUsable(&server) &&
         !IsBusy(server.id) && !IsQuarantined(server.id) &&
         (!server.membership || m_released.contains(server.id));
}

bool ReplicaPass::HasModelInMemory(const BackendServer& server,
                                   std::string_view model) {
  return server.model == model &&
         (!server.membership ||
          server.membership->state != MembershipState::kJoining);
}

bool ReplicaPass::IsWarm(const BackendServer& server, std::string_view model) {
  return server.model == model || HasStaged(server, model);
}

void ReplicaPass::ReadDomains() {
  for (const auto& [id, server] : m_input.directory.servers()) {
    if (server.service != m_input.service.name || !IsUsable(&server) ||
        IsEvacuated(server)) {
      continue;
    }
    ++m_usable;
    Domain& domain = m_domains[server.domain];
    if (IsFree(server)) {
      domain.free.push_back(&server);
    }
  }
  for (const auto& [domain, models] : m_group_counts_in) {
    for (const auto& [model, count] : models) {
      m_domains[domain].groups[model] += count;
    }
  }
}

void ReplicaPass::FormGroups() {
  ReadDomains();
  m_wanted =
      WantedReplicas(m_engine, std::max(0, m_usable - CountReservedHosts()));
  while (FormOne()) {
  }
  while (FormExtra()) {
  }
}

int ReplicaPass::CountReservedHosts() const {
  const auto wanted = WantedReplicas(m_engine, m_usable);
  const int domains = std::max(1, static_cast<int>(m_domains.size()));
  const int room = std::max(1, m_usable / domains - m_policy.spares_per_domain);
  int holding = 0;
  for (const ModelProfile& model : m_engine.models) {
    if (IsLarge(model)) {
      const int hosts = wanted.at(model.name) * model.members;
      holding += (hosts + room - 1) / room;
    }
  }
  return m_policy.spares_per_domain * std::min(holding, domains);
}

double ReplicaPass::Shortage(const ModelProfile& model) const {
  const auto wanted = m_wanted.find(model.name);
  const auto found = m_group_counts.find(model.name);
  const double want = wanted == m_wanted.end() ? 0 : wanted->second;
  const double have = found == m_group_counts.end() ? 0 : found->second;
  return want <= 0 ? 0 : (want - have) / want;
}

std::vector<const ModelProfile*> ReplicaPass::ModelsByShortage() const {
  std::vector<const ModelProfile*> models;
  for (const ModelProfile& model : m_engine.models) {
    if (Shortage(model) > 0) {
      models.push_back(&model);
    }
  }
  std::sort(models.begin(), models.end(),
            [this](const ModelProfile* left, const ModelProfile* right) {
              return Shortage(*left) > Shortage(*right);
            });
  return models;
}

std::vector<ReplicaPass::Domain*> ReplicaPass::DomainsBySuitability(
    const ModelProfile& model) {
  std::vector<std::pair<double, Domain*>> scored;
  for (auto& [name, domain] : m_domains) {
    double own = 0;
    double other = 0;
    for (const auto& [group_model, count] : domain.groups) {
      (group_model == model.name ? own : other) += count;
    }
    const double score = static_cast<double>(domain.free.size()) +
                         kColocationWeight * (own > 0 ? 1 : 0) -
                         kColocationWeight * (other > 0 ? 1 : 0);
    scored.emplace_back(score, &domain);
  }
  std::stable_sort(scored.begin(), scored.end(),
                   [](const auto& left, const auto& right) {
                     return left.first > right.first;
                   });
  std::vector<Domain*> domains;
  domains.reserve(scored.size());
  for (const auto& [score, domain] : scored) {
    domains.push_back(domain);
  }
  return domains;
}

bool ReplicaPass::FormOne() {
  for (const ModelProfile* model : ModelsByShortage()) {
    const std::vector<Domain*> domains = DomainsBySuitability(*model);
    for (Domain* domain : domains) {
      if (FormWarm(*domain, *model)) {
        return true;
      }
    }
    if (!m_input.before_traffic) {
      continue;
    }
    if (StageFirstSpare(*model)) {
      return true;
    }
    for (Domain* domain : domains) {
      if (FormCold(*domain, *model)) {
        return true;
      }
    }
  }
  return false;
}

std::vector<const ModelProfile*> ReplicaPass::ModelsByHostsPerShare() const {
  std::vector<std::pair<double, const ModelProfile*>> filled;
  for (const ModelProfile& model : m_engine.models) {
    const auto found = m_group_counts.find(model.name);
    const int groups = found == m_group_counts.end() ? 0 : found->second;
    const int hosts = groups * model.members + CountSpares(model);
    filled.emplace_back(hosts / std::max(model.share, 1e-9), &model);
  }
  std::stable_sort(filled.begin(), filled.end(),
                   [](const auto& left, const auto& right) {
                     return left.first < right.first;
                   });
  std::vector<const ModelProfile*> models;
  models.reserve(filled.size());
  for (const auto& [fill, model] : filled) {
    models.push_back(model);
  }
  return models;
}

int ReplicaPass::CountSpares(const ModelProfile& model) const {
  if (!IsLarge(model)) {
    return 0;
  }
  const auto holding = std::count_if(
      m_domains.begin(), m_domains.end(), [&model](const auto& row) {
        const auto groups = row.second.groups.find(model.name);
        return groups != row.second.groups.end() && groups->second > 0;
      });
  return m_policy.spares_per_domain * static_cast<int>(holding);
}

bool ReplicaPass::HasLargeGroup(const Domain& domain) const {
  return std::any_of(
      domain.groups.begin(), domain.groups.end(), [this](const auto& row) {
        const ModelProfile* model = m_engine.FindModel(row.first);
        return model != nullptr && IsLarge(*model) && row.second > 0;
      });
}

bool ReplicaPass::FormExtra() {
  const auto spares = static_cast<size_t>(m_policy.spares_per_domain);
  for (const ModelProfile* model : ModelsByHostsPerShare()) {
    const auto size = static_cast<size_t>(model->members);
    for (auto& [name, domain] : m_domains) {
      // Hosts that have the model and suffice for a group are never left idle.
      if (FormWarm(domain, *model)) {
        return true;
      }
      const bool has_large = IsLarge(*model) || HasLargeGroup(domain);
      const bool has_room =
          domain.free.size() >= size + (has_large ? spares : 0);
      if (m_input.before_traffic && has_room && FormCold(domain, *model)) {
        return true;
      }
    }
  }
  return false;
}

bool ReplicaPass::FormWarm(Domain& domain, const ModelProfile& model) {
  std::vector<const BackendServer*> chosen;
  for (const BackendServer* host : domain.free) {
    if (IsWarm(*host, model.name) && !IsKeptForOther(host->id, model.name)) {
      chosen.push_back(host);
    }
  }
  const auto size = static_cast<size_t>(model.members);
  if (chosen.size() < size) {
    return false;
  }
  // Hosts that have the model in memory are ready first.
  std::stable_partition(chosen.begin(), chosen.end(),
                        [&model](const BackendServer* host) {
                          return HasModelInMemory(*host, model.name);
                        });
  chosen.resize(size);
  Join(domain, model, chosen);
  return true;
}

bool ReplicaPass::FormCold(Domain& domain, const ModelProfile& model) {
  std::vector<const BackendServer*> chosen;
  const auto size = static_cast<size_t>(model.members);
  for (const bool warm : {true, false}) {
    for (const BackendServer* host : domain.free) {
      const bool fits = warm ? IsWarm(*host, model.name)
                             : host->staged.empty() && host->model.empty() &&
                                   !IsLoading(*host);
      if (fits && chosen.size() < size) {
        chosen.push_back(host);
      }
    }
  }
  const auto cold = static_cast<size_t>(std::count_if(
      chosen.begin(), chosen.end(), [&model](const BackendServer* host) {
        return !IsWarm(*host, model.name);
      }));
  if (chosen.size() < size || !MayLoad(cold)) {
    return false;
  }
  Join(domain, model, chosen);
  return true;
}

GroupId ReplicaPass::NewGroup(const ModelProfile& model,
                              std::string_view suffix) {
  const uint64_t epoch =
      m_memory.term * kEpochsPerTerm + ++m_memory.last_epoch_number;
  return {m_input.service.name,
          model.name + kGroupNameSeparator + std::to_string(epoch) +
              std::string(suffix),
          epoch};
}

void ReplicaPass::Join(Domain& domain,
                       const ModelProfile& model,
                       const std::vector<const BackendServer*>& chosen) {
  JoinGroup join;
  join.group = NewGroup(model, "");
  join.model = model.name;
  for (const BackendServer* host : chosen) {
    join.members.push_back(host->id);
    m_memory.ordered_epoch[host->id] = join.group.epoch;
    MarkBusy(host->id);
    if (!IsWarm(*host, model.name)) {
      RecordLoad(host->id, model.name);
    }
    std::erase(domain.free, host);
  }
  m_group_counts[model.name] += 1;
  domain.groups[model.name] += 1;
  m_memory.pending_joins[join.group] = {join, m_now};
  AddOrder(std::move(join), "a replica is missing");
}

}  // namespace filbertrack

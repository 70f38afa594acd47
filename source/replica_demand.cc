#include <algorithm>
#include <cmath>

#include "filbertrack/replica_demand.h"
#include "replica_pass.h"

/// Part of the planner that adapts the models' shares to the demand.

namespace filbertrack {

namespace {

/// With fewer groups than this, one lost group takes more than 5% of a model's
/// capacity, for which the other groups cannot compensate.
constexpr int kMinFineGroups = 20;

}  // namespace

bool HasCoarseGroups(const EngineProfile& engine, int usable_hosts) {
  double shares = 0;
  for (const ModelProfile& model : engine.models) {
    shares += model.share;
  }
  bool few = false;
  for (const ModelProfile& model : engine.models) {
    if (!IsLarge(model)) {
      return false;
    }
    const double part = shares <= 0 ? 0 : usable_hosts * model.share / shares;
    few |= static_cast<int>(part / model.members) < kMinFineGroups;
  }
  return few;
}

double GroupRate(const EngineProfile& engine,
                 const ModelProfile& model,
                 double requests) {
  if (requests <= 0) {
    return 0;
  }
  // While one request runs, each pass reads its share of the prompts of those
  // that replace completed ones.
  const double passes =
      std::max(1.0, engine.usual_answer_tokens / std::max(1, engine.stride));
  const double chunk = requests * engine.usual_prompt_tokens / passes;
  const double time =
      passes * ToSeconds(PassTime(engine, model.pace, requests, chunk));
  return time <= 0 ? requests : requests / time;
}

double HostsNeeded(const EngineProfile& engine,
                   const ModelProfile& model,
                   int groups,
                   double pressure,
                   double utilisation) {
  // The pressure is the taken part of the slots, divided by the part of the
  // requests that is not refused. Requests are refused once the slots are
  // taken, so that a pressure up to 1 contains no refusals.
  const double taken = std::min(pressure, 1.0);
  if (taken <= 0) {
    return 0;
  }
  const double slots = std::max(1, engine.slots);
  const double completed = groups * GroupRate(engine, model, taken * slots);
  const double rate = GroupRate(engine, model, utilisation * slots);
  return model.members * completed / rate * (pressure / taken);
}

void ReplicaPass::DecideCoarseGroups() {
  if (m_memory.coarse_groups) {
    return;
  }
  const int usable = CountUsable();
  if (usable == 0) {
    return;
  }
  m_memory.coarse_groups = m_policy.coarse_groups == CoarseGroups::kAuto
                               ? filbertrack::HasCoarseGroups(m_engine, usable)
                               : m_policy.coarse_groups == CoarseGroups::kYes;
}

int ReplicaPass::CountUsable() const {
  int usable = 0;
  for (const auto& [id, server] : m_input.directory.servers()) {
    usable += server.service == m_input.service.name && IsUsable(&server) &&
              !IsEvacuated(server);
  }
  return usable;
}

void ReplicaPass::UpdatePressure() {
  const double elapsed = ToSeconds(m_now - m_memory.pressure_at);
  const double decay = std::exp(-elapsed / ToSeconds(m_policy.pressure_window));
  m_memory.pressure_at = m_now;
  if (m_input.before_traffic) {
    return;
  }
  for (const auto& [model, pressure] : m_input.pressure) {
    const auto [row, first] = m_memory.pressure.try_emplace(model, pressure);
    row->second = decay * row->second + (1 - decay) * pressure;
  }
}

void ReplicaPass::AdaptShares() {
  std::map<std::string_view, double> demand;
  double total_demand = 0;
  double total_share = 0;
  for (const ModelProfile& model : m_engine.models) {
    const auto pressure = m_memory.pressure.find(model.name);
    const auto found = m_group_counts.find(model.name);
    if (pressure == m_memory.pressure.end() || found == m_group_counts.end() ||
        found->second <= 0) {
      // The demand for a model that no group serves is unknown.
      return;
    }
    const double hosts =
        HasCoarseGroups() ? HostsNeeded(m_engine, model, found->second,
                                        pressure->second, m_policy.utilisation)
                          : found->second * model.members * pressure->second;
    demand[model.name] = hosts;
    total_demand += hosts;
    total_share += model.share;
  }
  if (total_demand <= 0 || total_share <= 0) {
    return;
  }
  for (ModelProfile& model : m_engine.models) {
    const double share = model.share / total_share;
    model.share = std::clamp(demand[model.name] / total_demand,
                             share / m_policy.max_share_change,
                             share * m_policy.max_share_change);
  }
}

}  // namespace filbertrack

#include <algorithm>
#include <cmath>

#include "replica_pass.h"

/// The part of the planner that follows what is asked of the models.

namespace filbertrack {

void ReplicaPass::NotePressure() {
  const double passed = ToSeconds(m_now - m_memory.pressure_at);
  const double kept = std::exp(-passed / ToSeconds(m_policy.pressure_window));
  m_memory.pressure_at = m_now;
  if (m_input.before_traffic) {
    return;
  }
  for (const auto& [model, pressure] : m_input.pressure) {
    const auto [row, first] = m_memory.pressure.try_emplace(model, pressure);
    row->second = kept * row->second + (1 - kept) * pressure;
  }
}

void ReplicaPass::AdaptShares() {
  std::map<std::string_view, double> asked;
  double all_asked = 0;
  double all_shares = 0;
  for (const ModelProfile& model : m_engine.models) {
    const auto pressure = m_memory.pressure.find(model.name);
    const auto whole = m_whole.find(model.name);
    if (pressure == m_memory.pressure.end() || whole == m_whole.end() ||
        whole->second <= 0) {
      // Nothing can be said of a model that no group serves.
      return;
    }
    const double hosts = whole->second * model.members * pressure->second;
    asked[model.name] = hosts;
    all_asked += hosts;
    all_shares += model.share;
  }
  if (all_asked <= 0 || all_shares <= 0) {
    return;
  }
  for (ModelProfile& model : m_engine.models) {
    const double share = model.share / all_shares;
    model.share = std::clamp(asked[model.name] / all_asked,
                             share / m_policy.most_share_change,
                             share * m_policy.most_share_change);
  }
}

}  // namespace filbertrack

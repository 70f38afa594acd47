#include "filbertrack/placement_pool.h"

namespace filbertrack {

DispatchPolicy PlacerDispatchPolicy() {
  DispatchPolicy policy;
  policy.candidates = 64;
  policy.looks_wider = false;
  return policy;
}

PlacementPool::PlacementPool(PoolKey key, PlacementPolicy policy, uint64_t)
    : m_key(std::move(key)), m_policy(policy) {}
void PlacementPool::SetTargets(std::span<const DispatchTarget>,
                               const Catalog&,
                               TimePoint) {}
bool PlacementPool::HasTarget(std::string_view) const {
  return false;
}
void PlacementPool::SetUnsynced(const TargetLoads&, TimePoint) {}
PlacementAnswer PlacementPool::Ask(std::string_view,
                                   const PlacementAsk& ask,
                                   TimePoint) {
  return ChooseLocally{ask.id};
}
void PlacementPool::Report(std::string_view, const PlacementEvent&, TimePoint) {
}
void PlacementPool::Sync(std::string_view,
                         uint64_t,
                         std::span<const PlacementLoad>,
                         TimePoint) {}
void PlacementPool::Forget(std::string_view, TimePoint) {}
std::vector<PlacementPool::Answered> PlacementPool::Serve(TimePoint) {
  return {};
}
std::vector<PlacementPool::Answered> PlacementPool::Release() {
  return {};
}
std::optional<TimePoint> PlacementPool::NextDue() const {
  return std::nullopt;
}
std::vector<PlacementQueued> PlacementPool::ListQueued(std::string_view) const {
  return {};
}
PlacementCounts PlacementPool::counts() const {
  return {};
}

}  // namespace filbertrack

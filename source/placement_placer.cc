#include "filbertrack/placement_placer.h"

namespace filbertrack {

Placer::Placer(std::string name,
               uint64_t incarnation,
               PlacementPolicy policy,
               uint64_t seed)
    : m_name(std::move(name)),
      m_incarnation(incarnation),
      m_policy(policy),
      m_seed(seed) {}
void Placer::SetPools(std::span<const PoolKey>, TimePoint) {}
void Placer::SetTargets(std::span<const DispatchTarget>,
                        const Catalog&,
                        TimePoint) {}
void Placer::SetUnsynced(const TargetLoads&, size_t, TimePoint) {}
PlacementReply Placer::OnRequest(const PlacementRequest& request, TimePoint) {
  return {m_name, m_incarnation, request.sequence, false, false, {}};
}
std::vector<std::pair<std::string, PlacementNotice>> Placer::TakeNotices(
    TimePoint) {
  return {};
}
void Placer::OnNoticeReply(std::string_view,
                           const PlacementNoticeReply*,
                           TimePoint) {}
void Placer::Forget(std::string_view, TimePoint) {}
void Placer::Drain(TimePoint) {}
std::optional<TimePoint> Placer::NextDue() const {
  return std::nullopt;
}

}  // namespace filbertrack

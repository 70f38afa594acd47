#include "filbertrack/placement_client.h"

namespace filbertrack {

PlacementClient::PlacementClient(std::string name,
                                 uint64_t incarnation,
                                 Policy policy)
    : m_name(std::move(name)), m_incarnation(incarnation), m_policy(policy) {}
void PlacementClient::SetPlacer(const PoolKey&, std::string, TimePoint) {}
bool PlacementClient::TryAsk(PlacementAsk, TimePoint) {
  return false;
}
void PlacementClient::Withdraw(uint64_t, TimePoint) {}
void PlacementClient::OnEvent(const PoolKey&, PlacementEvent, TimePoint) {}
std::vector<std::pair<std::string, PlacementRequest>>
PlacementClient::TakeMessages(TimePoint) {
  return {};
}
std::vector<PlacementClient::Decided>
PlacementClient::OnReply(const std::string&, const PlacementReply*, TimePoint) {
  return {};
}
std::vector<PlacementClient::Decided> PlacementClient::OnNotice(
    const PlacementNotice&,
    PlacementNoticeReply&,
    TimePoint) {
  return {};
}
std::vector<PlacementClient::Decided> PlacementClient::Expire(TimePoint) {
  return {};
}
std::optional<TimePoint> PlacementClient::NextDue() const {
  return std::nullopt;
}
bool PlacementClient::IsPaused(std::string_view) const {
  return false;
}

}  // namespace filbertrack

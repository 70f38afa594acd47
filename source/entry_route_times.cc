#include "filbertrack/entry_route_times.h"

namespace filbertrack {

namespace {

/// Weight of the latest request.
constexpr double kSmoothing = 0.1;

}  // namespace

void RouteTimes::OnAnswered(std::string_view route, Duration total) {
  const auto found = m_expected.find(route);
  if (found == m_expected.end()) {
    m_expected.emplace(route, total);
    return;
  }
  found->second += Scale(total - found->second, kSmoothing);
}

std::optional<Duration> RouteTimes::Expected(std::string_view route) const {
  const auto found = m_expected.find(route);
  return found == m_expected.end() ? std::nullopt
                                   : std::optional(found->second);
}

void RouteTimes::Retain(const std::set<std::string_view>& routes) {
  std::erase_if(m_expected, [&routes](const auto& row) {
    return !routes.contains(row.first);
  });
}

}  // namespace filbertrack

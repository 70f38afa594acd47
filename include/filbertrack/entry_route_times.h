#pragma once

/// Learns how long the requests of each route take.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "filbertrack/base_time.h"

namespace filbertrack {

class RouteTimes {
 public:
  /// A request was answered `total` after it arrived.
  void OnAnswered(std::string_view route, Duration total);

  /// Time that the next request is expected to take, smoothed; nullopt if none
  /// was answered.
  std::optional<Duration> Expected(std::string_view route) const;

  /// Forgets all routes but those in `routes`.
  void Retain(const std::set<std::string_view>& routes);

 private:
  std::map<std::string, Duration, std::less<>> m_expected;
};

}  // namespace filbertrack

#include <algorithm>

#include "filbertrack/dispatch_selector.h"

/// TargetSelector: checks of targets that another host chose for a request.

namespace filbertrack {

std::optional<DispatchChoice> TargetSelector::ConfirmChoice(
    std::string_view id,
    const DispatchQuery& query,
    Duration predicted,
    int requests,
    TimePoint now) const {
  const Entry* entry = Find(id);
  const bool is_usable = entry != nullptr && entry->in_use &&
                         entry->target.service == query.service &&
                         entry->target.model == query.model &&
                         !IsExcluded(*entry, query) &&
                         !IsHeldBack(*entry, query, now);
  if (!is_usable) {
    return std::nullopt;
  }
  return DispatchChoice{entry->target, predicted, entry->own.requests,
                        std::max(0, requests - entry->own.requests),
                        Duration(0)};
}

std::optional<std::vector<std::string>> TargetSelector::UnusableTargets(
    const DispatchQuery& query,
    TimePoint now) const {
  const auto group = m_groups.find(GroupKey(query.service, query.model));
  if (group == m_groups.end()) {
    return std::nullopt;
  }
  std::vector<std::string> unusable;
  std::vector<std::string> paused;
  std::vector<std::string> failing;
  for (const Entry* entry : group->second.all) {
    if (IsExcluded(*entry, query) || IsHeldBack(*entry, query, now)) {
      unusable.push_back(entry->target.id);
    } else if (IsPaused(*entry, now)) {
      (IsFailing(*entry, now) ? failing : paused).push_back(entry->target.id);
    }
  }
  const size_t count = group->second.all.size();
  if (unusable.size() == count) {
    return std::nullopt;
  }
  // As in DrawCandidates().
  const size_t skipped = paused.size() + failing.size();
  const double max_paused = m_policy.min_in_use * static_cast<double>(count);
  if (unusable.size() + skipped < count &&
      static_cast<double>(skipped) <= max_paused) {
    unusable.insert(unusable.end(), paused.begin(), paused.end());
  }
  if (unusable.size() + failing.size() < count) {
    unusable.insert(unusable.end(), failing.begin(), failing.end());
  }
  return unusable;
}

}  // namespace filbertrack

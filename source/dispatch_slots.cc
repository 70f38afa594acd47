#include <algorithm>

#include "filbertrack/dispatch_selector.h"

/// Part of TargetSelector: slots that are taken, and bounds of targets.

namespace filbertrack {

bool TargetSelector::IsFull(const Entry& entry) {
  return CountRequests(entry) + 1 > entry.target.slots;
}

bool TargetSelector::IsAtLimit(const Entry& entry) const {
  if (entry.bound && CountRequests(entry) + 1 > *entry.bound) {
    return true;
  }
  return m_policy.max_requests_per_slot > 0 &&
         CountRequests(entry) + 1 >
             entry.target.slots * m_policy.max_requests_per_slot;
}

TargetSelector::SkipRule TargetSelector::SkipRuleOf(const Targets& targets,
                                                    TimePoint now) const {
  const auto paused =
      std::count_if(targets.begin(), targets.end(),
                    [&](const Entry* entry) { return IsPaused(*entry, now); });
  if (static_cast<double>(paused) <=
      m_policy.min_in_use * static_cast<double>(targets.size())) {
    return SkipRule::kPaused;
  }
  const bool all_fail =
      std::all_of(targets.begin(), targets.end(),
                  [&](const Entry* entry) { return IsFailing(*entry, now); });
  return all_fail ? SkipRule::kNone : SkipRule::kFailing;
}

bool TargetSelector::IsSkipped(const Entry& entry,
                               SkipRule rule,
                               TimePoint now) const {
  switch (rule) {
    case SkipRule::kPaused:
      return IsPaused(entry, now);
    case SkipRule::kFailing:
      return IsFailing(entry, now);
    case SkipRule::kNone:
      break;
  }
  return false;
}

bool TargetSelector::AreAllSlotsTaken(const Targets& targets,
                                      const DispatchQuery& query,
                                      TimePoint now) const {
  const SkipRule rule = SkipRuleOf(targets, now);
  TakenSlots taken;
  for (const Entry* entry : targets) {
    // Its free slots are not available to the request.
    if (IsOutsideRegions(*entry, query) || IsHeldBack(*entry, query, now) ||
        IsSkipped(*entry, rule, now)) {
      continue;
    }
    taken.requests += entry->own.requests + entry->remote.requests;
    taken.slots += entry->target.slots;
  }
  return taken.requests >= taken.slots;
}

TargetSelector::TakenSlots TargetSelector::CountTakenSlots(
    std::string_view service,
    std::string_view model,
    TimePoint now) const {
  TakenSlots taken;
  const auto group = m_groups.find(GroupKey(service, model));
  if (group == m_groups.end()) {
    return taken;
  }
  const SkipRule rule = SkipRuleOf(group->second.all, now);
  for (const Entry* entry : group->second.all) {
    if (IsSkipped(*entry, rule, now)) {
      continue;
    }
    taken.requests += entry->own.requests + entry->remote.requests;
    taken.slots += std::min(entry->target.slots,
                            entry->bound.value_or(entry->target.slots));
  }
  return taken;
}

bool TargetSelector::HasRoom(std::string_view service,
                             std::string_view model,
                             TimePoint now) const {
  const auto group = m_groups.find(GroupKey(service, model));
  if (group == m_groups.end()) {
    return false;
  }
  const SkipRule rule = SkipRuleOf(group->second.all, now);
  return std::any_of(group->second.all.begin(), group->second.all.end(),
                     [&](const Entry* entry) {
                       return !IsAtLimit(*entry) &&
                              !IsSkipped(*entry, rule, now);
                     });
}

void TargetSelector::SetRequestBounds(
    const std::map<std::string, int, std::less<>>* bounds) {
  for (auto& [id, entry] : m_entries) {
    entry->bound.reset();
    if (bounds != nullptr) {
      const auto found = bounds->find(id);
      entry->bound = found == bounds->end() ? 0 : found->second;
    }
  }
}

int TargetSelector::CountRequests(std::string_view id) const {
  const Entry* entry = Find(id);
  return entry == nullptr ? 0 : entry->own.requests + entry->remote.requests;
}

}  // namespace filbertrack

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

bool TargetSelector::SkipsPaused(const Targets& targets, TimePoint now) const {
  const auto paused =
      std::count_if(targets.begin(), targets.end(),
                    [&](const Entry* entry) { return IsPaused(*entry, now); });
  return static_cast<double>(paused) <=
         m_policy.min_in_use * static_cast<double>(targets.size());
}

bool TargetSelector::AreAllSlotsTaken(const Targets& targets,
                                      const DispatchQuery& query,
                                      TimePoint now) const {
  const bool skips_paused = SkipsPaused(targets, now);
  TakenSlots taken;
  for (const Entry* entry : targets) {
    // Its free slots are not available to the request.
    if (IsOutsideRegions(*entry, query) || IsHeldBack(*entry, query, now) ||
        (skips_paused && IsPaused(*entry, now))) {
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
  const bool skips_paused = SkipsPaused(group->second.all, now);
  for (const Entry* entry : group->second.all) {
    if (skips_paused && IsPaused(*entry, now)) {
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
  const bool skips_paused = SkipsPaused(group->second.all, now);
  return std::any_of(group->second.all.begin(), group->second.all.end(),
                     [&](const Entry* entry) {
                       return !IsAtLimit(*entry) &&
                              !(skips_paused && IsPaused(*entry, now));
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

#include <algorithm>

#include <nlohmann/json.hpp>

#include "filbertrack/entry_placement.h"
#include "filbertrack/log.h"

/// EntryPlacement: metrics, and the log of fallbacks.

namespace filbertrack {

namespace {

std::string_view CauseName(PlacementFallback cause) {
  switch (cause) {
    case PlacementFallback::kNone:
      return "no-placer";
    case PlacementFallback::kNoReply:
      return "no-reply";
    case PlacementFallback::kDeclined:
      return "declined";
    case PlacementFallback::kForgotten:
      return "forgotten";
    case PlacementFallback::kPlacerChanged:
      return "placer-changed";
  }
  return "no-placer";
}

}  // namespace

void EntryPlacement::UpdateFallback(const std::string& placer, TimePoint now) {
  const PlacementFallback cause = m_client.PauseCause(placer);
  const auto known = m_fallbacks.find(placer);
  if (cause != PlacementFallback::kNone && known == m_fallbacks.end()) {
    m_fallbacks[placer] = {cause, now, 0};
    Log(LogLevel::kWarning, "placement-fallback",
        {{"placer", placer}, {"cause", CauseName(cause)}, {"state", "began"}});
  } else if (cause == PlacementFallback::kNone && known != m_fallbacks.end()) {
    LogFallbackEnd(placer, known->second, now);
    m_fallbacks.erase(known);
  }
}

void EntryPlacement::EndStaleFallbacks(TimePoint now) {
  std::erase_if(m_fallbacks, [&](const auto& row) {
    const bool is_stale =
        std::none_of(m_pools.begin(), m_pools.end(), [&row](const Pool& pool) {
          return std::find(pool.ranking.begin(), pool.ranking.end(),
                           row.first) != pool.ranking.end();
        });
    if (is_stale) {
      LogFallbackEnd(row.first, row.second, now);
      m_ask_links.erase(row.first);
    }
    return is_stale;
  });
}

void EntryPlacement::LogFallbackEnd(const std::string& placer,
                                    const Fallback& fallback,
                                    TimePoint now) {
  Log(LogLevel::kInfo, "placement-fallback",
      {{"placer", placer},
       {"cause", CauseName(fallback.cause)},
       {"state", "ended"},
       {"length_ms", ToMilliseconds(now - fallback.began)},
       {"count", fallback.count}});
}

void EntryPlacement::CountFallback(const std::string& placer,
                                   PlacementFallback cause) {
  const auto fallback = m_fallbacks.find(placer);
  if (fallback != m_fallbacks.end()) {
    ++fallback->second.count;
  }
  m_host.metrics().OnPlacementFallback(CauseName(cause));
}

void EntryPlacement::SampleMetrics(Metrics& metrics) {
  if (m_placer.pools().empty() && m_sampled_priorities.empty() &&
      m_pools.empty()) {
    return;
  }
  size_t outstanding = 0;
  size_t synced = 0;
  std::map<int, size_t> waiting;
  for (const int priority : m_sampled_priorities) {
    waiting[priority] = 0;
  }
  for (const auto& [key, pool] : m_placer.pools()) {
    const PlacementCounts counts = pool->counts();
    const std::string label =
        "pool=\"" + key.service + "/" + key.model + "\",result=";
    metrics.Counter("filbertrack_placements", label + "\"granted\"") =
        counts.granted;
    metrics.Counter("filbertrack_placements", label + "\"queued\"") =
        counts.queued;
    metrics.Counter("filbertrack_placements", label + "\"refused\"") =
        counts.refused;
    outstanding += counts.outstanding;
    synced = std::max(synced, counts.synced_askers);
    for (const auto& [priority, count] : counts.waiting) {
      waiting[priority] += count;
      m_sampled_priorities.insert(priority);
    }
  }
  for (const auto& [priority, count] : waiting) {
    metrics.Gauge("filbertrack_placement_queue",
                  "priority=\"" + std::to_string(priority) + "\"") =
        static_cast<double>(count);
  }
  metrics.Gauge("filbertrack_placement_grants_outstanding") =
      static_cast<double>(outstanding);
  metrics.Gauge("filbertrack_placement_synced_hosts") =
      static_cast<double>(synced);
}

}  // namespace filbertrack

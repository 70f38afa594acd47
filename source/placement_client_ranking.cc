#include <algorithm>
#include <utility>

#include "filbertrack/placement_client.h"

/// Part of PlacementClient: which host of a ranking is asked.

namespace filbertrack {

void PlacementClient::SetPlacer(const PoolKey& pool,
                                std::string placer,
                                TimePoint now) {
  std::vector<std::string> ranking;
  if (!placer.empty()) {
    ranking.push_back(std::move(placer));
  }
  SetRanking(pool, std::move(ranking), now);
}

void PlacementClient::SetRanking(const PoolKey& key,
                                 std::vector<std::string> ranking,
                                 TimePoint now) {
  Pool& pool = m_pools[key];
  if (pool.ranking == ranking) {
    return;
  }
  const auto before = std::exchange(pool.ranking, std::move(ranking));
  for (const std::string& host : before) {
    const bool is_ranked =
        std::any_of(m_pools.begin(), m_pools.end(), [&host](const auto& row) {
          const auto& hosts = row.second.ranking;
          return std::find(hosts.begin(), hosts.end(), host) != hosts.end();
        });
    if (!is_ranked) {
      // If it comes back, it may be another process.
      Resume(m_links[host]);
    }
  }
  EndOldPauses(pool, now);
  const auto next =
      std::find_if(pool.ranking.begin(), pool.ranking.end(),
                   [this](const std::string& host) { return !IsPaused(host); });
  const bool was_ranked =
      next != pool.ranking.end() &&
      std::find(before.begin(), before.end(), *next) != before.end();
  UpdatePlacer(key, pool, was_ranked, PlacementFallback::kPlacerChanged, now,
               m_decided);
}

void PlacementClient::Resume(Link& link) {
  link.pause = Duration(0);
  link.cause = PlacementFallback::kNone;
  link.is_replaced = false;
}

void PlacementClient::EndOldPauses(const Pool& pool, TimePoint now) {
  const auto placer =
      std::find(pool.ranking.begin(), pool.ranking.end(), pool.placer);
  for (auto host = placer; host != pool.ranking.end(); ++host) {
    Link& link = m_links[*host];
    if (link.pause > Duration(0) && link.paused_until <= now &&
        !RanksBeforePlacer(*host)) {
      Resume(link);
    }
  }
}

void PlacementClient::UpdatePlacer(const PoolKey& key,
                                   Pool& pool,
                                   bool moves_asks,
                                   PlacementFallback cause,
                                   TimePoint now,
                                   std::vector<Decided>& decided) {
  const auto next =
      std::find_if(pool.ranking.begin(), pool.ranking.end(),
                   [this](const std::string& host) { return !IsPaused(host); });
  const std::string placer = next == pool.ranking.end() ? "" : *next;
  if (placer == pool.placer) {
    return;
  }
  pool.placer = placer;
  std::vector<uint64_t> ids;
  for (const auto& [id, ask] : m_asks) {
    if (ask.ask.pool == key) {
      ids.push_back(id);
    }
  }
  for (const uint64_t id : ids) {
    Ask& ask = m_asks.at(id);
    std::erase(m_links[ask.placer].asks, id);
    if (placer.empty() || !moves_asks) {
      Release(ask, cause, decided);
      m_asks.erase(id);
      continue;
    }
    ask.placer = placer;
    ask.asked = now;
    ask.is_sent = false;
    ask.position = 0;
    m_links[placer].asks.push_back(id);
  }
  if (placer.empty()) {
    // Whoever took over does not reply either.
    for (const std::string& host : pool.ranking) {
      Link& link = m_links[host];
      if (std::exchange(link.is_replaced, false)) {
        link.paused_until = now;
      }
    }
    return;
  }
  // The loads of the pool are new to this placer. The sync covers all events so
  // far; sent after it, they would restore requests that have ended.
  Link& link = m_links[placer];
  link.needs_sync = true;
  link.events.clear();
  pool.is_moved = true;
}

void PlacementClient::UpdatePlacers(PlacementFallback cause,
                                    TimePoint now,
                                    std::vector<Decided>& decided) {
  for (auto& [key, pool] : m_pools) {
    EndOldPauses(pool, now);
    UpdatePlacer(key, pool, true, cause, now, decided);
  }
}

std::string PlacementClient::PlacerOf(const PoolKey& key) const {
  const auto pool = m_pools.find(key);
  return pool == m_pools.end() ? std::string() : pool->second.placer;
}

void PlacementClient::Check(const std::string& host) {
  Link& link = m_links[host];
  link.is_checked = link.pause == Duration(0) && !link.in_flight;
}

std::set<std::string, std::less<>> PlacementClient::Unresponsive() const {
  std::set<std::string, std::less<>> hosts;
  for (const auto& [host, link] : m_links) {
    if (link.pause > Duration(0)) {
      hosts.insert(host);
    }
  }
  return hosts;
}

std::set<std::string, std::less<>> PlacementClient::SilentFor(
    Duration time,
    TimePoint now) const {
  std::set<std::string, std::less<>> hosts;
  for (const auto& [host, link] : m_links) {
    if (link.in_flight && link.in_flight->sent + time <= now) {
      hosts.insert(host);
    }
  }
  return hosts;
}

bool PlacementClient::IsUsed(std::string_view placer) const {
  return std::any_of(m_pools.begin(), m_pools.end(), [placer](const auto& row) {
    return row.second.placer == placer;
  });
}

bool PlacementClient::RanksBeforePlacer(std::string_view host) const {
  return std::any_of(m_pools.begin(), m_pools.end(), [host](const auto& row) {
    const auto& [ranking, placer, is_moved, estimate] = row.second;
    return std::find(ranking.begin(), ranking.end(), host) <
           std::find(ranking.begin(), ranking.end(), placer);
  });
}

bool PlacementClient::IsAskedOrAlone(std::string_view placer,
                                     const Pool& pool) {
  const bool is_ranked = std::find(pool.ranking.begin(), pool.ranking.end(),
                                   placer) != pool.ranking.end();
  return pool.placer == placer || (pool.placer.empty() && is_ranked);
}

bool PlacementClient::IsAskedOrAlone(std::string_view placer) const {
  return std::any_of(m_pools.begin(), m_pools.end(), [&](const auto& row) {
    return IsAskedOrAlone(placer, row.second);
  });
}

void PlacementClient::AddMoved(std::string_view placer,
                               PlacementRequest& request) {
  std::set<std::string> unresponsive;
  for (auto& [key, pool] : m_pools) {
    if (pool.placer != placer || !std::exchange(pool.is_moved, false)) {
      continue;
    }
    request.moved.push_back(key);
    if (pool.estimate) {
      request.estimates.push_back(*pool.estimate);
    }
    for (const std::string& host : pool.ranking) {
      if (host == placer) {
        break;
      }
      unresponsive.insert(host);
    }
  }
  request.unresponsive.assign(unresponsive.begin(), unresponsive.end());
}

bool PlacementClient::HasNext(const Ask& ask) const {
  const auto pool = m_pools.find(ask.ask.pool);
  return pool != m_pools.end() &&
         std::any_of(pool->second.ranking.begin(), pool->second.ranking.end(),
                     [&](const std::string& host) {
                       return host != ask.placer && !IsPaused(host);
                     });
}

bool PlacementClient::RanksBefore(std::string_view first,
                                  std::string_view second) const {
  return std::any_of(m_pools.begin(), m_pools.end(), [&](const auto& row) {
    const auto& ranking = row.second.ranking;
    const auto left = std::find(ranking.begin(), ranking.end(), first);
    const auto right = std::find(ranking.begin(), ranking.end(), second);
    return left < right && right != ranking.end();
  });
}

bool PlacementClient::IsPaused(std::string_view placer) const {
  const auto found = m_links.find(placer);
  return found != m_links.end() && found->second.pause > Duration(0);
}

PlacementFallback PlacementClient::PauseCause(std::string_view placer) const {
  const auto found = m_links.find(placer);
  return found == m_links.end() ? PlacementFallback::kNone
                                : found->second.cause;
}

}  // namespace filbertrack

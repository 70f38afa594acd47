#include <algorithm>

#include "filbertrack/placement_placer.h"

/// Part of Placer: its part in each pool, and pools that it takes over.

namespace filbertrack {

namespace {

/// Share of the other live hosts that must have moved here for a claim although
/// this host reaches the one that they left.
constexpr double kClaimShare = 0.25;
/// How long the report of an asker counts.
constexpr Duration kReportTtl = Seconds(1);
/// Askers whose reports are believed together with a shorter silence.
constexpr size_t kManyReports = 3;
/// Share of the other live hosts whose loads must be known before a placer is
/// no longer confined.
constexpr double kKnownShare = 0.9;
/// Interval at which hosts that have not moved here are told again.
constexpr Duration kClaimInterval = Milliseconds(250);

}  // namespace

void Placer::SetPools(std::span<const PoolKey> pools, TimePoint now) {
  std::vector<PlacementRole> roles;
  for (const PoolKey& pool : pools) {
    roles.push_back({pool, {}, false});
  }
  SetRoles(roles, now);
}

void Placer::SetRoles(std::span<const PlacementRole> roles, TimePoint now) {
  const auto is_listed = [&roles](const PoolKey& key) {
    return std::any_of(roles.begin(), roles.end(),
                       [&key](const auto& role) { return role.pool == key; });
  };
  std::erase_if(m_standby,
                [&](const auto& row) { return !is_listed(row.first); });
  std::erase_if(m_parts,
                [&](const auto& row) { return !is_listed(row.first); });
  for (auto pool = m_pools.begin(); pool != m_pools.end();) {
    if (is_listed(pool->first)) {
      ++pool;
      continue;
    }
    Deliver(pool->second->Release());
    pool = m_pools.erase(pool);
  }
  for (const PlacementRole& role : roles) {
    SetRole(role, now);
  }
  UpdateParts(now);
}

void Placer::SetRole(const PlacementRole& role, TimePoint now) {
  const auto [row, is_new] = m_parts.try_emplace(role.pool);
  Part& part = row->second;
  if (!is_new && part.role.before == role.before) {
    return;
  }
  const bool was_placing = m_pools.contains(role.pool);
  const bool placed_for_all =
      !is_new && (part.is_claimed || part.role.IsFirst());
  part.role = role;
  if (!role.IsFirst()) {
    part.is_claimed = false;
    part.came.clear();
    part.reporters.clear();
    part.confined_until.reset();
    if (was_placing) {
      m_pools.at(role.pool)->SetConfined(true);
    } else if (!m_standby.contains(role.pool)) {
      m_standby[role.pool] = MakePool(role.pool);
    }
    return;
  }
  PlacementPool& pool = *Activate(role.pool);
  if (!placed_for_all) {
    pool.SetConfined(role.may_overlap);
    part.confined_until = now + m_policy.unsynced_time;
  }
  if (!was_placing) {
    // Their last syncs were not applied to this pool.
    for (auto& [asker, session] : m_sessions) {
      session.wants_sync = true;
    }
  }
}

std::unique_ptr<PlacementPool> Placer::MakePool(const PoolKey& key) {
  return std::make_unique<PlacementPool>(key, m_policy, ++m_seed);
}

PlacementPool* Placer::Activate(const PoolKey& key) {
  if (const auto pool = m_pools.find(key); pool != m_pools.end()) {
    return pool->second.get();
  }
  const auto part = m_parts.find(key);
  if (part == m_parts.end()) {
    return nullptr;
  }
  auto standby = m_standby.extract(key);
  std::unique_ptr<PlacementPool>& pool = m_pools[key];
  pool = standby.empty() ? MakePool(key) : std::move(standby.mapped());
  pool->SetConfined(!part->second.role.IsFirst());
  return pool.get();
}

void Placer::SetHosts(std::set<std::string, std::less<>> hosts, TimePoint now) {
  m_hosts = std::move(hosts);
  if (IsReplaced() && !m_hosts.contains(m_replaced_by)) {
    m_replaced_by.clear();
  }
  std::erase_if(m_claims_sent, [this](const auto& row) {
    return !m_hosts.contains(row.first);
  });
  UpdateParts(now);
}

void Placer::SetUnresponsive(std::set<std::string, std::less<>> hosts,
                             std::set<std::string, std::less<>> silent,
                             TimePoint now) {
  if (hosts == m_unresponsive && silent == m_silent) {
    return;
  }
  m_unresponsive = std::move(hosts);
  m_silent = std::move(silent);
  if (m_unresponsive.contains(m_replaced_by)) {
    m_replaced_by.clear();
  }
  UpdateParts(now);
}

std::set<std::string, std::less<>> Placer::TakeChecks() {
  return std::exchange(m_checks, {});
}

void Placer::OnClaim(const PlacementNotice& claim, TimePoint now) {
  const auto replaces = std::find(claim.replaced.begin(), claim.replaced.end(),
                                  m_name) != claim.replaced.end();
  if (!replaces || claim.placer == m_name) {
    return;
  }
  m_replaced_by = claim.placer;
  for (auto& [key, pool] : m_pools) {
    Deliver(pool->Release());
  }
  for (auto& [key, part] : m_parts) {
    part.is_claimed = false;
  }
  UpdateParts(now);
}

void Placer::OnMoved(const PlacementRequest& request, TimePoint now) {
  for (const PlacementEstimate& estimate : request.estimates) {
    if (const auto pool = m_pools.find(estimate.pool); pool != m_pools.end()) {
      pool->second->AdoptEstimate(estimate, now);
    }
  }
  for (const PoolKey& key : request.moved) {
    const auto found = m_parts.find(key);
    if (found == m_parts.end()) {
      continue;
    }
    Part& part = found->second;
    part.came.insert(request.asker);
    const bool reports =
        std::all_of(part.role.before.begin(), part.role.before.end(),
                    [&request](const std::string& host) {
                      return std::find(request.unresponsive.begin(),
                                       request.unresponsive.end(),
                                       host) != request.unresponsive.end();
                    });
    if (!part.role.IsFirst() && reports) {
      part.reporters[request.asker] = now;
      m_checks.insert(part.role.before.begin(), part.role.before.end());
    }
  }
  if (!request.moved.empty() && m_gossip_hosts > 0) {
    SetUnsynced(m_loads_by_gossip, m_gossip_hosts, now);
  }
  UpdateParts(now);
}

void Placer::UpdateParts(TimePoint now) {
  for (auto& [key, part] : m_parts) {
    UpdateClaim(part, now);
    UpdateConfinement(part, now);
    Deactivate(part);
  }
}

void Placer::Deactivate(const Part& part) {
  const auto pool = m_pools.find(part.role.pool);
  if (pool == m_pools.end() || part.role.IsFirst() || part.is_claimed ||
      !part.came.empty()) {
    return;
  }
  const PlacementCounts counts = pool->second->counts();
  if (counts.outstanding == 0 && counts.waiting.empty()) {
    m_standby[pool->first] = std::move(pool->second);
    m_pools.erase(pool);
  }
}

bool Placer::MayClaim(const Part& part) const {
  const auto& before = part.role.before;
  const size_t others = CountOthers(before);
  const size_t reports = part.reporters.size() - part.reporters.count(m_name);
  const bool are_unresponsive = std::all_of(
      before.begin(), before.end(),
      [this](const auto& host) { return m_unresponsive.contains(host); });
  const bool are_silent =
      std::all_of(before.begin(), before.end(), [this](const auto& host) {
        return m_unresponsive.contains(host) || m_silent.contains(host);
      });
  return (are_unresponsive && (reports > 0 || others == 0)) ||
         (are_silent && reports >= kManyReports) ||
         (reports >= kManyReports &&
          static_cast<double>(reports) >=
              kClaimShare * static_cast<double>(others));
}

void Placer::UpdateClaim(Part& part, TimePoint now) {
  // Single messages are lost at any time and must not add up.
  std::erase_if(part.reporters, [now](const auto& row) {
    return now - row.second > kReportTtl;
  });
  if (part.is_claimed || part.role.IsFirst() || part.reporters.empty() ||
      m_drains || IsReplaced() || !MayClaim(part)) {
    return;
  }
  part.is_claimed = true;
  part.confined_until = now + m_policy.unsynced_time;
  m_claims_sent.clear();
  ++m_claims;
}

bool Placer::HasClaimed(const PoolKey& key) const {
  const auto part = m_parts.find(key);
  return part != m_parts.end() && part->second.is_claimed;
}

size_t Placer::CountOthers(std::span<const std::string> except) const {
  return static_cast<size_t>(std::count_if(
      m_hosts.begin(), m_hosts.end(), [this, except](const std::string& host) {
        return host != m_name &&
               std::find(except.begin(), except.end(), host) == except.end();
      }));
}

void Placer::UpdateConfinement(Part& part, TimePoint now) {
  const auto pool = m_pools.find(part.role.pool);
  const bool may_end = part.is_claimed || part.role.IsFirst();
  if (pool == m_pools.end() || !pool->second->is_confined() || !may_end) {
    return;
  }
  const auto came = static_cast<double>(std::count_if(
      part.came.begin(), part.came.end(), [this](const std::string& host) {
        return host != m_name && m_hosts.contains(host);
      }));
  const auto others = static_cast<double>(CountOthers(part.role.before));
  if (came >= kKnownShare * others ||
      (part.confined_until && now >= *part.confined_until)) {
    pool->second->SetConfined(false);
    m_needs_estimate = true;
  }
}

std::optional<TimePoint> Placer::ClaimDue(const std::string& host) const {
  const auto session = m_sessions.find(host);
  const bool is_busy =
      m_claims_in_flight.contains(host) ||
      (session != m_sessions.end() && !session->second.in_notice.empty());
  if (host == m_name || is_busy || m_drains) {
    return std::nullopt;
  }
  const bool must_know =
      std::any_of(m_parts.begin(), m_parts.end(), [&host](const auto& row) {
        const Part& part = row.second;
        const auto& before = part.role.before;
        // A host before this one may restart and know nothing of the claim.
        return part.is_claimed &&
               (!part.came.contains(host) ||
                std::find(before.begin(), before.end(), host) != before.end());
      });
  if (!must_know) {
    return std::nullopt;
  }
  const auto sent = m_claims_sent.find(host);
  return sent == m_claims_sent.end() ? TimePoint{}
                                     : sent->second + kClaimInterval;
}

void Placer::AddClaims(
    std::vector<std::pair<std::string, PlacementNotice>>& notices,
    TimePoint now) {
  std::set<std::string> replaced;
  for (const auto& [key, part] : m_parts) {
    if (part.is_claimed) {
      replaced.insert(part.role.before.begin(), part.role.before.end());
    }
  }
  if (replaced.empty()) {
    return;
  }
  for (const std::string& host : m_hosts) {
    const auto due = ClaimDue(host);
    if (!due || *due > now) {
      continue;
    }
    PlacementNotice notice{
        m_name, m_incarnation, {}, {replaced.begin(), replaced.end()}};
    if (const auto session = m_sessions.find(host);
        session != m_sessions.end()) {
      session->second.in_notice.swap(session->second.pending);
      notice.answers = session->second.in_notice;
    }
    m_claims_sent[host] = now;
    m_claims_in_flight.insert(host);
    notices.emplace_back(host, std::move(notice));
  }
}

}  // namespace filbertrack

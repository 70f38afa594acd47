#include "filbertrack/entry_placement.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "filbertrack/base_hash.h"
#include "filbertrack/log.h"

namespace filbertrack {

namespace {

void LogRole(const PoolKey& pool, std::string_view state, size_t hosts) {
  Log(LogLevel::kInfo, "placement-role",
      {{"service", pool.service},
       {"model", pool.model},
       {"state", state},
       {"hosts", hosts}});
}

/// The hosts that may place requests: those that are not draining.
std::vector<FleetHost> Candidates(std::span<const FleetHost> live) {
  std::vector<FleetHost> candidates;
  candidates.reserve(live.size());
  std::copy_if(live.begin(), live.end(), std::back_inserter(candidates),
               [](const FleetHost& host) { return host.capacity > 0; });
  return candidates;
}

}  // namespace

EntryPlacement::EntryPlacement(EventLoop& loop,
                               std::string name,
                               EntryHost& host,
                               EntryPeers& peers)
    : m_loop(loop),
      m_name(std::move(name)),
      m_host(host),
      m_peers(peers),
      m_mode(PlacementModeOf(host.settings())),
      m_client(m_name, static_cast<uint64_t>(WallTimeMs())),
      m_placer(m_name,
               static_cast<uint64_t>(WallTimeMs()),
               PlacementPolicy{},
               RendezvousWeight("placement", m_name)) {
  m_host.SetPlacer(this);
  m_host.metrics().AddSampler(
      [this, weak = std::weak_ptr<bool>(m_alive)](Metrics& metrics) {
        if (!weak.expired()) {
          SampleMetrics(metrics);
        }
      });
  m_peers.OnRound([this] { OnRound(); });
  m_peers.OnPlacementMessage(
      [this](std::string_view payload, const PeerServer::Answer& answer) {
        OnMessage(payload, answer);
      });
}

EntryPlacement::~EntryPlacement() {
  m_host.SetPlacer(nullptr);
  m_peers.OnRound(nullptr);
  m_peers.OnPlacementMessage(nullptr);
}

bool EntryPlacement::Places(std::string_view service,
                            std::string_view model) const {
  return std::any_of(
      m_pools.begin(), m_pools.end(), [service, model](const Pool& pool) {
        return pool.key.service == service && pool.key.model == model;
      });
}

std::string EntryPlacement::PlacerOf(const PoolKey& key) const {
  return m_client.PlacerOf(key);
}

bool EntryPlacement::TryAsk(PlacementAsk ask, OnDecision on_decision) {
  const TimePoint now = MonotonicNow();
  const uint64_t id = ask.id;
  const PoolKey pool = ask.pool;
  if (!m_client.TryAsk(std::move(ask), now)) {
    const std::string first = FirstOf(pool);
    CountFallback(first, m_client.PauseCause(first));
    return false;
  }
  m_pending[id] = {std::move(on_decision), now};
  SchedulePump();
  return true;
}

void EntryPlacement::Withdraw(uint64_t id) {
  m_pending.erase(id);
  const TimePoint now = MonotonicNow();
  m_client.Withdraw(id, now);
  ArmTimer(now);
}

void EntryPlacement::Report(const PoolKey& pool, PlacementEvent event) {
  const TimePoint now = MonotonicNow();
  m_client.OnEvent(pool, std::move(event), now);
  ArmTimer(now);
}

void EntryPlacement::OnGrantUnused() {
  m_host.metrics().OnPlacementFallback("grant-unusable");
}

void EntryPlacement::OnTargets(std::span<const DispatchTarget> targets,
                               const Catalog& catalog) {
  const TimePoint now = MonotonicNow();
  m_target_counts.clear();
  for (const DispatchTarget& target : targets) {
    if (!target.evacuated) {
      ++m_target_counts[{target.service, target.model}];
    }
  }
  Refresh(now);
  if (!m_roles.empty()) {
    m_placer.SetTargets(targets, catalog, now);
    SchedulePump();
  }
}

void EntryPlacement::OnSettings(const Settings& settings) {
  m_mode = PlacementModeOf(settings);
  Refresh(MonotonicNow());
}

void EntryPlacement::Drain() {
  m_draining = true;
  m_placer.Drain(MonotonicNow());
  if (!m_pools.empty()) {
    m_peers.AnnounceDraining();
  }
  Refresh(MonotonicNow());
  SchedulePump();
}

void EntryPlacement::OnRound() {
  const TimePoint now = MonotonicNow();
  const uint64_t membership = m_peers.MembershipRevision();
  const bool starts_up = m_peers.IsStartingUp(now);
  if (membership != m_seen_membership || starts_up || !m_started_up) {
    m_seen_membership = membership;
    m_started_up = !starts_up;
    Refresh(now);
  }
  ForgetAskers(now);
  UpdateUnsynced(now);
}

std::vector<EntryPlacement::Pool> EntryPlacement::ComputePools(
    std::span<const FleetHost> live) const {
  std::vector<Pool> pools;
  const Catalog* catalog = m_host.catalog();
  if (catalog == nullptr) {
    return pools;
  }
  const std::vector<FleetHost> candidates = Candidates(live);
  const auto services =
      PlacedServices(m_mode, *catalog, {live, m_host.CountRegions()});
  for (const std::string& name : services) {
    for (const ModelProfile& model :
         catalog->FindService(name)->engine->models) {
      PoolKey key{name, model.name};
      const auto count = m_target_counts.find(key);
      if (count == m_target_counts.end() ||
          count->second <= kMaxPlacedTargets) {
        std::vector<std::string> ranking = RankPlacers(key, candidates);
        pools.push_back({std::move(key), std::move(ranking)});
      }
    }
  }
  return pools;
}

void EntryPlacement::Refresh(TimePoint now) {
  const std::vector<FleetHost> live = m_peers.LiveHosts(now);
  const std::vector<Pool> before = std::exchange(m_pools, ComputePools(live));
  for (const Pool& pool : before) {
    const std::string first = FirstOf(pool.key);
    if (first.empty()) {
      m_client.SetRanking(pool.key, {}, now);
    } else if (!pool.ranking.empty() && pool.ranking.front() != first) {
      m_host.metrics().OnPlacementHandover();
    }
  }
  for (const Pool& pool : m_pools) {
    m_client.SetRanking(pool.key, pool.ranking, now);
  }
  EndStaleFallbacks(now);
  UpdateRole(live, now);
  SchedulePump();
}

std::string EntryPlacement::FirstOf(const PoolKey& key) const {
  const auto found =
      std::find_if(m_pools.begin(), m_pools.end(),
                   [&key](const Pool& pool) { return pool.key == key; });
  return found == m_pools.end() || found->ranking.empty()
             ? std::string()
             : found->ranking.front();
}

std::vector<PlacementRole> EntryPlacement::ComputeRoles(TimePoint now) const {
  std::vector<PlacementRole> roles;
  // While the whole fleet starts, nobody places requests yet.
  const bool may_overlap =
      !m_peers.IsStartingUp(now) || !m_peers.RemoteLoads(now).empty();
  for (const Pool& pool : m_pools) {
    const auto own =
        std::find(pool.ranking.begin(), pool.ranking.end(), m_name);
    if (own != pool.ranking.end() && !m_draining) {
      roles.push_back({pool.key, {pool.ranking.begin(), own}, may_overlap});
    }
  }
  return roles;
}

void EntryPlacement::UpdateRole(std::span<const FleetHost> live,
                                TimePoint now) {
  std::set<std::string, std::less<>> names;
  for (const FleetHost& host : Candidates(live)) {
    names.insert(host.name);
  }
  m_placer.SetHosts(std::move(names), now);
  std::vector<PlacementRole> roles = ComputeRoles(now);
  const bool is_same = std::equal(
      roles.begin(), roles.end(), m_roles.begin(), m_roles.end(),
      [](const PlacementRole& left, const PlacementRole& right) {
        return left.pool == right.pool && left.before == right.before;
      });
  if (is_same) {
    return;
  }
  std::set<PoolKey> own;
  for (const PlacementRole& role : roles) {
    if (role.IsFirst()) {
      own.insert(role.pool);
    }
  }
  for (const PoolKey& pool : m_own_pools) {
    if (!own.contains(pool)) {
      LogRole(pool, "ended", live.size());
    }
  }
  for (const PoolKey& pool : own) {
    if (!m_own_pools.contains(pool)) {
      LogRole(pool, "began", live.size());
      m_unsynced_until = now + kUnsyncedTime;
    }
  }
  m_own_pools = std::move(own);
  m_roles = std::move(roles);
  m_placer.SetRoles(m_roles, now);
  m_placer.SetTargets(m_host.Targets(), *m_host.catalog(), now);
  UpdateUnsynced(now);
}

void EntryPlacement::ExchangeUnresponsive(TimePoint now) {
  m_placer.SetUnresponsive(m_client.Unresponsive(),
                           m_client.SilentFor(Placer::kSilence, now), now);
  for (const std::string& host : m_placer.TakeChecks()) {
    m_client.Check(host);
  }
  if (m_placer.TakeNeedsEstimate()) {
    m_unsynced_until = now + kUnsyncedTime;
    UpdateUnsynced(now);
  }
  if (m_placer.claims() != m_logged_claims) {
    m_logged_claims = m_placer.claims();
    for (const PlacementRole& role : m_roles) {
      if (m_placer.HasClaimed(role.pool)) {
        LogRole(role.pool, "claimed", m_peers.LiveHosts(now).size());
      }
    }
  }
}

void EntryPlacement::UpdateUnsynced(TimePoint now) {
  if (m_placer.pools().empty() || now > m_unsynced_until) {
    return;
  }
  FleetGossip::LoadSums loads = m_peers.RemoteLoads(now);
  for (const GossipLoad& own : m_host.OwnGossipState().loads) {
    TargetLoad& sum = loads[own.target];
    sum.requests += own.requests;
    sum.prompt_tokens += own.prompt_tokens;
  }
  m_placer.SetUnsynced(loads, m_peers.LiveHosts(now).size(), now);
}

void EntryPlacement::ForgetAskers(TimePoint now) {
  std::set<std::string_view> names;
  const std::vector<FleetHost> live =
      m_askers.empty() ? std::vector<FleetHost>() : m_peers.LiveHosts(now);
  for (const FleetHost& host : live) {
    names.insert(host.name);
  }
  std::erase_if(m_askers, [&](const auto& row) {
    const bool is_gone =
        now - row.second > kAskerTtl && !names.contains(row.first);
    if (is_gone) {
      m_placer.Forget(row.first, now);
      m_notice_links.erase(row.first);
      SchedulePump();
    }
    return is_gone;
  });
}

}  // namespace filbertrack

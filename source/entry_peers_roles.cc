#include <algorithm>

#include <nlohmann/json.hpp>

#include "filbertrack/entry_peers.h"
#include "filbertrack/log.h"

/// Roles in EntryPeers: which hosts watch the store, and which relay loads
/// between data centres.

namespace filbertrack {

std::set<std::string, std::less<>> EntryPeers::RemoteDataCentres() const {
  std::set<std::string, std::less<>> remote;
  for (const auto& [name, peer] : m_peers) {
    if (!IsLocal(peer.host.data_centre)) {
      remote.insert(peer.host.data_centre);
    }
  }
  return remote;
}

const EntryPeers::Roles& EntryPeers::CurrentRoles(TimePoint now) {
  const bool is_current = m_roles &&
                          m_roles->membership == m_gossip.membership() &&
                          m_roles->peer_changes == m_peer_changes &&
                          m_roles->store_fails == m_host.store_away() &&
                          m_roles->watch_phase == WatchPhase(now);
  if (is_current) {
    return *m_roles;
  }
  Roles roles;
  roles.membership = m_gossip.membership();
  roles.peer_changes = m_peer_changes;
  roles.store_fails = m_host.store_away();
  roles.watch_phase = WatchPhase(now);
  roles.remote_data_centres = RemoteDataCentres();
  std::map<std::string, std::vector<FleetHost>, std::less<>> hosts;
  hosts[m_own.data_centre].push_back(m_own);
  std::vector<FleetHost> live = m_gossip.Fleet(now);
  roles.watches = IsChosenToWatch(live, now);
  for (FleetHost& host : live) {
    hosts[host.data_centre].push_back(std::move(host));
  }
  roles.local_hosts = hosts[m_own.data_centre].size();
  for (auto& [data_centre, members] : hosts) {
    roles.relays[data_centre] =
        ChooseRelays(std::move(members), m_policy.relays);
  }
  m_roles = std::move(roles);
  return *m_roles;
}

void EntryPeers::SetNeedsWatch(bool needs) {
  m_needs_watch = needs;
  m_feed.SetImmediate(needs);
  UpdateWatching(MonotonicNow());
}

void EntryPeers::UpdateWatching(TimePoint now) {
  const bool watching = m_needs_watch || CurrentRoles(now).watches;
  if (watching != m_watching) {
    m_watching = watching;
    Log(LogLevel::kInfo, watching ? "watch-begins" : "watch-ends",
        {{"peers", m_gossip.CountHosts(now)}});
    m_feed.SetWatching(watching);
  }
}

bool EntryPeers::IsChosenToWatch(std::span<const FleetHost> live,
                                 TimePoint now) const {
  std::vector<FleetHost> listed;
  for (const auto& [name, peer] : m_peers) {
    if (!peer.unresponsive) {
      listed.push_back(peer.host);
    }
  }
  FleetHost own = m_own;
  own.store_fails = m_host.store_away();
  return ShouldWatch(
      {own, now - m_started, m_policy.first_start, m_has_list, listed, live},
      m_policy.watch);
}

int64_t EntryPeers::WatchPhase(TimePoint now) const {
  const Duration since = now - m_started;
  return since < m_policy.watch.listed_grace_period ? since / m_policy.interval
                                                    : -1;
}

std::vector<FleetHost> EntryPeers::LiveHosts(TimePoint now) const {
  std::vector<FleetHost> live = m_gossip.Fleet(now);
  if (IsStartingUp(now)) {
    std::set<std::string, std::less<>> known;
    for (const FleetHost& host : live) {
      known.insert(host.name);
    }
    for (const auto& [name, peer] : m_peers) {
      if (!peer.unresponsive && !known.contains(name)) {
        live.push_back(peer.host);
      }
    }
  }
  live.push_back(m_own);
  return live;
}

const Address* EntryPeers::AddressOf(std::string_view host) const {
  const auto peer = m_peers.find(host);
  return peer == m_peers.end() ? nullptr : &peer->second.address;
}

void EntryPeers::AnnounceDraining() {
  m_own.capacity = 0;
  ++m_peer_changes;
  if (m_round_timer != nullptr) {
    RunRound();
  }
}

bool EntryPeers::ShouldYield(TimePoint now) const {
  const std::vector<FleetHost> fleet = m_gossip.Fleet(now);
  return std::any_of(fleet.begin(), fleet.end(), [this](const auto& host) {
    return !host.store_fails && IsStronger(host.capacity, m_own.capacity);
  });
}

}  // namespace filbertrack

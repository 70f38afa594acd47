#include <algorithm>
#include <set>

#include "filbertrack/entry_peers.h"

/// Load exchange of EntryPeers: which hosts are sent requests for loads, and
/// how the result reaches the target selection.

namespace filbertrack {

namespace {

bool Contains(std::span<const std::string> names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

void EntryPeers::ExchangeLoads(TimePoint now) {
  if (m_peers.size() <= m_policy.neighbours) {
    // Each host exchanges its state with all others in every round.
    m_exchange_timer.reset();
    return;
  }
  m_load_exchange.UpdatePressure(m_host.MaxPressure(now));
  const Roles& roles = CurrentRoles(now);
  const std::vector<std::string> relays =
      roles.relays.find(m_own.data_centre)->second;
  const bool is_relay = Contains(relays, m_own.name);
  const size_t requesters =
      roles.local_hosts + roles.remote_data_centres.size() * m_policy.relays;
  const Duration interval =
      m_load_exchange.Interval(requesters, relays.size(), is_relay);
  if (m_load_exchange.TryBegin(interval, now)) {
    if (is_relay) {
      UpdateRemoteLoads(now);
      ExchangeAsRelay(relays, now);
    } else {
      AskRelay(relays, now);
    }
  }
  // An interval of a round or longer needs no timer of its own.
  if (interval >= m_policy.interval) {
    m_exchange_timer.reset();
  } else if (m_exchange_timer == nullptr) {
    m_exchange_timer = m_loop.Every(m_policy.loads.loaded_interval,
                                    [this] { ExchangeLoads(MonotonicNow()); });
  }
}

void EntryPeers::AskRelay(std::span<const std::string> relays, TimePoint now) {
  const auto peer = m_peers.find(m_load_exchange.NextRelay(relays));
  if (peer != m_peers.end() && !peer->second.busy()) {
    Ask(peer->first, peer->second,
        m_load_exchange.busy() ? LoadScope::kRemoteAndLocal
                               : LoadScope::kRemote,
        now);
  }
}

void EntryPeers::ExchangeAsRelay(std::span<const std::string> relays,
                                 TimePoint now) {
  for (const std::string& relay : relays) {
    const auto peer = m_peers.find(relay);
    if (m_load_exchange.busy() && peer != m_peers.end()) {
      TryAsk(peer->first, peer->second, now);
    }
  }
  // A copy, as a reply may change the cached roles within the loop.
  const auto remote_data_centres = CurrentRoles(now).remote_data_centres;
  for (const std::string& data_centre : remote_data_centres) {
    AskDataCentre(data_centre, now);
  }
}

void EntryPeers::AskDataCentre(const std::string& data_centre, TimePoint now) {
  // Relays first: they receive the state of more hosts than others do.
  std::vector<std::string> names;
  const Roles& roles = CurrentRoles(now);
  const auto relays = roles.relays.find(data_centre);
  if (relays != roles.relays.end()) {
    names = relays->second;
  }
  std::shuffle(names.begin(), names.end(), m_random);
  std::vector<std::string> others;
  for (const auto& [name, peer] : m_peers) {
    if (peer.host.data_centre == data_centre && !Contains(names, name)) {
      others.push_back(name);
    }
  }
  std::shuffle(others.begin(), others.end(), m_random);
  names.insert(names.end(), others.begin(), others.end());
  for (const std::string& name : names) {
    const auto peer = m_peers.find(name);
    if (peer != m_peers.end() && TryAsk(peer->first, peer->second, now)) {
      return;
    }
  }
}

void EntryPeers::UpdateRemoteLoads(TimePoint now) {
  const FleetGossip::Loads live = m_gossip.SumLoads(now);
  // After the grace period, a listed host that sent no message is most likely
  // gone.
  const size_t unreported_hosts =
      IsStartingUp(now) && m_peers.size() > live.hosts
          ? m_peers.size() - live.hosts
          : 0;
  m_host.OnRemoteLoads(live, unreported_hosts);
  const bool is_large = m_peers.size() > m_policy.neighbours;
  m_host.SetPrefersLocal(is_large);
  m_host.poison().SetRelayed(is_large);
}

}  // namespace filbertrack

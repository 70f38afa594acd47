#include "filbertrack/forward_choice.h"

#include <algorithm>

namespace filbertrack {

namespace {

bool IsAllowed(std::span<const std::string> regions,
               const std::string& region) {
  return regions.empty() ||
         std::find(regions.begin(), regions.end(), region) != regions.end();
}

}  // namespace

void ForwardChoice::OnReport(ForwardPeer peer, bool accepts, TimePoint now) {
  Entry& entry = m_peers[peer.name];
  if (entry.peer.token != peer.token) {
    // Another process of the host; requests of the earlier one have ended.
    entry.requests = 0;
  }
  entry.peer = std::move(peer);
  entry.accepts = accepts;
  entry.reported = now;
}

void ForwardChoice::OnRefused(std::string_view name,
                              std::string_view service,
                              TimePoint now) {
  const auto found = m_peers.find(name);
  if (found != m_peers.end()) {
    found->second.paused_until.insert_or_assign(std::string(service),
                                                now + m_policy.refusal_pause);
  }
}

void ForwardChoice::OnSent(std::string_view name) {
  const auto found = m_peers.find(name);
  if (found != m_peers.end()) {
    ++found->second.requests;
  }
}

void ForwardChoice::OnEnded(std::string_view name) {
  const auto found = m_peers.find(name);
  if (found != m_peers.end() && found->second.requests > 0) {
    --found->second.requests;
  }
}

const ForwardPeer* ForwardChoice::Choose(const ForwardQuery& query,
                                         TimePoint now) const {
  const Entry* best = nullptr;
  size_t best_load = 0;
  for (const auto& [name, entry] : m_peers) {
    const bool tried =
        query.excluded != nullptr && query.excluded->contains(name);
    const auto paused = entry.paused_until.find(query.service);
    const bool is_paused =
        paused != entry.paused_until.end() && now < paused->second;
    if (tried || !entry.accepts || is_paused ||
        now - entry.reported > m_policy.report_ttl ||
        !IsAllowed(query.route_regions, entry.peer.region) ||
        !IsAllowed(query.workspace_regions, entry.peer.region)) {
      continue;
    }
    const bool is_local = entry.peer.data_centre == m_data_centre;
    const size_t load =
        (entry.requests + 1) * (is_local ? 1 : m_policy.local_weight);
    if (best == nullptr || load < best_load) {
      best = &entry;
      best_load = load;
    }
  }
  return best == nullptr ? nullptr : &best->peer;
}

}  // namespace filbertrack

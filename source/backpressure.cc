#include "filbertrack/backpressure.h"

#include <algorithm>

#include "filbertrack/backpressure_share.h"

namespace filbertrack {

Backpressure::Backpressure(std::string own,
                           BackpressurePolicy policy,
                           uint64_t first_revision)
    : m_own(std::move(own)),
      m_policy(policy),
      m_limits(policy.limits, first_revision),
      m_rests(policy.rests),
      m_cold(m_own),
      m_hosts{m_own} {}

bool Backpressure::OnAnswer(const LimitReading& reading, TimePoint now) {
  const bool changed = m_limits.OnAnswer(reading, now);
  if (changed) {
    SetPace(reading.server, now);
  }
  return changed;
}

bool Backpressure::OnNews(const LimitWord& word, TimePoint now) {
  const bool changed = m_limits.OnNews(word, now);
  if (changed) {
    SetPace(word.server, now);
  }
  return changed;
}

void Backpressure::SetFleet(std::span<const std::string> hosts, TimePoint now) {
  const bool changed = NoteHeard(hosts, now);
  m_rests.ForgetOld(now);
  m_cold.ForgetOld(now);
  const bool forgot = m_limits.ForgetOld(now);
  if (changed || forgot) {
    SetPaces(now);
  }
}

bool Backpressure::NoteHeard(std::span<const std::string> hosts,
                             TimePoint now) {
  bool changed = false;
  for (const std::string& host : hosts) {
    if (host != m_own) {
      changed = m_heard.insert_or_assign(host, now).second || changed;
    }
  }
  const auto is_gone = [this, now](const auto& row) {
    return now - row.second > m_policy.host_memory;
  };
  changed = std::erase_if(m_heard, is_gone) > 0 || changed;
  if (changed) {
    m_hosts.assign(1, m_own);
    for (const auto& [host, at] : m_heard) {
      m_hosts.push_back(host);
    }
  }
  return changed;
}

void Backpressure::SetPaces(TimePoint now) {
  std::erase_if(m_paces, [this](const auto& row) {
    return !m_limits.LimitOf(row.first);
  });
  for (const ServerLife& server : m_limits.Limited()) {
    SetPace(server, now);
  }
  m_cold.SetHosts(m_hosts, now);
}

void Backpressure::SetPace(const ServerLife& server, TimePoint now) {
  const std::optional<double> limit = m_limits.LimitOf(server);
  if (!limit) {
    m_paces.erase(server);
    return;
  }
  filbertrack::SetPace(m_paces[server],
                       ShareOfLimit(*limit, server.id, m_own, m_hosts), now);
}

bool Backpressure::MaySend(const ServerLife& server, TimePoint now) const {
  return UntilSend(server, now) == Duration(0);
}

std::optional<Duration> Backpressure::UntilSend(const ServerLife& server,
                                                TimePoint now) const {
  if (m_rests.IsLeaving(server)) {
    // The store may tell it seconds later, or never.
    return std::nullopt;
  }
  // Streams that began before and end well do not tell that a rest is over.
  const Duration rest =
      std::max(m_rests.RestOf(server, now), m_cold.UntilSend(server, now));
  const auto found = m_paces.find(server);
  if (found == m_paces.end()) {
    return rest;
  }
  const Pace& pace = found->second;
  return pace ? std::optional(std::max(rest, pace->UntilNext(now)))
              : std::nullopt;
}

void Backpressure::OnSent(const ServerLife& server, TimePoint now) {
  m_cold.OnSent(server, now);
  const auto found = m_paces.find(server);
  if (found != m_paces.end() && found->second) {
    // Without a token where the request was chosen just before the limit came.
    found->second->TryTake(now);
  }
}

}  // namespace filbertrack

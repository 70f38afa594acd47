#include "filbertrack/reach_servers.h"

#include <algorithm>

namespace filbertrack {

bool ServerReach::OnProbed(const Address& server,
                           bool accepted,
                           TimePoint now) {
  if (accepted) {
    m_accepted[server] = now;
    return Restore(server);
  }
  if (!m_unreachable.insert(server).second) {
    return false;
  }
  m_probing[server] = {now, m_policy.probe_interval};
  std::erase_if(m_lost_at, [this, now](TimePoint at) {
    return now - at > m_policy.sweep_window;
  });
  m_lost_at.push_back(now);
  return true;
}

void ServerReach::OnConnected(const Address& server) {
  if (!m_unreachable.empty()) {
    Restore(server);
  }
}

bool ServerReach::Restore(const Address& server) {
  if (m_unreachable.erase(server) == 0) {
    return false;
  }
  m_probing.erase(server);
  // The way to the others may work again as well.
  for (auto& [other, probing] : m_probing) {
    probing = {};
  }
  return true;
}

void ServerReach::Retain(const std::set<Address>& registered) {
  const auto is_gone = [&registered](const Address& server) {
    return !registered.contains(server);
  };
  std::erase_if(m_unreachable, is_gone);
  std::erase_if(m_probing, [&](const auto& row) { return is_gone(row.first); });
  std::erase_if(m_accepted,
                [&](const auto& row) { return is_gone(row.first); });
}

bool ServerReach::MayProbeSilent(const Address& server, TimePoint now) const {
  const auto accepted = m_accepted.find(server);
  return !m_unreachable.contains(server) &&
         (accepted == m_accepted.end() ||
          now - accepted->second >= m_policy.silence_pause);
}

std::vector<Address> ServerReach::TakeDueProbes(TimePoint now) {
  std::vector<Address> due;
  for (const Address& server : m_unreachable) {
    Probing& probing = m_probing[server];
    if (due.size() < m_policy.max_probes &&
        now - probing.started >= probing.interval) {
      probing = {now, std::clamp(2 * probing.interval, m_policy.probe_interval,
                                 m_policy.max_probe_interval)};
      due.push_back(server);
    }
  }
  return due;
}

bool ServerReach::TakeSweep(TimePoint now) {
  if (m_lost_at.size() < m_policy.servers_to_sweep ||
      now - m_swept_at < m_policy.sweep_pause) {
    return false;
  }
  m_swept_at = now;
  m_lost_at.clear();
  return true;
}

}  // namespace filbertrack

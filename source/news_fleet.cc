#include "filbertrack/news_fleet.h"

#include <algorithm>

namespace filbertrack {

namespace {

using LoadSums = std::map<std::string, TargetLoad, std::less<>>;

void AddLoads(const std::vector<NewsLoad>& loads, LoadSums& sums) {
  for (const NewsLoad& load : loads) {
    TargetLoad& sum = sums[load.target];
    sum.requests += load.requests;
    sum.prompt_tokens += load.prompt_tokens;
  }
}

}  // namespace

void FleetNews::Note(const NewsState& state, TimePoint now) {
  m_hosts[state.node] = {state.store_fails, now};
  for (const NewsHost& host : state.hosts) {
    const TimePoint heard = now - host.age;
    HostSeen& seen = m_hosts[host.name];
    if (host.name != m_node && heard > seen.at) {
      seen = {host.store_fails, heard};
    }
  }
  m_hosts.erase(m_node);
  if (state.covers_data_centre) {
    m_sums[state.data_centre] = {state, now};
  } else {
    m_own[state.node] = {state, now};
  }
}

void FleetNews::CoverDataCentre(NewsState& own, TimePoint now) const {
  LoadSums sums;
  AddLoads(own.loads, sums);
  for (const auto& [node, heard] : m_own) {
    const Duration age = now - heard.at;
    if (heard.state.data_centre != m_data_centre || !IsFresh(heard.at, now)) {
      continue;
    }
    AddLoads(heard.state.loads, sums);
    own.hosts.push_back({node, heard.state.store_fails, age});
  }
  own.covers_data_centre = true;
  own.loads.clear();
  for (const auto& [target, load] : sums) {
    own.loads.push_back({target, load.requests, load.prompt_tokens});
  }
}

bool FleetNews::IsCovered(const Heard& heard, TimePoint now) const {
  if (heard.state.data_centre == m_data_centre) {
    return false;
  }
  const auto sum = m_sums.find(heard.state.data_centre);
  return sum != m_sums.end() && IsFresh(sum->second.at, now);
}

FleetNews::Loads FleetNews::SumLoads(TimePoint now) const {
  Loads result;
  for (const auto& [node, heard] : m_own) {
    if (IsFresh(heard.at, now) && !IsCovered(heard, now)) {
      AddLoads(heard.state.loads, result.loads);
    }
  }
  for (const auto& [data_centre, heard] : m_sums) {
    if (data_centre != m_data_centre && IsFresh(heard.at, now)) {
      AddLoads(heard.state.loads, result.loads);
    }
  }
  result.hosts = Hosts(now).size();
  return result;
}

std::vector<std::string> FleetNews::Hosts(TimePoint now) const {
  std::vector<std::string> hosts;
  for (const auto& [name, seen] : m_hosts) {
    if (now - seen.at <= m_policy.host_life) {
      hosts.push_back(name);
    }
  }
  return hosts;
}

std::vector<std::string> FleetNews::HostsWithStore(TimePoint now) const {
  std::vector<std::string> hosts;
  for (const auto& [name, seen] : m_hosts) {
    if (now - seen.at <= m_policy.host_life && !seen.store_fails) {
      hosts.push_back(name);
    }
  }
  return hosts;
}

void FleetNews::ForgetOld(TimePoint now) {
  const auto old = [this, now](const auto& row) {
    return now - row.second.at > m_policy.host_life;
  };
  std::erase_if(m_own, old);
  std::erase_if(m_sums, old);
  std::erase_if(m_hosts, old);
}

}  // namespace filbertrack

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
  const NewsHost sender{state.node, state.store_fails, Duration(0),
                        state.capacity};
  NoteHost(sender, state.data_centre, now);
  for (const NewsSum& sum : state.far) {
    NoteSum(sum, now - sum.age);
  }
  if (state.covers_data_centre) {
    NewsSum sum{state.data_centre, Duration(0), state.loads, state.hosts};
    sum.hosts.push_back(sender);
    NoteSum(sum, now);
    return;
  }
  for (const NewsHost& host : state.hosts) {
    NoteHost(host, state.data_centre, now);
  }
  m_own[state.node] = {state, now};
  m_own[state.node].state.far.clear();
}

void FleetNews::NoteHost(const NewsHost& host,
                         std::string_view data_centre,
                         TimePoint at) {
  const TimePoint heard = at - host.age;
  if (host.name == m_node) {
    return;
  }
  HostSeen& seen = m_hosts[host.name];
  if (seen.host.name.empty() || heard > seen.at) {
    seen = {
        {host.name, std::string(data_centre), host.capacity, host.store_fails},
        heard};
  }
}

void FleetNews::NoteSum(const NewsSum& sum, TimePoint at) {
  for (const NewsHost& host : sum.hosts) {
    NoteHost(host, sum.data_centre, at);
  }
  const auto known = m_sums.find(sum.data_centre);
  if (known == m_sums.end() || at > known->second.at) {
    m_sums[sum.data_centre] = {sum, at};
  }
}

void FleetNews::PassOnFar(NewsState& own, TimePoint now) const {
  for (const auto& [data_centre, heard] : m_sums) {
    if (data_centre != m_data_centre && IsFresh(heard.at, now)) {
      own.far.push_back(heard.sum);
      own.far.back().age = now - heard.at;
    }
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
    own.hosts.push_back(
        {node, heard.state.store_fails, age, heard.state.capacity});
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
      AddLoads(heard.sum.loads, result.loads);
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
    if (now - seen.at <= m_policy.host_life && !seen.host.store_fails) {
      hosts.push_back(name);
    }
  }
  return hosts;
}

std::vector<FleetHost> FleetNews::Fleet(TimePoint now) const {
  std::vector<FleetHost> hosts;
  for (const auto& [name, seen] : m_hosts) {
    if (now - seen.at <= m_policy.host_life) {
      hosts.push_back(seen.host);
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

#include "filbertrack/gossip_fleet.h"

#include <algorithm>

namespace filbertrack {

namespace {

void AddLoads(const std::vector<GossipLoad>& loads,
              FleetGossip::LoadSums& sums) {
  for (const GossipLoad& load : loads) {
    TargetLoad& sum = sums[load.target];
    sum.requests += load.requests;
    sum.prompt_tokens += load.prompt_tokens;
  }
}

/// Mean age of the loads of several messages, weighted by requests.
class MeanAge {
 public:
  void Add(const std::vector<GossipLoad>& loads, Duration age) {
    for (const GossipLoad& load : loads) {
      m_requests += load.requests;
      m_age_s += ToSeconds(age) * load.requests;
    }
  }
  Duration Get() const {
    return m_requests == 0 ? Duration(0) : FromSeconds(m_age_s / m_requests);
  }

 private:
  double m_requests = 0;
  double m_age_s = 0;
};

/// Returns the mean age of the hosts' loads at the time they were summed.
Duration MeanReportAge(const std::vector<GossipHost>& hosts) {
  Duration all{0};
  for (const GossipHost& host : hosts) {
    all += host.age;
  }
  return hosts.empty() ? all : all / static_cast<int64_t>(hosts.size());
}

}  // namespace

void FleetGossip::Note(const GossipState& state, TimePoint now) {
  const GossipHost sender{state.node, state.store_fails, Duration(0),
                          state.capacity};
  RecordHost(sender, state.data_centre, now);
  for (const DataCentreLoads& sum : state.remote_loads) {
    RecordDataCentreLoads(sum, now - sum.age);
  }
  if (state.covers_data_centre) {
    DataCentreLoads sum{state.data_centre, Duration(0), state.loads,
                        state.hosts};
    sum.hosts.push_back(sender);
    RecordDataCentreLoads(sum, now);
    return;
  }
  for (const GossipHost& host : state.hosts) {
    RecordHost(host, state.data_centre, now);
  }
  m_states[state.node] = {state, now};
  m_states[state.node].state.remote_loads.clear();
}

void FleetGossip::RecordHost(const GossipHost& host,
                             std::string_view data_centre,
                             TimePoint at) {
  const TimePoint received = at - host.age;
  if (host.name == m_node) {
    return;
  }
  KnownHost& known = m_hosts[host.name];
  if (!known.host.name.empty() && received <= known.at) {
    return;
  }
  known.at = received;
  const bool same = known.host.name == host.name &&
                    known.host.data_centre == data_centre &&
                    known.host.capacity == host.capacity &&
                    known.host.store_fails == host.store_fails;
  if (!same) {
    known.host = {host.name, std::string(data_centre), host.capacity,
                  host.store_fails};
    ++m_membership;
  }
}

void FleetGossip::RecordDataCentreLoads(const DataCentreLoads& sum,
                                        TimePoint at) {
  for (const GossipHost& host : sum.hosts) {
    RecordHost(host, sum.data_centre, at);
  }
  const auto known = m_data_centre_loads.find(sum.data_centre);
  if (known == m_data_centre_loads.end() || at > known->second.at) {
    m_data_centre_loads[sum.data_centre] = {sum, at};
  }
}

void FleetGossip::AddRemoteLoads(GossipState& own, TimePoint now) const {
  for (const auto& [data_centre, received] : m_data_centre_loads) {
    if (data_centre != m_data_centre && IsFresh(received.at, now)) {
      own.remote_loads.push_back(received.sum);
      own.remote_loads.back().age = now - received.at;
    }
  }
}

void FleetGossip::AddLocalLoads(GossipState& own,
                                std::string_view requester,
                                TimePoint now) const {
  DataCentreLoads sum = SumLocalLoads(own.loads, requester, now);
  sum.hosts.push_back({m_node, own.store_fails, Duration(0), own.capacity});
  own.remote_loads.push_back(std::move(sum));
}

DataCentreLoads FleetGossip::SumLocalLoads(const std::vector<GossipLoad>& own,
                                           std::string_view excluded,
                                           TimePoint now) const {
  DataCentreLoads sum{m_data_centre, Duration(0), {}, {}};
  LoadSums loads;
  AddLoads(own, loads);
  for (const auto& [node, received] : m_states) {
    const bool is_local = received.state.data_centre == m_data_centre;
    if (!is_local || node == excluded || !IsFresh(received.at, now)) {
      continue;
    }
    AddLoads(received.state.loads, loads);
    sum.hosts.push_back({node, received.state.store_fails, now - received.at,
                         received.state.capacity});
  }
  for (const auto& [target, load] : loads) {
    sum.loads.push_back({target, load.requests, load.prompt_tokens});
  }
  return sum;
}

void FleetGossip::CoverDataCentre(GossipState& own, TimePoint now) const {
  DataCentreLoads sum = SumLocalLoads(own.loads, {}, now);
  own.covers_data_centre = true;
  own.loads = std::move(sum.loads);
  own.hosts = std::move(sum.hosts);
}

const FleetGossip::ReceivedLoads* FleetGossip::LocalSum(TimePoint now) const {
  const auto local_sum = m_data_centre_loads.find(m_data_centre);
  const bool counts = local_sum != m_data_centre_loads.end() &&
                      now - local_sum->second.at <= m_policy.local_sum_ttl;
  return counts ? &local_sum->second : nullptr;
}

bool FleetGossip::IsCovered(
    const std::string& node,
    const ReceivedState& received,
    const std::unordered_set<std::string_view>& covered_hosts,
    TimePoint now) const {
  if (received.state.data_centre == m_data_centre) {
    return covered_hosts.contains(node);
  }
  const auto sum = m_data_centre_loads.find(received.state.data_centre);
  return sum != m_data_centre_loads.end() && IsFresh(sum->second.at, now);
}

FleetGossip::Loads FleetGossip::SumLoads(TimePoint now) const {
  Loads result;
  MeanAge age;
  const ReceivedLoads* local_sum = LocalSum(now);
  std::unordered_set<std::string_view> covered_hosts;
  if (local_sum != nullptr) {
    for (const GossipHost& host : local_sum->sum.hosts) {
      covered_hosts.insert(host.name);
    }
  }
  for (const auto& [node, received] : m_states) {
    if (IsFresh(received.at, now) &&
        !IsCovered(node, received, covered_hosts, now)) {
      AddLoads(received.state.loads, result.loads);
      age.Add(received.state.loads, now - received.at);
    }
  }
  for (const auto& [data_centre, received] : m_data_centre_loads) {
    const bool counts = data_centre == m_data_centre
                            ? local_sum != nullptr
                            : IsFresh(received.at, now);
    if (counts) {
      AddLoads(received.sum.loads, result.loads);
      age.Add(received.sum.loads,
              now - received.at + MeanReportAge(received.sum.hosts));
    }
  }
  result.hosts = CountHosts(now);
  result.age = age.Get();
  return result;
}

size_t FleetGossip::CountHosts(TimePoint now) const {
  return static_cast<size_t>(
      std::count_if(m_hosts.begin(), m_hosts.end(), [&](const auto& row) {
        return now - row.second.at <= m_policy.host_ttl;
      }));
}

std::vector<std::string> FleetGossip::Hosts(TimePoint now) const {
  std::vector<std::string> hosts;
  for (const auto& [name, known] : m_hosts) {
    if (now - known.at <= m_policy.host_ttl) {
      hosts.push_back(name);
    }
  }
  return hosts;
}

std::vector<std::string> FleetGossip::HostsWithStore(TimePoint now) const {
  std::vector<std::string> hosts;
  for (const auto& [name, known] : m_hosts) {
    if (now - known.at <= m_policy.host_ttl && !known.host.store_fails) {
      hosts.push_back(name);
    }
  }
  return hosts;
}

std::vector<FleetHost> FleetGossip::Fleet(TimePoint now) const {
  std::vector<FleetHost> hosts;
  for (const auto& [name, known] : m_hosts) {
    if (now - known.at <= m_policy.host_ttl) {
      hosts.push_back(known.host);
    }
  }
  return hosts;
}

void FleetGossip::ForgetOld(TimePoint now) {
  const auto old = [this, now](const auto& row) {
    return now - row.second.at > m_policy.host_ttl;
  };
  std::erase_if(m_states, old);
  std::erase_if(m_data_centre_loads, old);
  if (std::erase_if(m_hosts, old) > 0) {
    ++m_membership;
  }
}

}  // namespace filbertrack

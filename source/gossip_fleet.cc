#include "filbertrack/gossip_fleet.h"

#include <algorithm>

namespace filbertrack {

namespace {

void AddLoads(const std::vector<NewsLoad>& loads, FleetNews::LoadSums& sums) {
  for (const NewsLoad& load : loads) {
    TargetLoad& sum = sums[load.target];
    sum.requests += load.requests;
    sum.prompt_tokens += load.prompt_tokens;
  }
}

/// Mean age of what several messages said, by request.
class MeanAge {
 public:
  void Add(const std::vector<NewsLoad>& loads, Duration age) {
    for (const NewsLoad& load : loads) {
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

/// Mean age, when the sum was made, of what its hosts had told.
Duration MeanHostAge(const std::vector<NewsHost>& hosts) {
  Duration all{0};
  for (const NewsHost& host : hosts) {
    all += host.age;
  }
  return hosts.empty() ? all : all / static_cast<int64_t>(hosts.size());
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
  if (!seen.host.name.empty() && heard <= seen.at) {
    return;
  }
  seen.at = heard;
  const bool same = seen.host.name == host.name &&
                    seen.host.data_centre == data_centre &&
                    seen.host.capacity == host.capacity &&
                    seen.host.store_fails == host.store_fails;
  if (!same) {
    seen.host = {host.name, std::string(data_centre), host.capacity,
                 host.store_fails};
    ++m_membership;
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

void FleetNews::PassOnNear(NewsState& own,
                           std::string_view asker,
                           TimePoint now) const {
  NewsSum sum = AddUpNear(own.loads, asker, now);
  sum.hosts.push_back({m_node, own.store_fails, Duration(0), own.capacity});
  own.far.push_back(std::move(sum));
}

NewsSum FleetNews::AddUpNear(const std::vector<NewsLoad>& own,
                             std::string_view left_out,
                             TimePoint now) const {
  NewsSum sum{m_data_centre, Duration(0), {}, {}};
  LoadSums loads;
  AddLoads(own, loads);
  for (const auto& [node, heard] : m_own) {
    const bool is_near = heard.state.data_centre == m_data_centre;
    if (!is_near || node == left_out || !IsFresh(heard.at, now)) {
      continue;
    }
    AddLoads(heard.state.loads, loads);
    sum.hosts.push_back(
        {node, heard.state.store_fails, now - heard.at, heard.state.capacity});
  }
  for (const auto& [target, load] : loads) {
    sum.loads.push_back({target, load.requests, load.prompt_tokens});
  }
  return sum;
}

void FleetNews::CoverDataCentre(NewsState& own, TimePoint now) const {
  NewsSum sum = AddUpNear(own.loads, {}, now);
  own.covers_data_centre = true;
  own.loads = std::move(sum.loads);
  own.hosts = std::move(sum.hosts);
}

const FleetNews::HeardSum* FleetNews::NearSum(TimePoint now) const {
  const auto near = m_sums.find(m_data_centre);
  const bool counts =
      near != m_sums.end() && now - near->second.at <= m_policy.near_sum_life;
  return counts ? &near->second : nullptr;
}

bool FleetNews::IsCovered(
    const std::string& node,
    const Heard& heard,
    const std::unordered_set<std::string_view>& near_covered,
    TimePoint now) const {
  if (heard.state.data_centre == m_data_centre) {
    return near_covered.contains(node);
  }
  const auto sum = m_sums.find(heard.state.data_centre);
  return sum != m_sums.end() && IsFresh(sum->second.at, now);
}

FleetNews::Loads FleetNews::SumLoads(TimePoint now) const {
  Loads result;
  MeanAge age;
  const HeardSum* near = NearSum(now);
  std::unordered_set<std::string_view> near_covered;
  if (near != nullptr) {
    for (const NewsHost& host : near->sum.hosts) {
      near_covered.insert(host.name);
    }
  }
  for (const auto& [node, heard] : m_own) {
    if (IsFresh(heard.at, now) && !IsCovered(node, heard, near_covered, now)) {
      AddLoads(heard.state.loads, result.loads);
      age.Add(heard.state.loads, now - heard.at);
    }
  }
  for (const auto& [data_centre, heard] : m_sums) {
    const bool counts =
        data_centre == m_data_centre ? near != nullptr : IsFresh(heard.at, now);
    if (counts) {
      AddLoads(heard.sum.loads, result.loads);
      age.Add(heard.sum.loads, now - heard.at + MeanHostAge(heard.sum.hosts));
    }
  }
  result.hosts = CountHosts(now);
  result.age = age.Get();
  return result;
}

size_t FleetNews::CountHosts(TimePoint now) const {
  return static_cast<size_t>(
      std::count_if(m_hosts.begin(), m_hosts.end(), [&](const auto& row) {
        return now - row.second.at <= m_policy.host_life;
      }));
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
  if (std::erase_if(m_hosts, old) > 0) {
    ++m_membership;
  }
}

}  // namespace filbertrack

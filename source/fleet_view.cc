#include "filbertrack/fleet_view.h"

#include <algorithm>

namespace filbertrack {

namespace {

/// Age of the evidence about a group of which nothing is known; exceeds every
/// evidence bound.
constexpr Duration kUnknownEvidenceAge = Seconds(60);

LoadReport ReadLoad(const MemberReport& report, TimePoint now) {
  LoadReport load;
  load.running = report.running;
  load.queued = report.queued;
  load.slots = report.slots;
  load.prefill = report.prefill;
  load.read_at = now;
  load.cached_prefixes.insert(report.cached_prefixes.begin(),
                              report.cached_prefixes.end());
  return load;
}

std::string DomainOfKey(std::string_view key, std::string_view prefix) {
  return std::string(key.substr(prefix.size()));
}

FleetGroup MakeFleetGroup(const Group& group, const DomainHosts& hosts) {
  FleetGroup located{group, hosts.domain, hosts.data_centre, {}, nullptr};
  located.members =
      std::make_shared<const std::vector<std::string>>(group.members);
  for (const std::string& member : group.members) {
    const PlatformHost* host = FindHost(hosts, member);
    located.addresses.push_back(host == nullptr ? Address() : host->address);
  }
  return located;
}

}  // namespace

void FleetView::SetResources(const Resources& resources, TimePoint now) {
  m_resources = resources;
  RebuildCandidates(now);
}

void FleetView::ReadDomains(const ObjectCache& cache, TimePoint now) {
  m_groups.clear();
  m_group_of_host.clear();
  for (const StoredObject* object : cache.List(kPlatformHostsPrefix)) {
    const std::string domain = DomainOfKey(object->key, kPlatformHostsPrefix);
    const Result<DomainHosts> hosts = ParseDomainHosts(domain, object->value);
    if (!hosts) {
      continue;
    }
    for (const PlatformHost& host : hosts->hosts) {
      m_hosts[host.name] = host.address;
    }
    const StoredObject* state_object =
        cache.Find(std::string(kDomainStatePrefix) + domain);
    if (state_object == nullptr) {
      continue;
    }
    const Result<DomainState> state = ParseDomainState(state_object->value);
    if (!state) {
      continue;
    }
    for (const Group& group : state->groups) {
      m_groups[group.id] = MakeFleetGroup(group, *hosts);
      for (const std::string& member : group.members) {
        m_group_of_host[member] = group.id;
      }
    }
  }
  RebuildCandidates(now);
}

std::string FleetView::OnMember(std::string_view host,
                                const MemberEvidence& evidence,
                                TimePoint now) {
  MemberState& member = m_members[std::string(host)];
  member.alive_at = evidence.alive_at();
  const bool reported = evidence.report() != nullptr;
  if (reported) {
    member.report = *evidence.report();
  }
  const auto group_id = m_group_of_host.find(host);
  if (group_id == m_group_of_host.end()) {
    return "";
  }
  RouteCandidate* candidate = FindCandidate(group_id->second);
  if (candidate == nullptr) {
    return "";
  }
  const Group& group = m_groups.find(group_id->second)->second.group;
  if (reported && group.members.front() == host) {
    candidate->load = ReadLoad(member.report, now);
    candidate->history.change_since_report = 0;
  }
  UpdateCompleteness(*candidate, group, now);
  return group.id;
}

bool FleetView::OnGroupEvidence(std::string_view group,
                                uint64_t epoch,
                                bool whole,
                                TimePoint at,
                                int load) {
  RouteCandidate* candidate = FindCandidate(group);
  if (candidate == nullptr || candidate->target.epoch != epoch) {
    return false;
  }
  RouteTarget& target = candidate->target;
  if (at <= std::max(target.whole_at.value_or(TimePoint()), target.lost_at)) {
    return false;
  }
  if (!whole) {
    target.whole_at.reset();
    target.lost_at = at;
    return true;
  }
  target.whole_at = at;
  if (!IsWatched(group)) {
    candidate->load.running = load;
    candidate->load.queued = 0;
    candidate->history.change_since_report = 0;
  }
  return true;
}

void FleetView::OnAnswerLoad(std::string_view group,
                             const AnswerLoad& load,
                             TimePoint now) {
  RouteCandidate* candidate = FindCandidate(group);
  if (candidate == nullptr) {
    return;
  }
  candidate->load.running = load.running;
  candidate->load.queued = load.queued;
  candidate->load.slots = std::max(1, load.slots);
  candidate->load.prefill = load.prefill;
  candidate->load.read_at = now;
  candidate->history.change_since_report = 0;
}

std::vector<GroupEvidence> FleetView::Evidence(TimePoint now) const {
  std::vector<GroupEvidence> rows;
  for (const auto& [id, located] : m_groups) {
    GroupEvidence row{id, located.group.epoch, true, kUnknownEvidenceAge, 0};
    const auto index = m_index.find(id);
    if (index != m_index.end()) {
      const RouteCandidate& candidate = m_candidates[index->second];
      const RouteTarget& target = candidate.target;
      row.whole = target.whole_at.has_value() || target.lost_at == TimePoint();
      if (target.whole_at) {
        row.age = now - *target.whole_at;
      } else if (target.lost_at != TimePoint()) {
        row.age = now - target.lost_at;
      }
      row.load = candidate.load.running + candidate.load.queued;
    }
    rows.push_back(std::move(row));
  }
  return rows;
}

void FleetView::PruneMembers(
    const std::map<std::string, Address, std::less<>>& watched) {
  std::erase_if(m_members, [&watched](const auto& entry) {
    return !watched.contains(entry.first);
  });
}

bool FleetView::IsWatched(std::string_view group) const {
  const auto located = m_groups.find(group);
  return located != m_groups.end() &&
         m_members.contains(located->second.group.members.front());
}

RouteCandidate* FleetView::FindCandidate(std::string_view id) {
  const auto index = m_index.find(id);
  return index == m_index.end() ? nullptr : &m_candidates[index->second];
}

bool FleetView::IsWholeNow(std::string_view id, TimePoint now) const {
  const auto index = m_index.find(id);
  return index != m_index.end() &&
         IsWhole(m_candidates[index->second].target, RouteLimits(), now);
}

void FleetView::RebuildCandidates(TimePoint now) {
  std::vector<RouteCandidate> candidates;
  AddPlainServers(candidates, now);
  AddGroups(candidates, now);
  m_candidates = std::move(candidates);
  m_index.clear();
  for (size_t i = 0; i < m_candidates.size(); ++i) {
    m_index[m_candidates[i].target.id] = i;
  }
}

RouteCandidate FleetView::FindOrMakeCandidate(const std::string& id,
                                              uint64_t epoch,
                                              TimePoint now) {
  const RouteCandidate* known = FindCandidate(id);
  if (known != nullptr && known->target.epoch == epoch) {
    return *known;
  }
  RouteCandidate candidate;
  candidate.target.id = id;
  candidate.target.epoch = epoch;
  candidate.history.serving_since = now;
  // Requests in flight on an older epoch run to completion on the same hosts,
  // so they still count as load of this one.
  if (known != nullptr) {
    candidate.history.in_flight = known->history.in_flight;
  }
  return candidate;
}

void FleetView::AddPlainServers(std::vector<RouteCandidate>& candidates,
                                TimePoint now) {
  for (const auto& [name, service] : m_resources.services) {
    if (service.type != ServiceType::kPlain) {
      continue;
    }
    for (const Address& address : service.backend_servers) {
      RouteCandidate candidate =
          FindOrMakeCandidate(name + "@" + address.ToString(), 0, now);
      candidate.target.service = name;
      candidate.target.address = address;
      candidate.target.needs_evidence = false;
      candidate.load.slots = service.max_in_flight;
      candidates.push_back(std::move(candidate));
    }
  }
}

void FleetView::AddGroups(std::vector<RouteCandidate>& candidates,
                          TimePoint now) {
  for (const auto& [id, located] : m_groups) {
    const Group& group = located.group;
    // Draining groups stay candidates so that their requests in flight can
    // finish; only serving groups get new requests.
    if (group.phase != GroupPhase::kServing &&
        group.phase != GroupPhase::kDraining) {
      continue;
    }
    RouteCandidate candidate = FindOrMakeCandidate(id, group.epoch, now);
    candidate.target.service = group.service;
    candidate.target.data_centre = located.data_centre;
    candidate.target.adapters = {group.adapters.begin(), group.adapters.end()};
    candidate.target.address = located.addresses.front();
    candidate.target.leaving = group.phase == GroupPhase::kDraining;
    UpdateCompleteness(candidate, group, now);
    candidates.push_back(std::move(candidate));
  }
}

void FleetView::UpdateCompleteness(RouteCandidate& candidate,
                                   const Group& group,
                                   TimePoint now) {
  std::optional<TimePoint> oldest;
  for (const std::string& host : group.members) {
    const auto member = m_members.find(host);
    if (member == m_members.end()) {
      return;  // Not watched by this process; peers send the evidence.
    }
    const MemberState& state = member->second;
    if (!state.alive_at || state.report.group != group.id ||
        state.report.epoch != group.epoch ||
        state.report.phase != MemberPhase::kReady) {
      candidate.target.whole_at.reset();
      candidate.target.lost_at = now;
      return;
    }
    oldest = std::min(oldest.value_or(*state.alive_at), *state.alive_at);
  }
  candidate.target.whole_at =
      std::max(candidate.target.whole_at.value_or(*oldest), *oldest);
}

}  // namespace filbertrack

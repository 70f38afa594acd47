#include "filbertrack/fleet_view.h"

#include <algorithm>

namespace filbertrack {

namespace {

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

FleetGroup Locate(const Group& group, const DomainHosts& hosts) {
  FleetGroup located{group, hosts.domain, hosts.data_centre, {}};
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
      m_groups[group.id] = Locate(group, *hosts);
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
    candidate->history.sent_since_report = 0;
  }
  RefreshWhole(*candidate, group);
  return group.id;
}

void FleetView::OnGroupEvidence(std::string_view group,
                                uint64_t epoch,
                                TimePoint whole_at) {
  RouteCandidate* candidate = FindCandidate(group);
  if (candidate == nullptr || candidate->target.epoch != epoch) {
    return;
  }
  std::optional<TimePoint>& known = candidate->target.whole_at;
  known = std::max(known.value_or(whole_at), whole_at);
}

RouteCandidate* FleetView::FindCandidate(std::string_view id) {
  const auto index = m_index.find(id);
  return index == m_index.end() ? nullptr : &m_candidates[index->second];
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

RouteCandidate FleetView::Known(const std::string& id,
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
  // Work in flight on an older epoch ends there; it still counts here until
  // then, because it runs on the same hosts.
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
      RouteCandidate candidate = Known(name + "@" + address.ToString(), 0, now);
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
    // Groups that drain stay known, so that requests in flight go on; only a
    // serving one gets new requests.
    if (group.phase != GroupPhase::kServing &&
        group.phase != GroupPhase::kDraining) {
      continue;
    }
    RouteCandidate candidate = Known(id, group.epoch, now);
    candidate.target.service = group.service;
    candidate.target.data_centre = located.data_centre;
    candidate.target.adapters = {group.adapters.begin(), group.adapters.end()};
    candidate.target.address = located.addresses.front();
    candidate.target.leaving = group.phase == GroupPhase::kDraining;
    RefreshWhole(candidate, group);
    candidates.push_back(std::move(candidate));
  }
}

void FleetView::RefreshWhole(RouteCandidate& candidate, const Group& group) {
  std::optional<TimePoint> oldest;
  for (const std::string& host : group.members) {
    const auto member = m_members.find(host);
    if (member == m_members.end()) {
      return;  // Not read by this process; peers tell of the group.
    }
    const MemberState& state = member->second;
    if (!state.alive_at || state.report.group != group.id ||
        state.report.epoch != group.epoch ||
        state.report.phase != MemberPhase::kReady) {
      candidate.target.whole_at.reset();
      return;
    }
    oldest = std::min(oldest.value_or(*state.alive_at), *state.alive_at);
  }
  candidate.target.whole_at =
      std::max(candidate.target.whole_at.value_or(*oldest), *oldest);
}

}  // namespace filbertrack

#include <algorithm>

#include "placement_replay.h"
#include "placement_replay_site.h"

/// Part of PlacementReplay: messages between the hosts, and their failures.

namespace filbertrack {

void PlacementReplay::Pump(size_t index) {
  Host& host = m_hosts[index];
  if (!host.is_alive || host.is_frozen ||
      m_scenario.scheduler != ReplayScheduler::kPlaced) {
    return;
  }
  Apply(host.client->Expire(m_now));
  host.placer->SetUnresponsive(host.client->Unresponsive(),
                               host.client->SilentFor(Placer::kSilence, m_now),
                               m_now);
  if (host.placer->TakeNeedsEstimate()) {
    host.placer->SetUnsynced(ReportedLoads(), kHosts, m_now);
  }
  for (const std::string& checked : host.placer->TakeChecks()) {
    host.client->Check(checked);
  }
  for (auto& [placer, request] : host.client->TakeMessages(m_now)) {
    SendRequest(index, placer, std::move(request));
  }
  for (auto& [asker, notice] : host.placer->TakeNotices(m_now)) {
    SendNotice(index, asker, std::move(notice));
  }
  for (const auto due : {host.client->NextDue(), host.placer->NextDue()}) {
    const TimePoint wake = std::max(due.value_or(TimePoint::max()), m_now);
    if (due && (wake < host.wake || host.wake <= m_now)) {
      host.wake = wake;
      At(wake, [this, index] { Pump(index); });
    }
  }
}

void PlacementReplay::SendRequest(size_t from,
                                  const std::string& to,
                                  PlacementRequest request) {
  const size_t placer = IndexOf(to);
  const Duration delay = from == placer ? Duration(0)
                                        : Delay(m_hosts[from].data_centre,
                                                m_hosts[placer].data_centre);
  if (IsLost(from, placer, false)) {
    return;
  }
  const auto receive = [this, from, placer, delay,
                        request = std::move(request)] {
    if (!m_hosts[placer].is_alive) {
      return;
    }
    const auto reply = m_hosts[placer].placer->OnRequest(request, m_now);
    if (!IsLost(from, placer, true)) {
      At(m_now + delay, [this, from, placer, reply] {
        RunAt(from, [this, from, placer, reply] {
          Apply(m_hosts[from].client->OnReply(m_hosts[placer].name, &reply,
                                              m_now));
          Pump(from);
        });
      });
    }
    Pump(placer);
  };
  At(m_now + delay, [this, placer, receive] { RunAt(placer, receive); });
}

bool PlacementReplay::IsLost(size_t asker, size_t placer, bool is_reply) const {
  const auto cut = m_cuts.find(placer);
  const auto kind =
      is_reply ? ReplayFault::Kind::kNoReplies : ReplayFault::Kind::kNoRequests;
  return cut != m_cuts.end() && cut->second == kind && asker % 2 == 1;
}

void PlacementReplay::RunAt(size_t index, std::function<void()> action) {
  Host& host = m_hosts[index];
  if (host.is_frozen) {
    host.inbox.push_back(std::move(action));
    return;
  }
  action();
}

void PlacementReplay::SendNotice(size_t from,
                                 const std::string& to,
                                 PlacementNotice notice) {
  const size_t asker = IndexOf(to);
  const Duration delay = from == asker ? Duration(0)
                                       : Delay(m_hosts[from].data_centre,
                                               m_hosts[asker].data_centre);
  const auto receive = [this, from, asker, delay, notice = std::move(notice)] {
    PlacementNoticeReply reply;
    if (m_hosts[asker].is_alive) {
      Apply(m_hosts[asker].client->OnNotice(notice, reply, m_now));
      m_hosts[asker].placer->OnClaim(notice, m_now);
      Pump(asker);
    }
    At(m_now + delay, [this, from, asker, reply] {
      RunAt(from, [this, from, asker, reply] {
        m_hosts[from].placer->OnNoticeReply(
            m_hosts[asker].name, m_hosts[asker].is_alive ? &reply : nullptr,
            m_now);
        Pump(from);
      });
    });
  };
  At(m_now + delay, [this, asker, receive] { RunAt(asker, receive); });
}

void PlacementReplay::Apply(
    const std::vector<PlacementClient::Decided>& decided) {
  for (const auto& item : decided) {
    const int number = static_cast<int>(item.id);
    if (!m_requests.contains(number) ||
        m_requests.at(number).sent > TimePoint{}) {
      ++m_result.stray_decisions;
      continue;
    }
    if (const auto* grant = std::get_if<PlacementGrant>(&item.decision)) {
      Send(number, TargetNumber(grant->target), grant->predicted, true);
    } else if (std::holds_alternative<ChooseLocally>(item.decision)) {
      ChooseByReports(number);
    } else {
      Count(m_requests.at(number), &ReplayResult::Count::refused);
      m_requests.erase(number);
    }
  }
}

void PlacementReplay::AgreeOnPlacer(size_t index) {
  std::vector<FleetHost> live;
  for (const Host& host : m_hosts) {
    if (host.takes_requests && host.is_listed) {
      live.push_back({host.name, host.data_centre, host.capacity, false});
    }
  }
  Host& host = m_hosts[index];
  const std::vector<std::string> ranking = RankPlacers(kPool, live);
  const std::string placer = ranking.front();
  host.client->SetRanking(kPool, ranking, m_now);
  std::set<std::string, std::less<>> names;
  for (const FleetHost& each : live) {
    names.insert(each.name);
  }
  host.placer->SetHosts(std::move(names), m_now);
  const auto own = std::find(ranking.begin(), ranking.end(), host.name);
  const bool began = placer == host.name && host.placer->pools().empty();
  if (own != ranking.end()) {
    const std::vector<PlacementRole> roles = {
        {kPool, {ranking.begin(), own}, m_now > kStart}};
    host.placer->SetRoles(roles, m_now);
    SetTargets(std::count(m_is_gone.begin(), m_is_gone.end(), true) == 0);
  }
  if (began) {
    host.placer->SetUnsynced(ReportedLoads(), kHosts, m_now);
  }
  Pump(index);
}

TargetLoads PlacementReplay::ReportedLoads() const {
  TargetLoads loads;
  if (!m_reports.empty()) {
    for (const auto& own : m_reports.front()) {
      for (const auto& [target, load] : own) {
        loads[target].requests += load.requests;
        loads[target].prompt_tokens += load.prompt_tokens;
      }
    }
  }
  return loads;
}

void PlacementReplay::ReportLoads() {
  if (m_now >= kStart + kLength) {
    return;
  }
  Snapshot now;
  for (const Host& host : m_hosts) {
    std::map<std::string, TargetLoad, std::less<>> loads;
    if (host.is_alive) {
      const auto own = host.selector->OwnLoads();
      loads.insert(own.begin(), own.end());
    }
    now.push_back(std::move(loads));
  }
  m_reports.push_front(std::move(now));
  m_reports.resize(std::min(m_reports.size(), kRemoteAge + 1));
  const Snapshot& local = m_reports[std::min(kLocalAge, m_reports.size() - 1)];
  const Snapshot& remote = m_reports.back();
  const auto add = [](TargetLoads& sum, const TargetLoads& loads, int sign) {
    for (const auto& [target, load] : loads) {
      sum[target].requests += sign * load.requests;
      sum[target].prompt_tokens += sign * load.prompt_tokens;
    }
  };
  std::array<TargetLoads, 3> sums;
  for (size_t i = 0; i < kHosts; ++i) {
    for (size_t centre = 0; centre < sums.size(); ++centre) {
      add(sums[centre], (i % 3 == centre ? local : remote)[i], 1);
    }
  }
  for (size_t i = 0; i < kHosts; ++i) {
    TargetLoads loads = sums[i % 3];
    add(loads, local[i], -1);
    m_hosts[i].selector->SetRemoteLoads(loads, 0, m_now);
  }
  At(m_now + kReportInterval, [this] { ReportLoads(); });
}

void PlacementReplay::SetTargets(bool all) {
  std::vector<DispatchTarget> targets;
  for (size_t i = 0; i < kTargets; ++i) {
    if (all || i % 3 != 0) {
      targets.push_back({TargetName(i),
                         {"127.0.0.1", 1},
                         kPool.service,
                         kPool.model,
                         DataCentre(i),
                         kSlots,
                         690});
    }
  }
  const Catalog catalog = MakeCatalog(m_scenario.pace);
  for (Host& host : m_hosts) {
    host.selector->SetTargets(targets, catalog, m_now);
    host.placer->SetTargets(targets, catalog, m_now);
  }
}

void PlacementReplay::ScheduleTrouble() {
  if (m_scenario.loses_targets) {
    At(kStart + Seconds(3), [this] { LoseTargets(); });
    At(kStart + Seconds(3) + kDetection, [this] { SetTargets(false); });
    At(kStart + Seconds(5), [this] {
      m_is_gone.assign(kTargets, false);
      SetTargets(true);
    });
  }
  if (m_scenario.stops_hosts) {
    for (size_t i = 0; i < 30; ++i) {
      // Three of the strong hosts remain.
      const size_t host = i < 3 ? i : i + kStrongHosts;
      At(kStart + Milliseconds(2500 + 60 * static_cast<int>(i)),
         [this, host] { StopHost(host); });
    }
  }
  if (m_scenario.kills_placer) {
    At(kStart + Milliseconds(3500), [this] { KillPlacer(); });
  }
  ScheduleFaults();
}

void PlacementReplay::LoseTargets() {
  for (size_t i = 0; i < kTargets; i += 3) {
    m_is_gone[i] = true;
    m_engines[i].running.clear();
    m_engines[i].waiting.clear();
  }
  std::vector<int> lost;
  for (const auto& [number, request] : m_requests) {
    if (request.sent > TimePoint{} && m_is_gone[request.target]) {
      lost.push_back(number);
    }
  }
  for (const int number : lost) {
    OnEnd(number, DispatchResult::kFailed);
  }
}

void PlacementReplay::StopHost(size_t index) {
  m_hosts[index].takes_requests = false;
  m_hosts[index].placer->Drain(m_now);
  Pump(index);
  for (size_t i = 0; i < kHosts; ++i) {
    // Gossip tells the others within 0.2 s.
    At(m_now + Milliseconds(2) * static_cast<int>(i),
       [this, i] { AgreeOnPlacer(i); });
  }
}

void PlacementReplay::KillPlacer() {
  std::vector<FleetHost> live;
  for (const Host& host : m_hosts) {
    if (host.takes_requests) {
      live.push_back({host.name, host.data_centre, host.capacity, false});
    }
  }
  Host& placer = m_hosts[IndexOf(ChoosePlacer(kPool, live))];
  placer.is_alive = false;
  placer.takes_requests = false;
  for (size_t i = 0; i < kHosts; ++i) {
    // Hosts agree on the live hosts within 1 to 1.5 s.
    if (m_hosts[i].is_alive) {
      At(m_now + Seconds(1) + Milliseconds(5) * static_cast<int>(i),
         [this, i] { AgreeOnPlacer(i); });
    }
  }
}

}  // namespace filbertrack

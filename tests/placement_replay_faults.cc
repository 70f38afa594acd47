#include <algorithm>

#include "placement_replay.h"
#include "placement_replay_site.h"

/// Part of PlacementReplay: failures of the host that places.

namespace filbertrack {

namespace {

/// Time after which the membership no longer lists a host that is silent, and
/// over which the hosts notice it.
constexpr Duration kExpiry = Seconds(1);
constexpr Duration kExpiryStep = Milliseconds(5);
/// The same for a host that is heard again.
constexpr Duration kReturn = Milliseconds(200);
constexpr Duration kReturnStep = Milliseconds(3);
constexpr Duration kWatchInterval = Milliseconds(1);

}  // namespace

void PlacementReplay::ScheduleFaults() {
  std::vector<FleetHost> live;
  for (const Host& host : m_hosts) {
    live.push_back({host.name, host.data_centre, host.capacity, false});
  }
  const std::vector<std::string> ranking = RankPlacers(kPool, live);
  for (const ReplayFault& fault : m_scenario.faults) {
    const size_t host = IndexOf(ranking.at(fault.rank));
    At(kStart + fault.at, [this, host, fault] { Fail(host, fault); });
  }
}

void PlacementReplay::ScheduleAgreement(TimePoint at, Duration step) {
  for (size_t i = 0; i < kHosts; ++i) {
    At(at + step * static_cast<int>(i), [this, i] {
      if (m_hosts[i].is_alive && !m_hosts[i].is_frozen) {
        AgreeOnPlacer(i);
      }
    });
  }
}

void PlacementReplay::Fail(size_t index, const ReplayFault& fault) {
  Host& host = m_hosts[index];
  const TimePoint end = m_now + fault.length;
  if (m_scenario.scheduler == ReplayScheduler::kPlaced) {
    WatchMove(index, m_now);
  }
  switch (fault.kind) {
    case ReplayFault::Kind::kKilled:
      host.is_alive = false;
      host.takes_requests = false;
      ScheduleAgreement(m_now + kExpiry, kExpiryStep);
      return;
    case ReplayFault::Kind::kFrozen:
      host.is_frozen = true;
      if (fault.length > kExpiry) {
        At(m_now + kExpiry, [&host] { host.is_listed = false; });
        ScheduleAgreement(m_now + kExpiry, kExpiryStep);
        At(end + kReturn, [&host] { host.is_listed = true; });
        ScheduleAgreement(end + kReturn, kReturnStep);
      }
      At(end, [this, index] { Thaw(index); });
      return;
    case ReplayFault::Kind::kNoRequests:
    case ReplayFault::Kind::kNoReplies:
      m_cuts[index] = fault.kind;
      At(end, [this, index] { m_cuts.erase(index); });
      return;
    case ReplayFault::Kind::kRestarted:
      host.is_alive = false;
      host.takes_requests = false;
      At(end, [this, index] { Restart(index); });
  }
}

void PlacementReplay::Thaw(size_t index) {
  Host& host = m_hosts[index];
  host.is_frozen = false;
  const auto inbox = std::exchange(host.inbox, {});
  for (const auto& action : inbox) {
    action();
  }
  Pump(index);
}

void PlacementReplay::Restart(size_t index) {
  Host& host = m_hosts[index];
  host.is_alive = true;
  host.takes_requests = true;
  host.wake = TimePoint::max();
  host.selector = std::make_unique<TargetSelector>(DispatchPolicy{}, index);
  host.client = std::make_unique<PlacementClient>(host.name, 2);
  host.placer =
      std::make_unique<Placer>(host.name, 2, PlacementPolicy{}, index);
  SetTargets(std::count(m_is_gone.begin(), m_is_gone.end(), true) == 0);
  if (m_scenario.scheduler == ReplayScheduler::kPlaced) {
    AgreeOnPlacer(index);
  }
}

void PlacementReplay::WatchMove(size_t failed, TimePoint since) {
  const std::string& name = m_hosts[failed].name;
  const bool is_asked =
      std::any_of(m_hosts.begin(), m_hosts.end(), [&](const Host& host) {
        return host.is_alive && !host.is_frozen && host.name != name &&
               host.client->PlacerOf(kPool) == name;
      });
  if (is_asked && m_now < since + kExpiry) {
    At(m_now + kWatchInterval,
       [this, failed, since] { WatchMove(failed, since); });
    return;
  }
  m_result.moved_after = std::max(m_result.moved_after, m_now - since);
}

}  // namespace filbertrack

#include <algorithm>

#include "filbertrack/groups_plan.h"

/// A controller's observations of the hosts of its domain.

namespace filbertrack {

const HostView* FindView(const HostViews& views, std::string_view host) {
  const auto view = views.find(host);
  return view == views.end() ? nullptr : &view->second;
}

bool IsAlive(const PlanInput& input,
             std::string_view host,
             const PlanPolicy& policy,
             TimePoint now) {
  const HostView* view = FindView(input.views, host);
  return view != nullptr && view->alive_at &&
         now - *view->alive_at <= policy.lost_after;
}

void ObserveHost(HostView& view,
                 const MemberEvidence& evidence,
                 const PlanPolicy& policy,
                 TimePoint now) {
  const auto alive = [&policy, now](const std::optional<TimePoint>& at) {
    return at && now - *at <= policy.lost_after;
  };
  const bool restarted =
      evidence.report() != nullptr && !view.report.incarnation.empty() &&
      evidence.report()->incarnation != view.report.incarnation;
  if (evidence.report() != nullptr) {
    view.report = *evidence.report();
  }
  view.alive_at = evidence.alive_at();
  const bool is_alive = alive(view.alive_at);
  if ((view.was_alive && !is_alive) || restarted) {
    ++view.losses;
  }
  if (is_alive && (!view.was_alive || restarted)) {
    view.alive_since = now;
  }
  view.was_alive = is_alive;
}

std::vector<std::string> FreeHosts(const PlanInput& input,
                                   const PlanPolicy& policy,
                                   TimePoint now) {
  std::vector<std::string> free;
  for (const PlatformHost& host : input.hosts.hosts) {
    const HostView* view = FindView(input.views, host.name);
    if (host.leaving || !IsAlive(input, host.name, policy, now) ||
        FindGroupOfHost(input.state, host.name) != nullptr ||
        !view->report.group.empty()) {
      continue;
    }
    if (view->losses > 0 && now - view->alive_since < policy.settle) {
      continue;
    }
    free.push_back(host.name);
  }
  return free;
}

int StrandedAccelerators(const DomainState& state, const DomainHosts& hosts) {
  int stranded = 0;
  for (const PlatformHost& host : hosts.hosts) {
    const Group* group = FindGroupOfHost(state, host.name);
    if (group == nullptr || group->phase != GroupPhase::kServing) {
      stranded += host.accelerators;
    }
  }
  return stranded;
}

}  // namespace filbertrack

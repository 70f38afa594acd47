#include "filbertrack/history_check.h"

#include <algorithm>
#include <map>
#include <set>

namespace filbertrack {

namespace {

using Violations = std::vector<Violation>;

std::string At(HistoryTime at) {
  return " at " + std::to_string(at) + " us";
}

/// Times during which a host was down, sorted.
struct DownTime {
  HistoryTime from = 0;
  HistoryTime to = INT64_MAX;
};

std::map<std::string, std::vector<DownTime>> DownTimes(const History& history) {
  std::vector<MemberEvent> events = history.members;
  std::stable_sort(events.begin(), events.end(),
                   [](const auto& a, const auto& b) { return a.at < b.at; });
  std::map<std::string, std::vector<DownTime>> times;
  for (const MemberEvent& event : events) {
    std::vector<DownTime>& host = times[event.host];
    if (event.down) {
      host.push_back({event.at, INT64_MAX});
    } else if (!host.empty()) {
      host.back().to = event.at;
    }
  }
  return times;
}

void CheckWholeGroups(const History& history,
                      const HistoryBounds& bounds,
                      Violations& violations) {
  const auto down = DownTimes(history);
  for (const ForwardEvent& forward : history.forwards) {
    for (const std::string& member : forward.members) {
      const auto times = down.find(member);
      if (times == down.end()) {
        continue;
      }
      for (const DownTime& time : times->second) {
        // A piece may be forwarded until the evidence from before the loss has
        // passed its bound.
        const HistoryTime from = time.from + bounds.evidence;
        const bool overlaps =
            forward.last > from && from < time.to && forward.first < time.to;
        if (overlaps) {
          violations.push_back({Statement::kWholeGroups,
                                "request " + forward.request +
                                    " was answered by group " + forward.group +
                                    " until" + At(forward.last) +
                                    " while member " + member +
                                    " was down since" + At(time.from)});
        }
      }
    }
  }
}

void CheckOneGroupPerHost(const History& history, Violations& violations) {
  for (const GroupEvent& event : history.groups) {
    std::set<std::string> seen;
    for (const std::vector<std::string>& group : event.groups) {
      for (const std::string& host : group) {
        if (!seen.insert(host).second) {
          violations.push_back({Statement::kOneGroupPerHost,
                                "host " + host + " was in two groups of " +
                                    event.domain + At(event.at)});
        }
      }
    }
  }
}

void CheckOwnWholeAnswer(const History& history, Violations& violations) {
  for (const CallerEvent& caller : history.callers) {
    if (caller.result == CallerResult::kWrong) {
      violations.push_back({Statement::kOwnWholeAnswer,
                            "request " + caller.request + " (" + caller.what +
                                ") got a wrong answer" + At(caller.at)});
    }
  }
}

void CheckNotRunIsTrue(const History& history, Violations& violations) {
  std::set<std::string> ran;
  for (const ExecutionEvent& execution : history.executions) {
    ran.insert(execution.request);
  }
  for (const CallerEvent& caller : history.callers) {
    if (caller.result == CallerResult::kNotRun &&
        ran.contains(caller.request)) {
      violations.push_back(
          {Statement::kNotRunIsTrue,
           "request " + caller.request + " was called not-run and had run"});
    }
  }
}

void CheckAtMostOnce(const History& history, Violations& violations) {
  std::map<std::string, int> runs;
  for (const ExecutionEvent& execution : history.executions) {
    ++runs[execution.what];
  }
  std::set<std::string> reported;
  for (const CallerEvent& caller : history.callers) {
    if (!caller.idempotent && runs[caller.what] > 1 &&
        reported.insert(caller.what).second) {
      violations.push_back({Statement::kAtMostOnce,
                            "the non-idempotent request " + caller.what +
                                " ran " + std::to_string(runs[caller.what]) +
                                " times"});
    }
  }
}

void CheckLeaving(const History& history,
                  const HistoryBounds& bounds,
                  Violations& violations) {
  for (const LeaveEvent& leave : history.leaves) {
    for (const ExecutionEvent& execution : history.executions) {
      if (execution.server == leave.name &&
          execution.at > leave.at + bounds.leaving) {
        violations.push_back({Statement::kLeavingGetsNoWork,
                              "request " + execution.request + " began on " +
                                  leave.name + At(execution.at) +
                                  ", which was leaving since" + At(leave.at)});
      }
    }
  }
}

void CheckPlannedStops(const History& history, Violations& violations) {
  for (const StoppedRequestEvent& request : history.stopped) {
    if (!request.whole) {
      violations.push_back({Statement::kPlannedStopCutsNothing,
                            "request " + request.request +
                                " was cut off by the planned stop of " +
                                request.node});
    }
  }
}

void CheckConfig(const History& history,
                 const HistoryBounds& bounds,
                 Violations& violations) {
  std::map<std::string, std::vector<ConfigEvent>> nodes;
  std::vector<ConfigEvent> accepted;
  for (const ConfigEvent& event : history.configs) {
    (event.node.empty() ? accepted : nodes[event.node]).push_back(event);
  }
  for (auto& [node, events] : nodes) {
    std::stable_sort(events.begin(), events.end(),
                     [](const auto& a, const auto& b) { return a.at < b.at; });
    for (size_t i = 1; i < events.size(); ++i) {
      if (events[i].generation < events[i - 1].generation) {
        violations.push_back(
            {Statement::kConfigInForceAndKept,
             "entry host " + node + " went back from generation " +
                 std::to_string(events[i - 1].generation) + " to " +
                 std::to_string(events[i].generation) + At(events[i].at)});
      }
    }
    for (const ConfigEvent& change : accepted) {
      const bool in_time = std::any_of(
          events.begin(), events.end(), [&](const ConfigEvent& event) {
            return event.generation >= change.generation &&
                   event.at <= change.at + bounds.in_force;
          });
      if (!in_time) {
        violations.push_back(
            {Statement::kConfigInForceAndKept,
             "generation " + std::to_string(change.generation) + ", accepted" +
                 At(change.at) + ", was not in force in time on " + node});
      }
    }
  }
}

}  // namespace

std::string_view StatementText(Statement statement) {
  switch (statement) {
    case Statement::kWholeGroups:
      return "no group answers while a member is missing";
    case Statement::kOneGroupPerHost:
      return "no host is in two groups";
    case Statement::kOwnWholeAnswer:
      return "every caller gets the whole answer to its own request";
    case Statement::kNotRunIsTrue:
      return "what is called not-run was not run";
    case Statement::kAtMostOnce:
      return "a non-idempotent request runs at most once";
    case Statement::kLeavingGetsNoWork:
      return "a leaving backend server gets no new work";
    case Statement::kPlannedStopCutsNothing:
      return "a planned stop cuts off nothing in flight";
    case Statement::kConfigInForceAndKept:
      return "an accepted configuration is in force everywhere and never "
             "reverts";
  }
  return "";
}

std::vector<Violation> CheckHistory(const History& history,
                                    const HistoryBounds& bounds) {
  Violations violations;
  CheckWholeGroups(history, bounds, violations);
  CheckOneGroupPerHost(history, violations);
  CheckOwnWholeAnswer(history, violations);
  CheckNotRunIsTrue(history, violations);
  CheckAtMostOnce(history, violations);
  CheckLeaving(history, bounds, violations);
  CheckPlannedStops(history, violations);
  CheckConfig(history, bounds, violations);
  return violations;
}

}  // namespace filbertrack

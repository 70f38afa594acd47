#include "filbertrack/history_check.h"

#include <algorithm>
#include <map>
#include <set>

namespace filbertrack {

namespace {

using Violations = std::vector<Violation>;

std::string FormatTime(HistoryTime at) {
  return " at " + std::to_string(at) + " us";
}

/// An interval during which a host was down; open-ended if it never came back.
struct Downtime {
  HistoryTime from = 0;
  HistoryTime to = INT64_MAX;
};

std::map<std::string, std::vector<Downtime>> FindDowntimes(
    const History& history) {
  std::vector<MemberEvent> events = history.members;
  std::stable_sort(events.begin(), events.end(),
                   [](const auto& a, const auto& b) { return a.at < b.at; });
  std::map<std::string, std::vector<Downtime>> times;
  for (const MemberEvent& event : events) {
    std::vector<Downtime>& host = times[event.host];
    if (event.down) {
      host.push_back({event.at, INT64_MAX});
    } else if (!host.empty()) {
      host.back().to = event.at;
    }
  }
  return times;
}

void CheckIncompleteGroups(const History& history,
                           const HistoryBounds& bounds,
                           Violations& violations) {
  const auto down = FindDowntimes(history);
  for (const ForwardEvent& forward : history.forwards) {
    for (const std::string& member : forward.members) {
      const auto times = down.find(member);
      if (times == down.end()) {
        continue;
      }
      for (const Downtime& time : times->second) {
        // Evidence from before the loss permits forwarding until it exceeds its
        // maximum age.
        const HistoryTime from = time.from + bounds.max_evidence_age;
        const bool overlaps =
            forward.last > from && from < time.to && forward.first < time.to;
        if (overlaps) {
          violations.push_back({Invariant::kNoIncompleteGroupAnswers,
                                "request " + forward.request +
                                    " was answered by group " + forward.group +
                                    " until" + FormatTime(forward.last) +
                                    " while member " + member +
                                    " was down since" + FormatTime(time.from)});
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
          violations.push_back({Invariant::kOneGroupPerHost,
                                "host " + host + " was in two groups of " +
                                    event.domain + FormatTime(event.at)});
        }
      }
    }
  }
}

void CheckCorrectAnswers(const History& history, Violations& violations) {
  for (const CallerEvent& caller : history.callers) {
    if (caller.result == CallerResult::kWrong) {
      violations.push_back({Invariant::kCorrectAnswers,
                            "request " + caller.request + " (" +
                                caller.work_id + ") got a wrong answer" +
                                FormatTime(caller.at)});
    }
  }
}

void CheckNotRunOutcomes(const History& history, Violations& violations) {
  std::set<std::string> executed;
  for (const ExecutionEvent& execution : history.executions) {
    executed.insert(execution.request);
  }
  for (const CallerEvent& caller : history.callers) {
    if (caller.result == CallerResult::kNotRun &&
        executed.contains(caller.request)) {
      violations.push_back({Invariant::kNotRunIsAccurate,
                            "request " + caller.request +
                                " was reported as not-run but was executed"});
    }
  }
}

void CheckAtMostOnce(const History& history, Violations& violations) {
  std::map<std::string, int> runs;
  for (const ExecutionEvent& execution : history.executions) {
    ++runs[execution.work_id];
  }
  std::set<std::string> reported;
  for (const CallerEvent& caller : history.callers) {
    if (!caller.idempotent && runs[caller.work_id] > 1 &&
        reported.insert(caller.work_id).second) {
      violations.push_back({Invariant::kAtMostOnce,
                            "the non-idempotent request " + caller.work_id +
                                " ran " + std::to_string(runs[caller.work_id]) +
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
          execution.at > leave.at + bounds.leaving_grace) {
        violations.push_back({Invariant::kNoWorkWhenLeaving,
                              "request " + execution.request + " began on " +
                                  leave.name + FormatTime(execution.at) +
                                  ", which was leaving since" +
                                  FormatTime(leave.at)});
      }
    }
  }
}

void CheckGracefulStops(const History& history, Violations& violations) {
  for (const StoppedRequestEvent& request : history.stopped) {
    if (!request.completed) {
      violations.push_back({Invariant::kGracefulStop,
                            "request " + request.request +
                                " was interrupted by the planned stop of " +
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
            {Invariant::kConfigPropagation,
             "entry host " + node + " reverted from generation " +
                 std::to_string(events[i - 1].generation) + " to " +
                 std::to_string(events[i].generation) +
                 FormatTime(events[i].at)});
      }
    }
    for (const ConfigEvent& change : accepted) {
      const bool in_time = std::any_of(
          events.begin(), events.end(), [&](const ConfigEvent& event) {
            return event.generation >= change.generation &&
                   event.at <= change.at + bounds.propagation_timeout;
          });
      if (!in_time) {
        violations.push_back({Invariant::kConfigPropagation,
                              "generation " +
                                  std::to_string(change.generation) +
                                  ", accepted" + FormatTime(change.at) +
                                  ", was not in force in time on " + node});
      }
    }
  }
}

}  // namespace

std::string_view InvariantText(Invariant invariant) {
  switch (invariant) {
    case Invariant::kNoIncompleteGroupAnswers:
      return "no group answers while a member is missing";
    case Invariant::kOneGroupPerHost:
      return "no host is in two groups";
    case Invariant::kCorrectAnswers:
      return "every caller gets the complete answer to its own request";
    case Invariant::kNotRunIsAccurate:
      return "a request reported as not-run was not executed";
    case Invariant::kAtMostOnce:
      return "a non-idempotent request runs at most once";
    case Invariant::kNoWorkWhenLeaving:
      return "a leaving backend server gets no new work";
    case Invariant::kGracefulStop:
      return "a planned stop interrupts no request in flight";
    case Invariant::kConfigPropagation:
      return "an accepted configuration is in force everywhere and never "
             "reverts";
  }
  return "";
}

std::vector<Violation> CheckHistory(const History& history,
                                    const HistoryBounds& bounds) {
  Violations violations;
  CheckIncompleteGroups(history, bounds, violations);
  CheckOneGroupPerHost(history, violations);
  CheckCorrectAnswers(history, violations);
  CheckNotRunOutcomes(history, violations);
  CheckAtMostOnce(history, violations);
  CheckLeaving(history, bounds, violations);
  CheckGracefulStops(history, violations);
  CheckConfig(history, bounds, violations);
  return violations;
}

}  // namespace filbertrack

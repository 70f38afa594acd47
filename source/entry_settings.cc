#include "filbertrack/entry_host.h"

#include <algorithm>

namespace filbertrack {

namespace {

TextKey YesOrNo(std::string default_value = "yes") {
  return {std::move(default_value), false, {"yes", "no"}};
}

/// Share of the allowed retries that is used. The rest covers requests that
/// servers refuse, which count as retries as well.
constexpr double kRetryShare = 0.7;

}  // namespace

bool IsEnabled(const Settings& settings, std::string_view mechanism) {
  return settings.Text("mechanisms", mechanism) == "yes";
}

double MaxSavedRetries(const Settings& settings, size_t entry_hosts) {
  const double slack = settings.Number("retries", "slack");
  return std::max(1.0, slack * kRetryShare / static_cast<double>(entry_hosts));
}

CoarseGroups CoarseGroupsOf(const Settings& settings) {
  const std::string& value = settings.Text("groups", "coarse_planning");
  if (value == "auto") {
    return CoarseGroups::kAuto;
  }
  return value == "yes" ? CoarseGroups::kYes : CoarseGroups::kNo;
}

DispatchPolicy DispatchPolicyOf(const Settings& settings) {
  DispatchPolicy policy;
  policy.looks_wider = IsEnabled(settings, "looks_wider");
  policy.pauses_failing = IsEnabled(settings, "pauses_failing");
  policy.learns_speed = IsEnabled(settings, "learns_speed");
  return policy;
}

RetryBudgetPolicy RetryPolicyOf(const Settings& settings) {
  const double ratio = settings.Number("retries", "ratio");
  const auto hosts =
      static_cast<size_t>(settings.Integer("retries", "entry_hosts"));
  return {ratio * kRetryShare, MaxSavedRetries(settings, hosts), 0};
}

SettingsSchema EntrySchema() {
  return SettingsSchema({
      {"node", "name", TextKey{"", true, {}},
       "Name of this entry host; must be unique in the fleet. Leases are held "
       "under it."},
      {"node", "data_centre", TextKey{"", true, {}},
       "Data centre of this entry host."},
      {"node", "link_mbps", NumberKey{1000, 0.001, 1e6},
       "Bandwidth of this host's link, in Mbit/s; hosts with more capacity "
       "take on more tasks for the fleet."},
      {"node", "processor_share", NumberKey{1, 0.001, 1e4},
       "Number of cores that this host's process may use; may be a fraction."},
      {"node", "first_start", YesOrNo("no"),
       "Whether the whole fleet starts for the first time."},
      {"node", "memory_mb", NumberKey{512, 1, 1e7},
       "Memory that this host's process may use, in MiB; a quarter of it "
       "limits the data buffered for callers."},
      {"node", "regions", TextKey{"", false, {}},
       "Region of each data centre, as comma-separated DATA-CENTRE:REGION "
       "pairs; empty: there is one region."},
      {"evacuations", "watched", YesOrNo("no"),
       "Whether this entry host watches the store for data centres that the "
       "operator evacuates; takes one more watch."},
      {"log", "level",
       TextKey{"info", false, {"debug", "info", "warning", "error"}},
       "Minimum level of the log lines that are written."},
      {"callers", "listen", AddressKey{"0.0.0.0:8080"},
       "Address for callers' requests."},
      {"callers", "unread_timeout",
       DurationKey{Seconds(10), Milliseconds(100), Seconds(600)},
       "Time after which a caller that reads none of its response is "
       "disconnected."},
      {"ready", "listen", AddressKey{"0.0.0.0:8081"},
       "Address for readiness checks and metrics."},
      {"peers", "listen", AddressKey{"0.0.0.0:8090"},
       "Address for requests of other entry hosts; published to them."},
      {"peers", "forward_port", IntegerKey{0, 0, 65535},
       "Port at the same address for requests of entry hosts that reach no "
       "backend server; 0: the system chooses."},
      {"servers", "source", TextKey{"", false, {}},
       "IP address from which this host connects to backend servers; empty: "
       "the system chooses."},
      {"store", "address", AddressKey{""},
       "Address of the platform's metadata store."},
      {"stop", "grace", DurationKey{Seconds(8), Seconds(1), Seconds(600)},
       "Time from a stop signal until the platform ends the process."},
      {"retries", "ratio", NumberKey{0.2, 0, 1},
       "Retries allowed for each service, as a fraction of its requests."},
      {"retries", "slack", NumberKey{100, 0, 1e6},
       "Retries allowed in addition, for all entry hosts together in one "
       "window."},
      {"retries", "entry_hosts", IntegerKey{8, 1, 10000},
       "Number of entry hosts that share the slack, until gossip reports it."},
      {"groups", "stall",
       DurationKey{Seconds(5), Milliseconds(100), Seconds(600)},
       "Time for which the head of a group that lost a member holds its "
       "requests."},
      {"groups", "spares_per_domain", IntegerKey{2, 0, 1000},
       "Hosts kept free in each fabric domain for repairs."},
      {"groups", "coarse_planning",
       TextKey{"auto", false, {"auto", "yes", "no"}},
       "Whether hosts follow the demand by whole groups; auto: if each model "
       "has large groups and one has few of them."},
      {"placement", "mode", TextKey{"auto", false, {"auto", "on", "off"}},
       "Whether one entry host chooses the targets of a model for all; auto: "
       "where routes differ in priority or an entry host is weak."},
      {"mechanisms", "looks_wider", YesOrNo(),
       "More targets are considered before a request is rejected."},
      {"mechanisms", "pauses_failing", YesOrNo(),
       "Targets that fail are excluded for a time."},
      {"mechanisms", "learns_speed", YesOrNo(),
       "Predictions are adjusted to the times measured at each target."},
      {"mechanisms", "prefers_near", YesOrNo(),
       "In large fleets, targets in the local data centre are preferred."},
      {"mechanisms", "assumes_unheard", YesOrNo(),
       "After a start, entry hosts that have not reported yet are assumed to "
       "be as busy as this one."},
      {"mechanisms", "moves_silent", YesOrNo(),
       "A stream that stalls is continued by another group."},
      {"mechanisms", "asks_twice", YesOrNo(),
       "A second probe is sent before a host counts as silent."},
      {"mechanisms", "repeats_joins", YesOrNo(),
       "Join orders are repeated to members that do not start joining."},
      {"mechanisms", "follows_demand", YesOrNo(),
       "The models' shares of the hosts follow the demand."},
      {"mechanisms", "converts_idle", YesOrNo(),
       "Idle hosts of one model load another that lacks groups."},
      {"mechanisms", "moves_groups", YesOrNo("no"),
       "With coarse planning, whole groups move to the model that needs them; "
       "no by default, as no gain is shown for loads of half a minute."},
      {"mechanisms", "warms_spares", YesOrNo(),
       "Spare hosts keep their weights in memory."},
      {"control", "takes_lease", TextKey{"yes", false, {"yes", "no"}},
       "Whether this entry host may hold the lease on the groups."},
  });
}

}  // namespace filbertrack

#include "filbertrack/entry_host.h"

#include <algorithm>

namespace filbertrack {

namespace {

TextKey YesOrNo(std::string default_value = "yes") {
  return {std::move(default_value), false, {"yes", "no"}};
}

/// Part of the retries that the rules allow; the rest covers requests that
/// servers refuse, which count as well.
constexpr double kRetryShare = 0.7;

}  // namespace

bool IsEnabled(const Settings& settings, std::string_view mechanism) {
  return settings.Text("mechanisms", mechanism) == "yes";
}

double MaxSavedRetries(const Settings& settings, size_t entry_hosts) {
  const double slack = settings.Number("retries", "slack");
  return std::max(1.0, slack * kRetryShare / static_cast<double>(entry_hosts));
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
       "Name of this entry host, the only one of its kind in the fleet."},
      {"node", "data_centre", TextKey{"", true, {}},
       "Data centre that this entry host stands in."},
      {"node", "link_mbps", NumberKey{1000, 0.001, 1e6},
       "Bandwidth of this host's link: stronger hosts do more for the others."},
      {"node", "processor_share", NumberKey{1, 0.001, 1e4},
       "Cores that this host's process may use, or the part of one."},
      {"node", "first_start", YesOrNo("no"),
       "Whether the whole fleet starts for the first time."},
      {"node", "memory_mb", NumberKey{512, 1, 1e7},
       "Memory that this host's process may use, in MiB: a quarter of it "
       "bounds "
       "what is held for callers."},
      {"node", "regions", TextKey{"", false, {}},
       "Region of each data centre, as DATA-CENTRE:REGION pairs with commas "
       "between them; empty: there is one region."},
      {"evacuations", "watched", YesOrNo("no"),
       "Whether the operator may evacuate data centres here; it takes a "
       "further "
       "watch of the store."},
      {"log", "level",
       TextKey{"info", false, {"debug", "info", "warning", "error"}},
       "Lowest level that is written."},
      {"callers", "listen", AddressKey{"0.0.0.0:8080"},
       "Where callers' requests arrive."},
      {"callers", "unread_timeout",
       DurationKey{Seconds(10), Milliseconds(100), Seconds(600)},
       "A caller that takes no byte of its answer for this long is let go."},
      {"ready", "listen", AddressKey{"0.0.0.0:8081"},
       "Where readiness and metrics are read."},
      {"peers", "listen", AddressKey{"0.0.0.0:8090"},
       "Where other entry hosts ask this one; they are told this address."},
      {"store", "address", AddressKey{""},
       "Address of the platform's metadata store."},
      {"stop", "grace", DurationKey{Seconds(8), Seconds(1), Seconds(600)},
       "Time from a stop signal until the platform ends the process."},
      {"retries", "ratio", NumberKey{0.2, 0, 1},
       "Retries allowed of each service, as a part of its requests."},
      {"retries", "slack", NumberKey{100, 0, 1e6},
       "Retries allowed beside that, by all entry hosts in one window."},
      {"retries", "entry_hosts", IntegerKey{8, 1, 10000},
       "Entry hosts that share the slack."},
      {"groups", "stall",
       DurationKey{Seconds(5), Milliseconds(100), Seconds(600)},
       "A group's head that lost a member holds its requests for this long."},
      {"groups", "spares_per_domain", IntegerKey{2, 0, 1000},
       "Hosts kept free in each fabric domain for repairs."},
      {"mechanisms", "looks_wider", YesOrNo(),
       "More targets are looked at before a request is turned away."},
      {"mechanisms", "pauses_failing", YesOrNo(),
       "Targets that fail are left out for a while."},
      {"mechanisms", "learns_speed", YesOrNo(),
       "Predictions follow what was measured at each target."},
      {"mechanisms", "prefers_near", YesOrNo(),
       "In large fleets targets of the own data centre go first."},
      {"mechanisms", "assumes_unheard", YesOrNo(),
       "After a start, hosts that were not heard count as busy as this one."},
      {"mechanisms", "moves_silent", YesOrNo(),
       "A stream that falls silent is taken up by another group."},
      {"mechanisms", "asks_twice", YesOrNo(),
       "A host is asked a second time before it counts as silent."},
      {"mechanisms", "repeats_joins", YesOrNo(),
       "Orders to join are given again to members that do not begin."},
      {"mechanisms", "follows_demand", YesOrNo(),
       "The models' shares follow what is asked of them."},
      {"mechanisms", "converts_idle", YesOrNo(),
       "Idle hosts of one model load another that lacks groups."},
      {"mechanisms", "warms_spares", YesOrNo(),
       "Spares hold their weights in memory."},
      {"control", "takes_lease", TextKey{"yes", false, {"yes", "no"}},
       "Whether this entry host may hold the lease on the groups."},
  });
}

}  // namespace filbertrack

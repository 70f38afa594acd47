#pragma once

/// Decides the orders that keep the replicas of one service whole: which hosts
/// form groups, which group is opened, taken apart or joined anew after a loss,
/// and which weights spare hosts fetch ahead. The members' own reports are the
/// state; what is remembered between passes only spaces orders out, so that a
/// controller that starts with nothing carries on.
///
/// Two guarantees hold whatever is lost, late or done twice:
/// - a group is opened only when every member reports that it is ready in the
///   group and epoch, and a host joins another group only once the head of its
///   present one cannot take requests any more;
/// - epochs only grow, so that an order that arrives late finds a newer epoch
///   and is refused.

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "filbertrack/server_directory.h"
#include "filbertrack/site_catalog.h"
#include "filbertrack/site_evacuations.h"

namespace filbertrack {

/// What direct questions to a host have shown.
enum class HostHealth {
  kAnswers,
  /// No answer. It may live behind a partition, and its group may go on.
  kSilent,
  /// The process is known to be gone: its address refuses connections, or
  /// another process answers there.
  kGone,
};

struct HostProbeResult {
  HostHealth health = HostHealth::kAnswers;
  /// It carries out an order, such as a load.
  bool busy = false;
  /// Start of the process that this is about, Unix ms; 0: not told.
  uint64_t process_start_ms = 0;
};

using HostProbeResults = std::map<std::string, HostProbeResult, std::less<>>;

/// Every host of `members` joins the group; the first one is the head.
struct JoinGroup {
  std::string group;
  uint64_t epoch = 0;
  std::string model;
  std::vector<std::string> members;
};
/// The head, with all members ready, starts to take requests.
struct OpenGroup {
  std::string head;
  std::string group;
  uint64_t epoch = 0;
};
struct CloseGroup {
  std::string head;
  std::string group;
  uint64_t epoch = 0;
  /// Ends the requests that run; otherwise they may end by themselves.
  bool cancel = false;
};
struct LeaveGroup {
  std::string host;
  std::string group;
  uint64_t epoch = 0;
};
/// The host fetches a model's weights beside what it does.
struct StageModel {
  std::string host;
  std::string model;
};

using ReplicaOrder =
    std::variant<JoinGroup, OpenGroup, CloseGroup, LeaveGroup, StageModel>;

/// One order and why it is given.
struct PlannedOrder {
  ReplicaOrder order;
  std::string reason;
  /// Hosts that get it; empty: all that the order names.
  std::vector<std::string> recipients;
};

struct ReplicaPolicy {
  /// A head that lost a member holds its requests for this long and then
  /// refuses them; until then it may still run what it has.
  Duration stall = Seconds(5);
  /// Beyond `stall`, for reports that are under way.
  Duration stall_margin = Seconds(1);
  /// An order that was not answered may be carried out up to this much later.
  Duration order_ttl = Seconds(12);
  /// An order that shows no effect after this is given again. A report comes
  /// some 50 ms after its order was carried out, half a second while the store
  /// is slow.
  Duration order_retry = Milliseconds(500);
  /// A group some members of which do not begin to join is given up after this:
  /// three further orders to each.
  Duration forming_timeout = Milliseconds(2000);
  /// The same where the head does not begin, which is not ordered again: longer
  /// than two reports of one group lie apart while the store is slow.
  Duration headless_timeout = Milliseconds(1000);
  /// Hosts kept free in each fabric domain, so that a lost member is replaced
  /// from weights that are staged already.
  int spares_per_domain = 2;
  /// Part of the allowed rate of loads that is used; the rest is left to
  /// orders of an earlier controller that arrive late.
  double load_rate_share = 0.8;
  Duration load_window = Seconds(5);
  /// Before traffic, the first groups are formed once no host has registered
  /// for this long: which hosts share a domain decides what fits together, and
  /// registrations arrive over some seconds.
  Duration settle = Milliseconds(600);
  /// Pressures are smoothed over this long: a load takes longer, and a burst
  /// that is over by then must not move hosts.
  Duration pressure_window = Seconds(4);
  /// By how much, either way, the pressure may change a model's share.
  double max_share_change = 2;
  /// A joining group that is not ready after this many times its expected time
  /// is given up.
  double join_timeout_factor = 3;

  // Switches, to measure what each mechanism is worth.

  /// Orders to join are given again to members that do not begin.
  bool repeats_joins = true;
  /// The models' shares follow what is asked of them.
  bool follows_demand = true;
  /// Idle hosts of one model load another.
  bool converts_idle = true;
  /// Spares hold their weights in memory.
  bool warms_spares = true;
};

/// A load of weights that was started.
struct StartedLoad {
  TimePoint at;
  std::string model;
};

/// When a host was given an order, and what it reported then.
struct RecentOrder {
  TimePoint at;
  std::optional<Membership> before;
};

/// Orders to open one group that were sent.
struct OpenOrders {
  uint64_t epoch = 0;
  TimePoint last_sent;
  /// Those that were not answered may still be carried out.
  int unanswered = 0;
};

/// An order to join a group that was not ordered to open yet.
struct PendingJoin {
  JoinGroup order;
  TimePoint last_sent;
  /// The group is not given up.
  bool wanted = true;
};

/// What the planner remembers between passes of one controller.
struct ReplicaMemory {
  /// Number of the controller's lease; epochs begin with it.
  uint64_t term = 0;
  uint64_t last_epoch_number = 0;
  /// The latest order to each host; no other follows until its effect shows or
  /// `order_retry` has passed.
  std::map<std::string, RecentOrder, std::less<>> recent_orders;
  /// Epoch of the latest group that each host was ordered to join.
  std::map<std::string, uint64_t, std::less<>> ordered_epoch;
  /// Smoothed pressure of each model, and when it was last brought up to date.
  std::map<std::string, double, std::less<>> pressure;
  TimePoint pressure_at;
  /// First pass of the term.
  std::optional<TimePoint> term_start;
  /// Orders to open by group; forgotten once none of them can arrive any more.
  std::map<std::string, OpenOrders, std::less<>> open_orders;
  /// Groups whose head is not registered any more, since when, by key.
  std::map<std::string, TimePoint, std::less<>> headless_since;
  /// Orders to join by group, until it is ordered to open.
  std::map<std::string, PendingJoin, std::less<>> pending_joins;
  /// First sight of each joining group.
  std::map<std::string, TimePoint, std::less<>> joining_since;
  /// Starts of loads in the latest window, and loads that are not done.
  std::deque<TimePoint> load_starts;
  std::map<std::string, StartedLoad, std::less<>> loading;
  /// Start of the process of each host, Unix ms: of one that started again,
  /// orders and loads that were under way are over.
  std::map<std::string, uint64_t, std::less<>> process_starts;
};

struct ReplicaInput {
  const ServerDirectory& directory;
  const HostProbeResults& probe_results;
  const ServiceProfile& service;
  /// No request has come yet: loads are quick and not rationed.
  bool before_traffic = false;
  /// Each host was asked at least once whether it loads.
  bool loads_known = true;
  /// How much of what its groups can do is asked of each model; models of which
  /// nothing is known are absent.
  std::map<std::string, double, std::less<>> pressure;
  /// Data centres whose hosts are left alone: they get no orders and count for
  /// no group that is wanted. Null: none.
  const SiteEvacuations* evacuations = nullptr;
};

std::vector<PlannedOrder> PlanReplicas(const ReplicaInput& input,
                                       const ReplicaPolicy& policy,
                                       ReplicaMemory& memory,
                                       TimePoint now);

/// The host that an order went to has answered it, whatever it said: the order
/// will not be carried out later.
void OnOrderAnswered(const ReplicaOrder& order, ReplicaMemory& memory);

/// What the hosts of a service do, counted.
struct ReplicaCounts {
  /// Hosts that may be members.
  int usable = 0;
  int silent = 0;
  int quarantined = 0;
  int loading = 0;
  /// Without a group and without weights.
  int empty = 0;
  /// Groups that serve, and those that do not yet, or no longer, by model.
  std::map<std::string, int, std::less<>> serving;
  std::map<std::string, int, std::less<>> not_serving;
  /// Hosts without a group that have the model's weights.
  std::map<std::string, int, std::less<>> standing_by;
};

ReplicaCounts CountReplicas(const ReplicaInput& input,
                            const ReplicaPolicy& policy,
                            ReplicaMemory& memory,
                            TimePoint now);

/// Groups wanted of each model when `hosts` hosts may be members: each model
/// gets its share of them, rounded to whole groups.
std::map<std::string, int, std::less<>> WantedReplicas(
    const EngineProfile& engine,
    int hosts);

/// The model that a group's name tells.
std::string_view ModelOfGroup(std::string_view group);

}  // namespace filbertrack

#pragma once

/// Plans the orders that keep the replicas of one service complete: which hosts
/// form groups, which groups are opened, dissolved or formed again after a
/// loss, and which weights spare hosts load in advance. The members' own
/// reports are the state. What is kept between passes only spaces out orders,
/// so that a controller can continue from an empty memory.
///
/// Two invariants hold even if orders or reports are lost, delayed or
/// duplicated:
/// - a group is opened only when every member reports that it is ready in the
///   group and epoch, and a host joins another group only once the head of its
///   current one can no longer take requests;
/// - epochs only increase, so that an order that arrives late finds a newer
///   epoch and is rejected.

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

/// Health of a host as found by direct probes.
enum class HostHealth {
  kAnswers,
  /// No answer. The host may be alive behind a network partition, and its group
  /// may still serve.
  kSilent,
  /// The process has ended: its address refuses connections, or another process
  /// answers there.
  kGone,
};

struct HostProbeResult {
  HostHealth health = HostHealth::kAnswers;
  /// The host is executing an order, such as a load of weights.
  bool busy = false;
  /// Start time of the probed process, Unix time in ms; 0: unknown.
  uint64_t process_start_ms = 0;
};

using HostProbeResults = std::map<std::string, HostProbeResult, std::less<>>;

/// Orders every host of `members` to join the group; the first one is the head.
struct JoinGroup {
  GroupId group;
  std::string model;
  std::vector<std::string> members;
};
/// Orders the head to take requests; sent once all members are ready.
struct OpenGroup {
  std::string head;
  GroupId group;
};
struct CloseGroup {
  std::string head;
  GroupId group;
  /// Cancels running requests; otherwise they may run to completion.
  bool cancel = false;
};
struct LeaveGroup {
  std::string host;
  GroupId group;
};
/// Orders the host to fetch a model's weights without interrupting its other
/// work.
struct StageModel {
  std::string host;
  std::string model;
};

using ReplicaOrder =
    std::variant<JoinGroup, OpenGroup, CloseGroup, LeaveGroup, StageModel>;

/// An order and the reason for it.
struct PlannedOrder {
  ReplicaOrder order;
  std::string reason;
  /// Hosts to send the order to; empty: all hosts named in the order.
  std::vector<std::string> recipients;
};

/// Whether a service is planned as one of coarse groups; see HasCoarseGroups().
enum class CoarseGroups {
  /// Decided by HasCoarseGroups() once per term.
  kAuto,
  kYes,
  kNo,
};

struct ReplicaPolicy {
  /// A head that lost a member holds its requests for this long and then
  /// refuses them; until then it may still run the requests that it has.
  Duration stall = Seconds(5);
  /// Added to `stall` for reports in transit.
  Duration stall_margin = Seconds(1);
  /// An unanswered order may still be executed for this long after it was sent.
  Duration order_ttl = Seconds(12);
  /// An order without visible effect is sent again after this. A report takes
  /// about 50 ms after its order was executed, half a second while the store is
  /// slow.
  Duration order_retry = Milliseconds(500);
  /// A group is abandoned if some members have not started to join after this;
  /// leaves time for three further orders to each of them.
  Duration forming_timeout = Milliseconds(2000);
  /// Same, if the head has not started to join, or if join orders are not sent
  /// again; the head gets no second order. Longer than the interval between two
  /// reports of one group while the store is slow.
  Duration headless_timeout = Milliseconds(1000);
  /// Hosts kept free in each fabric domain with a large group, so that a lost
  /// member is replaced by a host that has the weights already.
  int spares_per_domain = 2;
  /// Fraction of the permitted load rate that is used; the rest is left for
  /// late orders of an earlier controller.
  double load_rate_share = 0.8;
  /// Period over which the load rate is measured.
  Duration load_window = Seconds(5);
  /// Before traffic, the first groups are formed once no host has registered
  /// for this long: registrations arrive over some seconds, and which hosts
  /// share a domain decides which groups are possible.
  Duration settle = Milliseconds(600);
  /// Time constant for smoothing the pressures. A load of weights takes longer,
  /// so hosts must not be moved for a burst that is over by then.
  Duration pressure_window = Seconds(4);
  /// Maximum factor by which the pressure may raise or lower a model's share.
  double max_share_change = 2;
  /// A joining group that is not ready after this multiple of the model's load
  /// time is abandoned.
  double join_timeout_factor = 3;

  /// Planning for services of few large groups, where one lost group takes a
  /// noticeable part of a model's capacity.
  CoarseGroups coarse_groups = CoarseGroups::kAuto;

  /// Part of the slots that may be taken at the mean load. Above it, the first
  /// events of requests that arrive together miss a target of 250 ms.
  double utilisation = 0.7;
  /// Moves of groups start only once the least need of this time has been too
  /// great for as long again. A burst of 3 s takes slots for up to 3 s beyond
  /// its end.
  Duration move_delay = Seconds(3);
  /// A model gives a group only if it has not needed it for this long. Covers
  /// a wave with a period of 15 s, and the longest load of weights.
  Duration move_memory = Seconds(16);
  /// Part of the concurrent loads that moves may use; the rest is left for
  /// repairs.
  double move_load_share = 1.0 / 3;

  // Switches that turn single mechanisms off, for measurements.

  /// Join orders are sent again to members that have not started to join.
  bool repeats_joins = true;
  /// The models' shares follow the demand for them.
  bool follows_demand = true;
  /// Coarse groups: whole groups move to the model that needs them.
  bool moves_groups = true;
  /// Idle hosts of one model load another that lacks groups.
  bool converts_idle = true;
  /// Spares load their weights into memory.
  bool warms_spares = true;
};

/// A load of weights that has been started.
struct StartedLoad {
  TimePoint at;
  std::string model;
  /// The load prepares a move of a group to this model.
  bool for_move = false;
  /// An earlier controller ordered it, and it was found by a probe. The model
  /// is derived from what the host lacks; empty: not known.
  bool is_inherited = false;
};

/// When an order was sent to a host, and the membership that the host reported
/// then.
struct RecentOrder {
  TimePoint at;
  std::optional<Membership> before;
};

/// Orders sent to open one group.
struct OpenOrders {
  TimePoint last_sent;
  /// Number of orders without an answer, which may still be executed.
  int unanswered = 0;
};

/// A join order for a group that has not been ordered to open yet.
struct PendingJoin {
  JoinGroup order;
  TimePoint last_sent;
  /// False once the group has been abandoned.
  bool wanted = true;
};

/// Hosts that each model needed at one pass, from the pressure of that pass and
/// from the smoothed one.
struct RecordedNeed {
  TimePoint at;
  std::map<std::string, double, std::less<>> low;
  std::map<std::string, double, std::less<>> high;
};

/// A group that was closed so that its hosts can serve another model.
struct DonorGroup {
  /// Model that receives the hosts, and the groups expected from them.
  std::string receiver;
  int groups = 0;
  TimePoint last_seen;
  std::string domain;
  /// Hosts that only the receiver may use. They still have the weights of the
  /// donor model in memory, with which they would form the same group again.
  std::vector<std::string> members;
};

/// State that the planner of one controller keeps between passes.
struct ReplicaMemory {
  /// Number of the controller's lease; the high-order part of its epochs.
  uint64_t term = 0;
  /// Latest epoch of the term, counted from its start.
  uint64_t last_epoch_number = 0;
  /// Latest order to each host; the next one waits until its effect is visible
  /// or `order_retry` has passed.
  std::map<std::string, RecentOrder, std::less<>> recent_orders;
  /// Epoch of the latest group that each host was ordered to join.
  std::map<std::string, uint64_t, std::less<>> ordered_epoch;
  /// Smoothed pressure of each model, and the time of the latest update.
  std::map<std::string, double, std::less<>> pressure;
  TimePoint pressure_at;
  /// Time of the first pass of the term.
  std::optional<TimePoint> term_start;
  /// Whether the groups are coarse; decided on the first pass of the term with
  /// usable hosts, so that losses of hosts do not change the kind of planning.
  std::optional<bool> coarse_groups;
  /// Open orders by group; removed once none of them can still take effect.
  std::map<GroupId, OpenOrders> open_orders;
  /// Since when the head of a group has no longer been registered.
  std::map<GroupId, TimePoint> headless_since;
  /// Join orders by group, until the group is ordered to open.
  std::map<GroupId, PendingJoin> pending_joins;
  /// When each joining group was first seen.
  std::map<GroupId, TimePoint> joining_since;
  /// Start times of loads within the latest `load_window`.
  std::deque<TimePoint> load_starts;
  /// Loads that have not completed, by host.
  std::map<std::string, StartedLoad, std::less<>> loading;
  /// Hosts that this controller ordered something, or whose load it has
  /// inherited. If another one is busy, an earlier controller is the cause.
  std::set<std::string, std::less<>> known_orders;
  /// Lost hosts per second and usable host, smoothed; nullopt before the first
  /// pass.
  std::optional<double> loss_rate;
  TimePoint loss_rate_at;
  /// Process start times of the hosts that were usable in the latest pass.
  std::map<std::string, uint64_t, std::less<>> usable_hosts;
  /// Since when a domain has had too few idle hosts for a group of a model, by
  /// domain and model.
  std::map<std::string, TimePoint, std::less<>> incomplete_since;
  /// Needs of the last passes, the oldest first.
  std::deque<RecordedNeed> needs;
  /// Since when another model could give each model a whole group that it
  /// needs.
  std::map<std::string, TimePoint, std::less<>> short_since;
  /// Groups that were closed for a move; kept until all of the same domain are
  /// closed.
  std::map<GroupId, DonorGroup> donor_groups;
  /// Start time of each host's process, Unix time in ms. When a host has
  /// restarted, the orders and loads of its earlier process are over.
  std::map<std::string, uint64_t, std::less<>> process_starts;
};

/// Loads of weights, which all services fetch from one store.
struct LoadCounts {
  size_t under_way = 0;
  /// Started within the last ReplicaPolicy::load_window.
  size_t started = 0;
};

struct ReplicaInput {
  const ServerDirectory& directory;
  const HostProbeResults& probe_results;
  const ServiceProfile& service;
  /// No request has arrived yet: loads are fast and not rate-limited.
  bool before_traffic = false;
  /// Every host has been probed at least once for a load in progress.
  bool loads_known = true;
  /// Demand for each model relative to the capacity of its groups; models
  /// without data are absent.
  std::map<std::string, double, std::less<>> pressure;
  /// Evacuated data centres: their hosts get no orders and do not count towards
  /// wanted groups. Null: none.
  const SiteEvacuations* evacuations = nullptr;
  /// Loads that were ordered for other services.
  LoadCounts other_loads{};
};

/// State of the planners of all services, by service.
using ReplicaMemories = std::map<std::string, ReplicaMemory, std::less<>>;

/// Loads that were ordered for all services but this one.
LoadCounts CountOtherLoads(const ReplicaMemories& memories,
                           std::string_view service,
                           const ReplicaPolicy& policy,
                           TimePoint now);

std::vector<PlannedOrder> PlanReplicas(const ReplicaInput& input,
                                       const ReplicaPolicy& policy,
                                       ReplicaMemory& memory,
                                       TimePoint now);

/// A host has answered an order, with any result, and so will not execute it
/// later.
void OnOrderAnswered(const ReplicaOrder& order, ReplicaMemory& memory);

/// Numbers of hosts and groups of a service, by state.
struct ReplicaCounts {
  /// Hosts that may be members of a group.
  int usable = 0;
  int silent = 0;
  int quarantined = 0;
  int loading = 0;
  /// Hosts without a group and without weights.
  int empty = 0;
  /// Groups that serve, by model.
  std::map<std::string, int, std::less<>> serving;
  /// Groups that do not serve yet, or no longer, by model.
  std::map<std::string, int, std::less<>> not_serving;
  /// Hosts outside serving groups that have the model's weights, by model.
  std::map<std::string, int, std::less<>> standing_by;
};

ReplicaCounts CountReplicas(const ReplicaInput& input,
                            const ReplicaPolicy& policy,
                            ReplicaMemory& memory,
                            TimePoint now);

/// Number of groups of each model for `hosts` usable hosts. Each model gets its
/// share of the hosts, rounded down to whole groups; remaining hosts go to the
/// models furthest below their share.
std::map<std::string, int, std::less<>> WantedReplicas(
    const EngineProfile& engine,
    int hosts);

/// Name of the model, which is a part of the group's name.
std::string_view ModelOfGroup(std::string_view group);

}  // namespace filbertrack

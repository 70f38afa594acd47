#pragma once

/// One planning pass over one service.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "filbertrack/replica_plan.h"

namespace filbertrack {

inline constexpr char kGroupNameSeparator = '/';
/// Epochs reserved for one term; a term sends fewer orders than this.
inline constexpr uint64_t kEpochsPerTerm = 100000;
/// Largest group, in members, for which no spares are kept: when it breaks, too
/// few hosts become idle to justify spares.
inline constexpr int kMaxSmallGroupSize = 2;

inline bool IsLarge(const ModelProfile& model) {
  return model.members > kMaxSmallGroupSize;
}

/// One planning pass over one service. Each step adds orders. A host is busy if
/// it got an order in this pass, or if the effect of an earlier one is not
/// visible yet.
class ReplicaPass {
 public:
  ReplicaPass(const ReplicaInput& input,
              const ReplicaPolicy& policy,
              ReplicaMemory& memory,
              TimePoint now)
      : m_input(input),
        m_engine(*input.service.engine),
        m_policy(policy),
        m_memory(memory),
        m_now(now),
        m_replicas(input.directory.Replicas(input.service.name)) {}

  std::vector<PlannedOrder> Run();

  /// Whether the host left a group whose head may still hold requests; it may
  /// not join another group until then.
  bool IsQuarantined(const std::string& host) const;

  HostHealth Health(const BackendServer& server) const;

 private:
  bool IsSettling() const;

  /// Decides on the first pass of the term with usable hosts whether the groups
  /// are coarse.
  void DecideCoarseGroups();

  bool HasCoarseGroups() const {
    return m_memory.coarse_groups.value_or(false);
  }

  int CountUsable() const;

  // State of a host.

  bool IsUsable(const BackendServer* server) const;

  bool IsEvacuated(const BackendServer& server) const;

  /// Whether the effect of the host's latest order is not visible yet and
  /// `order_retry` has not passed.
  bool IsBusy(const std::string& host) const;

  /// Whether no order in transit can make the head of the group that the host
  /// left take requests again. An unanswered open order has no effect on an
  /// open head, but opens one that was closed in the meantime. Only the
  /// controller of a group's own term sends open orders for it.
  bool CannotReopen(const Departure& departure) const;

  /// Open orders for the group of which one may still arrive; null: none.
  const OpenOrders* FindOpenOrders(const GroupId& group) const;

  static bool HasStaged(const BackendServer& server, std::string_view model);

  /// Whether the host is loading weights, on the order of this controller or of
  /// an earlier one.
  bool IsLoading(const BackendServer& server) const;

  // Bookkeeping.

  void AddOrder(ReplicaOrder order, std::string reason);

  void MarkBusy(const std::string& host);

  void PruneMemory();

  /// Adds the loads that earlier controllers have started.
  void InheritLoads();

  /// The model that a busy host loads without an order of this controller;
  /// nullopt: it is executing another order. Empty: not known.
  std::optional<std::string> InheritedModel(const BackendServer& server) const;

  /// Drops the orders to and loads of the earlier process of a host that has
  /// restarted. The epochs that it was ordered to join are kept: those orders
  /// may still arrive.
  void ForgetEarlierInstances();

  Duration LoadTimeout() const;

  // Demand.

  /// Updates the smoothed pressures.
  void UpdatePressure();

  /// Sets the models' shares from the current demand. The configured shares are
  /// initial values: with fixed shares, a change in the mix of requests would
  /// leave one model refusing requests while hosts of another are idle.
  void AdaptShares();

  // Moves of groups between models.

  /// Free hosts and groups of one fabric domain.
  struct Domain {
    std::vector<const BackendServer*> free;
    /// Groups that are complete, serving or about to, by model.
    std::map<std::string, int, std::less<>> groups;
  };

  /// Notes how many hosts each model needs now.
  void RecordNeeds();

  /// A model's least need in the last `move_delay`, or nullopt if that is not
  /// known yet.
  std::optional<double> LeastNeed(std::string_view model) const;

  /// A model's greatest need in the last `move_memory`.
  double GreatestNeed(std::string_view model) const;

  /// Whether the group was closed for a move.
  bool IsDonorGroup(const ReplicaView& replica) const;

  /// Whether the host is kept for a move to another model than this one.
  bool IsKeptForOther(const std::string& host, std::string_view model) const;

  /// Forgets the donor groups of the domains in which all have been closed.
  void PruneDonorGroups();

  /// Sends the close order of a donor group again if it was lost.
  void ReconcileDonor(const ReplicaView& replica);

  /// Whether the head is in the group. Released members still report a group
  /// that its head has left.
  bool HasHead(const ReplicaView& replica) const {
    return replica.head() != nullptr && !HeadLeft(replica);
  }

  /// Groups of `model` that are complete or broken, without donor groups.
  int CountGroups(std::string_view model) const;

  /// Groups that free hosts can form once idle ones have loaded the model.
  int CountConvertible(const ModelProfile& model) const;

  /// Groups that the donor can spare for the receiver: it keeps its greatest
  /// need and one group for its next loss, as well as the groups that
  /// FormGroups() would form again, and its hosts stay less loaded than the
  /// receiver's would be with its least need.
  int CountMovable(const ModelProfile& donor,
                   const ModelProfile& receiver) const;

  /// Groups of one domain that may become groups of another model.
  struct Move {
    std::vector<const ReplicaView*> donors;
    /// Groups of the receiving model that their hosts and the spares make.
    int groups = 0;
    /// Hosts that still have to load the weights.
    std::vector<const BackendServer*> to_load;
    /// Loads that are under way.
    size_t loading = 0;
  };

  std::optional<Move> FindMove(const std::string& domain_name,
                               const Domain& domain,
                               const ModelProfile& donor,
                               const ModelProfile& receiver) const;

  /// Whether the group serves and no order to its head is under way.
  bool MayMove(const ReplicaView& replica, const ModelProfile& donor) const;

  /// Whether the host was found executing an order, which may be the load of an
  /// earlier controller.
  bool IsExecuting(const std::string& host) const;

  size_t CountMoveLoads() const;

  /// Moves whole groups to models that need more hosts. The weights are loaded
  /// while the donor group serves, so that a move costs no capacity.
  void MoveGroups();

  void MoveBetween(const ModelProfile& donor,
                   int movable,
                   const ModelProfile& receiver);

  void StageForMove(const Move& move, const ModelProfile& receiver);

  void CloseForMove(const Move& move, const ModelProfile& receiver);

  // Existing groups.

  void ReconcileReplica(const ReplicaView& replica);

  /// Members of standby groups are free for any group.
  void ReconcileStandby(const ReplicaView& replica);

  /// Whether the group may still complete: some members have not started to
  /// join, but their orders may be in transit. Sends the join order to them
  /// again when due.
  bool IsForming(const ReplicaView& replica);

  /// Sends the join order again to the members that have not started to join.
  /// Called only once the head has joined: a second order to the head could
  /// arrive after it left and make it rejoin, and a delayed open order would
  /// then open it without its members.
  void RetryJoin(PendingJoin& join);

  void ReconcileComplete(const ReplicaView& replica,
                         const ModelProfile& model,
                         bool joining);

  /// Whether a member has been ordered to join another group since, or may have
  /// been by an earlier controller. That order could arrive after this group
  /// was opened and remove the member from it.
  bool IsSuperseded(const ReplicaView& replica) const;

  void AbandonSlowJoin(const ReplicaView& replica, const ModelProfile& model);

  void AdjustGroupCount(const ReplicaView& replica,
                        const ModelProfile& model,
                        int change);

  /// Dissolves a group. Its hosts become free only once its head can no longer
  /// run requests: it has closed, broken or ended.
  void Dissolve(const ReplicaView& replica, std::string_view why);

  bool HeadLeft(const ReplicaView& replica) const;

  void DissolveWithoutHead(const ReplicaView& replica,
                           const BackendServer* head);

  /// Orders a head that is no longer registered to close the group and then to
  /// leave it. A head that cannot reach the store may still receive orders, and
  /// its leaving frees the members seconds before the stall would. Returns
  /// false if the head is unknown, or once it has had time for both orders.
  bool OrderUnregisteredHead(const ReplicaView& replica);

  /// Releases the members for other groups. The head must leave first: it may
  /// have opened since its last report, or a delayed open order may still
  /// arrive, and a member that had joined another group by then would be in
  /// two. A head that has left ignores such an order.
  void Disband(const ReplicaView& replica);

  void ReleaseMembers(const ReplicaView& replica);

  // New groups.

  bool IsFree(const BackendServer& server) const;

  /// Whether the host has the model in memory and is not still joining a group
  /// to load it.
  static bool HasModelInMemory(const BackendServer& server,
                               std::string_view model);

  /// Whether the host can join a group of the model without fetching weights.
  static bool IsWarm(const BackendServer& server, std::string_view model);

  void ReadDomains();

  void FormGroups();

  /// Number of hosts that domains with large groups keep as spares.
  int CountReservedHosts() const;

  /// Missing fraction of the wanted groups of a model; 0 if none are wanted,
  /// negative if there are more than wanted.
  double Shortage(const ModelProfile& model) const;

  std::vector<const ModelProfile*> ModelsByShortage() const;

  /// Domains by descending suitability for a new group of the model. Groups of
  /// one model are placed together: a free host there can replace a member of
  /// any of them, and the remaining members of two broken groups can form one.
  std::vector<Domain*> DomainsBySuitability(const ModelProfile& model);

  bool FormOne();

  /// Number of spares kept for the groups of the model.
  int CountSpares(const ModelProfile& model) const;

  /// Models by the number of their hosts, spares included, relative to their
  /// share, in ascending order.
  std::vector<const ModelProfile*> ModelsByHostsPerShare() const;

  bool HasLargeGroup(const Domain& domain) const;

  /// Forms a group beyond those that are wanted, from hosts that would be idle.
  /// Spares are useful only in domains with large groups, where one lost member
  /// costs several hosts: with two hosts kept in each of 12 domains, no group
  /// could use 12 of 216 hosts.
  bool FormExtra();

  /// Forms a group from hosts that have the weights.
  bool FormWarm(Domain& domain, const ModelProfile& model);

  /// Forms a group whose members load the weights as they join; only while
  /// loads are fast.
  bool FormCold(Domain& domain, const ModelProfile& model);

  void Join(Domain& domain,
            const ModelProfile& model,
            const std::vector<const BackendServer*>& chosen);

  // Weights.

  size_t CountLoading() const;

  bool MayLoad(size_t count) const;

  void RecordLoad(const std::string& host, const std::string& model);

  /// Number of free hosts of the domain that have the model's weights or are
  /// loading them.
  size_t CountStandby(const Domain& domain, const ModelProfile& model) const;

  /// Whether the host has no weights, loads none and has no order in transit.
  bool IsEmpty(const BackendServer& host) const;

  const BackendServer* FindEmpty(const Domain& domain) const;

  /// Stages the model on a first spare in a domain that has a group of this
  /// large model and no room for another. Without a spare, the loss of one
  /// member takes the whole group out of service for the duration of a load, so
  /// this takes precedence over groups in further domains.
  bool StageFirstSpare(const ModelProfile& model);

  /// Benefit of one more host with the model's weights in this domain, as a
  /// number of hosts that serve because of it.
  double StageValue(const Domain& domain, const ModelProfile& model) const;

  void Stage(const BackendServer& host, const ModelProfile& model);

  void StageSpares();

  /// Makes free hosts load their staged weights into memory by joining a
  /// standby group of one member. A host whose last group served the model
  /// joins the next one in 0.2 s; a spare that is not warmed up takes 1.1 to
  /// 1.6 s, during which the other members of the group wait.
  void WarmSpares();

  /// Makes idle hosts, beyond the spares of their domain, load another model
  /// that lacks groups. Runs after StageSpares, so that empty hosts use the
  /// permitted loads first.
  void ConvertIdle();

  /// Free hosts of the domain that have only this model staged, beyond the
  /// spares to keep.
  std::vector<const BackendServer*> FindIdle(const Domain& domain,
                                             const ModelProfile& model) const;

  // Spares of coarse groups.

  /// Orders the loads of this pass.
  void StageModels();

  /// Updates the observed rate of lost hosts.
  void UpdateLossRate();

  /// Finds the usable hosts outside complete and forming groups, including
  /// those in quarantine, whose weights count as well: a load takes longer.
  void ReadIdle();

  /// Whether the host has the model's weights, or will after its present load.
  bool HasOrLoads(const BackendServer& host, const ModelProfile& model) const;

  /// Hosts of the domain that have or load the model's weights and are left
  /// over once whole groups have been formed.
  size_t CountSparesOf(const std::string& domain,
                       const ModelProfile& model) const;

  /// Value of one more group, in hosts that serve; more if groups are missing.
  double GroupValue(const ModelProfile& model) const;

  /// Value of one more spare beside `spares`: hosts that an expected loss would
  /// put out of service without it.
  double SpareValue(const Domain& domain,
                    const ModelProfile& model,
                    size_t spares) const;

  size_t CountEmpty(const Domain& domain) const;

  /// Number of hosts that serve because one more host of the domain loads the
  /// model, per second of load.
  double LoadValue(const std::string& domain, const ModelProfile& model) const;

  void StageCoarse();

  /// Free hosts of the domain that have only this model staged.
  std::vector<const BackendServer*> FindConvertible(
      const Domain& domain,
      const ModelProfile& model) const;

  /// Whether the domain has had too few idle hosts for a group of the model for
  /// longer than a lost host takes to be replaced.
  bool IsIncompleteForLong(const std::string& domain,
                           const ModelProfile& model);

  /// Value of `count` spares of the model, which load another one: of the
  /// protection that they give, and of the group that they are part of. The
  /// more members of a group survive, the fewer loads complete it.
  double ConversionCost(const std::string& domain,
                        const ModelProfile& model,
                        size_t count);

  /// Makes idle hosts of other models complete a group, where empty hosts do
  /// not suffice and the group is worth more. Returns whether it did.
  bool ConvertFor(const std::string& domain, const ModelProfile& wanted);

  /// Makes the leftovers of broken groups load a model that lacks groups.
  void ConvertLeftovers();

  /// Identity of a new group, with a name that ends with `suffix`.
  GroupId NewGroup(const ModelProfile& model, std::string_view suffix);

  const ReplicaInput& m_input;
  /// Profile with the models' shares adapted to the current demand.
  EngineProfile m_engine;
  const ReplicaPolicy& m_policy;
  ReplicaMemory& m_memory;
  TimePoint m_now;
  std::vector<ReplicaView> m_replicas;
  std::vector<PlannedOrder> m_orders;
  /// Groups that are complete, serving or about to, by model.
  std::map<std::string, int, std::less<>> m_group_counts;
  /// Same, by domain and model.
  std::map<std::string, std::map<std::string, int, std::less<>>>
      m_group_counts_in;
  std::map<std::string, Domain> m_domains;
  /// Usable hosts outside complete and forming groups, by domain.
  std::map<std::string, std::vector<const BackendServer*>> m_idle;
  int m_usable = 0;
  std::map<std::string, int, std::less<>> m_wanted;
  /// Members of groups that can no longer run requests; free for other groups.
  std::set<std::string, std::less<>> m_released;
};

}  // namespace filbertrack

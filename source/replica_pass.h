#pragma once

/// One pass of the planner over one service: what it reads, decides and gives.

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "filbertrack/replica_plan.h"

namespace filbertrack {

inline constexpr char kGroupNameSeparator = '/';
/// Epochs of one term; a term gives fewer orders than this.
inline constexpr uint64_t kEpochsPerTerm = 100000;
/// Members up to which a broken group strands too little to keep spares for.
inline constexpr int kMaxSmallGroupSize = 2;

inline bool IsLarge(const ModelProfile& model) {
  return model.members > kMaxSmallGroupSize;
}

/// One pass over one service. Each step adds orders; hosts that got one in this
/// pass, or wait for the effect of an earlier one, are busy.
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

  /// The host left a group whose head may still hold requests.
  bool IsQuarantined(const std::string& host) const;

  HostHealth Health(const BackendServer& server) const;

 private:
  bool IsSettling() const;

  /// Tells a group and epoch from all others.
  static std::string GroupEpochKey(const ReplicaView& replica);

  // What is known of a host.

  bool IsUsable(const BackendServer* server) const;

  /// Its data centre is evacuated.
  bool IsEvacuated(const BackendServer& server) const;

  /// The effect of the host's latest order does not show yet.
  bool IsBusy(const std::string& host) const;

  /// No order that is still under way can make the head of the group that the
  /// host left take requests anew. An order to open that went unanswered does
  /// nothing to a head that is open, but opens one that was closed meanwhile.
  /// Only the controller of a group's own term orders it to open.
  bool CannotReopen(const Departure& departure) const;

  /// Orders to open the group of which one may still arrive; null: none.
  const OpenOrders* FindOpenOrders(std::string_view group,
                                   uint64_t epoch) const;

  static bool HasStaged(const BackendServer& server, std::string_view model);

  /// A load is under way there: one that this controller started, or one of
  /// an earlier controller.
  bool IsLoading(const BackendServer& server) const;

  // Bookkeeping.

  void AddOrder(ReplicaOrder order, std::string reason);

  void MarkBusy(const std::string& host);

  void PruneMemory();

  /// What was given to the earlier life of a host that started again. The
  /// epochs that it was ordered to join stay: those orders may still arrive.
  void ForgetEarlierInstances();

  Duration LoadTimeout() const;

  // What is asked of the models.

  /// Brings the smoothed pressures up to date.
  void UpdatePressure();

  /// Sets the models' shares by the work that is asked of them now. The shares
  /// of the configuration are those at the start; when the mix of requests
  /// moves, one model's callers are turned away while hosts of another idle.
  void AdaptShares();

  // Groups that are there.

  void ReconcileReplica(const ReplicaView& replica);

  /// A host that stands by is free for any group.
  void ReconcileStandby(const ReplicaView& replica);

  /// Some members have not begun to join yet; their orders may be on the way.
  bool IsForming(const ReplicaView& replica);

  /// Orders the members that have not begun to join once more, but for the
  /// head: a second order to it could arrive after it left, and bring it back
  /// to where an order to open that went astray opens it without its members.
  void RetryJoin(PendingJoin& join);

  void ReconcileComplete(const ReplicaView& replica,
                         const ModelProfile& model,
                         bool joining);

  /// A member was ordered to join another group since, or an earlier controller
  /// may have ordered it. That order could arrive after this group was opened
  /// and take the member out of it.
  bool IsSuperseded(const ReplicaView& replica) const;

  void AbandonSlowJoin(const ReplicaView& replica, const ModelProfile& model);

  void AdjustGroupCount(const ReplicaView& replica,
                        const ModelProfile& model,
                        int change);

  /// Takes a group apart. Its hosts become free only once its head cannot run
  /// requests any more: it closed, it broke, or it is gone.
  void Dissolve(const ReplicaView& replica, std::string_view why);

  bool HeadLeft(const ReplicaView& replica) const;

  void DissolveWithoutHead(const ReplicaView& replica,
                           const BackendServer* head);

  /// Orders to a head that does not reach the store may reach it all the same:
  /// first to end its requests, then to leave, which frees its members seconds
  /// before the stall would. False once it had time for both.
  bool OrderUnregisteredHead(const ReplicaView& replica);

  /// Lets the members join other groups. The head leaves first: it may have
  /// opened since its last report, and an order to open it that went astray
  /// could still arrive; a member that joined another group by then would be
  /// in two. Without the old membership the head does nothing for it.
  void Disband(const ReplicaView& replica);

  void ReleaseMembers(const ReplicaView& replica);

  // New groups.

  bool IsFree(const BackendServer& server) const;

  /// It has the model in memory and is not busy to get there.
  static bool HasModelInMemory(const BackendServer& server,
                               std::string_view model);

  /// Whether the host can join a group of the model without a load.
  static bool IsWarm(const BackendServer& server, std::string_view model);

  /// One fabric domain as it is for new groups.
  struct Domain {
    std::vector<const BackendServer*> free;
    /// Groups that serve or will, by model.
    std::map<std::string, int, std::less<>> groups;
  };

  void ReadDomains();

  void FormGroups();

  /// Hosts that domains with large groups keep as spares.
  int CountReservedHosts() const;

  /// How much of what is wanted of a model is missing; the larger, the more
  /// urgent.
  double Shortage(const ModelProfile& model) const;

  std::vector<const ModelProfile*> ModelsByShortage() const;

  /// Domains in the order in which they suit a new group of the model. Groups
  /// of one large model stand together: a host that is free there can stand in
  /// for any of their members, and what is left of two broken groups makes one.
  std::vector<Domain*> DomainsBySuitability(const ModelProfile& model);

  bool FormOne();

  /// Hosts that are kept beside the groups of the model.
  int CountSpares(const ModelProfile& model) const;

  /// Models by their hosts for their share, spares included, the least first.
  std::vector<const ModelProfile*> ModelsByHostsPerShare() const;

  bool HasLargeGroup(const Domain& domain) const;

  /// A group beyond those that are wanted, from hosts that would stand idle:
  /// spares help only beside groups that are large, where one lost member costs
  /// several hosts. Two hosts kept in each of 12 domains were 12 of 216 that no
  /// group could use.
  bool FormExtra();

  /// A group from hosts that have the weights.
  bool FormWarm(Domain& domain, const ModelProfile& model);

  /// A group whose members load the weights as they join: only while loads are
  /// quick.
  bool FormCold(Domain& domain, const ModelProfile& model);

  void Join(Domain& domain,
            const ModelProfile& model,
            const std::vector<const BackendServer*>& chosen);

  // Weights.

  size_t CountLoading() const;

  bool MayLoad(size_t count) const;

  void RecordLoad(const std::string& host, const std::string& model);

  /// Hosts of the domain that have the model's weights, or will, and are free.
  size_t CountStandby(const Domain& domain, const ModelProfile& model) const;

  const BackendServer* FindEmpty(const Domain& domain) const;

  /// A large group without a host that can stand in loses all its members for
  /// as long as a load takes, so the first spare beside it goes before groups
  /// in further domains.
  bool StageFirstSpare(const ModelProfile& model);

  /// What one more host with the model's weights is good for in this domain,
  /// in hosts that serve because of it.
  double StageValue(const Domain& domain, const ModelProfile& model) const;

  void Stage(const BackendServer& host, const ModelProfile& model);

  void StageSpares();

  /// Has free hosts load what they have staged into memory, by a join to a
  /// group of their own. A host whose last group served the model joins the
  /// next one in 0.2 s; without that a spare takes the 1.1 to 1.6 s of its
  /// warm-up while the other members of the group wait for it.
  void WarmSpares();

  /// Has hosts that idle beside what their domain keeps as spares load another
  /// model of which groups are missing, while no empty host wants the load.
  void ConvertIdle();

  /// Hosts of the domain that stand by for the model and are not needed there.
  std::vector<const BackendServer*> FindIdle(const Domain& domain,
                                             const ModelProfile& model) const;

  uint64_t NextEpoch();

  const ReplicaInput& m_input;
  /// With the shares of the work that the models have now.
  EngineProfile m_engine;
  const ReplicaPolicy& m_policy;
  ReplicaMemory& m_memory;
  TimePoint m_now;
  std::vector<ReplicaView> m_replicas;
  std::vector<PlannedOrder> m_orders;
  /// Groups that serve or will, by model.
  std::map<std::string, int, std::less<>> m_group_counts;
  /// The same by domain.
  std::map<std::string, std::map<std::string, int, std::less<>>>
      m_group_counts_in;
  std::map<std::string, Domain> m_domains;
  int m_usable = 0;
  std::map<std::string, int, std::less<>> m_wanted;
  /// Members of groups that cannot run requests any more.
  std::set<std::string, std::less<>> m_released;
};

}  // namespace filbertrack

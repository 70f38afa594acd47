#include "filbertrack/replica_plan.h"

#include <algorithm>
#include <cmath>

namespace filbertrack {

namespace {

/// Epochs of one term; a term gives fewer orders than this.
constexpr uint64_t kEpochsPerTerm = 100000;
constexpr char kNameSeparator = '/';
/// Weight of a domain's present groups against its free hosts: more than a
/// domain has hosts, so that it decides.
constexpr double kTogether = 1000;
/// Members up to which a broken group strands too little to keep spares for.
constexpr int kSmallGroup = 2;
/// Need for a further group of a model of which none is missing, beside the
/// part of the wanted ones that is missing.
constexpr double kLeastNeed = 0.2;
/// Chance, as a rough guess, that a group loses a member while one load runs.
constexpr double kLossShare = 0.4;

std::string Key(const ReplicaView& replica) {
  return replica.group + "#" + std::to_string(replica.epoch);
}

/// One pass over one service. Each step adds orders; hosts that got one in this
/// pass, or wait for the effect of an earlier one, are busy.
class Pass {
 public:
  Pass(const ReplicaInput& input,
       const ReplicaPolicy& policy,
       ReplicaMemory& memory,
       TimePoint now)
      : m_input(input),
        m_engine(*input.service.engine),
        m_policy(policy),
        m_memory(memory),
        m_now(now),
        m_replicas(input.directory.Replicas(input.service.name)) {}

  std::vector<PlannedOrder> Run() {
    ForgetOld();
    if (IsSettling()) {
      return {};
    }
    for (const ReplicaView& replica : m_replicas) {
      TendReplica(replica);
    }
    FormGroups();
    StageSpares();
    return std::move(m_orders);
  }

 private:
  bool IsSettling() const {
    const auto arrival = m_input.directory.last_arrival();
    return m_input.before_traffic && m_replicas.empty() && arrival &&
           m_now - *arrival < m_policy.settle;
  }

  // What is known of a host.

  HostHealth Health(const BackendServer& server) const {
    const auto found = m_input.findings.find(server.id);
    return found == m_input.findings.end() ? HostHealth::kAnswers
                                           : found->second.health;
  }

  bool IsUsable(const BackendServer* server) const {
    return server != nullptr && !server->draining &&
           Health(*server) == HostHealth::kAnswers;
  }

  /// The effect of the host's latest order does not show yet.
  bool IsBusy(const std::string& host) const {
    const auto found = m_memory.given.find(host);
    if (found == m_memory.given.end() ||
        m_now - found->second.at >= m_policy.order_retry) {
      return false;
    }
    const BackendServer* server = m_input.directory.Find(host);
    return server != nullptr && server->membership == found->second.before;
  }

  /// The host left a group whose head may still hold requests.
  bool IsQuarantined(const std::string& host) const {
    return m_input.directory.IsHeld(
        host, m_policy.stall + m_policy.stall_margin, m_now);
  }

  static bool HasStaged(const BackendServer& server, std::string_view model) {
    return std::find(server.staged.begin(), server.staged.end(), model) !=
           server.staged.end();
  }

  /// A load is under way there: one that this controller started, or one of
  /// an earlier controller.
  bool IsLoading(const BackendServer& server) const {
    if (m_memory.loading.contains(server.id)) {
      return true;
    }
    const auto found = m_input.findings.find(server.id);
    return found != m_input.findings.end() && found->second.busy &&
           server.staged.empty();
  }

  // Bookkeeping.

  void Give(ReplicaOrder order, std::string reason) {
    m_orders.push_back({std::move(order), std::move(reason)});
  }

  void Occupy(const std::string& host) {
    const BackendServer* server = m_input.directory.Find(host);
    m_memory.given[host] = {
        m_now, server == nullptr ? std::nullopt : server->membership};
  }

  void ForgetOld() {
    std::erase_if(m_memory.given, [this](const auto& entry) {
      return m_now - entry.second.at > m_policy.order_retry;
    });
    while (!m_memory.load_starts.empty() &&
           m_now - m_memory.load_starts.front() > m_policy.load_window) {
      m_memory.load_starts.pop_front();
    }
    std::erase_if(m_memory.loading, [this](const auto& entry) {
      const BackendServer* server = m_input.directory.Find(entry.first);
      const bool done =
          server == nullptr || HasStaged(*server, entry.second.model);
      return done || m_now - entry.second.at > LoadPatience();
    });
    std::erase_if(m_memory.ordered_epoch, [this](const auto& entry) {
      return m_input.directory.Find(entry.first) == nullptr;
    });
    std::set<std::string, std::less<>> present;
    for (const ReplicaView& replica : m_replicas) {
      present.insert(Key(replica));
    }
    std::set<std::string_view> groups;
    for (const ReplicaView& replica : m_replicas) {
      groups.insert(replica.group);
    }
    std::erase_if(m_memory.heads_left, [&groups](const auto& entry) {
      return !groups.contains(entry.first);
    });
    std::erase_if(m_memory.joining_since, [&present](const auto& entry) {
      return !present.contains(entry.first);
    });
  }

  Duration LoadPatience() const {
    Duration longest{0};
    for (const ModelProfile& model : m_engine.models) {
      longest = std::max(longest, model.load);
    }
    return 2 * longest;
  }

  // Groups that are there.

  void TendReplica(const ReplicaView& replica) {
    const ModelProfile* model = m_engine.FindModel(ModelOfGroup(replica.group));
    const size_t size =
        model == nullptr ? 0 : static_cast<size_t>(model->members);
    bool whole = replica.members.size() == size && size > 0;
    bool joining = false;
    for (const BackendServer* member : replica.members) {
      whole = whole && IsUsable(member);
      joining = joining || (member != nullptr && member->membership->state ==
                                                     MembershipState::kJoining);
    }
    if (whole && model != nullptr) {
      TendWhole(replica, *model, joining);
      return;
    }
    if (IsForming(replica)) {
      return;
    }
    Dissolve(replica, "a member is missing, leaving or silent");
  }

  /// Some members have not begun to join yet; their orders may be on the way.
  bool IsForming(const ReplicaView& replica) {
    const bool any_lost =
        std::any_of(replica.members.begin(), replica.members.end(),
                    [this](const BackendServer* member) {
                      return member != nullptr && !IsUsable(member);
                    });
    const BackendServer* head = replica.head();
    const bool opened = head != nullptr &&
                        head->membership->state != MembershipState::kJoining &&
                        head->membership->state != MembershipState::kReady;
    const auto since =
        m_memory.joining_since.try_emplace(Key(replica), m_now).first->second;
    return !any_lost && !opened && m_now - since < m_policy.order_retry;
  }

  void TendWhole(const ReplicaView& replica,
                 const ModelProfile& model,
                 bool joining) {
    CountWhole(replica, model, 1);
    const BackendServer& head = *replica.head();
    switch (head.membership->state) {
      case MembershipState::kBroken:
        CountWhole(replica, model, -1);
        Free(replica);
        return;
      case MembershipState::kReady:
        if (IsSuperseded(replica)) {
          CountWhole(replica, model, -1);
          Free(replica);
          return;
        }
        if (!joining && !IsBusy(head.id)) {
          Occupy(head.id);
          Give(OpenGroup{head.id, replica.group, replica.epoch},
               "all members are ready");
        }
        return;
      case MembershipState::kJoining:
        GiveUpSlowJoin(replica, model);
        return;
      case MembershipState::kOpen:
      case MembershipState::kClosing:
        return;
    }
  }

  /// A member was ordered to join another group since, or an earlier controller
  /// may have ordered it. That order could arrive after this group was opened
  /// and take the member out of it.
  bool IsSuperseded(const ReplicaView& replica) const {
    if (replica.epoch / kEpochsPerTerm != m_memory.term) {
      return true;
    }
    return std::any_of(replica.members.begin(), replica.members.end(),
                       [this, &replica](const BackendServer* member) {
                         const auto ordered =
                             m_memory.ordered_epoch.find(member->id);
                         return ordered != m_memory.ordered_epoch.end() &&
                                ordered->second != replica.epoch;
                       });
  }

  void GiveUpSlowJoin(const ReplicaView& replica, const ModelProfile& model) {
    const auto since =
        m_memory.joining_since.try_emplace(Key(replica), m_now).first->second;
    const auto patience = Duration(static_cast<int64_t>(
        m_policy.join_patience * static_cast<double>(model.load.count())));
    if (m_now - since > patience) {
      CountWhole(replica, model, -1);
      Free(replica);
    }
  }

  void CountWhole(const ReplicaView& replica,
                  const ModelProfile& model,
                  int change) {
    m_whole[model.name] += change;
    m_whole_in[replica.domain][model.name] += change;
  }

  /// Takes a group apart. Its hosts become free only once its head cannot run
  /// requests any more: it closed, it broke, or it is gone.
  void Dissolve(const ReplicaView& replica, std::string_view why) {
    if (HeadLeft(replica)) {
      FreeMembers(replica);
      return;
    }
    const BackendServer* head = replica.head();
    if (head == nullptr || Health(*head) != HostHealth::kAnswers) {
      DissolveWithoutHead(replica, head);
      return;
    }
    switch (head->membership->state) {
      case MembershipState::kOpen:
      case MembershipState::kClosing: {
        if (IsBusy(head->id)) {
          return;
        }
        // Members that only leave in an orderly way let the requests end.
        const bool orderly =
            std::none_of(replica.members.begin(), replica.members.end(),
                         [this](const BackendServer* member) {
                           return member == nullptr ||
                                  Health(*member) != HostHealth::kAnswers;
                         });
        if (orderly && head->membership->state == MembershipState::kClosing) {
          return;
        }
        Occupy(head->id);
        Give(CloseGroup{head->id, replica.group, replica.epoch, !orderly},
             std::string(why));
        return;
      }
      case MembershipState::kJoining:
      case MembershipState::kReady:
      case MembershipState::kBroken:
        Free(replica);
        return;
    }
  }

  bool HeadLeft(const ReplicaView& replica) const {
    const auto found = m_memory.heads_left.find(replica.group);
    return (found != m_memory.heads_left.end() &&
            found->second == replica.epoch) ||
           m_input.directory.HeadLeft(replica.group, replica.epoch);
  }

  void DissolveWithoutHead(const ReplicaView& replica,
                           const BackendServer* head) {
    const bool certainly_gone =
        head != nullptr && Health(*head) == HostHealth::kGone;
    if (certainly_gone) {
      FreeMembers(replica);
      return;
    }
    // The head may live behind a partition and hold requests. Without its
    // members it stands still, and refuses them after the stall.
    for (const BackendServer* member : replica.members) {
      if (member == nullptr || member == head || !IsUsable(member) ||
          IsBusy(member->id)) {
        continue;
      }
      Occupy(member->id);
      Give(LeaveGroup{member->id, replica.group, replica.epoch},
           "the head is silent");
    }
  }

  /// Lets the members join other groups. The head leaves first: it may have
  /// opened since its last report, and an order to open it that went astray
  /// could still arrive; a member that joined another group by then would be
  /// in two. Without the old membership the head does nothing for it.
  void Free(const ReplicaView& replica) {
    const BackendServer& head = *replica.head();
    if (head.membership->state == MembershipState::kJoining) {
      // Nobody can have ordered it to open.
      m_freed.insert(head.id);
      FreeMembers(replica);
      return;
    }
    if (!IsBusy(head.id)) {
      Occupy(head.id);
      Give(LeaveGroup{head.id, replica.group, replica.epoch},
           "the group is taken apart");
    }
  }

  void FreeMembers(const ReplicaView& replica) {
    for (const BackendServer* member : replica.members) {
      if (member != nullptr && member->membership->rank > 0) {
        m_freed.insert(member->id);
      }
    }
  }

  // New groups.

  bool IsFree(const BackendServer& server) const {
    return server.service == m_input.service.name && IsUsable(&server) &&
           !IsBusy(server.id) && !IsQuarantined(server.id) &&
           (!server.membership || m_freed.contains(server.id));
  }

  /// Whether the host can join a group of the model without a load.
  static bool IsWarm(const BackendServer& server, std::string_view model) {
    return server.model == model || HasStaged(server, model);
  }

  /// One fabric domain as it is for new groups.
  struct Domain {
    std::vector<const BackendServer*> free;
    /// Groups that serve or will, by model.
    std::map<std::string, int, std::less<>> groups;
  };

  void ReadDomains() {
    for (const auto& [id, server] : m_input.directory.servers()) {
      if (server.service != m_input.service.name || !IsUsable(&server)) {
        continue;
      }
      ++m_usable;
      Domain& domain = m_domains[server.domain];
      if (IsFree(server)) {
        domain.free.push_back(&server);
      }
    }
    for (const auto& [domain, models] : m_whole_in) {
      for (const auto& [model, count] : models) {
        m_domains[domain].groups[model] += count;
      }
    }
  }

  void FormGroups() {
    ReadDomains();
    const int reserve =
        m_policy.spares_per_domain * static_cast<int>(m_domains.size());
    m_wanted = WantedReplicas(m_engine, std::max(0, m_usable - reserve));
    while (FormOne()) {
    }
  }

  /// How much of what is wanted of a model is missing; the larger, the more
  /// urgent.
  double Shortage(const ModelProfile& model) const {
    const auto wanted = m_wanted.find(model.name);
    const auto whole = m_whole.find(model.name);
    const double want = wanted == m_wanted.end() ? 0 : wanted->second;
    const double have = whole == m_whole.end() ? 0 : whole->second;
    return want <= 0 ? 0 : (want - have) / want;
  }

  std::vector<const ModelProfile*> ByShortage() const {
    std::vector<const ModelProfile*> models;
    for (const ModelProfile& model : m_engine.models) {
      if (Shortage(model) > 0) {
        models.push_back(&model);
      }
    }
    std::sort(models.begin(), models.end(),
              [this](const ModelProfile* left, const ModelProfile* right) {
                return Shortage(*left) > Shortage(*right);
              });
    return models;
  }

  /// Domains in the order in which they suit a new group of the model. Groups
  /// of one large model stand together: a host that is free there can stand in
  /// for any of their members, and what is left of two broken groups makes one.
  std::vector<Domain*> BySuitability(const ModelProfile& model) {
    std::vector<std::pair<double, Domain*>> scored;
    for (auto& [name, domain] : m_domains) {
      double own = 0;
      double other = 0;
      for (const auto& [group_model, count] : domain.groups) {
        (group_model == model.name ? own : other) += count;
      }
      const double score = static_cast<double>(domain.free.size()) +
                           kTogether * (own > 0 ? 1 : 0) -
                           kTogether * (other > 0 ? 1 : 0);
      scored.emplace_back(score, &domain);
    }
    std::stable_sort(scored.begin(), scored.end(),
                     [](const auto& left, const auto& right) {
                       return left.first > right.first;
                     });
    std::vector<Domain*> domains;
    domains.reserve(scored.size());
    for (const auto& [score, domain] : scored) {
      domains.push_back(domain);
    }
    return domains;
  }

  bool FormOne() {
    for (const ModelProfile* model : ByShortage()) {
      const std::vector<Domain*> domains = BySuitability(*model);
      for (Domain* domain : domains) {
        if (FormWarm(*domain, *model)) {
          return true;
        }
      }
      if (!m_input.before_traffic) {
        continue;
      }
      for (Domain* domain : domains) {
        if (StageFirstSpare(*model) || FormCold(*domain, *model)) {
          return true;
        }
      }
    }
    return false;
  }

  /// A group from hosts that have the weights.
  bool FormWarm(Domain& domain, const ModelProfile& model) {
    std::vector<const BackendServer*> chosen;
    for (const BackendServer* host : domain.free) {
      if (IsWarm(*host, model.name)) {
        chosen.push_back(host);
      }
    }
    const auto size = static_cast<size_t>(model.members);
    if (chosen.size() < size) {
      return false;
    }
    // Those that had the model in memory are ready soonest.
    std::stable_partition(chosen.begin(), chosen.end(),
                          [&model](const BackendServer* host) {
                            return host->model == model.name;
                          });
    chosen.resize(size);
    Join(domain, model, chosen);
    return true;
  }

  /// A group whose members load the weights as they join: only while loads are
  /// quick.
  bool FormCold(Domain& domain, const ModelProfile& model) {
    std::vector<const BackendServer*> chosen;
    const auto size = static_cast<size_t>(model.members);
    for (const bool warm : {true, false}) {
      for (const BackendServer* host : domain.free) {
        const bool fits = warm ? IsWarm(*host, model.name)
                               : host->staged.empty() && host->model.empty() &&
                                     !IsLoading(*host);
        if (fits && chosen.size() < size) {
          chosen.push_back(host);
        }
      }
    }
    const auto cold = static_cast<size_t>(std::count_if(
        chosen.begin(), chosen.end(), [&model](const BackendServer* host) {
          return !IsWarm(*host, model.name);
        }));
    if (chosen.size() < size || !MayLoad(cold)) {
      return false;
    }
    Join(domain, model, chosen);
    return true;
  }

  void Join(Domain& domain,
            const ModelProfile& model,
            const std::vector<const BackendServer*>& chosen) {
    JoinGroup join;
    join.epoch = m_memory.term * kEpochsPerTerm + ++m_memory.last_number;
    join.group = model.name + kNameSeparator + std::to_string(join.epoch);
    join.model = model.name;
    for (const BackendServer* host : chosen) {
      join.members.push_back(host->id);
      m_memory.ordered_epoch[host->id] = join.epoch;
      Occupy(host->id);
      if (!IsWarm(*host, model.name)) {
        NoteLoad(host->id, model.name);
      }
      std::erase(domain.free, host);
    }
    m_whole[model.name] += 1;
    domain.groups[model.name] += 1;
    Give(std::move(join), "a replica is missing");
  }

  // Weights.

  size_t CountLoading() const {
    size_t loading = 0;
    for (const auto& [id, server] : m_input.directory.servers()) {
      loading += server.service == m_input.service.name && IsLoading(server);
    }
    return loading;
  }

  bool MayLoad(size_t count) const {
    if (count == 0) {
      return true;
    }
    if (m_input.before_traffic) {
      return true;
    }
    if (!m_input.loads_known) {
      return false;
    }
    // A group larger than the limit is loaded alone.
    const size_t at_once = CountLoading() + count;
    const size_t most =
        std::max(static_cast<size_t>(m_engine.loads_at_once), count);
    if (at_once > most) {
      return false;
    }
    const double allowed = m_engine.loads_per_second *
                           ToSeconds(m_policy.load_window) *
                           m_policy.load_rate_share;
    return static_cast<double>(m_memory.load_starts.size() + count) <= allowed;
  }

  void NoteLoad(const std::string& host, const std::string& model) {
    m_memory.loading[host] = {m_now, model};
    m_memory.load_starts.push_back(m_now);
  }

  /// Hosts of the domain that have the model's weights, or will, and are free.
  size_t StandingBy(const Domain& domain, const ModelProfile& model) const {
    return static_cast<size_t>(
        std::count_if(domain.free.begin(), domain.free.end(),
                      [this, &model](const BackendServer* host) {
                        const auto loading = m_memory.loading.find(host->id);
                        return IsWarm(*host, model.name) ||
                               (loading != m_memory.loading.end() &&
                                loading->second.model == model.name);
                      }));
  }

  const BackendServer* FindEmpty(const Domain& domain) const {
    for (const BackendServer* host : domain.free) {
      if (host->staged.empty() && host->model.empty() && !IsLoading(*host) &&
          !IsBusy(host->id)) {
        return host;
      }
    }
    return nullptr;
  }

  /// A large group without a host that can stand in loses all its members for
  /// as long as a load takes, so the first spare beside it goes before groups
  /// in further domains.
  bool StageFirstSpare(const ModelProfile& model) {
    if (model.members <= kSmallGroup || !MayLoad(1)) {
      return false;
    }
    for (auto& [name, domain] : m_domains) {
      const auto groups = domain.groups.find(model.name);
      const BackendServer* host = FindEmpty(domain);
      const bool full = domain.free.size() < static_cast<size_t>(model.members);
      if (groups != domain.groups.end() && groups->second > 0 && full &&
          host != nullptr && StandingBy(domain, model) == 0) {
        Stage(*host, model);
        return true;
      }
    }
    return false;
  }

  /// What one more host with the model's weights is good for in this domain,
  /// in hosts that serve because of it.
  double StageValue(const Domain& domain, const ModelProfile& model) const {
    const auto size = static_cast<size_t>(model.members);
    const size_t standing_by = StandingBy(domain, model);
    const size_t lacking = size - standing_by % size;
    const double completes = static_cast<double>(size) /
                             static_cast<double>(lacking) *
                             (kLeastNeed + std::max(0.0, Shortage(model)));
    const auto groups = domain.groups.find(model.name);
    const int present = groups == domain.groups.end() ? 0 : groups->second;
    const double protects =
        standing_by == 0 ? kLossShare * present * (model.members - 1) : 0;
    return completes + protects;
  }

  void Stage(const BackendServer& host, const ModelProfile& model) {
    Occupy(host.id);
    NoteLoad(host.id, model.name);
    Give(StageModel{host.id, model.name}, "a host without a group loads ahead");
  }

  void StageSpares() {
    while (MayLoad(1)) {
      const BackendServer* best_host = nullptr;
      const ModelProfile* best_model = nullptr;
      double best = 0;
      for (const auto& [name, domain] : m_domains) {
        const BackendServer* host = FindEmpty(domain);
        for (const ModelProfile& model : m_engine.models) {
          const double value = host == nullptr ? 0 : StageValue(domain, model);
          if (value > best) {
            best = value;
            best_host = host;
            best_model = &model;
          }
        }
      }
      if (best_host == nullptr) {
        return;
      }
      Stage(*best_host, *best_model);
    }
  }

  const ReplicaInput& m_input;
  const EngineProfile& m_engine;
  const ReplicaPolicy& m_policy;
  ReplicaMemory& m_memory;
  TimePoint m_now;
  std::vector<ReplicaView> m_replicas;
  std::vector<PlannedOrder> m_orders;
  /// Groups that serve or will, by model.
  std::map<std::string, int, std::less<>> m_whole;
  /// The same by domain.
  std::map<std::string, std::map<std::string, int, std::less<>>> m_whole_in;
  std::map<std::string, Domain> m_domains;
  int m_usable = 0;
  std::map<std::string, int, std::less<>> m_wanted;
  /// Members of groups that cannot run requests any more.
  std::set<std::string, std::less<>> m_freed;
};

}  // namespace

std::vector<PlannedOrder> PlanReplicas(const ReplicaInput& input,
                                       const ReplicaPolicy& policy,
                                       ReplicaMemory& memory,
                                       TimePoint now) {
  if (!input.service.engine) {
    return {};
  }
  return Pass(input, policy, memory, now).Run();
}

ReplicaCounts CountReplicas(const ReplicaInput& input,
                            const ReplicaPolicy& policy,
                            const ReplicaMemory& memory,
                            TimePoint now) {
  ReplicaCounts counts;
  counts.loading = static_cast<int>(memory.loading.size());
  for (const ReplicaView& replica :
       input.directory.Replicas(input.service.name)) {
    const std::string model(ModelOfGroup(replica.group));
    const ModelProfile* profile = input.service.engine->FindModel(model);
    const bool serves =
        profile != nullptr && IsServing(replica, profile->members);
    ++(serves ? counts.serving : counts.not_serving)[model];
  }
  for (const auto& [id, server] : input.directory.servers()) {
    if (server.service != input.service.name || server.draining) {
      continue;
    }
    const auto finding = input.findings.find(id);
    if (finding != input.findings.end() &&
        finding->second.health != HostHealth::kAnswers) {
      ++counts.silent;
      continue;
    }
    ++counts.usable;
    if (server.membership) {
      continue;
    }
    const bool held =
        input.directory.IsHeld(id, policy.stall + policy.stall_margin, now);
    counts.quarantined += held ? 1 : 0;
    if (server.staged.empty()) {
      ++counts.empty;
    } else {
      ++counts.standing_by[server.staged.back()];
    }
  }
  return counts;
}

std::map<std::string, int, std::less<>> WantedReplicas(
    const EngineProfile& engine,
    int hosts) {
  double shares = 0;
  for (const ModelProfile& model : engine.models) {
    shares += model.share;
  }
  std::map<std::string, int, std::less<>> wanted;
  int left = hosts;
  for (const ModelProfile& model : engine.models) {
    const double part = shares <= 0 ? 0 : hosts * model.share / shares;
    const int groups = static_cast<int>(part / model.members);
    wanted[model.name] = groups;
    left -= groups * model.members;
  }
  // Hosts that are left over go to the models furthest below their share.
  bool placed = true;
  while (placed) {
    placed = false;
    const ModelProfile* neediest = nullptr;
    double least = 0;
    for (const ModelProfile& model : engine.models) {
      const double filled =
          wanted[model.name] * model.members / std::max(model.share, 1e-9);
      if (model.members <= left && (neediest == nullptr || filled < least)) {
        neediest = &model;
        least = filled;
      }
    }
    if (neediest != nullptr) {
      ++wanted[neediest->name];
      left -= neediest->members;
      placed = true;
    }
  }
  return wanted;
}

std::string_view ModelOfGroup(std::string_view group) {
  return group.substr(0, group.rfind(kNameSeparator));
}

}  // namespace filbertrack

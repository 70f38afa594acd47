#include "filbertrack/replica_plan.h"

#include <algorithm>
#include <cmath>

namespace filbertrack {

namespace {

/// Epochs of one term; a term gives fewer orders than this.
constexpr uint64_t kEpochsPerTerm = 100000;
constexpr char kNameSeparator = '/';
/// Loads before traffic take this part of their stated time.
constexpr double kEarlyLoadShare = 0.1;
/// A member that serves already may be swapped only from weights on the host;
/// joining again what was in memory takes this long.
constexpr Duration kRejoinTime = Milliseconds(200);

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
    NoteTakeOver();
    for (const ReplicaView& replica : m_replicas) {
      TendReplica(replica);
    }
    FormGroups();
    StageSpares();
    return std::move(m_orders);
  }

 private:
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

  bool IsBusy(const std::string& host) const {
    const auto found = m_memory.ordered_at.find(host);
    return found != m_memory.ordered_at.end() &&
           m_now - found->second < m_policy.order_retry;
  }

  bool IsQuarantined(const std::string& host) const {
    const auto found = m_memory.quarantine.find(host);
    return found != m_memory.quarantine.end() && found->second > m_now;
  }

  static bool HasStaged(const BackendServer& server, std::string_view model) {
    return std::find(server.staged.begin(), server.staged.end(), model) !=
           server.staged.end();
  }

  bool IsLoading(const std::string& host) const {
    return m_memory.loading.contains(host);
  }

  // Bookkeeping.

  void Give(ReplicaOrder order, std::string reason) {
    m_orders.push_back({std::move(order), std::move(reason)});
  }

  void Occupy(const std::string& host) { m_memory.ordered_at[host] = m_now; }

  void ForgetOld() {
    std::erase_if(m_memory.ordered_at, [this](const auto& entry) {
      return m_now - entry.second > 2 * m_policy.order_retry;
    });
    std::erase_if(m_memory.quarantine,
                  [this](const auto& entry) { return entry.second <= m_now; });
    while (!m_memory.loads.empty() &&
           m_now - m_memory.loads.front() > m_policy.load_window) {
      m_memory.loads.pop_front();
    }
    std::erase_if(m_memory.loading, [this](const auto& entry) {
      const BackendServer* server = m_input.directory.Find(entry.first);
      const bool done = server == nullptr || !server->staged.empty();
      return done || m_now - entry.second > LoadPatience();
    });
  }

  Duration LoadPatience() const {
    Duration longest{0};
    for (const ModelProfile& model : m_engine.models) {
      longest = std::max(longest, model.load);
    }
    return 2 * longest;
  }

  /// A controller that takes over does not know which hosts left a group whose
  /// head may still hold requests, so it leaves all hosts without a group
  /// alone for that long. At the very start there are no groups.
  void NoteTakeOver() {
    if (m_memory.took_over) {
      return;
    }
    if (m_input.directory.servers().empty()) {
      return;
    }
    m_memory.took_over = true;
    if (m_replicas.empty()) {
      return;
    }
    for (const auto& [id, server] : m_input.directory.servers()) {
      if (server.service == m_input.service.name && !server.membership) {
        m_memory.quarantine[id] =
            m_now + m_policy.stall + m_policy.stall_margin;
      }
    }
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
    m_whole[model.name] += 1;
    const BackendServer& head = *replica.head();
    switch (head.membership->state) {
      case MembershipState::kBroken:
        m_whole[model.name] -= 1;
        Free(replica, nullptr);
        return;
      case MembershipState::kReady:
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

  void GiveUpSlowJoin(const ReplicaView& replica, const ModelProfile& model) {
    const auto since =
        m_memory.joining_since.try_emplace(Key(replica), m_now).first->second;
    const auto patience = Duration(static_cast<int64_t>(
        m_policy.join_patience * static_cast<double>(model.load.count())));
    if (m_now - since > patience) {
      m_whole[model.name] -= 1;
      Free(replica, nullptr);
    }
  }

  /// Takes a group apart. Its hosts become free only once its head cannot run
  /// requests any more: it closed, it broke, or it is gone.
  void Dissolve(const ReplicaView& replica, std::string_view why) {
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
        Free(replica, nullptr);
        return;
    }
  }

  void DissolveWithoutHead(const ReplicaView& replica,
                           const BackendServer* head) {
    const bool certainly_gone =
        head != nullptr && Health(*head) == HostHealth::kGone;
    if (certainly_gone) {
      Free(replica, head);
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
      m_memory.quarantine[member->id] =
          m_now + m_policy.stall + m_policy.stall_margin;
      Give(LeaveGroup{member->id, replica.group, replica.epoch},
           "the head is silent");
    }
  }

  void Free(const ReplicaView& replica, const BackendServer* lost_head) {
    for (const BackendServer* member : replica.members) {
      if (member != nullptr && member != lost_head) {
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

  std::map<std::string, std::vector<const BackendServer*>> FreeByDomain()
      const {
    std::map<std::string, std::vector<const BackendServer*>> free;
    for (const auto& [id, server] : m_input.directory.servers()) {
      if (IsFree(server)) {
        free[server.domain].push_back(&server);
      }
    }
    return free;
  }

  int CountUsable() const {
    int usable = 0;
    for (const auto& [id, server] : m_input.directory.servers()) {
      usable += server.service == m_input.service.name && IsUsable(&server);
    }
    return usable;
  }

  size_t CountDomains() const {
    std::set<std::string_view> domains;
    for (const auto& [id, server] : m_input.directory.servers()) {
      if (server.service == m_input.service.name && IsUsable(&server)) {
        domains.insert(server.domain);
      }
    }
    return domains.size();
  }

  void FormGroups() {
    const int usable = CountUsable();
    const int reserve =
        m_policy.spares_per_domain * static_cast<int>(CountDomains());
    m_wanted = WantedReplicas(m_engine, std::max(0, usable - reserve));
    auto free = FreeByDomain();
    while (FormOne(free)) {
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

  bool FormOne(std::map<std::string, std::vector<const BackendServer*>>& free) {
    for (const ModelProfile* model : ByShortage()) {
      for (auto& [domain, hosts] : free) {
        if (FormIn(hosts, *model)) {
          return true;
        }
      }
    }
    return false;
  }

  bool FormIn(std::vector<const BackendServer*>& hosts,
              const ModelProfile& model) {
    const auto size = static_cast<size_t>(model.members);
    std::vector<const BackendServer*> chosen;
    for (const BackendServer* host : hosts) {
      if (chosen.size() < size && IsWarm(*host, model.name)) {
        chosen.push_back(host);
      }
    }
    size_t cold = 0;
    for (const BackendServer* host : hosts) {
      if (chosen.size() < size && m_input.before_traffic &&
          host->staged.empty() && host->model.empty() && !IsLoading(host->id)) {
        chosen.push_back(host);
        ++cold;
      }
    }
    if (chosen.size() < size || !MayLoad(cold)) {
      return false;
    }
    JoinGroup join;
    join.epoch = m_memory.term * kEpochsPerTerm + ++m_memory.last_number;
    join.group = model.name + kNameSeparator + std::to_string(join.epoch);
    join.model = model.name;
    for (const BackendServer* host : chosen) {
      join.members.push_back(host->id);
      Occupy(host->id);
      if (!IsWarm(*host, model.name)) {
        NoteLoad(host->id);
      }
      std::erase(hosts, host);
    }
    m_whole[model.name] += 1;
    Give(std::move(join), "a replica is missing");
    return true;
  }

  // Weights.

  bool MayLoad(size_t count) const {
    if (count == 0) {
      return true;
    }
    const size_t at_once = m_memory.loading.size() + count;
    if (at_once > static_cast<size_t>(std::max(m_engine.loads_at_once,
                                               static_cast<int>(count)))) {
      return false;
    }
    if (m_input.before_traffic) {
      return true;
    }
    const double allowed = m_engine.loads_per_second *
                           ToSeconds(m_policy.load_window) *
                           m_policy.load_rate_share;
    return static_cast<double>(m_memory.loads.size() + count) <= allowed;
  }

  void NoteLoad(const std::string& host) {
    m_memory.loading[host] = m_now;
    m_memory.loads.push_back(m_now);
  }

  /// The model whose groups in this domain have the fewest hosts ready to stand
  /// in for a lost one.
  const ModelProfile* ModelToStage(
      const std::vector<const BackendServer*>& hosts) const {
    const ModelProfile* best = nullptr;
    double best_need = 0;
    for (const ModelProfile& model : m_engine.models) {
      double standing_by = 0;
      for (const BackendServer* host : hosts) {
        standing_by += IsWarm(*host, model.name) ? 1 : 0;
      }
      const double missing = std::max(0.0, Shortage(model));
      const double need =
          (model.share + missing * static_cast<double>(model.members)) /
          (1 + standing_by);
      if (best == nullptr || need > best_need) {
        best = &model;
        best_need = need;
      }
    }
    return best;
  }

  void StageSpares() {
    for (auto& [domain, hosts] : FreeByDomain()) {
      for (const BackendServer* host : hosts) {
        if (!host->staged.empty() || !host->model.empty() ||
            IsLoading(host->id) || !MayLoad(1)) {
          continue;
        }
        const ModelProfile* model = ModelToStage(hosts);
        if (model == nullptr) {
          return;
        }
        Occupy(host->id);
        NoteLoad(host->id);
        Give(StageModel{host->id, model->name}, "a spare fetches weights");
      }
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

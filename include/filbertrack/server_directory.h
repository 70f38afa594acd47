#pragma once

/// The registered backend servers, and the groups that their registrations
/// form. There is no separate record of groups: the members' registrations are
/// authoritative, so a restarted controller finds the groups that are serving.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "filbertrack/base_address.h"
#include "filbertrack/base_time.h"

namespace filbertrack {

enum class MembershipState {
  kJoining,
  kReady,
  /// Head only: accepts requests.
  kOpen,
  /// Head only: accepts no new requests and completes those it has.
  kClosing,
  /// Head only: a member was lost, and all requests are refused.
  kBroken,
};

/// Identifies one set of members. Groups are named, and their epochs numbered,
/// for each service on its own, so those of two services may be equal.
struct GroupId {
  std::string service;
  std::string name;
  uint64_t epoch = 0;

  bool operator==(const GroupId&) const = default;
  bool operator<(const GroupId& other) const {
    return std::tie(service, name, epoch) <
           std::tie(other.service, other.name, other.epoch);
  }
};

/// A host's membership of a group of its service; see GroupOf(). Rank 0 is the
/// head, which receives the group's requests.
struct Membership {
  /// Name of the group.
  std::string group;
  uint64_t epoch = 0;
  int rank = 0;
  MembershipState state = MembershipState::kJoining;

  bool operator==(const Membership&) const = default;
};

/// Suffix of the names of standby groups: single hosts that keep a model in
/// memory. Such groups are never opened.
inline constexpr std::string_view kStandbySuffix = ".standby";
bool IsStandbyGroup(std::string_view group);

/// Whether a process started at `process_start_ms` is a newer instance of the
/// server than the one started at `known_process_start_ms`. Both are Unix times
/// in ms; 0 means unknown.
inline bool IsNewerInstance(uint64_t process_start_ms,
                            uint64_t known_process_start_ms) {
  return known_process_start_ms != 0 &&
         process_start_ms > known_process_start_ms;
}

struct BackendServer {
  std::string id;
  /// Start of the process, Unix time in ms; 0 if unknown. A restarted process
  /// may keep its id; it has none of the state of the previous process.
  uint64_t process_start_ms = 0;
  std::string service;
  Address address;
  std::string data_centre;
  bool draining = false;
  int slots = 1;
  /// Fabric domain; empty for plain services.
  std::string domain;
  /// Models whose weights are stored on the host.
  std::vector<std::string> staged;
  /// Model loaded in memory; empty if none.
  std::string model;
  std::optional<Membership> membership;
  /// Time for which the server reports itself as cold, counted from the report;
  /// nullopt if it does not report this.
  std::optional<Duration> cold_left;

  bool operator==(const BackendServer&) const = default;
};

/// The group of a server; nullopt if it has none.
std::optional<GroupId> GroupOf(const BackendServer& server);

/// One replica, assembled from its members' registrations.
struct ReplicaView {
  GroupId group;
  std::string domain;
  /// Members by rank; null if no server reports that rank.
  std::vector<const BackendServer*> members;
  /// A ready member has left or restarted. A head that was open then stalls
  /// without reporting it, even if the member has rejoined under the same name
  /// and epoch.
  bool interrupted = false;

  const BackendServer* head() const {
    return members.empty() ? nullptr : members.front();
  }
};

/// The last group of a host that left it while the head was still in it.
struct Departure {
  /// nullopt if the host had no group when this process first listed the store.
  std::optional<GroupId> group;
  TimePoint left_at;
  /// `left_at`, or the later time at which the head's registration was removed.
  TimePoint held_from;
};

struct DirectoryPolicy {
  /// Registrations expire during a store outage, including those of live
  /// servers. Live servers register again within about two seconds of the
  /// store's return; servers still missing after this time are removed.
  Duration expiry_grace = Milliseconds(2500);
};

class ServerDirectory {
 public:
  explicit ServerDirectory(DirectoryPolicy policy) : m_policy(policy) {}

  /// Applies a registration. Returns whether it changed anything. A
  /// registration of an older instance is ignored; one of a newer instance
  /// discards the state of the older one.
  bool Put(BackendServer server, TimePoint now);

  /// Removes a server whose registration is unreadable at once, even shortly
  /// after a store outage. Returns whether the server was known.
  bool Discard(std::string_view id, TimePoint now);

  /// Handles a removed registration. Shortly after the store's return the
  /// server is only marked, and Expire() removes it later. Returns whether it
  /// was removed now.
  bool Remove(std::string_view id, TimePoint now);

  /// Handles the first complete listing of registrations; later calls have no
  /// effect. Hosts without a group may have left one before this process
  /// started.
  void OnInitialListing(TimePoint now);

  /// The store returned from an outage at `returned`, which may be earlier than
  /// was reported before.
  void OnStoreReturned(TimePoint returned);
  /// The return that OnStoreReturned() last reported; nullopt if there was none
  /// or it was disproved.
  std::optional<TimePoint> store_returned() const { return m_store_returned; }

  /// There was no outage before the reported return. Removes the servers that
  /// were kept because of it and returns whether there were any.
  bool OnReturnDisproved(TimePoint now);

  /// Removes registrations that were not renewed after an outage. Returns
  /// whether there were any.
  bool Expire(TimePoint now);

  /// Until when a server whose registration was removed is kept; nullopt if it
  /// is not.
  std::optional<TimePoint> HeldUntil(std::string_view id) const;

  /// When Expire() next has a server to remove; nullopt if none is marked.
  std::optional<TimePoint> NextExpiry() const;

  /// Whether `id` left a group whose head may still have requests that use it.
  /// After losing a member, the head keeps its requests without reporting so
  /// for `stall`. While the head is registered in the group and was not seen to
  /// leave it, it may open the group again. If groups exist at the first
  /// listing, hosts without a group count as having left one at that time,
  /// because their history is unknown.
  bool IsHeld(std::string_view id, Duration stall, TimePoint now) const;

  /// The departure because of which a host is held. Null if there is none, or
  /// if the group's head has left the group since.
  const Departure* FindDeparture(std::string_view id) const;

  /// The head confirmed an order to leave the group, or another process
  /// answered at its address. Its registration may show this late, or not at
  /// all while the head cannot reach the store.
  void OnHeadLeft(const GroupId& group) { m_headless_groups.insert(group); }

  /// Whether the head was seen to leave this group. No order can then make it
  /// accept requests for the group again.
  bool HeadLeft(const GroupId& group) const {
    return m_headless_groups.contains(group);
  }

  /// Since when the head of this group has been continuously registered as
  /// open; kept after its registration is removed. nullopt if it is not open.
  std::optional<TimePoint> OpenSince(const GroupId& group) const;

  /// Latest time at which a server that was not registered before, or that had
  /// restarted, registered.
  std::optional<TimePoint> last_arrival() const { return m_last_arrival; }

  const BackendServer* Find(std::string_view id) const;

  /// Treats the server as cold until `until`, whatever it reports.
  void AssumeCold(const std::string& id, TimePoint until);

  /// Until when the server is cold, by its own report or by AssumeCold(),
  /// whichever is later; nullopt if it is not cold.
  std::optional<TimePoint> ColdUntil(std::string_view id, TimePoint now) const;

  /// The last registration of a group's head, also after its removal. Null if
  /// it was never seen.
  const BackendServer* FindLastHead(const GroupId& group) const;

  /// Like Find(), but includes servers whose registration was removed.
  const BackendServer* FindLast(std::string_view id) const;
  const std::map<std::string, BackendServer, std::less<>>& servers() const {
    return m_servers;
  }

  /// Groups of `service` according to their members' registrations. Groups
  /// without members are not included.
  std::vector<ReplicaView> Replicas(std::string_view service) const;

 private:
  /// Handles a restart of the server: its previous process left its group as if
  /// the host had failed.
  void ResetInstance(BackendServer& known);
  void NoteInterruption(const BackendServer& before,
                        const BackendServer& after);
  void NoteHeadDeparture(const BackendServer& before,
                         const BackendServer& after);
  void NoteOpen(const BackendServer& before,
                const BackendServer& after,
                TimePoint now);
  void ForgetEmptyGroups();
  void NoteCold(const BackendServer& server, TimePoint now);
  void NoteDeparture(const BackendServer& before,
                     const BackendServer& after,
                     TimePoint now);

  DirectoryPolicy m_policy;
  std::map<std::string, BackendServer, std::less<>> m_servers;
  const BackendServer* FindHead(const GroupId& group) const;
  void RemoveRegistration(std::string_view id, TimePoint now);
  void NoteHeadRemoved(const BackendServer& head, TimePoint now);

  std::map<std::string, Departure, std::less<>> m_departures;
  /// Last registration of removed servers; a server that returns may have left
  /// its group in the meantime.
  std::map<std::string, BackendServer, std::less<>> m_removed;
  /// Groups whose head left, and groups that lost a ready member.
  std::set<GroupId> m_headless_groups;
  std::set<GroupId> m_interrupted;
  /// Time of opening, by the head's id.
  std::map<std::string, TimePoint, std::less<>> m_open_since;
  /// End of the cold period by server id, as reported by the server and as set
  /// by AssumeCold().
  std::map<std::string, TimePoint, std::less<>> m_cold;
  std::map<std::string, TimePoint, std::less<>> m_assumed_cold;
  bool m_listed = false;
  std::optional<TimePoint> m_last_arrival;
  std::map<std::string, TimePoint, std::less<>> m_pending_removal;
  std::optional<TimePoint> m_store_returned;
};

/// Whether all `size` members are present and none has left or restarted since
/// it was ready. Requests that run there can complete, even if members are
/// draining.
bool IsIntact(const ReplicaView& replica, int size);

/// Whether the replica is intact, no member is draining, all members are ready
/// and the head accepts requests.
bool IsServing(const ReplicaView& replica, int size);

}  // namespace filbertrack

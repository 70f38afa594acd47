#pragma once

/// The backend servers as they have registered themselves, and the groups that
/// their registrations add up to. No other record of groups is kept: what the
/// members report is what holds, so a controller that starts with nothing finds
/// the groups that serve.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "filbertrack/base_address.h"
#include "filbertrack/base_time.h"

namespace filbertrack {

enum class MembershipState {
  kJoining,
  kReady,
  /// Of a head: takes requests.
  kOpen,
  /// Of a head: takes no more requests, ends what it has.
  kClosing,
  /// Of a head: a member was lost; it refuses all requests.
  kBroken,
};

/// A host's place in a group. The name and the epoch together identify a set of
/// members; rank 0 is the head, which takes the group's requests.
struct Membership {
  std::string group;
  uint64_t epoch = 0;
  int rank = 0;
  MembershipState state = MembershipState::kJoining;

  bool operator==(const Membership&) const = default;
};

/// Ends the names of groups of one host that stands by with a model in memory.
/// They are never opened.
inline constexpr std::string_view kStandbySuffix = ".standby";
bool IsStandbyGroup(std::string_view group);

/// Whether a process that started at `born_ms` is a later life of the server
/// whose process started at `known_born_ms`; 0 stands for a time not told.
inline bool IsNewerInstance(uint64_t process_start_ms,
                            uint64_t known_process_start_ms) {
  return known_process_start_ms != 0 &&
         process_start_ms > known_process_start_ms;
}

struct BackendServer {
  std::string id;
  /// Start of the process, Unix ms; 0: not told. A process that starts again
  /// may keep its id; it then holds nothing of what it held before.
  uint64_t process_start_ms = 0;
  std::string service;
  Address address;
  std::string data_centre;
  bool draining = false;
  int slots = 1;
  /// Fabric domain; empty for plain services.
  std::string domain;
  /// Models whose weights are on the host.
  std::vector<std::string> staged;
  /// Model in memory; empty: none.
  std::string model;
  std::optional<Membership> membership;
  /// It is cold for so long after it said so; nullopt: it does not say.
  std::optional<Duration> cold_left;

  bool operator==(const BackendServer&) const = default;
};

/// One replica as its members' registrations show it.
struct ReplicaView {
  std::string group;
  uint64_t epoch = 0;
  std::string service;
  std::string domain;
  /// By rank; null where nobody reports that rank.
  std::vector<const BackendServer*> members;
  /// A member was ready here and then left or started again. The head, if it
  /// was open, stands still without saying so, also where the member is back
  /// under the same name and epoch.
  bool interrupted = false;

  const BackendServer* head() const {
    return members.empty() ? nullptr : members.front();
  }
};

/// A host's latest group, which it left while the head had not left it.
struct Departure {
  /// Empty: the host had no group when this process first looked.
  std::string group;
  uint64_t epoch = 0;
  TimePoint left_at;
  /// The same, or later when the head's registration was removed.
  TimePoint held_from;
};

struct DirectoryPolicy {
  /// Registrations lapse while the store is away, also those of servers that
  /// live. They are back about two seconds after the store is; what is missing
  /// then is gone.
  Duration expiry_grace = Milliseconds(2500);
};

class ServerDirectory {
 public:
  explicit ServerDirectory(DirectoryPolicy policy) : m_policy(policy) {}

  /// A registration; true if it says something new. One of an earlier life of
  /// the server is passed over; one of a later life ends all that was known of
  /// the earlier one.
  bool Put(BackendServer server, TimePoint now);

  /// The registration cannot be read: the server is out at once, whatever the
  /// store went through. True if it was known.
  bool Discard(std::string_view id, TimePoint now);

  /// A registration was removed. Soon after the store's return it is only
  /// marked; Expire() takes it out later. True if it was taken out.
  bool Remove(std::string_view id, TimePoint now);

  /// The registrations were read whole. Only the first call counts: hosts
  /// without a group may have left one before this process could see it.
  void OnInitialListing(TimePoint now);

  /// The store was away until now.
  void OnStoreReturned(TimePoint now) { m_store_returned = now; }

  /// Takes out registrations that did not come back. True if there were any.
  bool Expire(TimePoint now);

  /// When Expire() has something to do next.
  std::optional<TimePoint> NextExpiry() const;

  /// Whether `id` left a group whose head may still hold requests. The head
  /// holds them, without saying so, for `stall` after it lost a member; while
  /// it is registered in the group and was not seen to leave, it may open anew.
  /// Hosts without a group at the first reading count as having left then, if
  /// there are groups: nobody knows what was before.
  bool IsHeld(std::string_view id, Duration stall, TimePoint now) const;

  /// Why a host is held; null where it is not, or was not since its group's
  /// head left the group.
  const Departure* FindDeparture(std::string_view id) const;

  /// The head answered an order to leave the group. Its own registration may
  /// show that late, or not at all while it does not reach the store.
  void OnHeadLeft(const std::string& group, uint64_t epoch);

  /// Whether the head of this group was seen to leave it: no order can make it
  /// take requests for the group any more.
  bool HeadLeft(std::string_view group, uint64_t epoch) const;

  /// Since when the head of this group has been registered as open without a
  /// break; also after its registration was removed. nullopt: it was not.
  std::optional<TimePoint> OpenSince(std::string_view group,
                                     uint64_t epoch) const;

  /// When a server was seen for the first time, of all the latest such time.
  std::optional<TimePoint> last_arrival() const { return m_last_arrival; }

  const BackendServer* Find(std::string_view id) const;

  /// The server may be cold until then, whatever it says itself meanwhile.
  void AssumeCold(const std::string& id, TimePoint until);

  /// Until when the server is cold, by its own word or by assumption; nullopt:
  /// it is not.
  std::optional<TimePoint> ColdUntil(std::string_view id, TimePoint now) const;

  /// The head of a group as it was registered last, also after its registration
  /// was removed. Null: it was never seen.
  const BackendServer* FindLastHead(std::string_view group,
                                    uint64_t epoch) const;

  /// As Find(), but also a server whose registration was removed.
  const BackendServer* FindLast(std::string_view id) const;
  const std::map<std::string, BackendServer, std::less<>>& servers() const {
    return m_servers;
  }

  /// Groups of `service`, by what their members report. A group of which no
  /// member is left is not among them.
  std::vector<ReplicaView> Replicas(std::string_view service) const;

 private:
  /// The server started again: it left its group as a host that died does.
  void ResetInstance(BackendServer& known);
  void NoteInterruption(const BackendServer& before,
                        const BackendServer& after);
  bool IsInterrupted(std::string_view group, uint64_t epoch) const;
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
  const BackendServer* FindHead(std::string_view group, uint64_t epoch) const;
  void RemoveRegistration(std::string_view id, TimePoint now);
  void NoteHeadRemoved(const BackendServer& head, TimePoint now);

  std::map<std::string, Departure, std::less<>> m_departures;
  /// Servers as they were when they were taken out; one that comes back may
  /// have left its group meanwhile.
  std::map<std::string, BackendServer, std::less<>> m_removed;
  /// Groups whose head left, with their latest epoch; the name tells the group.
  std::map<std::string, uint64_t, std::less<>> m_headless_groups;
  /// Groups that lost a member which was ready, with their latest epoch.
  std::map<std::string, uint64_t, std::less<>> m_interrupted;
  /// By id of the head.
  std::map<std::string, TimePoint, std::less<>> m_open_since;
  /// Servers that are cold by their own word, and by assumption.
  std::map<std::string, TimePoint, std::less<>> m_cold;
  std::map<std::string, TimePoint, std::less<>> m_assumed_cold;
  bool m_listed = false;
  std::optional<TimePoint> m_last_arrival;
  std::map<std::string, TimePoint, std::less<>> m_pending_removal;
  std::optional<TimePoint> m_store_returned;
};

/// Whether all `size` members have been in the group since they were ready,
/// leaving or not: what runs there can end.
bool IsIntact(const ReplicaView& replica, int size);

/// Whether the replica has all `size` members of its model, each of them in the
/// group and ready, and its head takes requests.
bool IsServing(const ReplicaView& replica, int size);

}  // namespace filbertrack

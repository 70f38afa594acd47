#pragma once

/// Membership of the entry hosts as one of them knows it. There is no agreed
/// list: each host keeps what it heard, with an age that is counted from the
/// moment it asked, and decisions that must be agreed use the object API.

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "filbertrack/base_time.h"
#include "filbertrack/settings.h"

namespace filbertrack {

/// What an entry host says of itself.
struct PeerState {
  std::string node;
  /// Wall time of its start in milliseconds: of two processes of one name the
  /// later one counts.
  uint64_t incarnation = 0;
  Address address;
  std::string data_centre;
  bool leaving = false;
  uint64_t generation = 0;  ///< Of the configuration in force.
  uint64_t division = 0;    ///< Epoch of the division of entitlements.

  bool operator==(const PeerState&) const = default;
};

struct PeerRecord {
  PeerState state;
  /// The peer was in this state at this time or later.
  TimePoint alive_at;
};

struct PeerPolicy {
  /// A peer not heard of for this long is not live.
  Duration dead_after = Seconds(3);
  /// Its record is dropped after this.
  Duration forget_after = Seconds(60);
  /// Each host asks so many others.
  size_t neighbours = 2;
};

class PeerTable {
 public:
  PeerTable(PeerState self, PeerPolicy policy)
      : m_self(std::move(self)), m_policy(policy) {}

  PeerState& self() { return m_self; }
  const PeerState& self() const { return m_self; }

  /// Takes over what was heard of a peer. News of an older process of the same
  /// name, or older than what is known, change nothing.
  void Learn(const PeerState& state, TimePoint alive_at);

  void Forget(TimePoint now);

  const std::map<std::string, PeerRecord, std::less<>>& records() const {
    return m_records;
  }

  /// Names of live peers and this host, sorted.
  std::vector<std::string> Live(TimePoint now) const;

  /// The live peers that this host asks in a round: of those at distances 1, 2,
  /// 4, … on a ring of names, some in turn. So news reach everybody in a number
  /// of steps that grows as the logarithm, although nobody speaks to all.
  std::vector<PeerState> Neighbours(uint64_t round, TimePoint now) const;

  /// Whether this host is among the first `count` live hosts for `item` by
  /// rendezvous hashing; `data_centre` empty: among all, else only those there.
  bool IsChosen(std::string_view item,
                std::string_view data_centre,
                size_t count,
                TimePoint now) const;

  /// The live host that owns `item`.
  std::string Owner(std::string_view item, TimePoint now) const;

  /// Of names, incarnations and states, but not of ages.
  uint64_t Digest() const;

 private:
  bool IsLive(const PeerRecord& record, TimePoint now) const;

  PeerState m_self;
  PeerPolicy m_policy;
  std::map<std::string, PeerRecord, std::less<>> m_records;
};

/// The latest time at which at least `needed` of `nodes` were known, by word of
/// their own, to satisfy `holds`; nullopt where fewer ever were. This host
/// counts for itself, as of now.
template <typename Holds>
std::optional<TimePoint> ConfirmedAt(const PeerTable& table,
                                     std::span<const std::string> nodes,
                                     size_t needed,
                                     TimePoint now,
                                     Holds holds) {
  std::vector<TimePoint> times;
  for (const std::string& node : nodes) {
    const auto record = table.records().find(node);
    if (node == table.self().node && holds(table.self())) {
      times.push_back(now);
    } else if (record != table.records().end() && holds(record->second.state)) {
      times.push_back(record->second.alive_at);
    }
  }
  if (times.size() < needed || needed == 0) {
    return std::nullopt;
  }
  std::sort(times.rbegin(), times.rend());
  return times[needed - 1];
}

}  // namespace filbertrack

#pragma once

/// Membership of the entry hosts as seen by one of them. There is no agreed
/// membership list: each host keeps the states it received and the time at
/// which each was current, counted from when it sent the request. Decisions
/// that need agreement go through the object API.

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

/// State that an entry host announces about itself.
struct PeerState {
  std::string node;
  /// Wall-clock start time of the process in milliseconds. Of two processes
  /// with the same name, the one with the larger value is valid.
  uint64_t incarnation = 0;
  Address address;
  std::string data_centre;
  bool leaving = false;
  uint64_t generation = 0;  ///< Generation of the configuration in force.
  uint64_t division = 0;    ///< Epoch of the division of entitlements.

  bool operator==(const PeerState&) const = default;
};

struct PeerRecord {
  PeerState state;
  /// The peer was alive and in this state at this time or later.
  TimePoint alive_at;
};

struct PeerPolicy {
  /// A peer counts as live for this long after it was last known to be alive.
  Duration dead_after = Seconds(3);
  /// The record of a peer is removed after this time.
  Duration forget_after = Seconds(60);
  /// Number of peers that a host queries in each round.
  size_t neighbours = 2;
};

class PeerTable {
 public:
  PeerTable(PeerState self, PeerPolicy policy)
      : m_self(std::move(self)), m_policy(policy) {}

  PeerState& self() { return m_self; }
  const PeerState& self() const { return m_self; }

  /// Merges a received state. Ignores states of this host, of an older process
  /// with the same name, and states that are not newer than the known one.
  void Learn(const PeerState& state, TimePoint alive_at);

  /// Removes records that are older than `forget_after`.
  void Forget(TimePoint now);

  const std::map<std::string, PeerRecord, std::less<>>& records() const {
    return m_records;
  }

  /// Returns the sorted names of the live peers and, unless it is leaving, this
  /// host.
  std::vector<std::string> Live(TimePoint now) const;

  /// Returns the live peers to query in a round. Candidates are the peers at
  /// distances 1, 2, 4, … on a ring of the sorted names, and successive rounds
  /// take turns among them. An update therefore reaches all hosts in O(log n)
  /// rounds although no host queries all the others.
  std::vector<PeerState> Neighbours(uint64_t round, TimePoint now) const;

  /// Returns whether this host is among the first `count` live hosts for `item`
  /// by rendezvous hashing. A non-empty `data_centre` restricts the other
  /// candidates to that data centre.
  bool IsChosen(std::string_view item,
                std::string_view data_centre,
                size_t count,
                TimePoint now) const;

  /// Returns the live host with the highest rendezvous weight for `item`; this
  /// host if none is live.
  std::string Owner(std::string_view item, TimePoint now) const;

  /// Returns a digest of all states, this host's included. Ages are not part of
  /// it, so hosts that know the same states have the same digest.
  uint64_t Digest() const;

 private:
  bool IsLive(const PeerRecord& record, TimePoint now) const;

  PeerState m_self;
  PeerPolicy m_policy;
  std::map<std::string, PeerRecord, std::less<>> m_records;
};

/// Returns the latest time at which at least `needed` of `nodes` had announced
/// a state that satisfies `holds`; nullopt if fewer have, or if `needed` is 0.
/// This host counts with its current state and the time `now`.
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

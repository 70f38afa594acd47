#pragma once

/// Distinguishes an outage of the store from a host that alone lost its
/// connection to it.
///
/// Registrations expire during an outage, including those of live servers, so
/// after an outage a missing registration is kept for a while. A host that
/// alone lost its connection, or whose connection broke off and was back at
/// once, must neither do so nor report an outage to its peers: it would keep a
/// server that ended without notice in that time, and requests would be sent to
/// it.
///
/// What one host sees of its own connection, or of its own clock after it was
/// stopped, proves nothing about the others. Hosts therefore exchange the
/// period in which the store has answered any of them. An end of an outage that
/// lies within such a period was none, whoever reported it; one at the begin of
/// the period was no later than the first answer to any host.

#include <optional>

#include "filbertrack/base_time.h"

namespace filbertrack {

struct StoreOutagePolicy {
  /// Maximum delay, a few gossip rounds, until a change that a peer read from
  /// the store just before an outage arrives here.
  Duration propagation_time = Milliseconds(1000);
  /// No registration of a live server expires in a shorter outage. Below the
  /// interval of the heartbeats, of which three are missing then.
  Duration min_outage = Milliseconds(1000);
  /// Longest time between two answers within a period of service. A live server
  /// misses at most two heartbeats in it, so its registration does not expire
  /// before the next one.
  Duration max_answer_gap = Milliseconds(2300);
  /// Reports of the store's return that are at most this far apart refer to the
  /// same return.
  Duration same_return = Milliseconds(2000);
};

/// A period in which the store has answered one entry host or another, without
/// a gap longer than StoreOutagePolicy::max_answer_gap.
struct StoreService {
  TimePoint since;
  TimePoint until;

  bool operator==(const StoreService&) const = default;
};

class StoreOutageDetector {
 public:
  explicit StoreOutageDetector(StoreOutagePolicy policy = {})
      : m_policy(policy) {}

  /// This host lost its connection to the store, which has not answered it
  /// since `since`.
  void OnLost(TimePoint since);

  /// Peers reported store changes that were not known here.
  void OnPeersAhead(TimePoint now);

  /// This host is connected to the store again. Returns whether the store was
  /// unavailable to all hosts, as far as peers have shown. The first host to
  /// reconnect after an outage has only received changes that were in transit
  /// when the outage began. False if no loss was reported before.
  bool OnReturned(TimePoint now);

  /// The store answered a call of this host that it does not answer from a
  /// cache. The first answer after a loss decides, as OnReturned() does,
  /// whether there was an outage; others may follow long before all watches
  /// work again, and tell of removed registrations.
  void OnAnswered(TimePoint at);

  /// A peer knows of this period of service.
  void OnPeerService(const StoreService& service);

  /// A peer reported that the store came back at `returned`. Returns whether
  /// the report is believed and new.
  bool OnPeerSawReturn(TimePoint returned);

  bool is_unreachable() const { return m_lost.has_value(); }

  /// End of the last outage for all hosts; nullopt if none is known, or if
  /// answers to other hosts have shown since that there was none. Moves to an
  /// earlier time if they show that the store came back earlier.
  std::optional<TimePoint> returned() const { return m_returned; }

  /// The latest known period of service, for peers.
  std::optional<StoreService> service() const { return m_service; }

 private:
  void Decide(TimePoint now);
  /// Applies the known period of service to the return: it may disprove it, or
  /// show that the store came back earlier.
  void CorrectReturn();
  /// Whether the store is known to have served some host just before
  /// `returned`, so that no outage ended then.
  bool RulesOutReturn(TimePoint returned) const;

  StoreOutagePolicy m_policy;
  std::optional<TimePoint> m_lost;
  /// Whether the store was away for all since `m_lost`; nullopt until the first
  /// answer.
  std::optional<bool> m_was_outage;
  /// Time of the latest report of newer changes by a peer since the connection
  /// was lost.
  std::optional<TimePoint> m_peers_ahead_at;
  std::optional<TimePoint> m_returned;
  std::optional<StoreService> m_service;
};

}  // namespace filbertrack

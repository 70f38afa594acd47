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
  /// work again, and tell of removed registrations. Returns whether this answer
  /// showed one.
  bool OnAnswered(TimePoint at);

  bool is_unreachable() const { return m_lost.has_value(); }

 private:
  void Decide(TimePoint now);

  StoreOutagePolicy m_policy;
  std::optional<TimePoint> m_lost;
  /// Whether the store was away for all since `m_lost`; nullopt until the first
  /// answer.
  std::optional<bool> m_was_outage;
  /// Time of the latest report of newer changes by a peer since the connection
  /// was lost.
  std::optional<TimePoint> m_peers_ahead_at;
};

}  // namespace filbertrack

#pragma once

/// Tells an outage of the store from a host that alone did not reach it.
///
/// Registrations lapse while the store is away, also those of servers that
/// live, so after an outage a registration that is missing is kept for a while.
/// A host that was cut off alone must not do so, nor tell its peers: a server
/// that leaves without a word just then would be sent requests after it ended.

#include <optional>

#include "filbertrack/base_time.h"

namespace filbertrack {

struct StoreOutagePolicy {
  /// What the store told a peer just before an outage arrives within this time:
  /// some rounds of questions between peers.
  Duration propagation_time = Milliseconds(1000);
};

class StoreOutageDetector {
 public:
  explicit StoreOutageDetector(StoreOutagePolicy policy = {})
      : m_policy(policy) {}

  /// This host reaches the store no longer.
  void OnLost(TimePoint now);

  /// Peers told of changes in the store that were not known here.
  void OnPeersAhead(TimePoint now);

  /// This host reaches the store again. Whether it was away for all, as far as
  /// peers have shown. The first host that returns after an outage has heard of
  /// nothing newer than what was under way when it began.
  bool OnReturned(TimePoint now);

  bool is_unreachable() const { return m_lost.has_value(); }

 private:
  StoreOutagePolicy m_policy;
  std::optional<TimePoint> m_lost;
  /// Latest change that a peer told of since.
  std::optional<TimePoint> m_peers_ahead_at;
};

}  // namespace filbertrack

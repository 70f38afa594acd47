#pragma once

/// Limits requests for large data, such as the configuration, to one peer at a
/// time. If all peers with newer data were asked at once, each would send the
/// same data and saturate the link of a small host.

#include <optional>
#include <string>
#include <string_view>

#include "filbertrack/base_time.h"

namespace filbertrack {

class GossipFetch {
 public:
  /// After `timeout` without a reply another peer may be asked. After a reply
  /// no request is sent for `min_gap`, so that several changes are fetched at
  /// once.
  GossipFetch(Duration timeout, Duration min_gap)
      : m_timeout(timeout), m_min_gap(min_gap) {}

  /// Returns whether a request may be sent now.
  bool MayBegin(TimePoint now) const;
  void Begin(std::string_view peer, TimePoint now);
  /// Reports that `peer` replied or that its request failed. Ignored unless the
  /// fetch in flight is from `peer`.
  void End(std::string_view peer, TimePoint now);

  bool IsFrom(std::string_view peer) const { return m_peer == peer; }

 private:
  Duration m_timeout;
  Duration m_min_gap;
  /// Peer of the fetch in flight; empty if there is none.
  std::string m_peer;
  TimePoint m_start;
  std::optional<TimePoint> m_end;
};

}  // namespace filbertrack

#pragma once

/// Which peer is asked for something large: one at a time. Were every peer that
/// knows more asked at once, each would send the same, and fill the link of a
/// small host.

#include <optional>
#include <string>
#include <string_view>

#include "filbertrack/base_time.h"

namespace filbertrack {

class GossipFetch {
 public:
  /// A peer that has not answered after `patience` is given up for another;
  /// after an answer the next question waits for `spacing`, in which changes
  /// gather.
  GossipFetch(Duration timeout, Duration min_gap)
      : m_timeout(timeout), m_min_gap(min_gap) {}

  bool MayBegin(TimePoint now) const;
  void Begin(std::string_view peer, TimePoint now);
  /// The peer answered, or is known not to answer.
  void End(std::string_view peer, TimePoint now);

  bool IsFrom(std::string_view peer) const { return m_peer == peer; }

 private:
  Duration m_timeout;
  Duration m_min_gap;
  /// Empty: none is asked.
  std::string m_peer;
  TimePoint m_start;
  std::optional<TimePoint> m_end;
};

}  // namespace filbertrack

#pragma once

/// Which peer is asked for something large: one at a time. Were every peer that
/// knows more asked at once, each would send the same, and fill the link of a
/// small host.

#include <optional>
#include <string>
#include <string_view>

#include "filbertrack/base_time.h"

namespace filbertrack {

class NewsFetch {
 public:
  /// A peer that has not answered after `patience` is given up for another;
  /// after an answer the next question waits for `spacing`, in which changes
  /// gather.
  NewsFetch(Duration patience, Duration spacing)
      : m_patience(patience), m_spacing(spacing) {}

  bool MayBegin(TimePoint now) const;
  void Begin(std::string_view peer, TimePoint now);
  /// The peer answered, or is known not to answer.
  void End(std::string_view peer, TimePoint now);

  bool IsFrom(std::string_view peer) const { return m_peer == peer; }

 private:
  Duration m_patience;
  Duration m_spacing;
  /// Empty: none is asked.
  std::string m_peer;
  TimePoint m_began;
  std::optional<TimePoint> m_ended;
};

}  // namespace filbertrack

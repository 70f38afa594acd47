#pragma once

/// Tells when a host's view of the site may be outdated because its process did
/// not run. Requests that waited in sockets meanwhile could be sent to servers
/// that left long ago, and be admitted by a configuration that is no longer in
/// force, before the process reads what has changed.

#include <optional>

#include "filbertrack/base_time.h"

namespace filbertrack {

struct ViewGuardPolicy {
  /// A process that did not run for longer may have missed changes. Longer than
  /// the interval of OnTick().
  Duration max_pause = Milliseconds(500);
  /// Time for peers to confirm the view. After it the view is used all the
  /// same, as the host may be cut off from them.
  Duration max_wait = Milliseconds(200);
};

class ViewGuard {
 public:
  explicit ViewGuard(ViewGuardPolicy policy = {}) : m_policy(policy) {}

  const ViewGuardPolicy& policy() const { return m_policy; }

  /// Called at regular intervals while the process runs. Before the first call
  /// no view counts as outdated.
  void OnTick(TimePoint now);

  /// Whether the view may be outdated and is not to be used yet.
  bool IsOutdated(TimePoint now);

  /// A peer that was asked at `asked` had nothing newer.
  void OnConfirmed(TimePoint asked);

  /// The view is used although nobody has confirmed it.
  void GiveUp() { m_outdated_since.reset(); }

  /// Since when the view counts as outdated; nullopt if it does not. Does not
  /// take the present time into account.
  std::optional<TimePoint> outdated_since() const { return m_outdated_since; }
  /// Length of the last pause that made the view outdated.
  Duration last_pause() const { return m_last_pause; }

 private:
  void Update(TimePoint now);

  ViewGuardPolicy m_policy;
  std::optional<TimePoint> m_ticked_at;
  std::optional<TimePoint> m_outdated_since;
  Duration m_last_pause{0};
};

}  // namespace filbertrack

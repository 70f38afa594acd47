#pragma once

/// Defers requests while a ViewGuard tells that this host's view of the site
/// may be outdated, until a peer has confirmed it.

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "filbertrack/event_loop.h"
#include "filbertrack/site_view_guard.h"

namespace filbertrack {

class EntryView {
 public:
  explicit EntryView(EventLoop& loop) : m_loop(loop) {}

  /// Sets the callback that asks peers to confirm the view.
  void OnNeedsConfirmation(std::function<void()> ask) {
    m_ask = std::move(ask);
  }

  /// As ViewGuard::OnTick().
  void Tick(TimePoint now);

  bool IsOutdated(TimePoint now);

  /// If the view is outdated, keeps `action` until it is confirmed or
  /// ViewGuardPolicy::max_wait has passed, and returns true.
  bool DeferIfOutdated(TimePoint now, std::function<void()> action);

  /// A peer that was asked at `asked` had nothing newer.
  void OnConfirmed(TimePoint asked);

  /// Number of actions that are kept.
  size_t deferred() const { return m_deferred.size(); }

 private:
  /// Asks peers if the guard has just found the view outdated.
  void HandleNewPause();
  void Release(bool is_confirmed);

  EventLoop& m_loop;
  ViewGuard m_guard;
  std::function<void()> m_ask;
  /// The start of the state for which peers were asked.
  std::optional<TimePoint> m_asked_for;
  std::vector<std::function<void()>> m_deferred;
  std::unique_ptr<Timer> m_timer;
};

}  // namespace filbertrack

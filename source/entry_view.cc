#include "filbertrack/entry_view.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "filbertrack/log.h"

namespace filbertrack {

void EntryView::Tick(TimePoint now) {
  m_guard.OnTick(now);
  HandleNewPause();
}

bool EntryView::IsOutdated(TimePoint now) {
  m_guard.IsOutdated(now);
  HandleNewPause();
  // The callback may have confirmed the view at once.
  return m_guard.outdated_since().has_value();
}

bool EntryView::DeferIfOutdated(TimePoint now, std::function<void()> action) {
  if (!IsOutdated(now)) {
    return false;
  }
  m_deferred.push_back(std::move(action));
  return true;
}

void EntryView::OnConfirmed(TimePoint asked) {
  const bool was_outdated = m_guard.outdated_since().has_value();
  m_guard.OnConfirmed(asked);
  if (was_outdated && !m_guard.outdated_since()) {
    Release(true);
  }
}

void EntryView::HandleNewPause() {
  const auto since = m_guard.outdated_since();
  if (!since || since == m_asked_for) {
    return;
  }
  m_asked_for = since;
  Log(LogLevel::kInfo, "view-outdated",
      {{"paused_ms", ToMilliseconds(m_guard.last_pause())}});
  m_timer = m_loop.After(m_guard.policy().max_wait, [this] {
    m_guard.GiveUp();
    Release(false);
  });
  if (m_ask) {
    m_ask();
  }
}

void EntryView::Release(bool is_confirmed) {
  m_timer.reset();
  Log(LogLevel::kInfo, "view-released",
      {{"confirmed", is_confirmed}, {"requests", m_deferred.size()}});
  // An action may find the view outdated again and be deferred anew.
  for (const auto& action : std::exchange(m_deferred, {})) {
    action();
  }
}

}  // namespace filbertrack

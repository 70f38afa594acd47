#include "filbertrack/reach_monitor.h"

#include <algorithm>

namespace filbertrack {

void ReachMonitor::OnBytes(TimePoint now) {
  if (m_requests > 0) {
    const TimePoint since = std::max(m_last_bytes, m_waiting_since);
    const double gap_s = ToSeconds(std::max(Duration(0), now - since));
    m_gap_s += m_policy.gap_weight * (gap_s - m_gap_s);
  }
  m_last_bytes = now;
}

void ReachMonitor::OnFailure(std::string_view server, TimePoint now) {
  std::erase_if(m_failures, [this, now](const auto& row) {
    return now - row.second > m_policy.failure_window;
  });
  m_failures.insert_or_assign(std::string(server), now);
}

void ReachMonitor::SetRequests(size_t requests, TimePoint now) {
  if (m_requests == 0 && requests > 0) {
    m_waiting_since = now;
  }
  m_requests = requests;
}

bool ReachMonitor::IsSilent(TimePoint now) const {
  const Duration silence = now - std::max(m_last_bytes, m_waiting_since);
  return m_requests > 0 &&
         silence > std::max(m_policy.min_silence,
                            FromSeconds(m_policy.silence_gaps * m_gap_s));
}

bool ReachMonitor::IsCheckDue(TimePoint now) const {
  if (m_checking) {
    return false;
  }
  const Duration pause = now - m_check_ended;
  if (!m_reachable) {
    return pause >= m_policy.recheck_pause;
  }
  const auto failed = static_cast<size_t>(std::count_if(
      m_failures.begin(), m_failures.end(), [this, now](const auto& row) {
        return now - row.second <= m_policy.failure_window;
      }));
  const Duration failure_pause = failed >= m_policy.min_failed_servers
                                     ? m_policy.strong_pause
                                     : m_policy.weak_pause;
  const Duration silence_pause = m_requests >= m_policy.min_silent_requests
                                     ? m_policy.silence_pause
                                     : m_policy.weak_silence_pause;
  return (failed > 0 && pause >= failure_pause) ||
         (IsSilent(now) && pause >= silence_pause);
}

void ReachMonitor::BeginCheck(TimePoint now) {
  m_checking = true;
  m_check_began = now;
  m_failures.clear();
}

bool ReachMonitor::EndCheck(const ReachCheck& check, TimePoint now) {
  m_checking = false;
  m_check_ended = now;
  const bool late = check.took > m_policy.probe_timeout + m_policy.max_lateness;
  if (check.probed == 0 || (late && check.failed > 0)) {
    return false;
  }
  const double failed =
      static_cast<double>(check.failed) / static_cast<double>(check.probed);
  const bool before = m_reachable;
  m_all_failed = check.failed == check.probed;
  if (m_reachable && failed > m_policy.max_failed) {
    m_reachable = false;
    m_unreachable_since = m_check_began;
  } else if (!m_reachable && failed <= m_policy.max_failed_to_recover) {
    m_reachable = true;
  }
  return m_reachable != before;
}

}  // namespace filbertrack

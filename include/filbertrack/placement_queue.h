#pragma once

/// The asks of a pool that wait for a place. The order is by priority and
/// within a priority by workspaces in turn (FairQueue).

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "filbertrack/admission_queue.h"
#include "filbertrack/placement_message.h"

namespace filbertrack {

struct WaitingAsk {
  std::string asker;
  PlacementAsk ask;
  std::set<std::string, std::less<>> excluded;
  TimePoint arrived;
  /// When it must be sent to be in time.
  TimePoint latest_start;
  /// Predicted time to first event when it began to wait.
  Duration predicted{0};
};

class PlacementQueue {
 public:
  explicit PlacementQueue(size_t max_waiting)
      : m_max_waiting(max_waiting), m_order(max_waiting) {}

  bool empty() const { return m_waiting.empty(); }
  size_t size() const { return m_waiting.size(); }
  bool full() const { return m_waiting.size() >= m_max_waiting; }
  /// An ask of this or a more urgent priority waits.
  bool HasAsUrgent(int priority) const;
  std::map<int, size_t> CountByPriority() const;
  size_t Count(int priority) const;

  /// Number of asks that would be served before a new one of `workspace`.
  size_t CountAhead(int priority, std::string_view workspace) const;
  /// Number of asks before a waiting one, itself included.
  int Position(uint64_t ticket) const;

  /// Returns the ticket of the ask. The queue must not be full.
  uint64_t Push(WaitingAsk waiting, TimePoint now);
  WaitingAsk Take(uint64_t ticket, TimePoint now);
  const WaitingAsk& Get(uint64_t ticket) const { return m_waiting.at(ticket); }

  /// The next ask to serve; nullopt if the queue is empty.
  std::optional<uint64_t> Head();
  /// The longest waiting ask of the lowest priority.
  std::optional<uint64_t> LongestOfLowest() const;
  /// The ask to refuse first: of the lowest priority, of the workspace that has
  /// the most there, the latest.
  std::optional<uint64_t> LeastUrgent() const;
  /// LeastUrgent() if it must make way for a new ask, that is, if it is less
  /// urgent or its workspace has more asks waiting.
  std::optional<uint64_t> FindVictim(int priority,
                                     std::string_view workspace) const;
  /// An ask that can no longer be in time.
  std::optional<uint64_t> FindExpired(TimePoint now) const;
  std::optional<TimePoint> NextExpiry() const;
  std::optional<uint64_t> Find(std::string_view asker, uint64_t id) const;
  std::vector<uint64_t> FindAll(std::string_view asker) const;
  std::vector<uint64_t> All() const;

 private:
  /// The asks of one priority. Tickets ascend in order of arrival.
  struct Level {
    std::set<uint64_t> tickets;
    std::map<std::string, std::set<uint64_t>, std::less<>> by_workspace;
  };

  size_t m_max_waiting;
  uint64_t m_last_ticket = 0;
  FairQueue m_order;
  std::map<uint64_t, WaitingAsk> m_waiting;
  std::map<int, Level> m_levels;
  std::set<std::pair<TimePoint, uint64_t>> m_expiries;
};

}  // namespace filbertrack

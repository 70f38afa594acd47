#pragma once

/// Requests that wait for room at a service, in a fair order: by priority, then
/// by start-time fair queueing over workspaces, so that a large workspace's
/// backlog does not stand before a small one's next request. A request that
/// cannot be served before its deadline is given up at once.

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "filbertrack/base_time.h"

namespace filbertrack {

struct QueuedRequest {
  uint64_t id = 0;
  std::string workspace;
  int priority = 0;
  /// Entitled share; the workspace's requests advance its time by one over it.
  double weight = 1;
  TimePoint deadline;
};

class FairQueue {
 public:
  explicit FairQueue(size_t max_waiting) : m_max_waiting(max_waiting) {}

  /// False where the queue is full or the estimated wait passes the deadline.
  bool Push(QueuedRequest request, TimePoint now);

  /// The request that Pop() would give; null where none waits.
  const QueuedRequest* Peek();

  /// The next request to serve.
  std::optional<QueuedRequest> Pop(TimePoint now);

  /// Takes out the requests whose deadline leaves no time for `first_token`.
  std::vector<QueuedRequest> TakeUnservable(Duration first_token,
                                            TimePoint now);

  bool Remove(uint64_t id);

  /// How long a request that comes now would wait.
  Duration EstimatedWait() const;

  size_t size() const { return m_size; }

 private:
  struct Flow {
    double last_finish_tag =
        0;  ///< Virtual time at which the lane's last one ends.
    std::deque<QueuedRequest> waiting;
    std::deque<double> start_tags;
  };
  using Flows = std::map<std::string, Flow, std::less<>>;

  Flow* NextFlow();

  size_t m_max_waiting;
  size_t m_size = 0;
  double m_virtual_time = 0;
  /// Smoothed time between two requests leaving the queue.
  Duration m_pop_interval{0};
  std::optional<TimePoint> m_last_pop;
  std::map<int, Flows> m_priorities;
};

}  // namespace filbertrack

#pragma once

/// Queues requests that wait for capacity at a service. They are served by
/// priority, lower values first, and within a priority by start-time fair
/// queueing over workspaces, so that the backlog of a large workspace does not
/// delay the next request of a small one. A request that cannot be served
/// before its deadline is rejected at once.

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
  /// Entitled rate of the workspace. Each request advances the virtual finish
  /// time of its workspace by 1 / weight.
  double weight = 1;
  TimePoint deadline;
};

class FairQueue {
 public:
  explicit FairQueue(size_t max_waiting) : m_max_waiting(max_waiting) {}

  /// Returns false if the queue is full or the estimated wait exceeds the
  /// deadline.
  bool Push(QueuedRequest request, TimePoint now);

  /// The request that Pop() would return; null if the queue is empty.
  const QueuedRequest* Peek();

  /// Removes the next request to serve; nullopt if the queue is empty.
  std::optional<QueuedRequest> Pop(TimePoint now);

  /// Removes and returns the requests that would miss their deadline even if
  /// served now, with a time to first token of `first_token`.
  std::vector<QueuedRequest> TakeUnservable(Duration first_token,
                                            TimePoint now);

  /// Returns false if no request with this id is queued.
  bool Remove(uint64_t id);

  /// Estimated wait of a request that arrives now: the smoothed interval
  /// between pops times the number of queued requests.
  Duration EstimatedWait() const;

  size_t size() const { return m_size; }

 private:
  /// The queue of one workspace at one priority.
  struct Flow {
    /// Virtual time at which the last request pushed would be finished.
    double last_finish_tag = 0;
    std::deque<QueuedRequest> waiting;
    /// Virtual start times of the requests in `waiting`.
    std::deque<double> start_tags;
  };
  using Flows = std::map<std::string, Flow, std::less<>>;

  Flow* NextFlow();

  size_t m_max_waiting;
  size_t m_size = 0;
  double m_virtual_time = 0;
  /// Smoothed time between two calls of Pop() that returned a request.
  Duration m_pop_interval{0};
  std::optional<TimePoint> m_last_pop;
  std::map<int, Flows> m_priorities;
};

}  // namespace filbertrack

#pragma once

/// Queue of orders to send, in batches of one per iteration of the event loop.
///
/// The first planning pass produces an order for every host of the fleet.
/// Sending 3,000 orders in one iteration blocked the loop of a host with half a
/// processor for over two seconds. The host could not renew its lease, and all
/// its orders became void under the next one. Between batches the loop handles
/// responses and renews the lease.

#include <deque>
#include <string>
#include <vector>

#include "filbertrack/replica_plan.h"

namespace filbertrack {

struct QueuedOrder {
  std::string host;
  ReplicaOrder order;
};

class EntryOutbox {
 public:
  /// Maximum number of orders in a batch. A larger one would delay responses to
  /// callers by more than a few milliseconds on a slow host. A repair needs
  /// fewer orders than this.
  static constexpr size_t kMaxInBatch = 32;

  void Push(std::string host, const ReplicaOrder& order) {
    m_orders.push_back({std::move(host), order});
  }

  /// Removes and returns the next batch, first in, first out.
  std::vector<QueuedOrder> TakeBatch();

  /// Whether no orders are queued. Planning must wait until then, because hosts
  /// whose orders are still queued would look free to the planner.
  bool empty() const { return m_orders.empty(); }
  void Clear() { m_orders.clear(); }

 private:
  std::deque<QueuedOrder> m_orders;
};

}  // namespace filbertrack

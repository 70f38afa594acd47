#pragma once

/// Orders that wait to be sent, a batch a turn of the loop.
///
/// The first pass over a fleet orders every host at once. Sent in one turn,
/// 3,000 orders kept the loop of a host with half a processor busy for over two
/// seconds: it could not renew its lease, and all that it had ordered was void
/// under the next one. Between batches the loop reads answers and renews.

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
  /// A batch of more than this would delay the answers to callers on a slow
  /// host by more than some milliseconds; a repair takes fewer orders.
  static constexpr size_t kMaxInBatch = 32;

  void Push(std::string host, const ReplicaOrder& order) {
    m_orders.push_back({std::move(host), order});
  }

  /// The next orders, in the order in which they were given.
  std::vector<QueuedOrder> TakeBatch();

  /// While orders wait, no further ones are planned: hosts that were not told
  /// yet would look free.
  bool empty() const { return m_orders.empty(); }
  void Clear() { m_orders.clear(); }

 private:
  std::deque<QueuedOrder> m_orders;
};

}  // namespace filbertrack

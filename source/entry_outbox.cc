#include "filbertrack/entry_outbox.h"

#include <algorithm>
#include <iterator>

namespace filbertrack {

std::vector<QueuedOrder> EntryOutbox::TakeBatch() {
  const auto count =
      static_cast<std::ptrdiff_t>(std::min(kMaxInBatch, m_orders.size()));
  const auto end = m_orders.begin() + count;
  std::vector<QueuedOrder> batch(std::make_move_iterator(m_orders.begin()),
                                 std::make_move_iterator(end));
  m_orders.erase(m_orders.begin(), end);
  return batch;
}

}  // namespace filbertrack

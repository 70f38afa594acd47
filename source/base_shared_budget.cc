#include "filbertrack/base_shared_budget.h"

namespace filbertrack {

bool SharedBudget::Add(size_t held, size_t bytes) {
  const bool is_new = held == 0 && bytes > 0;
  const size_t count = m_count + (is_new ? 1 : 0);
  const bool is_full = m_bytes + bytes > m_max_bytes;
  if (is_full && count > 0 && held + bytes > m_max_bytes / count) {
    return false;
  }
  m_count = count;
  m_bytes += bytes;
  return true;
}

void SharedBudget::Remove(size_t held) {
  if (held > 0) {
    m_bytes -= held;
    --m_count;
  }
}

}  // namespace filbertrack

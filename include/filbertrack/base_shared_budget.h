#pragma once

/// Bounds the memory of messages that are collected before they are passed on:
/// responses of backend servers, and bodies of requests.
///
/// Each message has a limit of its own, but their sum over all connections
/// exceeded the memory of the process.

#include <cstddef>

namespace filbertrack {

class SharedBudget {
 public:
  /// At `max_bytes` in all, messages that hold more than an equal share are
  /// refused further bytes. The sum stays below twice that.
  explicit SharedBudget(size_t max_bytes) : m_max_bytes(max_bytes) {}

  void SetMax(size_t max_bytes) { m_max_bytes = max_bytes; }

  /// A message that holds `held` bytes receives `bytes` more. Returns whether
  /// it may keep them; if not, it is to be given up.
  bool Add(size_t held, size_t bytes);

  /// A message that held `held` bytes was passed on or given up.
  void Remove(size_t held);

  size_t bytes() const { return m_bytes; }

 private:
  size_t m_max_bytes;
  size_t m_bytes = 0;
  /// Number of messages that hold any bytes.
  size_t m_count = 0;
};

}  // namespace filbertrack

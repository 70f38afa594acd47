#pragma once

/// Bytes of an answer that wait for one caller.

#include <cstddef>
#include <cstdint>

#include "filbertrack/base_time.h"

namespace filbertrack {

struct HeldAnswer {
  /// Names the caller's connection.
  uint64_t connection = 0;
  size_t bytes = 0;
  /// No byte was taken for so long.
  Duration unread{0};
};

}  // namespace filbertrack

#pragma once

/// The unsent part of a response to a caller that reads slowly.

#include <cstddef>
#include <cstdint>

#include "filbertrack/base_time.h"

namespace filbertrack {

struct HeldAnswer {
  /// Identifies the caller's connection, as HttpServer::Drop() takes it.
  uint64_t connection = 0;
  /// Bytes written by the server and not yet accepted by the operating system.
  size_t bytes = 0;
  /// Time since the operating system last accepted a byte for this connection.
  Duration unread{0};
};

}  // namespace filbertrack

#pragma once

/// Runs an event loop until a condition holds, for tests with sockets.

#include <event2/event.h>

#include "filbertrack/event_loop.h"

namespace filbertrack {

/// Timeout after which a wait ends even if its condition does not hold.
inline constexpr Duration kTestTimeout = Seconds(30);

/// Runs the loop until `done()` returns true. False if it timed out.
template <typename Done>
bool RunUntil(EventLoop& loop, Done done) {
  bool has_timed_out = false;
  const auto timeout =
      loop.After(kTestTimeout, [&has_timed_out] { has_timed_out = true; });
  while (!done() && !has_timed_out) {
    event_base_loop(loop.base(), EVLOOP_ONCE);
  }
  return !has_timed_out;
}

}  // namespace filbertrack

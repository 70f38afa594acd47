#pragma once

/// Runs a loop until something holds, for tests that wait for sockets.

#include <event2/event.h>

#include "filbertrack/event_loop.h"

namespace filbertrack {

/// Ends a test that waits for something that never comes.
inline constexpr Duration kTestTimeout = Seconds(30);

/// False where the limit came first.
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

#pragma once

/// Runs a loop until something holds, for tests that wait for sockets.

#include <event2/event.h>

#include "filbertrack/event_loop.h"

namespace filbertrack {

/// Ends a test that waits for something that never comes.
inline constexpr Duration kTestLimit = Seconds(30);

/// False where the limit came first.
template <typename Done>
bool RunUntil(EventLoop& loop, Done done) {
  bool late = false;
  const auto limit = loop.After(kTestLimit, [&late] { late = true; });
  while (!done() && !late) {
    event_base_loop(loop.base(), EVLOOP_ONCE);
  }
  return !late;
}

}  // namespace filbertrack

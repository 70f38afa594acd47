#include <doctest/doctest.h>

#include <ctime>

#include <sys/syscall.h>
#include <unistd.h>

#include "filbertrack/event_loop.h"

/// A suspension of the host, played by moving the clock that counts it.

namespace {

/// How long the host has been suspended, in seconds.
time_t g_suspended_seconds = 0;

}  // namespace

// Stands in for the C library's function in this program.
extern "C" int clock_gettime(clockid_t clock, timespec* time) noexcept {
  const auto result = static_cast<int>(syscall(SYS_clock_gettime, clock, time));
  if (result == 0 && clock == CLOCK_BOOTTIME) {
    time->tv_sec += g_suspended_seconds;
  }
  return result;
}

namespace filbertrack {
namespace {

TEST_CASE("a suspension of the host counts as time that passed") {
  // A holder of the lease is suspended for ten seconds while another host takes
  // the lease over. Were those seconds not counted, it would go on to give
  // orders under the old lease when it wakes, and a host that obeys them could
  // be in two groups.
  const TimePoint before = MonotonicNow();
  g_suspended_seconds = 10;
  const Duration passed = MonotonicNow() - before;
  g_suspended_seconds = 0;
  CHECK(passed >= Seconds(10));
}

}  // namespace
}  // namespace filbertrack

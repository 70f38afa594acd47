#include <doctest/doctest.h>

#include <ctime>

#include <sys/syscall.h>
#include <unistd.h>

#include "filbertrack/event_loop.h"

/// Simulates a suspension of the host by advancing CLOCK_BOOTTIME.

namespace {

/// Simulated time of suspension, in seconds.
time_t g_suspended_seconds = 0;

}  // namespace

// Replaces the C library's function in this program.
extern "C" int clock_gettime(clockid_t clock, timespec* time) noexcept {
  const auto result = static_cast<int>(syscall(SYS_clock_gettime, clock, time));
  if (result == 0 && clock == CLOCK_BOOTTIME) {
    time->tv_sec += g_suspended_seconds;
  }
  return result;
}

namespace filbertrack {
namespace {

TEST_CASE("MonotonicNow() includes time during which the host was suspended") {
  // Guards against a lease holder that acts on an expired lease: it is
  // suspended for 10 s while another host acquires the lease. If the clock
  // stood still, it would continue to issue orders after it resumes, and a host
  // that follows them could become a member of two groups.
  const TimePoint before = MonotonicNow();
  g_suspended_seconds = 10;
  const Duration passed = MonotonicNow() - before;
  g_suspended_seconds = 0;
  CHECK(passed >= Seconds(10));
}

}  // namespace
}  // namespace filbertrack

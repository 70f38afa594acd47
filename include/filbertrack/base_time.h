#pragma once

/// Time types. A decision never reads a clock: the present time is one of its
/// arguments, taken by the event loop's adapter from the monotonic clock.

#include <chrono>
#include <cstdint>

namespace filbertrack {

using Duration = std::chrono::microseconds;

/// A reading of this process's monotonic clock, suspensions of the host
/// included. It means nothing in another process: only durations (ages) travel
/// between processes.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

constexpr Duration Milliseconds(int64_t count) {
  return std::chrono::milliseconds(count);
}

constexpr Duration Seconds(int64_t count) {
  return std::chrono::seconds(count);
}

constexpr double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

constexpr Duration FromSeconds(double seconds) {
  return Duration(static_cast<int64_t>(seconds * 1e6));
}

constexpr Duration Scale(Duration duration, double factor) {
  return Duration(
      static_cast<int64_t>(static_cast<double>(duration.count()) * factor));
}

constexpr int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace filbertrack

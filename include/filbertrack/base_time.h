#pragma once

/// Time types. Decision code does not read a clock: it takes the current time
/// as an argument, which the event loop's adapters read with MonotonicNow().

#include <chrono>
#include <cstdint>

namespace filbertrack {

using Duration = std::chrono::microseconds;

/// A time on this process's monotonic clock, which includes time during which
/// the host was suspended. Meaningless in other processes: messages between
/// processes carry durations (ages) instead.
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

#pragma once

/// Logging as JSON lines, through Boost.Log. With LogTarget::kStandardOutput,
/// logging never blocks: lines are held in a bounded buffer, each event has a
/// rate limit, and lines over it are counted and reported as `lines-dropped`.

#include <functional>
#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

namespace filbertrack {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

enum class LogTarget {
  /// Writes each line immediately, to standard error.
  kStandardError,
  /// Buffers lines for standard output; FlushLog() writes them.
  kStandardOutput,
};

/// Sets the program and node name included in every line, and the lowest level
/// that is written; an unknown `lowest_level` counts as "error".
void InitLog(const std::string& program,
             const std::string& node,
             std::string_view lowest_level,
             LogTarget target = LogTarget::kStandardError);

/// Writes buffered lines as far as standard output accepts them without
/// blocking; schedules another flush if some remain.
void FlushLog();

/// Sets a function that is called when there are lines to flush and no flush is
/// scheduled; it must arrange a call of FlushLog().
void SetLogFlushScheduler(std::function<void()> schedule);

/// Number of lines dropped so far, by the rate limits or because the buffer was
/// full. Lines dropped by a rate limit are added when the next line is written.
uint64_t DroppedLogLines();

/// Whether lines of this level are written. Use it to skip work on fields that
/// are expensive to build.
bool IsLogged(LogLevel level);

/// Writes one line: wall-clock time, level, program, node, event, the host's
/// monotonic time in microseconds, and `fields`. Never pass a caller's key or a
/// request or response body in `fields`.
void Log(LogLevel level, std::string_view event, const nlohmann::json& fields);

}  // namespace filbertrack

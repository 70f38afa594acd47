#pragma once

/// Logs as JSON lines, through Boost.Log. Writing never blocks: lines wait in
/// a bounded buffer, each kind of line has a rate, and what is dropped is
/// counted and said in a line of its own.

#include <functional>
#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

namespace filbertrack {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

enum class LogTarget {
  /// Each line at once, on standard error.
  kStandardError,
  /// Gathered, on standard output; FlushLog() writes what has gathered.
  kStandardOutput,
};

/// Sets what every line of this process carries and the lowest level written.
void InitLog(const std::string& program,
             const std::string& node,
             std::string_view lowest_level,
             LogTarget target = LogTarget::kStandardError);

/// Writes gathered lines as far as standard output takes them now.
void FlushLog();

/// `schedule` is called when lines begin to gather; it sees to it that
/// FlushLog() is called soon.
void SetLogFlushScheduler(std::function<void()> schedule);

/// Lines dropped so far: over the rate of their kind, or with a full buffer.
uint64_t DroppedLogLines();

/// Whether lines of this level are written; for lines that cost work to make.
bool IsLogged(LogLevel level);

/// Writes one line: wall time, level, program, node, event, the host's
/// monotonic time in microseconds, and `fields`. Never
/// pass a caller's key or a body in `fields`.
void Log(LogLevel level, std::string_view event, const nlohmann::json& fields);

}  // namespace filbertrack

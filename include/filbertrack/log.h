#pragma once

/// Logs as JSON lines on standard error, through Boost.Log.

#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

namespace filbertrack {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// Sets what every line of this process carries and the lowest level written.
void InitLog(const std::string& program,
             const std::string& node,
             std::string_view lowest_level);

/// Whether lines of this level are written; for lines that cost work to make.
bool IsLogged(LogLevel level);

/// Writes one line: wall time, level, program, node, event, the host's
/// monotonic time in microseconds, and `fields`. Never
/// pass a caller's key or a body in `fields`.
void Log(LogLevel level, std::string_view event, const nlohmann::json& fields);

}  // namespace filbertrack

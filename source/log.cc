#include "filbertrack/log.h"

#include <chrono>
#include <iostream>

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <nlohmann/json.hpp>

namespace filbertrack {

namespace {

namespace logging = boost::log;

BOOST_LOG_ATTRIBUTE_KEYWORD(severity, "Severity", LogLevel)

struct LogState {
  std::string program;
  std::string node;
  LogLevel lowest = LogLevel::kInfo;
  logging::sources::severity_logger<LogLevel> logger;
};

LogState& State() {
  static LogState state;
  return state;
}

std::string_view LevelName(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "error";
}

LogLevel ParseLevel(std::string_view name) {
  for (const LogLevel level :
       {LogLevel::kDebug, LogLevel::kInfo, LogLevel::kWarning}) {
    if (LevelName(level) == name) {
      return level;
    }
  }
  return LogLevel::kError;
}

}  // namespace

void InitLog(const std::string& program,
             const std::string& node,
             std::string_view lowest_level) {
  State().program = program;
  State().node = node;
  logging::add_console_log(
      std::clog,
      logging::keywords::format = logging::expressions::stream
                                  << logging::expressions::smessage,
      logging::keywords::auto_flush = true);
  State().lowest = ParseLevel(lowest_level);
  logging::core::get()->set_filter(severity >= State().lowest);
}

bool IsLogged(LogLevel level) {
  return level >= State().lowest;
}

void Log(LogLevel level, std::string_view event, const nlohmann::json& fields) {
  logging::record record =
      State().logger.open_record(logging::keywords::severity = level);
  if (!record) {
    return;
  }
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  nlohmann::json line = {
      {"time_ms",
       std::chrono::duration_cast<std::chrono::milliseconds>(wall).count()},
      {"level", LevelName(level)},
      {"program", State().program},
      {"node", State().node},
      {"event", event},
      {"at_us", std::chrono::duration_cast<std::chrono::microseconds>(
                    std::chrono::steady_clock::now().time_since_epoch())
                    .count()}};
  line.update(fields);
  logging::record_ostream stream(record);
  stream << line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  stream.flush();
  State().logger.push_record(std::move(record));
}

}  // namespace filbertrack

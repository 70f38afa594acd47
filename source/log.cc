#include "filbertrack/log.h"

#include <unistd.h>

#include <functional>
#include <iostream>
#include <sstream>

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <nlohmann/json.hpp>

#include "filbertrack/event_loop.h"
#include "filbertrack/log_buffer.h"

namespace filbertrack {

namespace {

namespace logging = boost::log;

BOOST_LOG_ATTRIBUTE_KEYWORD(severity, "Severity", LogLevel)

/// Maximum bytes buffered for standard output: a few seconds of log lines of a
/// busy host.
constexpr size_t kMaxBufferedBytes = 512 * 1024;

/// Passes each line that Boost.Log formats to a LogBuffer.
class LogBufferStream : public std::stringbuf {
 public:
  explicit LogBufferStream(LogBuffer& buffer) : m_buffer(buffer) {}

 protected:
  int sync() override {
    std::string text = str();
    str("");
    if (!text.empty() && text.back() == '\n') {
      text.pop_back();
    }
    m_buffer.Add(text);
    return 0;
  }

 private:
  LogBuffer& m_buffer;
};

struct LogState {
  std::string program;
  std::string node;
  LogLevel min_level = LogLevel::kInfo;
  logging::sources::severity_logger<LogLevel> logger;
  LogBuffer buffer{STDOUT_FILENO, kMaxBufferedBytes};
  LogBufferStream lines{buffer};
  std::ostream buffered_output{&lines};
  bool buffered = false;
  std::function<void()> schedule_flush;
  bool flush_scheduled = false;
  LogLimiter limiter{LogRate{}};
  uint64_t dropped = 0;
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
             std::string_view lowest_level,
             LogTarget target) {
  State().program = program;
  State().node = node;
  State().buffered = target == LogTarget::kStandardOutput;
  logging::add_console_log(
      State().buffered ? State().buffered_output : std::clog,
      logging::keywords::format = logging::expressions::stream
                                  << logging::expressions::smessage,
      logging::keywords::auto_flush = true);
  State().min_level = ParseLevel(lowest_level);
  logging::core::get()->set_filter(severity >= State().min_level);
}

void FlushLog() {
  State().flush_scheduled = false;
  State().buffer.Flush();
  if (!State().buffer.empty() && State().schedule_flush) {
    State().flush_scheduled = true;
    State().schedule_flush();
  }
}

void SetLogFlushScheduler(std::function<void()> schedule_flush) {
  State().schedule_flush = std::move(schedule_flush);
}

uint64_t DroppedLogLines() {
  return State().dropped + State().buffer.dropped();
}

bool IsLogged(LogLevel level) {
  return level >= State().min_level;
}

namespace {

void WriteLine(LogLevel level,
               std::string_view event,
               const nlohmann::json& fields) {
  logging::record record =
      State().logger.open_record(logging::keywords::severity = level);
  if (!record) {
    return;
  }
  nlohmann::json line = {{"time_ms", WallTimeMs()},
                         {"level", LevelName(level)},
                         {"program", State().program},
                         {"node", State().node},
                         {"event", event},
                         {"at_us", MonotonicNow().time_since_epoch().count()}};
  line.update(fields);
  logging::record_ostream stream(record);
  stream << line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  stream.flush();
  State().logger.push_record(std::move(record));
}

}  // namespace

void Log(LogLevel level, std::string_view event, const nlohmann::json& fields) {
  LogState& state = State();
  if (state.buffered && !state.limiter.Allow(event, MonotonicNow())) {
    return;
  }
  const uint64_t dropped = state.buffered ? state.limiter.TakeDropped() : 0;
  if (dropped > 0) {
    state.dropped += dropped;
    WriteLine(LogLevel::kWarning, "lines-dropped", {{"count", dropped}});
  }
  WriteLine(level, event, fields);
  if (state.buffered && !state.flush_scheduled && state.schedule_flush) {
    state.flush_scheduled = true;
    state.schedule_flush();
  }
}

}  // namespace filbertrack

#pragma once

/// Buffering and rate limiting of log lines, written to a file descriptor that
/// may be slow, full or closed.

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "filbertrack/base_time.h"

namespace filbertrack {

/// Rate limit per kind of line. Each request writes one line; the limit is ten
/// times the request rate of an entry host and stops floods only.
struct LogRate {
  double lines_per_second = 300;
  double burst = 600;
};

class LogBuffer {
 public:
  LogBuffer(int fd, size_t max_bytes) : m_fd(fd), m_max_bytes(max_bytes) {}

  /// Returns false, and counts the line as dropped, if the buffer is full or
  /// the descriptor is closed.
  bool Add(std::string_view line);

  /// Writes as much as the descriptor accepts without blocking. Once writing
  /// fails, as on a pipe without a reader, the buffer is discarded and all
  /// later lines are dropped.
  void Flush();

  bool empty() const { return m_text.empty(); }
  uint64_t dropped() const { return m_dropped; }

 private:
  int m_fd;
  size_t m_max_bytes;
  std::string m_text;
  uint64_t m_dropped = 0;
  bool m_closed = false;
};

/// Token-bucket rate limiter with one bucket per kind of line.
class LogLimiter {
 public:
  explicit LogLimiter(LogRate rate) : m_rate(rate) {}

  /// Returns false, and counts the line as dropped, if `kind` is over its rate.
  bool Allow(std::string_view kind, TimePoint now);

  /// Number of lines of all kinds dropped since the last call.
  uint64_t TakeDropped();

 private:
  struct Bucket {
    double tokens = 0;
    TimePoint updated;
  };

  LogRate m_rate;
  std::map<std::string, Bucket, std::less<>> m_buckets;
  uint64_t m_dropped = 0;
};

}  // namespace filbertrack

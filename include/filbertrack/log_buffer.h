#pragma once

/// Lines on their way to a file descriptor that may be slow, full or closed.

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "filbertrack/base_time.h"

namespace filbertrack {

/// Lines of one kind a second, and in a burst. A request writes one line: this
/// is ten times what an entry host serves, and a flood stops here.
struct LogRate {
  double lines_per_second = 300;
  double burst = 600;
};

class LogBuffer {
 public:
  LogBuffer(int fd, size_t max_bytes) : m_fd(fd), m_max_bytes(max_bytes) {}

  /// False where the line was dropped: the buffer is full.
  bool Add(std::string_view line);

  /// Writes what the descriptor takes without blocking. A closed one takes
  /// nothing ever again; its lines are dropped.
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

/// Which lines may be written, by kind.
class LogLimiter {
 public:
  explicit LogLimiter(LogRate rate) : m_rate(rate) {}

  bool Allow(std::string_view kind, TimePoint now);

  /// Lines of all kinds that were not allowed since the last call.
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

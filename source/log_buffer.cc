#include "filbertrack/log_buffer.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>
#include <utility>

namespace filbertrack {

bool LogBuffer::Add(std::string_view line) {
  if (m_closed || m_text.size() + line.size() + 1 > m_max_bytes) {
    ++m_dropped;
    return false;
  }
  m_text.append(line).append("\n");
  return true;
}

void LogBuffer::Flush() {
  size_t flushed = 0;
  while (flushed < m_text.size()) {
    pollfd ready{m_fd, POLLOUT, 0};
    if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
      // POLLERR without POLLOUT: the reader has closed the pipe.
      m_closed = (ready.revents & (POLLERR | POLLNVAL)) != 0;
      break;
    }
    // A pipe that polls writable accepts PIPE_BUF bytes without blocking; a
    // larger write could block.
    const size_t size = std::min<size_t>(m_text.size() - flushed, PIPE_BUF);
    const ssize_t written = write(m_fd, m_text.data() + flushed, size);
    if (written <= 0) {
      m_closed = written < 0;
      break;
    }
    flushed += static_cast<size_t>(written);
  }
  m_text.erase(0, flushed);
  if (m_closed) {
    m_text.clear();
  }
}

bool LogLimiter::Allow(std::string_view kind, TimePoint now) {
  auto found = m_buckets.find(kind);
  if (found == m_buckets.end()) {
    found =
        m_buckets.emplace(std::string(kind), Bucket{m_rate.burst, now}).first;
  }
  Bucket& bucket = found->second;
  bucket.tokens =
      std::min(m_rate.burst, bucket.tokens + ToSeconds(now - bucket.updated) *
                                                 m_rate.lines_per_second);
  bucket.updated = now;
  if (bucket.tokens < 1) {
    ++m_dropped;
    return false;
  }
  bucket.tokens -= 1;
  return true;
}

uint64_t LogLimiter::TakeDropped() {
  return std::exchange(m_dropped, 0);
}

}  // namespace filbertrack

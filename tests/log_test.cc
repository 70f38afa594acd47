#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <string>

#include "filbertrack/log_buffer.h"

namespace filbertrack {
namespace {

const TimePoint kStart{Seconds(1000)};

struct Pipe {
  Pipe() {
    REQUIRE(pipe(ends.data()) == 0);
    std::signal(SIGPIPE, SIG_IGN);
  }
  ~Pipe() {
    CloseReader();
    close(ends[1]);
  }
  void CloseReader() {
    if (ends[0] >= 0) {
      close(ends[0]);
      ends[0] = -1;
    }
  }
  std::string Read() {
    std::string text(1 << 20, '\0');
    const ssize_t size = read(ends[0], text.data(), text.size());
    text.resize(size > 0 ? static_cast<size_t>(size) : 0);
    return text;
  }

  std::array<int, 2> ends{};
};

TEST_CASE("lines are written completely and in order") {
  Pipe pipe;
  LogBuffer buffer(pipe.ends[1], 1000);
  CHECK(buffer.Add("one"));
  CHECK(buffer.Add("two"));
  buffer.Flush();
  CHECK(pipe.Read() == "one\ntwo\n");
  CHECK(buffer.empty());
}

TEST_CASE("lines are dropped without blocking while the pipe is full") {
  // A blocking write to a full pipe would stall all requests behind a slow log
  // reader. Further lines must only increment a counter.
  Pipe pipe;
  LogBuffer buffer(pipe.ends[1], 100000);
  const std::string line(1000, 'x');
  for (int i = 0; i < 1000; ++i) {
    buffer.Add(line);
    buffer.Flush();
  }
  CHECK(buffer.dropped() > 0);
  // The buffered lines are written once the pipe is read again.
  const uint64_t dropped = buffer.dropped();
  while (!buffer.empty()) {
    REQUIRE_FALSE(pipe.Read().empty());
    buffer.Flush();
  }
  CHECK(buffer.Add("late"));
  CHECK(buffer.dropped() == dropped);
}

TEST_CASE("a closed pipe drops lines and does not terminate the process") {
  Pipe pipe;
  LogBuffer buffer(pipe.ends[1], 1000);
  pipe.CloseReader();
  buffer.Add("one");
  buffer.Flush();
  buffer.Add("two");
  buffer.Flush();
  CHECK(buffer.empty());
  CHECK(buffer.dropped() == 1);
}

TEST_CASE("each kind of line has a rate limit, and dropped lines are counted") {
  LogLimiter limiter({10, 20});
  int allowed = 0;
  for (int i = 0; i < 100; ++i) {
    allowed += limiter.Allow("flood", kStart) ? 1 : 0;
  }
  CHECK(allowed == 20);
  CHECK(limiter.TakeDropped() == 80);
  CHECK(limiter.TakeDropped() == 0);
  CHECK(limiter.Allow("other", kStart));
  CHECK(limiter.Allow("flood", kStart + Milliseconds(100)));
  CHECK_FALSE(limiter.Allow("flood", kStart + Milliseconds(100)));
}

}  // namespace
}  // namespace filbertrack

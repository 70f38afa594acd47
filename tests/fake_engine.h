#pragma once

/// Simulated inference engine for load replays. The test advances the time.

#include <algorithm>
#include <deque>
#include <vector>

#include "filbertrack/base_time.h"

namespace filbertrack {

/// An engine that behaves as its profile states: prompts are processed in order
/// of arrival, one chunk per pass, and each generating request gets `stride`
/// tokens per pass.
struct FakeEngine {
  struct Request {
    int number;
    TimePoint arrived;
    double prompt_left;
    int answer_left;
    bool began = false;
  };

  /// Runs one pass from `now`. Calls `first` for each first event and `end` for
  /// each completed request. Returns the length of the pass.
  template <typename First, typename End>
  Duration Pass(TimePoint now, First first, End end) {
    while (running.size() < slots && !waiting.empty()) {
      running.push_back(waiting.front());
      waiting.pop_front();
    }
    double chunk = 2048;
    double read = 0;
    int writing = 0;
    for (Request& request : running) {
      if (request.prompt_left > 0) {
        const double part = std::min(chunk, request.prompt_left);
        request.prompt_left -= part;
        chunk -= part;
        read += part;
      }
      writing += request.prompt_left <= 0 ? 1 : 0;
    }
    const double step = step_ms + step_per_request_ms * writing;
    const double ms = pace * ((writing > 0 ? stride * step : 0) +
                              read / prompt_tokens_per_ms);
    const TimePoint done = now + Duration(static_cast<int64_t>(ms * 1000));
    for (Request& request : running) {
      if (request.prompt_left > 0) {
        continue;
      }
      if (!request.began) {
        request.began = true;
        first(request, done);
      }
      request.answer_left -= stride;
      if (request.answer_left <= 0) {
        end(request, done);
      }
    }
    std::erase_if(running, [](const Request& request) {
      return request.prompt_left <= 0 && request.answer_left <= 0;
    });
    return std::max(done - now, Duration(1000));
  }

  /// Number of running and waiting requests.
  size_t size() const { return running.size() + waiting.size(); }

  size_t slots = 17;
  double step_ms = 7.8;
  double step_per_request_ms = 0.095;
  double prompt_tokens_per_ms = 45.9;
  double pace = 0.6;
  /// Tokens that each generating request gets per pass.
  int stride = 5;
  std::deque<Request> waiting;
  std::vector<Request> running;
  TimePoint next;
};

}  // namespace filbertrack

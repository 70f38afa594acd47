#pragma once

/// Decides what happens to responses that callers read slowly or not at all
/// when the bytes buffered for all callers reach the host's limit.
///
/// The design case: thousands of callers that read one byte per second from a
/// host with 112 MB of memory. Each response is small, but their sum is not,
/// and a process that exceeds its memory is killed with every request on it.

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "filbertrack/base_held_answer.h"
#include "filbertrack/base_time.h"

namespace filbertrack {

struct HeldAnswersPolicy {
  /// Limit of the bytes buffered for all callers.
  size_t max_bytes = 64 * 1024 * 1024;
  /// Fraction of `max_bytes` above which responses to callers that do not keep
  /// up are no longer read from the servers.
  double pause_fraction = 0.5;
  /// A response counts as being read if its caller took a byte within this
  /// time.
  Duration read_timeout = Seconds(1);
};

struct HeldAnswersDecision {
  /// Stop reading responses whose callers do not keep up.
  bool pauses = false;
  /// Accept no further requests.
  bool is_full = false;
  /// Connections to close, largest buffers first.
  std::vector<uint64_t> drops;
};

/// Evaluates the buffered responses. `other_bytes` is what is buffered for
/// callers besides responses, such as request bodies. A response that is being
/// read is never dropped.
HeldAnswersDecision EvaluateHeldAnswers(std::span<const HeldAnswer> answers,
                                        size_t other_bytes,
                                        const HeldAnswersPolicy& policy);

}  // namespace filbertrack

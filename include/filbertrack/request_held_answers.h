#pragma once

/// What happens to answers that callers read slowly, or not at all, when the
/// bytes held for all callers reach the host's bound.
///
/// The load that it is made for: thousands of callers that read a byte a second
/// at a host of 112 MB. Each answer is small, all of them together are not, and
/// a process that exceeds its memory takes every request with it.

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "filbertrack/base_held_answer.h"
#include "filbertrack/base_time.h"

namespace filbertrack {

struct HeldAnswersPolicy {
  /// Bound of all bytes held for callers.
  size_t max_bytes = 64 * 1024 * 1024;
  /// From this part of the bound on, nothing more is read from servers for
  /// callers that do not keep up.
  double pause_fraction = 0.5;
  /// An answer counts as read while its caller took a byte within this.
  Duration read_timeout = Seconds(1);
};

struct HeldAnswersDecision {
  /// Answers that wait for their callers are read no further.
  bool pauses = false;
  /// No further request is taken.
  bool is_full = false;
  /// Connections to close, those that hold most first.
  std::vector<uint64_t> drops;
};

/// `other_bytes`: held for callers beside their answers, such as bodies of
/// requests. An answer that is being read is never dropped.
HeldAnswersDecision EvaluateHeldAnswers(std::span<const HeldAnswer> answers,
                                        size_t other_bytes,
                                        const HeldAnswersPolicy& policy);

}  // namespace filbertrack

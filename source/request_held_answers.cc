#include "filbertrack/request_held_answers.h"

#include <algorithm>

namespace filbertrack {

HeldAnswersDecision EvaluateHeldAnswers(std::span<const HeldAnswer> answers,
                                        size_t other_bytes,
                                        const HeldAnswersPolicy& policy) {
  HeldAnswersDecision verdict;
  size_t held = other_bytes;
  std::vector<HeldAnswer> unread;
  for (const HeldAnswer& answer : answers) {
    held += answer.bytes;
    if (answer.unread > policy.read_timeout) {
      unread.push_back(answer);
    }
  }
  verdict.pauses =
      static_cast<double>(held) >
      policy.pause_fraction * static_cast<double>(policy.max_bytes);
  std::sort(unread.begin(), unread.end(),
            [](const HeldAnswer& left, const HeldAnswer& right) {
              return left.bytes > right.bytes;
            });
  for (const HeldAnswer& answer : unread) {
    if (held <= policy.max_bytes) {
      break;
    }
    verdict.drops.push_back(answer.connection);
    held -= answer.bytes;
  }
  verdict.is_full = held > policy.max_bytes;
  return verdict;
}

}  // namespace filbertrack

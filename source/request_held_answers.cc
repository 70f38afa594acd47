#include "filbertrack/request_held_answers.h"

#include <algorithm>

namespace filbertrack {

HeldAnswersVerdict JudgeHeldAnswers(std::span<const HeldAnswer> answers,
                                    size_t other_bytes,
                                    const HeldAnswersPolicy& policy) {
  HeldAnswersVerdict verdict;
  size_t held = other_bytes;
  std::vector<HeldAnswer> unread;
  for (const HeldAnswer& answer : answers) {
    held += answer.bytes;
    if (answer.unread > policy.read_within) {
      unread.push_back(answer);
    }
  }
  verdict.pauses = static_cast<double>(held) >
                   policy.pause_part * static_cast<double>(policy.most_bytes);
  std::sort(unread.begin(), unread.end(),
            [](const HeldAnswer& left, const HeldAnswer& right) {
              return left.bytes > right.bytes;
            });
  for (const HeldAnswer& answer : unread) {
    if (held <= policy.most_bytes) {
      break;
    }
    verdict.drops.push_back(answer.connection);
    held -= answer.bytes;
  }
  verdict.is_full = held > policy.most_bytes;
  return verdict;
}

}  // namespace filbertrack

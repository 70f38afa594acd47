#include "filbertrack/poison_subject.h"

#include <algorithm>

namespace filbertrack {

namespace {

constexpr std::string_view kPartPrefix = "part:";
constexpr size_t kMaxPartDigits = 32;

}  // namespace

bool IsPromptPart(std::string_view text) {
  return !text.empty() && text.size() <= kMaxPartDigits &&
         std::all_of(text.begin(), text.end(), [](char digit) {
           return (digit >= '0' && digit <= '9') ||
                  (digit >= 'a' && digit <= 'f');
         });
}

std::string FormatPoisonSubject(const PoisonSubject& subject) {
  if (subject.is_whole_request()) {
    return subject.digest;
  }
  std::string text;
  for (const PromptPart& part : subject.parts) {
    text.append(text.empty() ? "" : "+").append(kPartPrefix).append(part);
  }
  return text;
}

PoisonSubject ParsePoisonSubject(std::string_view text) {
  if (IsRequestDigest(text)) {
    return {RequestDigest(text), {}};
  }
  PoisonSubject subject;
  while (!text.empty()) {
    const size_t size = std::min(text.find('+'), text.size());
    std::string_view part = text.substr(0, size);
    text.remove_prefix(std::min(size + 1, text.size()));
    const bool has_prefix = part.starts_with(kPartPrefix);
    part.remove_prefix(has_prefix ? kPartPrefix.size() : 0);
    if (!has_prefix || !IsPromptPart(part) ||
        subject.parts.size() >= kMaxPromptParts) {
      return {};
    }
    subject.parts.emplace_back(part);
  }
  std::sort(subject.parts.begin(), subject.parts.end());
  return subject;
}

}  // namespace filbertrack

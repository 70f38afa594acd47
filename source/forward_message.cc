#include "filbertrack/forward_message.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstddef>

#include "filbertrack/base_hash.h"

namespace filbertrack {

namespace {

constexpr std::string_view kVersion = "1";
/// Stands for an absent number.
constexpr std::string_view kNone = "-";
/// Upper bound of times, which keeps sums of them in range.
constexpr int64_t kMaxTimeUs = int64_t{3600} * 1000 * 1000;
constexpr int kMaxAttempts = 1000;

template <size_t kCount>
std::optional<std::array<std::string_view, kCount>> Split(
    std::string_view text) {
  std::array<std::string_view, kCount> fields;
  for (size_t i = 0; i < kCount; ++i) {
    const size_t end = text.find(' ');
    const bool is_last = i + 1 == kCount;
    if ((end == std::string_view::npos) != is_last) {
      return std::nullopt;
    }
    fields[i] = text.substr(0, end);
    text.remove_prefix(is_last ? text.size() : end + 1);
  }
  return fields;
}

template <typename Number>
std::optional<Number> Read(std::string_view text, Number min, Number max) {
  Number number{};
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || stop != end || number < min || number > max) {
    return std::nullopt;
  }
  return number;
}

/// Appends a length before each part, so that no two contents yield the same
/// text.
std::string Mac(std::string_view fields, const ForwardedContent& content) {
  std::string text;
  for (const std::string_view part :
       {fields, content.token, content.method, content.target,
        content.request_id, content.body}) {
    text.append(std::to_string(part.size())).append(":").append(part);
  }
  return Sha256Hex(HmacSha256(content.secret, text));
}

tl::unexpected<Error> Malformed(std::string_view text) {
  return Fail(ResultCode::kBadRequest,
              "cannot decode '" + std::string(text) + "'.");
}

}  // namespace

std::string EncodeForwardedCall(const ForwardedCall& call,
                                const ForwardedContent& content) {
  std::string text(kVersion);
  text.append(" ").append(call.from);
  text.append(" ").append(std::to_string(call.age.count()));
  text.append(" ").append(std::to_string(call.time_left.count()));
  text.append(" ").append(std::to_string(call.attempts));
  text.append(" ").append(std::to_string(call.config_version));
  text.append(" ").append(call.last_event ? std::to_string(*call.last_event)
                                          : std::string(kNone));
  const std::string mac = Mac(text, content);
  return text.append(" ").append(mac);
}

Result<ForwardedCall> DecodeForwardedCall(std::string_view text,
                                          const ForwardedContent& content) {
  constexpr size_t kFields = 8;
  const auto fields = Split<kFields>(text);
  if (!fields || fields->front() != kVersion) {
    return Malformed(text);
  }
  const std::string_view signed_text =
      text.substr(0, text.size() - fields->back().size() - 1);
  if (!ConstantTimeEqual(Mac(signed_text, content), fields->back())) {
    return Fail(ResultCode::kUnauthorized,
                "a forwarded request is not authentic.");
  }
  const auto age = Read<int64_t>((*fields)[2], 0, kMaxTimeUs);
  const auto left = Read<int64_t>((*fields)[3], 0, kMaxTimeUs);
  const auto attempts = Read<int>((*fields)[4], 1, kMaxAttempts);
  const auto config = Read<uint64_t>((*fields)[5], 0, UINT64_MAX);
  const bool has_event = (*fields)[6] != kNone;
  const auto event = Read<uint64_t>((*fields)[6], 0, UINT64_MAX);
  if (!age || !left || !attempts || !config || (has_event && !event)) {
    return Malformed(text);
  }
  return ForwardedCall{std::string((*fields)[1]),
                       Duration(*age),
                       Duration(*left),
                       *attempts,
                       *config,
                       has_event ? event : std::nullopt};
}

std::string EncodeForwardRefusal(const ForwardRefusal& refusal) {
  std::string text(kVersion);
  text.append(" ").append(std::to_string(static_cast<int>(refusal.code)));
  text.append(" ").append(OutcomeName(refusal.outcome));
  text.append(" ").append(std::to_string(refusal.attempts));
  text.append(" ").append(refusal.retry_after
                              ? std::to_string(refusal.retry_after->count())
                              : std::string(kNone));
  return text;
}

Result<ForwardRefusal> DecodeForwardRefusal(std::string_view text) {
  constexpr size_t kFields = 5;
  const auto fields = Split<kFields>(text);
  if (!fields || fields->front() != kVersion) {
    return Malformed(text);
  }
  const auto number = Read<int>((*fields)[1], 0, INT32_MAX);
  const auto attempts = Read<int>((*fields)[3], 0, kMaxAttempts);
  const bool has_time = (*fields)[4] != kNone;
  const auto time = Read<int64_t>((*fields)[4], 0, kMaxTimeUs);
  if (!number || !attempts || (has_time && !time)) {
    return Malformed(text);
  }
  ForwardRefusal refusal;
  refusal.code = ResultCodeInfo(static_cast<ResultCode>(*number)).code;
  // A name that is not known counts as unknown.
  refusal.outcome = (*fields)[2] == OutcomeName(Outcome::kNotRun)
                        ? Outcome::kNotRun
                        : Outcome::kUnknown;
  refusal.attempts = *attempts;
  if (has_time) {
    refusal.retry_after = Duration(*time);
  }
  return refusal;
}

bool MayBeAcceptedElsewhere(ResultCode code) {
  return code == ResultCode::kServersUnreachable ||
         code == ResultCode::kDraining || code == ResultCode::kConfigMayBeStale;
}

}  // namespace filbertrack

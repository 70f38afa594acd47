#pragma once

/// What a poison request is recognised by: its whole content, or parts of its
/// prompt that other requests may share.

#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "filbertrack/poison_digest.h"

namespace filbertrack {

/// Id of a part of a prompt, as CallHeaderCodec::ReadSharedParts() returns it.
using PromptPart = std::string;

/// Requests that a block applies to: all copies of one request, or all requests
/// whose prompts have each of these parts. Either `digest` or `parts` is empty.
struct PoisonSubject {
  RequestDigest digest = {};
  /// In ascending order.
  std::vector<PromptPart> parts = {};

  bool is_whole_request() const { return parts.empty(); }
  bool operator<(const PoisonSubject& other) const {
    return std::tie(digest, parts) < std::tie(other.digest, other.parts);
  }
  bool operator==(const PoisonSubject& other) const {
    return std::tie(digest, parts) == std::tie(other.digest, other.parts);
  }
};

/// Maximum number of parts of a request that are considered.
inline constexpr size_t kMaxPromptParts = 64;

/// Whether `text` has the form of a part's id: up to 32 lower-case hexadecimal
/// digits. Ids also arrive from peers and must be validated.
bool IsPromptPart(std::string_view text);

/// The digest, or `part:ID` with further parts appended as `+part:ID`.
std::string FormatPoisonSubject(const PoisonSubject& subject);
/// The reverse; a subject without digest and parts if `text` is invalid.
PoisonSubject ParsePoisonSubject(std::string_view text);

}  // namespace filbertrack

#pragma once

/// Parses JSON text from outside the process within limits. Copying, comparing
/// and writing a JSON value recurse once for each nesting level, so a value of
/// unlimited depth can overflow the stack long after it was parsed.

#include <cstddef>
#include <limits>
#include <string_view>

#include <nlohmann/json.hpp>

#include "filbertrack/base_result.h"

namespace filbertrack {

/// Nesting depth of the values that are accepted from outside, in any format.
inline constexpr size_t kMaxValueDepth = 64;

struct JsonLimits {
  size_t max_depth = kMaxValueDepth;
  /// Number of values, those of nested arrays and objects included. A value
  /// takes up to 30 times the memory of its text.
  size_t max_values = std::numeric_limits<size_t>::max();
};

/// Parses a complete JSON text. Fails with kBadRequest if the text is not valid
/// JSON, and with kResourceInvalid if it exceeds a limit. The message is short
/// whatever the text.
Result<nlohmann::json> ParseJson(std::string_view text,
                                 const JsonLimits& limits = {});

}  // namespace filbertrack

#pragma once

/// Reads numbers from gossip messages and checks their bounds.

#include <cstdint>
#include <limits>
#include <string>
#include <utility>

#include <nlohmann/json.hpp>

#include "filbertrack/base_time.h"

namespace filbertrack {

using Json = nlohmann::json;

/// Maximum age or time since an event in a message, in milliseconds; real ones
/// are of the order of seconds.
inline constexpr int64_t kMaxAgeMs = 1'000'000'000;

/// Thrown for a field with an invalid value. Caught by the decoding of the
/// message; does not leave this library.
struct InvalidField {
  std::string message;
};

inline bool IsAboveSigned(const Json& value) {
  return value.is_number_unsigned() &&
         !std::in_range<int64_t>(value.get<uint64_t>());
}

/// Reads an integer from `min` to `max`; throws InvalidField for any other
/// value. nlohmann::json::get() casts any number to the requested type, which
/// is undefined behaviour if the type cannot hold it.
template <typename Number>
Number ReadInteger(const Json& value, Number min, Number max) {
  // Read as signed. Values above the signed range are mapped to the smallest
  // integer, which is rejected as below `min`.
  const bool is_integer = value.is_number_integer();
  const int64_t number = is_integer && !IsAboveSigned(value)
                             ? value.get<int64_t>()
                             : std::numeric_limits<int64_t>::min();
  if (!std::in_range<Number>(number) || static_cast<Number>(number) < min ||
      static_cast<Number>(number) > max) {
    throw InvalidField{value.dump() + " is not an integer from " +
                       std::to_string(min) + " to " + std::to_string(max) +
                       "."};
  }
  return static_cast<Number>(number);
}

inline int ReadCount(const Json& value) {
  return ReadInteger<int>(value, 0, std::numeric_limits<int>::max());
}

inline uint64_t ReadVersion(const Json& value) {
  return ReadInteger<uint64_t>(value, 0, std::numeric_limits<int64_t>::max());
}

inline Duration ReadAge(const Json& value) {
  return Milliseconds(ReadInteger<int64_t>(value, 0, kMaxAgeMs));
}

}  // namespace filbertrack

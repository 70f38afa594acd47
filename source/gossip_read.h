#pragma once

/// Reads numbers of peers' messages, with their bounds.

#include <cstdint>
#include <limits>
#include <string>
#include <utility>

#include <nlohmann/json.hpp>

#include "filbertrack/base_time.h"

namespace filbertrack {

using Json = nlohmann::json;

/// Ages and times since an event: messages tell of seconds.
inline constexpr int64_t kMaxAgeMs = 1'000'000'000;

/// A number that the product cannot use: thrown within the reading of one
/// message only.
struct InvalidField {
  std::string message;
};

inline bool IsAboveSigned(const Json& value) {
  return value.is_number_unsigned() &&
         !std::in_range<int64_t>(value.get<uint64_t>());
}

/// A whole number within the bounds. The library casts whatever number it
/// finds, which is undefined for one that the type cannot hold.
template <typename Number>
Number ReadInteger(const Json& value, Number min, Number max) {
  // As signed; larger ones are refused with those below `least`.
  const bool is_integer = value.is_number_integer();
  const int64_t number = is_integer && !IsAboveSigned(value)
                             ? value.get<int64_t>()
                             : std::numeric_limits<int64_t>::min();
  if (!std::in_range<Number>(number) || static_cast<Number>(number) < min ||
      static_cast<Number>(number) > max) {
    throw InvalidField{value.dump() + " is no whole number from " +
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

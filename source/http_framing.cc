#include "http_framing.h"

#include <algorithm>
#include <string>
#include <string_view>

namespace filbertrack {

namespace {

bool StartsWithIgnoringCase(std::string_view text, std::string_view start) {
  return EqualHeaderNames(text.substr(0, start.size()), start);
}

/// Whether a line begins with `start` once an octet before the end of `start`
/// is inserted, removed, replaced or exchanged with the next one.
bool IsOneEditFromStart(std::string_view line, std::string_view start) {
  size_t same = 0;
  while (same < std::min(line.size(), start.size()) &&
         EqualHeaderNames(line.substr(same, 1), start.substr(same, 1))) {
    ++same;
  }
  if (same == start.size() || same == line.size()) {
    return false;
  }
  const std::string_view rest = line.substr(same);
  const std::string_view expected = start.substr(same);
  const bool has_extra = StartsWithIgnoringCase(rest.substr(1), expected);
  if (expected.size() == 1) {
    return has_extra;
  }
  const bool lacks_one = StartsWithIgnoringCase(rest, expected.substr(1));
  const bool is_replaced =
      StartsWithIgnoringCase(rest.substr(1), expected.substr(1));
  const bool is_exchanged =
      rest.size() > 1 &&
      EqualHeaderNames(rest.substr(0, 1), expected.substr(1, 1)) &&
      StartsWithIgnoringCase(rest.substr(1), expected.substr(0, 1)) &&
      StartsWithIgnoringCase(rest.substr(2), expected.substr(2));
  return has_extra || lacks_one || is_replaced || is_exchanged;
}

}  // namespace

bool HasDamagedLength(const HttpHeaders& headers) {
  return std::any_of(headers.begin(), headers.end(), [](const auto& field) {
    const std::string line = field.first + ":" + field.second;
    return IsOneEditFromStart(line, "Content-Length:") ||
           IsOneEditFromStart(line, "Transfer-Encoding:");
  });
}

}  // namespace filbertrack

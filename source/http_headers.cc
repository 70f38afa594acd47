#include "filbertrack/http_headers.h"

#include <algorithm>
#include <array>

namespace filbertrack {

namespace {

char Lower(char letter) {
  return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter + 'a' - 'A')
                                        : letter;
}

constexpr auto kHopByHop = std::to_array<std::string_view>(
    {"connection", "keep-alive", "proxy-connection", "te", "trailer",
     "transfer-encoding", "upgrade", "content-length", "expect"});

}  // namespace

bool EqualHeaderNames(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         std::equal(left.begin(), left.end(), right.begin(),
                    [](char a, char b) { return Lower(a) == Lower(b); });
}

std::string_view FindHeader(const HttpHeaders& headers, std::string_view name) {
  for (const auto& [field, value] : headers) {
    if (EqualHeaderNames(field, name)) {
      return value;
    }
  }
  return {};
}

bool IsHopByHop(std::string_view name) {
  return std::any_of(
      kHopByHop.begin(), kHopByHop.end(),
      [name](std::string_view field) { return EqualHeaderNames(field, name); });
}

}  // namespace filbertrack

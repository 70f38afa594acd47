#pragma once

/// HTTP header fields.

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace filbertrack {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// Compares header field names, ignoring ASCII case.
bool EqualHeaderNames(std::string_view left, std::string_view right);

/// The value of the first field with this name; empty if there is none.
std::string_view FindHeader(const HttpHeaders& headers, std::string_view name);

/// Whether a field applies to a single connection and must not be forwarded.
/// Includes Content-Length and Expect, which each host handles itself.
bool IsHopByHop(std::string_view name);

}  // namespace filbertrack

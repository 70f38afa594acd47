#pragma once

/// Header fields of HTTP messages.

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace filbertrack {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// Compares names of header fields, which ignore the case of letters.
bool EqualHeaderNames(std::string_view left, std::string_view right);

/// The first value of a field; empty where it is absent.
std::string_view FindHeader(const HttpHeaders& headers, std::string_view name);

/// Whether a field concerns one connection only and must not be passed on.
bool IsHopByHop(std::string_view name);

}  // namespace filbertrack

#pragma once

/// Conversion between CBOR and JSON values.

#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace filbertrack {

std::string ToCbor(const nlohmann::json& value);

/// Returns nullopt unless `bytes` is exactly one complete CBOR item that is
/// nested at most kMaxValueDepth levels deep and has no part of indefinite
/// length. Never throws, so input from a peer needs no prior check.
std::optional<nlohmann::json> ParseCbor(std::string_view bytes);

}  // namespace filbertrack

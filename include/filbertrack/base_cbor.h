#pragma once

/// Conversion between CBOR and JSON values.

#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace filbertrack {

std::string ToCbor(const nlohmann::json& value);

/// Returns nullopt unless `bytes` is exactly one complete CBOR item. Never
/// throws, so input from a peer needs no prior check.
std::optional<nlohmann::json> ParseCbor(std::string_view bytes);

}  // namespace filbertrack

#pragma once

/// CBOR to and from JSON values.

#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace filbertrack {

std::string ToCbor(const nlohmann::json& value);

/// Nullopt for bytes that are not one whole CBOR item, whatever they are.
std::optional<nlohmann::json> ParseCbor(std::string_view bytes);

}  // namespace filbertrack

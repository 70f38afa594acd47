#include "filbertrack/base_cbor.h"

namespace filbertrack {

std::string ToCbor(const nlohmann::json& value) {
  const std::vector<uint8_t> bytes = nlohmann::json::to_cbor(value);
  return {bytes.begin(), bytes.end()};
}

std::optional<nlohmann::json> ParseCbor(std::string_view bytes) {
  // from_cbor() throws on an impossible size even with `allow_exceptions`
  // false. Uncaught, a malformed message from a peer would terminate the
  // process.
  try {
    return nlohmann::json::from_cbor(bytes);
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace filbertrack

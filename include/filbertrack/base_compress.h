#pragma once

/// Compression of texts that pass between hosts, by zlib.

#include <optional>
#include <string>
#include <string_view>

namespace filbertrack {

std::string Compress(std::string_view text);

/// Nullopt for bytes that are not compressed text, or text over `max_bytes`.
std::optional<std::string> Decompress(std::string_view bytes, size_t max_bytes);

}  // namespace filbertrack

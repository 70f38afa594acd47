#pragma once

/// zlib compression of texts exchanged between hosts.

#include <optional>
#include <string>
#include <string_view>

namespace filbertrack {

std::string Compress(std::string_view text);

/// Returns nullopt if `bytes` is not a complete zlib stream or expands to more
/// than `max_bytes` bytes.
std::optional<std::string> Decompress(std::string_view bytes, size_t max_bytes);

}  // namespace filbertrack

#pragma once

/// Hashing: xxHash for placement and digests, SHA-256 for secrets.

#include <cstdint>
#include <string>
#include <string_view>

namespace filbertrack {

uint64_t Hash64(std::string_view bytes, uint64_t seed = 0);

/// The weight of `node` for `item` in rendezvous hashing. The node with the
/// highest weight owns the item, so removing a node moves only the items that
/// it owned.
uint64_t RendezvousWeight(std::string_view item, std::string_view node);

/// SHA-256 in lower-case hexadecimal.
std::string Sha256Hex(std::string_view bytes);

/// HMAC-SHA256 as 32 raw bytes.
std::string HmacSha256(std::string_view key, std::string_view bytes);

/// Compares in time that depends only on the lengths, so that the response time
/// of a rejected request reveals nothing about a workspace's key.
bool ConstantTimeEqual(std::string_view left, std::string_view right);

/// 128 random bits from OpenSSL's generator, as 32 hexadecimal digits.
std::string RandomId();

}  // namespace filbertrack

#pragma once

/// Hashing: xxHash for placement and digests, SHA-256 for secrets.

#include <cstdint>
#include <string>
#include <string_view>

namespace filbertrack {

uint64_t Hash64(std::string_view bytes, uint64_t seed = 0);

/// The weight of `node` for `item` in rendezvous hashing: the owner of an item
/// is the node with the highest weight, so that the loss of a node moves only
/// the items it owned.
uint64_t RendezvousWeight(std::string_view item, std::string_view node);

/// Lower-case hexadecimal SHA-256.
std::string Sha256Hex(std::string_view bytes);

/// The 32 bytes of HMAC-SHA256.
std::string HmacSha256(std::string_view key, std::string_view bytes);

/// Compares in a time that depends on the lengths only, so that the time of a
/// refusal tells nothing about a workspace's key.
bool ConstantTimeEqual(std::string_view left, std::string_view right);

/// 128 random bits in hexadecimal, from the operating system.
std::string RandomId();

}  // namespace filbertrack

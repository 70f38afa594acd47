#include "filbertrack/base_hash.h"

#include <array>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <openssl/sha.h>
#include <xxhash.h>

namespace filbertrack {

namespace {

std::string ToHex(const unsigned char* bytes, size_t size) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(size * 2);
  for (size_t i = 0; i < size; ++i) {
    text += kDigits[bytes[i] >> 4];
    text += kDigits[bytes[i] & 15];
  }
  return text;
}

}  // namespace

uint64_t Hash64(std::string_view bytes, uint64_t seed) {
  return XXH64(bytes.data(), bytes.size(), seed);
}

uint64_t RendezvousWeight(std::string_view item, std::string_view node) {
  return Hash64(node, Hash64(item));
}

std::string Sha256Hex(std::string_view bytes) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest;
  SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
         digest.data());
  return ToHex(digest.data(), digest.size());
}

std::string HmacSha256(std::string_view key, std::string_view bytes) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest;
  unsigned int size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
       digest.data(), &size);
  return {reinterpret_cast<const char*>(digest.data()), size};
}

bool ConstantTimeEqual(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string RandomId() {
  std::array<unsigned char, 16> bytes;
  RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
  return ToHex(bytes.data(), bytes.size());
}

}  // namespace filbertrack

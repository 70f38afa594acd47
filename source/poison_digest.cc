#include "filbertrack/poison_digest.h"

#include <algorithm>
#include <cctype>
#include <initializer_list>

#include "filbertrack/base_hash.h"

namespace filbertrack {

namespace {

/// 128 bits, so that accidental collisions are negligible.
constexpr size_t kDigits = 32;

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(), [](char letter) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
  });
  return lower;
}

}  // namespace

RequestDigest DigestRequest(const RequestIdentity& identity) {
  const std::string hostname = LowerCase(identity.hostname);
  std::string text;
  // Each part is prefixed with its length, so that different requests never
  // produce the same text.
  for (const std::string_view part :
       {identity.method, std::string_view(hostname), identity.target,
        identity.workspace, identity.body}) {
    text.append(std::to_string(part.size())).append(":").append(part);
  }
  return Sha256Hex(text).substr(0, kDigits);
}

bool IsRequestDigest(std::string_view text) {
  return text.size() == kDigits &&
         std::all_of(text.begin(), text.end(), [](char digit) {
           return (digit >= '0' && digit <= '9') ||
                  (digit >= 'a' && digit <= 'f');
         });
}

}  // namespace filbertrack

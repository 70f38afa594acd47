#include "filbertrack/base_cbor.h"

#include <array>
#include <cstdint>

#include "filbertrack/base_json.h"

namespace filbertrack {

namespace {

/// Limits the memory of a decoded message; a message of the largest fleet has a
/// tenth of this.
constexpr uint64_t kMaxItems = 1'000'000;

constexpr uint8_t kUnsigned = 0;
constexpr uint8_t kNegative = 1;
constexpr uint8_t kBytes = 2;
constexpr uint8_t kText = 3;
constexpr uint8_t kArray = 4;
constexpr uint8_t kMap = 5;
constexpr uint8_t kSimple = 7;
constexpr int kMajorTypeShift = 5;
constexpr uint8_t kInfoMask = 0x1F;
/// Values of the additional information: up to the first, it is the argument
/// itself; up to the second, it gives the size of the argument that follows.
constexpr uint8_t kMaxInlineArgument = 23;
constexpr uint8_t kMaxArgumentSize = 27;

/// Reads the head of an item: its major type and argument.
class HeadReader {
 public:
  explicit HeadReader(std::string_view bytes) : m_rest(bytes) {}

  bool Read() {
    if (m_rest.empty()) {
      return false;
    }
    const auto first = static_cast<uint8_t>(m_rest.front());
    m_rest.remove_prefix(1);
    m_type = first >> kMajorTypeShift;
    m_argument = first & kInfoMask;
    if (m_argument <= kMaxInlineArgument) {
      return true;
    }
    if (m_argument > kMaxArgumentSize) {
      // Of indefinite length, which ToCbor() does not write.
      return false;
    }
    const size_t size = size_t{1} << (m_argument - kMaxInlineArgument - 1);
    m_argument = 0;
    for (size_t i = 0; i < size; ++i) {
      if (m_rest.empty()) {
        return false;
      }
      m_argument = m_argument << 8 | static_cast<uint8_t>(m_rest.front());
      m_rest.remove_prefix(1);
    }
    return true;
  }

  bool Skip(uint64_t bytes) {
    if (bytes > m_rest.size()) {
      return false;
    }
    m_rest.remove_prefix(bytes);
    return true;
  }

  uint8_t type() const { return m_type; }
  uint64_t argument() const { return m_argument; }

 private:
  std::string_view m_rest;
  uint8_t m_type = 0;
  uint64_t m_argument = 0;
};

/// Whether `bytes` begins with a complete item within the limits. The parser of
/// the library recurses once for each nested item and each nested string of
/// indefinite length.
bool IsWithinLimits(std::string_view bytes) {
  HeadReader reader(bytes);
  /// Items that are missing in each open container.
  std::array<uint64_t, kMaxValueDepth> missing{};
  size_t depth = 0;
  uint64_t items = 0;
  do {
    if (!reader.Read() || ++items > kMaxItems) {
      return false;
    }
    uint64_t children = 0;
    switch (reader.type()) {
      case kUnsigned:
      case kNegative:
      case kSimple:
        break;
      case kBytes:
      case kText:
        if (!reader.Skip(reader.argument())) {
          return false;
        }
        break;
      case kArray:
      case kMap:
        if (reader.argument() > kMaxItems) {
          return false;
        }
        children = reader.argument() * (reader.type() == kMap ? 2 : 1);
        break;
      default:
        return false;
    }
    if (children > 0) {
      if (depth == missing.size()) {
        return false;
      }
      missing[depth++] = children;
      continue;
    }
    while (depth > 0 && --missing[depth - 1] == 0) {
      --depth;
    }
  } while (depth > 0);
  return true;
}

}  // namespace

std::string ToCbor(const nlohmann::json& value) {
  const std::vector<uint8_t> bytes = nlohmann::json::to_cbor(value);
  return {bytes.begin(), bytes.end()};
}

std::optional<nlohmann::json> ParseCbor(std::string_view bytes) {
  if (!IsWithinLimits(bytes)) {
    return std::nullopt;
  }
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

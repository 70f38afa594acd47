#pragma once

/// Frame authentication for one connection between entry hosts.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace filbertrack {

inline constexpr size_t kMaxPeerMessageBytes = 4 * 1024 * 1024;

/// Authenticates the frames of one direction of a connection with HMAC-SHA256,
/// truncated to kMacBytes. Both sides construct it with the same shared key and
/// the same context: the direction and the nonces of both sides. A frame
/// counter is part of the authenticated text, so a frame that is replayed,
/// reordered or taken from another connection is rejected.
class FrameSealer {
 public:
  FrameSealer(std::string key, std::string context)
      : m_key(std::move(key)), m_context(std::move(context)) {}

  /// Returns the authentication code followed by the payload, and advances the
  /// frame counter.
  std::string Seal(std::string_view payload);

  /// Returns the payload, a view into `frame`, and advances the frame counter.
  /// Returns nullopt if the frame is too short or its code does not match the
  /// next frame of this direction; the counter then stays as it is.
  std::optional<std::string_view> Open(std::string_view frame);

  static constexpr size_t kMacBytes = 16;

 private:
  std::string ComputeMac(std::string_view payload) const;

  std::string m_key;
  std::string m_context;
  uint64_t m_counter = 0;
};

}  // namespace filbertrack

#pragma once

/// Authenticated frames of one peer connection.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace filbertrack {

inline constexpr size_t kMaxPeerMessageBytes = 4 * 1024 * 1024;

/// One direction of a connection. Both sides make the same from the shared key,
/// their two nonces and the direction's name.
class FrameSealer {
 public:
  FrameSealer(std::string key, std::string context)
      : m_key(std::move(key)), m_context(std::move(context)) {}

  /// The code followed by the payload.
  std::string Seal(std::string_view payload);

  /// The payload; nullopt for a frame that is not the next one of this
  /// direction of this connection.
  std::optional<std::string_view> Open(std::string_view frame);

  static constexpr size_t kMacBytes = 16;

 private:
  std::string ComputeMac(std::string_view payload) const;

  std::string m_key;
  std::string m_context;
  uint64_t m_counter = 0;
};

}  // namespace filbertrack

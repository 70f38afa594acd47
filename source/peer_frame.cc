#include "filbertrack/peer_frame.h"

#include "filbertrack/base_hash.h"

namespace filbertrack {

std::string FrameSealer::Seal(std::string_view payload) {
  std::string frame = ComputeMac(payload);
  ++m_counter;
  frame += payload;
  return frame;
}

std::optional<std::string_view> FrameSealer::Open(std::string_view frame) {
  if (frame.size() < kMacBytes) {
    return std::nullopt;
  }
  const std::string_view payload = frame.substr(kMacBytes);
  if (!ConstantTimeEqual(frame.substr(0, kMacBytes), ComputeMac(payload))) {
    return std::nullopt;
  }
  ++m_counter;
  return payload;
}

std::string FrameSealer::ComputeMac(std::string_view payload) const {
  std::string authenticated_text = m_context;
  authenticated_text += ' ';
  authenticated_text += std::to_string(m_counter);
  authenticated_text += ' ';
  authenticated_text += payload;
  return HmacSha256(m_key, authenticated_text).substr(0, kMacBytes);
}

}  // namespace filbertrack

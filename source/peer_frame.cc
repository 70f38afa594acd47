#include "filbertrack/peer_frame.h"

#include "filbertrack/base_hash.h"

namespace filbertrack {

std::string FrameSealer::Seal(std::string_view payload) {
  std::string frame = Code(payload);
  ++m_counter;
  frame += payload;
  return frame;
}

std::optional<std::string_view> FrameSealer::Open(std::string_view frame) {
  if (frame.size() < kCodeBytes) {
    return std::nullopt;
  }
  const std::string_view payload = frame.substr(kCodeBytes);
  if (!ConstantTimeEqual(frame.substr(0, kCodeBytes), Code(payload))) {
    return std::nullopt;
  }
  ++m_counter;
  return payload;
}

std::string FrameSealer::Code(std::string_view payload) const {
  std::string signed_text = m_context;
  signed_text += ' ';
  signed_text += std::to_string(m_counter);
  signed_text += ' ';
  signed_text += payload;
  return HmacSha256(m_key, signed_text).substr(0, kCodeBytes);
}

}  // namespace filbertrack

#pragma once

/// Splits a stream of server-sent events as it arrives in pieces.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace filbertrack {

/// One event. Only what the relay needs is kept apart.
struct SseEvent {
  std::optional<uint64_t> id;
  std::string data;
  bool done = false;  ///< The closing "[DONE]".
  /// The event as it came, with the blank line that ends it.
  std::string raw;
};

class SseParser {
 public:
  /// Takes the next bytes; returns the events that they complete. Bytes of an
  /// event over `kMostEventBytes` make the stream invalid.
  std::vector<SseEvent> Push(std::string_view bytes);

  /// Whether bytes of an unfinished event are held.
  bool has_partial_event() const { return !m_buffer.empty(); }

  bool valid() const { return m_valid; }

  static constexpr size_t kMaxEventBytes = 256 * 1024;

 private:
  std::string m_buffer;
  /// Blocks without data since the last event.
  std::string m_skipped;
  bool m_valid = true;
};

/// The text of an event as it goes to a caller.
std::string FormatSseEvent(const SseEvent& event);

}  // namespace filbertrack

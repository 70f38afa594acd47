#pragma once

/// Incremental parser of server-sent events.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace filbertrack {

/// One event. Only the fields that the relay needs are parsed.
struct SseEvent {
  std::optional<uint64_t> id;
  std::string data;
  bool done = false;  ///< The closing "[DONE]".
  /// The event as received, including the blank line that ends it and any
  /// skipped blocks before it.
  std::string raw;
};

class SseParser {
 public:
  /// Consumes the next bytes and returns the events that they complete. An
  /// unfinished event of more than `kMaxEventBytes` makes the stream invalid.
  std::vector<SseEvent> Push(std::string_view bytes);

  /// Whether part of an unfinished event is buffered.
  bool has_partial_event() const { return !m_buffer.empty(); }

  bool valid() const { return m_valid; }

  static constexpr size_t kMaxEventBytes = 256 * 1024;

 private:
  std::string m_buffer;
  /// Blocks without data since the last event.
  std::string m_skipped;
  bool m_valid = true;
};

/// Serialises an event for the caller.
std::string FormatSseEvent(const SseEvent& event);

}  // namespace filbertrack

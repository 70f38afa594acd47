#pragma once

/// Incremental parser of server-sent events. Lines end with LF or CRLF.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace filbertrack {

/// One event: a block with an id or data, which may be empty. Only the fields
/// that the relay needs are parsed.
struct SseEvent {
  std::optional<uint64_t> id;
  std::string data;
  bool done = false;  ///< The closing "[DONE]" of a stream of tokens.
  /// The event as received, including the blank line that ends it and any
  /// skipped blocks before it.
  std::string raw;
};

class SseParser {
 public:
  /// Consumes the next bytes and returns the events that they complete. An
  /// unfinished event of more than `kMaxEventBytes`, with the skipped blocks
  /// before it, makes the stream invalid.
  std::vector<SseEvent> Push(std::string_view bytes);

  /// Whether part of an unfinished event is buffered.
  bool has_partial_event() const;

  /// What was received after the last event, at the end of the stream.
  std::string Rest() const { return m_skipped + m_buffer; }

  bool valid() const { return m_valid; }

  static constexpr size_t kMaxEventBytes = 256 * 1024;

 private:
  std::string m_buffer;
  /// Blocks since the last event that are none, such as comments.
  std::string m_skipped;
  bool m_valid = true;
};

/// Serialises an event for the caller.
std::string FormatSseEvent(const SseEvent& event);

}  // namespace filbertrack

#pragma once

/// Splits a stream of server-sent events into the pieces that are forwarded,
/// without changing a byte. Lines end with LF, CRLF or CR. No text of an event
/// has a meaning here.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace filbertrack {

/// Consecutive bytes of a stream: a whole event, with what precedes the first
/// one, a part of a large event, or bytes between two events.
struct StreamPiece {
  std::string raw;
  /// False: comments, other lines without an event, or the end of the line that
  /// ended the last event.
  bool is_event = true;
  /// Id of the event, as far as it was read. Known at the latest in the piece
  /// that ends the event.
  std::optional<uint64_t> id;
  bool begins_event = true;
  bool ends_event = true;
};

class StreamSplitter {
 public:
  /// `is_first_run`: nothing of the stream was forwarded yet. A byte order mark
  /// is then forwarded; within a stream it would be part of a field's name.
  explicit StreamSplitter(bool is_first_run = true,
                          size_t max_held_bytes = kMaxHeldBytes)
      : m_is_first_run(is_first_run), m_max_held_bytes(max_held_bytes) {}

  /// Consumes the next bytes and returns the pieces that are complete. An event
  /// is held until its end, or until more than the given bytes of it have
  /// arrived; from then on its bytes are returned as they arrive.
  std::vector<StreamPiece> Push(std::string_view bytes);

  /// Returns the part of an event that is held, so that no more is held of it;
  /// nullopt if nothing is held that may be forwarded.
  std::optional<StreamPiece> TakePartialEvent();

  /// Whether the bytes so far end within an event.
  bool has_partial_event() const;

  /// What was received after the last event, at the end of the stream.
  const std::string& Rest() const { return m_held; }

  size_t held_bytes() const { return m_held.size(); }

  /// False if more bytes are held than allowed, since they belong to no event.
  bool valid() const { return m_held.size() <= m_max_held_bytes; }

  static constexpr size_t kMaxHeldBytes = 256 * 1024;

 private:
  /// What the lines of the current block told.
  struct Block {
    std::optional<uint64_t> id;
    bool has_data = false;
    /// It has a line that is no comment.
    bool has_field = false;
    /// A part of it was returned.
    bool is_begun = false;

    bool is_event() const { return id || has_data; }
  };

  void AddToLine(std::string_view bytes);
  /// Removes a byte order mark from the first line.
  void TakeByteOrderMark();
  /// Returns the piece that the line ends, if any.
  std::optional<StreamPiece> EndLine();
  /// Takes a line terminator and, if it has arrived, the rest of a CRLF.
  /// Returns false if it is the rest of one.
  bool TakeLineEnd(std::string_view& bytes);
  void ParseField(std::string_view line);
  /// Returns the held bytes as a piece of the current event.
  StreamPiece TakeHeld(bool ends_event);
  /// Returns the held bytes, which belong to no event; nullopt before the first
  /// event, as they are forwarded with it.
  std::optional<StreamPiece> TakeBetweenEvents();

  bool m_is_first_run;
  size_t m_max_held_bytes;
  /// Bytes that were not returned yet.
  std::string m_held;
  /// Beginning of the current line, as much of it as is parsed.
  std::string m_line;
  Block m_block;
  /// The last byte was a CR that ended a line; an LF would belong to it.
  bool m_after_cr = false;
  bool m_returned_event = false;
  bool m_is_first_line = true;
};

}  // namespace filbertrack

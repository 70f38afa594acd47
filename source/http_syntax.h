#pragma once

/// Incremental checks of the octets of an HTTP/1.1 message (RFC 9112).
/// http_parser accepts some that are malformed and derives the end of the
/// message from them. The checks find the same ends of head and body as
/// http_parser, or a fault.

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "filbertrack/http_message.h"

namespace filbertrack {

/// Checks the lines of a head, or of a trailer section.
class HttpHeadSyntax {
 public:
  explicit HttpHeadSyntax(HttpMessageKind kind);
  /// Checks a section of fields without a start line.
  static HttpHeadSyntax Trailer();

  /// Checks octets up to the end of the section at most, and returns how many
  /// there were. Must not be called again after a fault.
  size_t Push(std::string_view bytes);

  bool complete() const { return m_state == State::kComplete; }
  bool malformed() const { return m_state == State::kMalformed; }

 private:
  enum class State {
    kBeforeRequestLine,
    kBeforeRequestLineLf,
    kRequestLine,
    kStatusLine,
    kReason,
    kLineLf,
    kLineStart,
    kName,
    kValue,
    kEndLf,
    kComplete,
    kMalformed,
  };

  HttpHeadSyntax() = default;
  State Next(unsigned char octet);
  State NextInStatusLine(unsigned char octet);

  State m_state = State::kLineStart;
  /// Octets of the status line so far.
  size_t m_position = 0;
};

/// Checks the chunks and the trailer section of a body in the chunked coding.
class HttpChunkSyntax {
 public:
  /// Checks octets up to the end of the body at most, and returns how many
  /// there were. Must not be called again after a fault.
  size_t Push(std::string_view bytes);

  bool malformed() const { return m_state == State::kMalformed; }

 private:
  enum class State {
    kSize,
    kAfterSize,
    kExtension,
    kSizeLf,
    kData,
    kDataCr,
    kDataLf,
    kTrailer,
    kMalformed,
  };

  State Next(unsigned char octet);
  State NextInSize(unsigned char octet);

  State m_state = State::kSize;
  int m_size_digits = 0;
  /// Size of the chunk, then what is left of its data, in bytes.
  uint64_t m_left = 0;
  HttpHeadSyntax m_trailer = HttpHeadSyntax::Trailer();
};

}  // namespace filbertrack

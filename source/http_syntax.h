#pragma once

/// Incremental check of the octets of an HTTP/1.1 message (RFC 9112).
/// http_parser accepts some that are malformed and derives the end of the
/// message from them. The check finds the same end of the head as
/// http_parser, or a fault.

#include <cstddef>
#include <string_view>

#include "filbertrack/http_message.h"

namespace filbertrack {

/// Checks the lines of a head.
class HttpHeadSyntax {
 public:
  explicit HttpHeadSyntax(HttpMessageKind kind);
  /// Checks octets up to the end of the head at most, and returns how many
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
    kLineLf,
    kLineStart,
    kName,
    kValue,
    kEndLf,
    kComplete,
    kMalformed,
  };

  State Next(unsigned char octet);

  State m_state = State::kLineStart;
};

}  // namespace filbertrack

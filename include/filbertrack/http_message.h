#pragma once

/// Incremental parser for HTTP/1.1 messages, based on the http_parser library.
/// Messages with malformed lines or ambiguous framing (two Content-Length
/// fields, Content-Length together with chunked encoding, or any other transfer
/// coding) are rejected in both directions: two hosts could disagree about
/// where the message ends. That allows request smuggling, and makes the framing
/// of a response part of its body.

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "filbertrack/http_headers.h"

namespace filbertrack {

enum class HttpMessageKind { kRequest, kResponse };

struct HttpHead {
  std::string method;  ///< Requests only.
  std::string target;  ///< Requests only.
  int status = 0;      ///< Responses only.
  HttpHeaders headers;
  /// The connection can be used for another message.
  bool keep_alive = false;
  /// The body has no stated length and ends when the connection is closed.
  bool ends_with_connection = false;
};

struct HttpMessageEvents {
  /// The head is complete. Returns false if the message has no body regardless
  /// of its headers, as in a response to HEAD.
  std::function<bool(const HttpHead& head)> on_head;
  std::function<void(std::string_view bytes)> on_body;
  std::function<void()> on_complete;
};

enum class HttpMessageFault { kNone, kMalformed, kHeaderTooLarge };

class HttpMessageParser {
 public:
  HttpMessageParser(HttpMessageKind kind,
                    size_t max_header_bytes,
                    HttpMessageEvents events);
  ~HttpMessageParser();
  HttpMessageParser(const HttpMessageParser&) = delete;
  HttpMessageParser& operator=(const HttpMessageParser&) = delete;

  /// Parses bytes up to the end of the current message at most, and returns how
  /// many were consumed. Must not be called again after a fault.
  size_t Push(std::string_view bytes);

  /// Signals an orderly end of the connection, which completes a message with
  /// `ends_with_connection`.
  void PushEnd();

  HttpMessageFault fault() const;

  /// Whether no byte of the next message has been parsed.
  bool at_start() const;

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace filbertrack

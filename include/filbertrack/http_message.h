#pragma once

/// Reads HTTP/1.1 messages as their bytes arrive, by the http_parser library.
/// A message whose framing is ambiguous (two lengths, a length beside chunks)
/// is an error: one side's end of it would be another side's middle, and one
/// request could hide in another.

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "filbertrack/http_headers.h"

namespace filbertrack {

enum class HttpMessageKind { kRequest, kResponse };

struct HttpHead {
  std::string method;  ///< Of a request.
  std::string target;  ///< Of a request.
  int status = 0;      ///< Of a response.
  HttpHeaders headers;
  /// Another message may follow on the connection.
  bool keep_alive = false;
  /// The body ends where the connection does.
  bool ends_with_connection = false;
};

struct HttpMessageEvents {
  /// The head is whole. False: the message has no body whatever its head says,
  /// as the answer to HEAD.
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

  /// Takes bytes up to the end of the present message at most, and returns how
  /// many. It must not be called again after a fault.
  size_t Push(std::string_view bytes);

  /// The connection ended in order: ends a body that ends with it.
  void PushEnd();

  HttpMessageFault fault() const;

  /// No byte of the next message has been read.
  bool at_start() const;

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace filbertrack

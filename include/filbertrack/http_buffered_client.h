#pragma once

/// HTTP calls that deliver one complete response within a timeout.

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>

#include "filbertrack/http_client.h"

namespace filbertrack {

class BufferedHttpClient {
 public:
  /// `status` is 0 if the response was not complete within the timeout or the
  /// call failed. The request may have taken effect nonetheless. `body` is
  /// empty if it is longer than `max_body_bytes`.
  using Done = std::function<void(int status, const std::string& body)>;
  /// Receives the body as it arrives.
  using Sink = std::function<void(std::string_view bytes)>;

  struct Open;
  /// Expires when the call ends.
  using Handle = std::weak_ptr<Open>;

  /// Discards bodies longer than `max_body_bytes`. Otherwise as HttpClient.
  BufferedHttpClient(EventLoop& loop,
                     size_t max_idle,
                     size_t max_body_bytes,
                     std::string source = {});
  ~BufferedHttpClient();
  BufferedHttpClient(const BufferedHttpClient&) = delete;
  BufferedHttpClient& operator=(const BufferedHttpClient&) = delete;

  /// Calls `done` once, unless the call is cancelled. `timeout` covers the
  /// whole call, including the connect.
  Handle Start(const Address& address,
               HttpCallRequest request,
               Duration timeout,
               Done done);

  /// Like Start(), but passes the body to `sink` instead of keeping it. `done`
  /// gets an empty body.
  Handle StartStreaming(const Address& address,
                        HttpCallRequest request,
                        Duration timeout,
                        Sink sink,
                        Done done);

  /// Aborts the call without calling `done`.
  void Cancel(const Handle& handle);

 private:
  void Close(const std::shared_ptr<Open>& open, int status);

  EventLoop& m_loop;
  size_t m_max_body_bytes;
  HttpClient m_http;
  std::list<std::shared_ptr<Open>> m_open;
};

}  // namespace filbertrack

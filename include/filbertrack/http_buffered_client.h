#pragma once

/// HTTP calls that deliver one complete, buffered response within a timeout.

#include <functional>
#include <list>
#include <memory>
#include <string>

#include "filbertrack/http_client.h"

namespace filbertrack {

class BufferedHttpClient {
 public:
  /// `status` is 0 if the response was not complete within the timeout or the
  /// call failed. The request may have taken effect nonetheless.
  using Done = std::function<void(int status, const std::string& body)>;

  struct Open;
  /// Expires when the call ends.
  using Handle = std::weak_ptr<Open>;

  /// As HttpClient.
  BufferedHttpClient(EventLoop& loop, size_t max_idle, std::string source = {});
  ~BufferedHttpClient();
  BufferedHttpClient(const BufferedHttpClient&) = delete;
  BufferedHttpClient& operator=(const BufferedHttpClient&) = delete;

  /// Calls `done` once, unless the call is cancelled. `timeout` covers the
  /// whole call, including the connect.
  Handle Start(const Address& address,
               HttpCallRequest request,
               Duration timeout,
               Done done);

  /// Aborts the call without calling `done`.
  void Cancel(const Handle& handle);

 private:
  void Close(const std::shared_ptr<Open>& open, int status);

  EventLoop& m_loop;
  HttpClient m_http;
  std::list<std::shared_ptr<Open>> m_open;
};

}  // namespace filbertrack

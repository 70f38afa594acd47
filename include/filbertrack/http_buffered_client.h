#pragma once

/// Calls whose whole answer is wanted within a time, and nothing else of them.

#include <functional>
#include <list>
#include <memory>
#include <string>

#include "filbertrack/http_client.h"

namespace filbertrack {

class BufferedHttpClient {
 public:
  /// Status 0: there was no whole answer in time. A request that was sent may
  /// have had its effect all the same.
  using Done = std::function<void(int status, const std::string& body)>;

  struct Open;
  /// Empty once the call has ended.
  using Handle = std::weak_ptr<Open>;

  /// `max_idle` connections are kept for each address.
  BufferedHttpClient(EventLoop& loop, size_t max_idle);
  ~BufferedHttpClient();
  BufferedHttpClient(const BufferedHttpClient&) = delete;
  BufferedHttpClient& operator=(const BufferedHttpClient&) = delete;

  Handle Start(const Address& address,
               HttpCallRequest request,
               Duration timeout,
               Done done);

  /// Drops a call; its `done` is not called.
  void Cancel(const Handle& handle);

 private:
  void Close(const std::shared_ptr<Open>& open, int status);

  EventLoop& m_loop;
  HttpClient m_http;
  std::list<std::shared_ptr<Open>> m_open;
};

}  // namespace filbertrack

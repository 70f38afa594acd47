#pragma once

/// HTTP/1.1 client on the loop, with kept connections per address.

#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "filbertrack/event_loop.h"
#include "filbertrack/http_server.h"
#include "filbertrack/settings.h"

namespace filbertrack {

/// What a call tells its owner. Each call ends with exactly one on_end or
/// on_failure, unless it was cancelled.
struct HttpCallEvents {
  /// Status and headers have arrived. Optional.
  std::function<void(int status, const HttpHeaders& headers)> on_head;
  /// A piece of the body has arrived.
  std::function<void(std::string_view bytes)> on_bytes;
  /// The answer is whole.
  std::function<void(int status)> on_end;
  /// There will be no whole answer. `bytes_may_have_left` is false only where
  /// no byte of the request was given to the operating system.
  std::function<void(bool bytes_may_have_left)> on_failure;
  /// The request goes out on a connection that is open. Optional.
  std::function<void()> on_sent;
};

struct HttpCallRequest {
  HttpMethod method = HttpMethod::kGet;
  /// Sent in place of `method` where it is not empty.
  std::string method_text;
  std::string target;
  /// `Host` is added where it is absent.
  HttpHeaders headers;
  std::string body;
  /// No byte of the answer for this long fails the call; 0: no limit.
  Duration idle_timeout{0};
  /// A connection that is not open after this long fails the call.
  Duration connect_timeout = Seconds(3);
  /// Opens a connection of its own. A kept one may have been closed by the
  /// server just now, and then nobody knows whether the request ran.
  bool fresh_connection = false;
  /// After the call at most this many idle connections to the address stay
  /// open, within the client's own bound.
  size_t max_kept = std::numeric_limits<size_t>::max();
};

class HttpClient;

/// One call in flight. Destroying it cancels the call and closes the
/// connection, which is how a backend server learns that the caller went away.
class HttpCall {
 public:
  ~HttpCall();
  HttpCall(const HttpCall&) = delete;
  HttpCall& operator=(const HttpCall&) = delete;

  /// Stops or resumes the reading of the answer.
  void SetReading(bool reading);

 private:
  friend class HttpClient;
  friend struct ServerConnection;
  struct State;
  explicit HttpCall(std::shared_ptr<State> state) : m_state(std::move(state)) {}

  std::shared_ptr<State> m_state;
};

class HttpClient {
 public:
  /// `max_idle` connections are kept for each address.
  HttpClient(EventLoop& loop, size_t max_idle);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  std::unique_ptr<HttpCall> Start(const Address& address,
                                  HttpCallRequest request,
                                  HttpCallEvents events);

  /// Connections opened so far.
  uint64_t connections_opened() const;

 private:
  friend class HttpCall;
  struct Pool;

  std::shared_ptr<Pool> m_pool;
};

}  // namespace filbertrack

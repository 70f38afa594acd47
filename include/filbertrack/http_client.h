#pragma once

/// HTTP/1.1 client on the event loop, with a pool of idle connections per
/// address.

#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "filbertrack/event_loop.h"
#include "filbertrack/http_server.h"
#include "filbertrack/net_stream.h"
#include "filbertrack/settings.h"

namespace filbertrack {

/// Callbacks of a call. Exactly one of on_end and on_failure is called, as the
/// last one, unless the call is cancelled.
struct HttpCallEvents {
  /// Status and headers were received. Optional.
  std::function<void(int status, const HttpHeaders& headers)> on_head;
  /// Part of the body was received. Optional.
  std::function<void(std::string_view bytes)> on_bytes;
  /// The response is complete.
  std::function<void(int status)> on_end;
  /// The call failed before the response was complete. `bytes_may_have_left` is
  /// false only if no byte of the request was passed to the operating system.
  std::function<void(bool bytes_may_have_left)> on_failure;
  /// The request was queued for sending on an open connection. Optional.
  std::function<void()> on_sent;
  /// Asked once a new connection is established. If it returns false, the call
  /// fails and no byte of the request is sent. Optional.
  std::function<bool()> may_send;
};

struct HttpCallRequest {
  HttpMethod method = HttpMethod::kGet;
  /// Sent instead of `method` if not empty.
  std::string method_text;
  std::string target;
  /// `Host` is added if absent.
  HttpHeaders headers;
  std::string body;
  /// The call fails if no byte of the response arrives for this long; 0 means
  /// no limit.
  Duration idle_timeout{0};
  /// The call fails if connecting takes longer than this.
  Duration connect_timeout = Seconds(3);
  /// Opens a new connection. The server may be closing an idle one just as the
  /// request is sent, which leaves unknown whether the request ran.
  bool fresh_connection = false;
  /// Limits the idle connections to the address that remain open after the
  /// call, in addition to the client's `max_idle`.
  size_t max_kept = std::numeric_limits<size_t>::max();
};

/// Receives the state of the connections of a client, also of idle ones.
class HttpClientObserver {
 public:
  virtual ~HttpClientObserver() = default;

  virtual void OnConnected(const Address& address) = 0;
  virtual void OnBytes(const Address& address) = 0;
  /// A connection was refused or reset, or was not established in time.
  virtual void OnConnectionFailed(const Address& address) = 0;
};

class HttpClient;

/// A call in flight. Destroying it cancels the call and closes the connection,
/// which tells a backend server that the caller has disconnected.
class HttpCall {
 public:
  ~HttpCall();
  HttpCall(const HttpCall&) = delete;
  HttpCall& operator=(const HttpCall&) = delete;

  /// Pauses or resumes reading the response.
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
  /// Keeps up to `max_idle` idle connections per address. Connects from the IP
  /// address `source` unless it is empty.
  HttpClient(EventLoop& loop, size_t max_idle, std::string source = {});
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  std::unique_ptr<HttpCall> Start(const Address& address,
                                  HttpCallRequest request,
                                  HttpCallEvents events);

  /// Opens a connection outside of the pool.
  std::shared_ptr<TcpStream> Connect(const Address& address) const;

  /// Sets the observer of all connections; null: none. It must outlive the
  /// client or be removed before it is destroyed.
  void SetObserver(HttpClientObserver* observer);

  /// Addresses to which a connection has been in progress for longer than
  /// `min_age`, once for each connection.
  std::vector<Address> SlowConnects(TimePoint now, Duration min_age) const;

  /// Addresses that have sent nothing for longer than `max_wait` while requests
  /// that were sent to them wait, or than `max_pause` if one of the responses
  /// has begun.
  std::vector<Address> SilentServers(TimePoint now,
                                     Duration max_wait,
                                     Duration max_pause) const;

  /// Number of connections opened since construction, including failed
  /// attempts.
  uint64_t connections_opened() const;

 private:
  friend class HttpCall;
  struct Pool;

  std::shared_ptr<Pool> m_pool;
};

}  // namespace filbertrack

#pragma once

/// HTTP/1.1 server on the event loop.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "filbertrack/base_held_answer.h"
#include "filbertrack/base_shared_budget.h"
#include "filbertrack/event_loop.h"
#include "filbertrack/http_headers.h"
#include "filbertrack/settings.h"

struct evconnlistener;
struct sockaddr;

namespace filbertrack {

enum class HttpMethod { kGet, kHead, kPost, kPut, kDelete, kOther };

std::string_view HttpMethodName(HttpMethod method);

class HttpConnection;
struct HttpHead;

/// A request and its response. Remains valid after the caller disconnects;
/// writing a response has no effect then.
class HttpExchange {
 public:
  HttpExchange(std::weak_ptr<HttpConnection> connection, HttpHead head);
  ~HttpExchange();
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  HttpMethod method() const;
  /// The method as received.
  const std::string& method_text() const { return m_method; }
  /// The path without the query, not decoded.
  std::string_view path() const;
  /// The path with the query, not decoded.
  std::string_view target() const { return m_target; }
  /// The decoded value of a query parameter; empty if it is absent.
  std::string Query(const std::string& name) const;
  /// Empty if the header is absent.
  std::string_view Header(std::string_view name) const {
    return FindHeader(m_headers, name);
  }
  const HttpHeaders& Headers() const { return m_headers; }
  /// Removes all fields with this name.
  void RemoveHeader(std::string_view name);
  const std::string& body() const { return m_body; }

  /// Whether the response can still be written: it has not ended and the
  /// caller's connection is open.
  bool IsOpen() const { return !m_ended && !m_connection.expired(); }

  /// Sends a complete response.
  void Reply(int status, const HttpHeaders& headers, std::string_view body);

  /// Starts a chunked response, continued by Send() and ended by End() or
  /// Abort().
  void StartStream(int status, const HttpHeaders& headers);
  void Send(std::string_view bytes);
  void End();
  /// Closes the connection without the final chunk, so that the client can
  /// detect that the response is incomplete. Bytes passed to Send() are sent
  /// first.
  void Abort();

  /// Bytes written and not yet accepted by the operating system, as when the
  /// caller reads slowly.
  size_t UnsentBytes() const;

  /// Sets an action that runs once if the caller's connection closes before the
  /// response has ended.
  void OnCallerDisconnected(std::function<void()> action);

 private:
  friend class HttpConnection;
  void NotifyCallerDisconnected();

  std::weak_ptr<HttpConnection> m_connection;
  std::string m_method;
  std::string m_target;
  HttpHeaders m_headers;
  std::string m_body;
  /// Counts the bytes of `m_body`; null if they are not bounded together.
  std::shared_ptr<SharedBudget> m_budget;
  bool m_keep_alive;
  bool m_chunked = false;
  bool m_ended = false;
  std::function<void()> m_on_disconnected;
};

struct HttpServerLimits {
  size_t max_header_bytes = 16 * 1024;
  size_t max_body_bytes = 1024 * 1024;
  /// Maximum time from the first byte of a request to its last, body included;
  /// a slower request is rejected with status 408.
  Duration header_timeout = Seconds(60);
  /// An open connection without a request for this long is closed.
  Duration idle_timeout = Seconds(60);
  /// A connection whose caller accepts no byte of its response for this long is
  /// closed.
  Duration unread_timeout = Seconds(60);
  /// Time for the caller to close its side after the last response was sent. If
  /// this side closed first while received bytes are unread, the kernel would
  /// reset the connection and the caller could lose the response.
  Duration linger_timeout = Seconds(2);
};

class HttpServer {
 public:
  using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

  HttpServer(EventLoop& loop, HttpServerLimits limits, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Returns the bound address; port 0 lets the kernel choose the port. Fails
  /// with kSettingsInvalid if the address cannot be bound.
  Result<Address> Listen(const Address& address);

  /// Closes the listening sockets; open connections are not affected.
  void StopListening();

  /// Applies to open connections too, except `max_header_bytes`, which applies
  /// to connections accepted from now on.
  void SetLimits(const HttpServerLimits& limits);

  /// Bounds the bodies of all requests that are received or processed. A
  /// request over its share is rejected with status 503 and was not handled.
  /// For requests that begin from now on.
  void SetBudget(std::shared_ptr<SharedBudget> budget);

  /// From now on every connection is closed after its next response.
  void CloseAfterAnswers();

  /// Number of open connections, busy or idle.
  size_t connections() const;

  /// One entry for each connection with unsent response bytes.
  std::vector<HeldAnswer> HeldAnswers(TimePoint now) const;
  /// Bytes buffered of requests being received or processed: bodies and
  /// pipelined input.
  size_t RequestBytes() const;
  /// Closes the connection, which counts as a disconnect by the caller and in
  /// unread_dropped(). No effect if it is no longer open.
  void Drop(uint64_t connection);
  /// Number of connections closed because the caller did not read its response,
  /// by `unread_timeout` or by Drop().
  uint64_t unread_dropped() const;

 private:
  friend class HttpConnection;
  struct Shared;

  static void OnAccept(evconnlistener* listener,
                       int fd,
                       sockaddr* from,
                       int size,
                       void* self);
  void Sweep();

  EventLoop& m_loop;
  std::shared_ptr<Shared> m_shared;
  std::vector<evconnlistener*> m_listeners;
  std::unique_ptr<Timer> m_sweep_timer;
};

}  // namespace filbertrack

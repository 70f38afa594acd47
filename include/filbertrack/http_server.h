#pragma once

/// HTTP/1.1 server on the loop.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "filbertrack/base_held_answer.h"
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

/// One request and its answer. It stays valid after the caller went away:
/// answering then does nothing.
class HttpExchange {
 public:
  HttpExchange(std::weak_ptr<HttpConnection> connection, HttpHead head);
  ~HttpExchange();
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  HttpMethod method() const;
  /// The method as the caller wrote it.
  const std::string& method_text() const { return m_method; }
  /// Path without the query, as the caller wrote it.
  std::string_view path() const;
  /// Path with the query.
  std::string_view target() const { return m_target; }
  std::string Query(const std::string& name) const;
  /// Empty where the header is absent.
  std::string_view Header(std::string_view name) const {
    return FindHeader(m_headers, name);
  }
  const HttpHeaders& Headers() const { return m_headers; }
  const std::string& body() const { return m_body; }

  /// Whether the caller's connection still waits for the answer.
  bool IsOpen() const { return !m_ended && !m_connection.expired(); }

  /// Answers whole.
  void Reply(int status, const HttpHeaders& headers, std::string_view body);

  /// Starts a chunked answer; then Send() and End() or Abort().
  void StartStream(int status, const HttpHeaders& headers);
  void Send(std::string_view bytes);
  void End();
  /// Closes the connection without the last chunk, so that a client sees that
  /// the answer is not whole. Bytes of Send() leave before.
  void Abort();

  /// Bytes that wait for a slow caller to read them.
  size_t UnsentBytes() const;

  /// Called once if the caller's connection closes before the answer ended.
  void OnCallerDisconnected(std::function<void()> action);

 private:
  friend class HttpConnection;
  void NotifyCallerDisconnected();

  std::weak_ptr<HttpConnection> m_connection;
  std::string m_method;
  std::string m_target;
  HttpHeaders m_headers;
  std::string m_body;
  bool m_keep_alive;
  bool m_chunked = false;
  bool m_ended = false;
  std::function<void()> m_on_disconnected;
};

struct HttpServerLimits {
  size_t max_header_bytes = 16 * 1024;
  size_t max_body_bytes = 1024 * 1024;
  /// A caller that began a request has this long to send all of its head.
  Duration header_timeout = Seconds(60);
  /// A kept connection without a request for this long is closed.
  Duration idle_timeout = Seconds(60);
  /// A caller that takes no byte of its answer for this long is let go.
  Duration unread_timeout = Seconds(60);
};

class HttpServer {
 public:
  using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

  HttpServer(EventLoop& loop, HttpServerLimits limits, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Port 0 lets the kernel choose. Returns the address in use.
  Result<Address> Listen(const Address& address);

  /// Closes the listening sockets; open connections go on.
  void StopListening();

  /// Takes effect at once, but for the limit on heads: it holds for connections
  /// that open from now on.
  void SetLimits(const HttpServerLimits& limits);

  /// From now on each answer ends its connection.
  void CloseAfterAnswers();

  /// Open connections, busy or kept.
  size_t connections() const;

  /// Of each caller that has not taken all of its answer.
  std::vector<HeldAnswer> HeldAnswers(TimePoint now) const;
  /// Bytes of requests that are read or under way.
  size_t RequestBytes() const;
  /// Closes the connection; its caller counts as gone.
  void Drop(uint64_t connection);
  /// Callers that were let go since they did not read.
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

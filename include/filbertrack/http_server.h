#pragma once

/// HTTP server on evhttp.

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "filbertrack/event_loop.h"
#include "filbertrack/settings.h"

struct evhttp;
struct evhttp_request;

namespace filbertrack {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

enum class HttpMethod { kGet, kHead, kPost, kPut, kDelete, kOther };

std::string_view HttpMethodName(HttpMethod method);

/// One request and its answer. It stays valid after the caller went away:
/// answering then does nothing.
class HttpExchange : public std::enable_shared_from_this<HttpExchange> {
 public:
  HttpExchange(EventLoop& loop, evhttp_request* request);
  ~HttpExchange();
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  HttpMethod method() const;
  /// Path without the query, as the caller wrote it.
  std::string_view path() const { return m_path; }
  /// Path with the query.
  std::string_view target() const { return m_target; }
  std::string Query(const std::string& name) const;
  /// Empty where the header is absent.
  std::string_view Header(const std::string& name) const;
  HttpHeaders Headers() const;
  const std::string& body() const { return m_body; }

  /// Whether the caller's connection still waits for the answer.
  bool IsOpen() const { return m_request != nullptr; }

  /// Answers whole.
  void Reply(int status, const HttpHeaders& headers, std::string_view body);

  /// Starts a chunked answer; then Send() and End() or Abort().
  void StartStream(int status, const HttpHeaders& headers);
  void Send(std::string_view bytes);
  void End();
  /// Closes the connection without the last chunk, so that a client sees that
  /// the answer is not whole.
  void Abort();
  /// Sends `bytes`, and aborts once they have left.
  void SendThenAbort(std::string_view bytes);

  /// Bytes that wait for a slow caller to read them.
  size_t UnsentBytes() const;

  /// Called once if the caller's connection closes before the answer ended.
  void OnCallerGone(std::function<void()> action);

 private:
  friend class HttpServer;
  static void OnSocketClosed(int fd, short what, void* self);
  static void OnConnectionFreed(void* connection, void* self);
  void Detach();
  void CallerGone();

  EventLoop& m_loop;
  evhttp_request* m_request;
  event* m_close_event = nullptr;
  std::string m_path;
  std::string m_target;
  std::string m_body;
  std::function<void()> m_on_gone;
  /// Keeps the exchange until its last bytes have left.
  std::shared_ptr<HttpExchange> m_keep;
};

struct HttpServerLimits {
  size_t max_header_bytes = 16 * 1024;
  size_t max_body_bytes = 1024 * 1024;
  /// A connection that neither reads nor writes for this long is closed.
  Duration idle_timeout = Seconds(60);
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

 private:
  static void OnRequest(evhttp_request* request, void* self);

  EventLoop& m_loop;
  Handler m_handler;
  evhttp* m_http;
  std::vector<void*> m_sockets;
};

}  // namespace filbertrack

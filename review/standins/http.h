#pragma once

/// Blocking HTTP/1.1 server and client on loopback addresses, one thread for
/// each connection. Shared by the stand-ins of the review's scripts.

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

struct Endpoint {
  std::string host;
  int port = 0;

  std::string ToString() const { return host + ":" + std::to_string(port); }
};

struct Request {
  std::string method;
  std::string path;
  std::string query;
  /// Names are in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
  /// Identifies the connection that the request arrived on; never reused.
  int connection = 0;

  std::string Header(const std::string& name) const;
  std::string Query(const std::string& name) const;
};

struct Response {
  int status = 200;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  /// The connection is reset without a response.
  bool reset = false;
};

/// Accepts connections until Stop().
class Server {
 public:
  using Handler = std::function<Response(const Request&)>;

  Server(const std::string& host, Handler handler);
  ~Server();

  const Endpoint& endpoint() const { return m_endpoint; }
  /// Closes the listening socket and all connections, as the end of the process
  /// does.
  void Stop();

 private:
  void Accept();
  void Serve(int fd);

  Handler m_handler;
  Endpoint m_endpoint;
  int m_listener = -1;
  std::atomic<bool> m_stopped = false;
  std::atomic<int> m_connections = 0;
  std::mutex m_mutex;
  std::vector<int> m_open;
  std::vector<std::thread> m_threads;
  std::thread m_acceptor;
};

struct Answer {
  /// 0: the connection ended, or timed out, without a complete response.
  int status = 0;
  std::map<std::string, std::string> headers;
  std::string body;
  bool connected = false;
};

/// Sends one request on a new connection and waits for the response.
Answer Send(const Endpoint& to,
            const std::string& method,
            const std::string& target,
            const std::vector<std::pair<std::string, std::string>>& headers,
            const std::string& body,
            int timeout_ms);

/// A free port of the address.
int FreePort(const std::string& host);

/// Milliseconds of the steady clock since the first call.
long NowMs();

}  // namespace review

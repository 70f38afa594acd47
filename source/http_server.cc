#include "filbertrack/http_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <set>

#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>

#include "filbertrack/http_message.h"
#include "filbertrack/net_stream.h"

namespace filbertrack {

namespace {

struct MethodRow {
  HttpMethod method;
  std::string_view name;
};

constexpr auto kMethods = std::to_array<MethodRow>({
    {HttpMethod::kGet, "GET"},
    {HttpMethod::kHead, "HEAD"},
    {HttpMethod::kPost, "POST"},
    {HttpMethod::kPut, "PUT"},
    {HttpMethod::kDelete, "DELETE"},
});

/// Maximum bytes buffered of pipelined requests, which a caller sends before
/// the response to the current one; beyond it, reading from the connection
/// pauses.
constexpr size_t kMaxPipelinedBytes = 64 * 1024;
/// Interval between checks of the timeouts of all connections.
constexpr Duration kSweepInterval = Milliseconds(250);
constexpr int kListenBacklog = 1024;
/// Time without an acknowledgement from the caller's host after which its
/// connection fails.
constexpr Duration kDeadCallerTimeout = Seconds(10);

constexpr int kBadRequest = 400;
constexpr int kUnavailable = 503;
constexpr int kRequestTimeout = 408;
constexpr int kBodyTooLarge = 413;
constexpr int kHeaderTooLarge = 431;

constexpr int kFirstSuccess = 200;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

bool StatusHasBody(int status) {
  return status >= kFirstSuccess && status != kNoContent &&
         status != kNotModified;
}

void AppendHex(std::string& text, size_t value) {
  std::array<char, 24> digits{};
  const int size = std::snprintf(digits.data(), digits.size(), "%zx", value);
  text.append(digits.data(), static_cast<size_t>(size));
}

}  // namespace

std::string_view HttpMethodName(HttpMethod method) {
  for (const MethodRow& row : kMethods) {
    if (row.method == method) {
      return row.name;
    }
  }
  return "OTHER";
}

struct HttpServer::Shared {
  EventLoop& loop;
  HttpServerLimits limits;
  HttpServer::Handler handler;
  std::set<std::shared_ptr<HttpConnection>> connections;
  std::shared_ptr<SharedBudget> budget{};
  bool close_after_answers = false;
  uint64_t unread_dropped = 0;
};

/// A caller's connection. Its requests are processed one at a time.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  HttpConnection(std::shared_ptr<HttpServer::Shared> server,
                 std::shared_ptr<TcpStream> stream)
      : m_server(std::move(server)),
        m_stream(std::move(stream)),
        m_parser(HttpMessageKind::kRequest,
                 m_server->limits.max_header_bytes,
                 {[this](const HttpHead& head) { return OnHead(head); },
                  [this](std::string_view bytes) { OnBody(bytes); },
                  [this] { m_complete = true; }}),
        m_idle_since(MonotonicNow()) {}

  void Start() {
    m_stream->SetDeadPeerTimeout(kDeadCallerTimeout);
    m_stream->Start({{},
                     [this](std::string_view bytes) { OnBytes(bytes); },
                     [this](StreamEnd) { OnDisconnected(); },
                     {}});
  }

  void Write(std::string_view bytes) { m_stream->Write(bytes); }

  size_t unsent() const { return m_stream->unsent(); }

  bool closes_after_answer() const { return m_server->close_after_answers; }

  /// The current response was written. Continues with the next request, or
  /// closes the connection unless `keep_open`.
  void AnswerEnded(bool keep_open) {
    m_exchange.reset();
    m_idle_since = MonotonicNow();
    if (!keep_open) {
      Linger();
      return;
    }
    m_stream->SetReading(true);
    if (!m_input.empty()) {
      m_server->loop.Post([self = shared_from_this()] { self->Parse(); });
    }
  }

  /// Closes the sending side once the written bytes are sent, then discards
  /// input until the caller closes its side or `linger_timeout` passes.
  void Linger() {
    m_lingering = true;
    m_idle_since = MonotonicNow();
    m_input.clear();
    m_stream->SetReading(true);
    m_stream->ShutDown();
  }

  /// Identifies the connection while it is open.
  uint64_t id() const { return reinterpret_cast<uintptr_t>(this); }

  /// Time since a byte was last sent; 0 if none is waiting. Updated by
  /// CheckTimeouts(), so exact to kSweepInterval.
  Duration UnreadFor(TimePoint now) const {
    return m_stream->unsent() == 0 || m_stream->sent() != m_last_sent
               ? Duration(0)
               : now - m_last_progress;
  }

  size_t request_bytes() const {
    const auto body = [](const std::shared_ptr<HttpExchange>& exchange) {
      return exchange == nullptr ? 0 : exchange->body().size();
    };
    return m_input.size() + body(m_incoming) + body(m_exchange);
  }

  /// Closes the connection because the caller does not read its response.
  void DropSlowReader() {
    ++m_server->unread_dropped;
    OnDisconnected();
  }

  /// Applies the timeouts of HttpServerLimits; called every kSweepInterval.
  void CheckTimeouts(TimePoint now) {
    if (m_stream->unsent() == 0 || m_stream->sent() != m_last_sent) {
      m_last_sent = m_stream->sent();
      m_last_progress = now;
    }
    if (UnreadFor(now) > m_server->limits.unread_timeout) {
      DropSlowReader();
      return;
    }
    if (m_lingering && m_stream->unsent() > 0) {
      m_idle_since = now;
    }
    const Duration idle = now - m_idle_since;
    if (m_lingering) {
      if (idle > m_server->limits.linger_timeout) {
        OnDisconnected();
      }
      return;
    }
    if (m_exchange != nullptr) {
      return;
    }
    if (!m_parser.at_start()) {
      if (idle > m_server->limits.header_timeout) {
        Refuse(kRequestTimeout);
      }
      return;
    }
    if (idle > m_server->limits.idle_timeout) {
      OnDisconnected();
    }
  }

  void Close() {
    m_stream->Close();
    if (m_exchange != nullptr) {
      m_exchange->m_ended = true;
    }
  }

 private:
  void OnBytes(std::string_view bytes) {
    if (m_lingering) {
      return;
    }
    if (m_exchange != nullptr) {
      m_input.append(bytes);
      if (m_input.size() > kMaxPipelinedBytes) {
        m_stream->SetReading(false);
      }
      return;
    }
    if (m_input.empty()) {
      Push(bytes);
      return;
    }
    m_input.append(bytes);
    Parse();
  }

  void Parse() {
    const std::string input = std::move(m_input);
    m_input.clear();
    Push(input);
  }

  void Push(std::string_view bytes) {
    while (!bytes.empty() && m_exchange == nullptr && !m_lingering) {
      if (m_parser.at_start()) {
        m_idle_since = MonotonicNow();
      }
      const size_t taken = m_parser.Push(bytes);
      bytes.remove_prefix(std::min(taken, bytes.size()));
      if (m_parser.fault() != HttpMessageFault::kNone) {
        Refuse(m_parser.fault() == HttpMessageFault::kHeaderTooLarge
                   ? kHeaderTooLarge
                   : kBadRequest);
        return;
      }
      if (m_complete) {
        m_complete = false;
        Dispatch();
      }
    }
    if (m_exchange != nullptr) {
      m_input.append(bytes);
    }
  }

  bool OnHead(const HttpHead& head) {
    m_incoming = std::make_shared<HttpExchange>(weak_from_this(), head);
    m_incoming->m_budget = m_server->budget;
    if (EqualHeaderNames(FindHeader(head.headers, "Expect"), "100-continue")) {
      m_stream->Write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    return true;
  }

  void OnBody(std::string_view bytes) {
    if (m_incoming == nullptr) {
      return;
    }
    if (m_incoming->m_body.size() + bytes.size() >
        m_server->limits.max_body_bytes) {
      m_incoming.reset();
      Refuse(kBodyTooLarge);
      return;
    }
    SharedBudget* budget = m_incoming->m_budget.get();
    if (budget != nullptr &&
        !budget->Add(m_incoming->m_body.size(), bytes.size())) {
      m_incoming.reset();
      Refuse(kUnavailable);
      return;
    }
    m_incoming->m_body.append(bytes);
  }

  void Dispatch() {
    if (m_incoming == nullptr) {
      return;
    }
    m_exchange = std::move(m_incoming);
    m_incoming = nullptr;
    m_server->handler(m_exchange);
  }

  /// Rejects a malformed, oversized or late request and closes the connection,
  /// since the start of the next request is unknown.
  void Refuse(int status) {
    const std::string_view retry_after =
        status == kUnavailable ? "Retry-After: 1\r\n" : "";
    m_stream->Write("HTTP/1.1 " + std::to_string(status) + " Refused\r\n" +
                    std::string(retry_after) +
                    "Connection: close\r\nContent-Length: 0\r\n\r\n");
    Linger();
  }

  void OnDisconnected() {
    const auto keep = shared_from_this();
    m_stream->Close();
    m_server->connections.erase(keep);
    if (m_exchange != nullptr) {
      const auto exchange = std::move(m_exchange);
      m_exchange = nullptr;
      exchange->NotifyCallerDisconnected();
    }
  }

  std::shared_ptr<HttpServer::Shared> m_server;
  std::shared_ptr<TcpStream> m_stream;
  HttpMessageParser m_parser;
  /// The request being received, and the one being processed.
  std::shared_ptr<HttpExchange> m_incoming;
  std::shared_ptr<HttpExchange> m_exchange;
  std::string m_input;
  bool m_complete = false;
  bool m_lingering = false;
  /// Bytes sent, and the time, when progress was last seen or nothing was
  /// waiting to be sent.
  uint64_t m_last_sent = 0;
  TimePoint m_last_progress = MonotonicNow();
  /// Start of the idle, header and linger timeouts: the accept, the first byte
  /// of the current request, the end of the last response or, while lingering,
  /// when its last byte was sent.
  TimePoint m_idle_since;
};

HttpExchange::HttpExchange(std::weak_ptr<HttpConnection> connection,
                           HttpHead head)
    : m_connection(std::move(connection)),
      m_method(std::move(head.method)),
      m_target(std::move(head.target)),
      m_headers(std::move(head.headers)),
      m_keep_alive(head.keep_alive) {}

HttpExchange::~HttpExchange() {
  if (m_budget != nullptr) {
    m_budget->Remove(m_body.size());
  }
}

HttpMethod HttpExchange::method() const {
  for (const MethodRow& row : kMethods) {
    if (row.name == m_method) {
      return row.method;
    }
  }
  return HttpMethod::kOther;
}

std::string_view HttpExchange::path() const {
  return std::string_view(m_target).substr(0, m_target.find('?'));
}

std::string HttpExchange::Query(const std::string& name) const {
  const size_t mark = m_target.find('?');
  if (mark == std::string::npos) {
    return "";
  }
  evkeyvalq values;
  if (evhttp_parse_query_str(m_target.c_str() + mark + 1, &values) != 0) {
    return "";
  }
  const char* value = evhttp_find_header(&values, name.c_str());
  std::string result = value == nullptr ? "" : value;
  evhttp_clear_headers(&values);
  return result;
}

namespace {

std::string FormatHead(int status, const HttpHeaders& headers, bool close) {
  std::string head = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  for (const auto& [name, value] : headers) {
    head.append(name).append(": ").append(value).append("\r\n");
  }
  if (close) {
    head += "Connection: close\r\n";
  }
  return head;
}

}  // namespace

void HttpExchange::Reply(int status,
                         const HttpHeaders& headers,
                         std::string_view body) {
  const auto connection = m_connection.lock();
  if (connection == nullptr || m_ended) {
    return;
  }
  const bool keep = m_keep_alive && !connection->closes_after_answer();
  std::string text = FormatHead(status, headers, !keep);
  if (StatusHasBody(status)) {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  text += "\r\n";
  if (StatusHasBody(status) && method() != HttpMethod::kHead) {
    text += body;
  }
  connection->Write(text);
  m_ended = true;
  m_on_disconnected = nullptr;
  connection->AnswerEnded(keep);
}

void HttpExchange::StartStream(int status, const HttpHeaders& headers) {
  const auto connection = m_connection.lock();
  if (connection == nullptr || m_ended) {
    return;
  }
  m_keep_alive = m_keep_alive && !connection->closes_after_answer();
  m_chunked = StatusHasBody(status) && method() != HttpMethod::kHead;
  std::string text = FormatHead(status, headers, !m_keep_alive);
  if (m_chunked) {
    text += "Transfer-Encoding: chunked\r\n";
  }
  connection->Write(text + "\r\n");
}

void HttpExchange::Send(std::string_view bytes) {
  const auto connection = m_connection.lock();
  if (connection == nullptr || m_ended || !m_chunked || bytes.empty()) {
    return;
  }
  std::string chunk;
  chunk.reserve(bytes.size() + 16);
  AppendHex(chunk, bytes.size());
  chunk.append("\r\n").append(bytes).append("\r\n");
  connection->Write(chunk);
}

void HttpExchange::End() {
  const auto connection = m_connection.lock();
  if (connection == nullptr || m_ended) {
    return;
  }
  if (m_chunked) {
    connection->Write("0\r\n\r\n");
  }
  m_ended = true;
  m_on_disconnected = nullptr;
  connection->AnswerEnded(m_keep_alive);
}

void HttpExchange::Abort() {
  const auto connection = m_connection.lock();
  if (connection == nullptr || m_ended) {
    return;
  }
  m_ended = true;
  m_on_disconnected = nullptr;
  connection->AnswerEnded(false);
}

void HttpExchange::RemoveHeader(std::string_view name) {
  std::erase_if(m_headers, [name](const auto& field) {
    return EqualHeaderNames(field.first, name);
  });
}

size_t HttpExchange::UnsentBytes() const {
  const auto connection = m_connection.lock();
  return connection == nullptr ? 0 : connection->unsent();
}

void HttpExchange::OnCallerDisconnected(std::function<void()> action) {
  m_on_disconnected = std::move(action);
}

void HttpExchange::NotifyCallerDisconnected() {
  m_ended = true;
  const auto action = std::move(m_on_disconnected);
  m_on_disconnected = nullptr;
  if (action) {
    action();
  }
}

HttpServer::HttpServer(EventLoop& loop,
                       HttpServerLimits limits,
                       Handler handler)
    : m_loop(loop),
      m_shared(std::make_shared<Shared>(
          Shared{loop, limits, std::move(handler), {}})) {}

void HttpServer::SetBudget(std::shared_ptr<SharedBudget> budget) {
  m_shared->budget = std::move(budget);
}

HttpServer::~HttpServer() {
  StopListening();
  for (const auto& connection : m_shared->connections) {
    connection->Close();
  }
  m_shared->connections.clear();
}

Result<Address> HttpServer::Listen(const Address& address) {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(address.port);
  evconnlistener* listener = nullptr;
  if (inet_pton(AF_INET, address.host.c_str(), &at.sin_addr) == 1) {
    listener = evconnlistener_new_bind(
        m_loop.base(), &HttpServer::OnAccept, this,
        LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC,
        kListenBacklog, reinterpret_cast<const sockaddr*>(&at), sizeof(at));
  }
  if (listener == nullptr) {
    return Fail(
        ResultCode::kSettingsInvalid,
        "cannot listen on " + address.ToString() +
            "; the address must belong to this host and not be in use.");
  }
  m_listeners.push_back(listener);
  if (m_sweep_timer == nullptr) {
    m_sweep_timer = m_loop.Every(kSweepInterval, [this] { Sweep(); });
  }
  socklen_t size = sizeof(at);
  getsockname(evconnlistener_get_fd(listener), reinterpret_cast<sockaddr*>(&at),
              &size);
  return Address{address.host, ntohs(at.sin_port)};
}

void HttpServer::StopListening() {
  for (evconnlistener* listener : m_listeners) {
    evconnlistener_free(listener);
  }
  m_listeners.clear();
}

void HttpServer::SetLimits(const HttpServerLimits& limits) {
  m_shared->limits = limits;
}

void HttpServer::CloseAfterAnswers() {
  m_shared->close_after_answers = true;
}

size_t HttpServer::connections() const {
  return m_shared->connections.size();
}

std::vector<HeldAnswer> HttpServer::HeldAnswers(TimePoint now) const {
  std::vector<HeldAnswer> held;
  for (const auto& connection : m_shared->connections) {
    if (connection->unsent() > 0) {
      held.push_back(
          {connection->id(), connection->unsent(), connection->UnreadFor(now)});
    }
  }
  return held;
}

size_t HttpServer::RequestBytes() const {
  size_t bytes = 0;
  for (const auto& connection : m_shared->connections) {
    bytes += connection->request_bytes();
  }
  return bytes;
}

void HttpServer::Drop(uint64_t connection) {
  for (const auto& open : m_shared->connections) {
    if (open->id() == connection) {
      open->DropSlowReader();
      return;
    }
  }
}

uint64_t HttpServer::unread_dropped() const {
  return m_shared->unread_dropped;
}

void HttpServer::OnAccept(evconnlistener*, int fd, sockaddr*, int, void* self) {
  auto* server = static_cast<HttpServer*>(self);
  auto connection = std::make_shared<HttpConnection>(
      server->m_shared, TcpStream::Accepted(server->m_loop, fd));
  server->m_shared->connections.insert(connection);
  connection->Start();
}

void HttpServer::Sweep() {
  const TimePoint now = MonotonicNow();
  // Iterates over a copy, as a connection that times out is removed from the
  // set.
  const auto connections = m_shared->connections;
  for (const auto& connection : connections) {
    connection->CheckTimeouts(now);
  }
}

}  // namespace filbertrack

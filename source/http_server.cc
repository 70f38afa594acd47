#include "filbertrack/http_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

namespace filbertrack {

namespace {

struct MethodRow {
  HttpMethod method;
  evhttp_cmd_type command;
  std::string_view name;
};

constexpr auto kMethods = std::to_array<MethodRow>({
    {HttpMethod::kGet, EVHTTP_REQ_GET, "GET"},
    {HttpMethod::kHead, EVHTTP_REQ_HEAD, "HEAD"},
    {HttpMethod::kPost, EVHTTP_REQ_POST, "POST"},
    {HttpMethod::kPut, EVHTTP_REQ_PUT, "PUT"},
    {HttpMethod::kDelete, EVHTTP_REQ_DELETE, "DELETE"},
});

std::string TakeBody(evhttp_request* request) {
  evbuffer* buffer = evhttp_request_get_input_buffer(request);
  std::string body(evbuffer_get_length(buffer), '\0');
  evbuffer_remove(buffer, body.data(), body.size());
  return body;
}

void AddHeaders(evhttp_request* request, const HttpHeaders& headers) {
  evkeyvalq* output = evhttp_request_get_output_headers(request);
  for (const auto& [name, value] : headers) {
    evhttp_add_header(output, name.c_str(), value.c_str());
  }
}

/// A connection to be freed, unless evhttp frees it first.
struct PendingClose {
  evhttp_connection* connection;
};

void ForgetConnection(evhttp_connection*, void* pending) {
  static_cast<PendingClose*>(pending)->connection = nullptr;
}

/// Frees `connection` from the loop: the present callback may be one of its
/// own, and evhttp would go on using it after we return.
void CloseFromLoop(EventLoop& loop, evhttp_connection* connection) {
  auto pending = std::make_shared<PendingClose>(PendingClose{connection});
  evhttp_connection_set_closecb(connection, ForgetConnection, pending.get());
  loop.Post([pending] {
    if (pending->connection != nullptr) {
      evhttp_connection_set_closecb(pending->connection, nullptr, nullptr);
      evhttp_connection_free(pending->connection);
    }
  });
}

int SocketOf(evhttp_connection* connection) {
  return bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
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

HttpExchange::HttpExchange(EventLoop& loop, evhttp_request* request)
    : m_loop(loop),
      m_request(request),
      m_target(evhttp_request_get_uri(request)),
      m_body(TakeBody(request)) {
  m_path = m_target.substr(0, m_target.find('?'));
  evhttp_connection* connection = evhttp_request_get_connection(request);
  evhttp_connection_set_closecb(
      connection,
      [](evhttp_connection* freed, void* self) {
        OnConnectionFreed(freed, self);
      },
      this);
  // evhttp does not read while an answer is due, so it would see a caller that
  // went away only when writing to it. Watching for the close alone keeps the
  // bytes of a pipelined request unread, which evhttp could not take now.
  m_close_event = event_new(loop.base(), SocketOf(connection), EV_CLOSED,
                            &HttpExchange::OnSocketClosed, this);
  event_add(m_close_event, nullptr);
}

HttpExchange::~HttpExchange() {
  if (m_request != nullptr) {
    Abort();
  }
  Detach();
}

HttpMethod HttpExchange::method() const {
  if (m_request == nullptr) {
    return HttpMethod::kOther;
  }
  const evhttp_cmd_type command = evhttp_request_get_command(m_request);
  for (const MethodRow& row : kMethods) {
    if (row.command == command) {
      return row.method;
    }
  }
  return HttpMethod::kOther;
}

std::string HttpExchange::Query(const std::string& name) const {
  const size_t mark = m_target.find('?');
  if (mark == std::string::npos) {
    return "";
  }
  evkeyvalq values{};
  evhttp_parse_query_str(m_target.c_str() + mark + 1, &values);
  const char* value = evhttp_find_header(&values, name.c_str());
  std::string text = value == nullptr ? "" : value;
  evhttp_clear_headers(&values);
  return text;
}

std::string_view HttpExchange::Header(const std::string& name) const {
  if (m_request == nullptr) {
    return "";
  }
  const char* value = evhttp_find_header(
      evhttp_request_get_input_headers(m_request), name.c_str());
  return value == nullptr ? "" : value;
}

HttpHeaders HttpExchange::Headers() const {
  HttpHeaders headers;
  if (m_request == nullptr) {
    return headers;
  }
  const evkeyvalq* input = evhttp_request_get_input_headers(m_request);
  for (const evkeyval* row = input->tqh_first; row != nullptr;
       row = row->next.tqe_next) {
    headers.emplace_back(row->key, row->value);
  }
  return headers;
}

void HttpExchange::Reply(int status,
                         const HttpHeaders& headers,
                         std::string_view body) {
  if (m_request == nullptr) {
    return;
  }
  AddHeaders(m_request, headers);
  evbuffer* buffer = evhttp_request_get_output_buffer(m_request);
  evbuffer_add(buffer, body.data(), body.size());
  evhttp_request* request = m_request;
  Detach();
  evhttp_send_reply(request, status, nullptr, nullptr);
}

void HttpExchange::StartStream(int status, const HttpHeaders& headers) {
  if (m_request == nullptr) {
    return;
  }
  AddHeaders(m_request, headers);
  evhttp_send_reply_start(m_request, status, nullptr);
}

void HttpExchange::Send(std::string_view bytes) {
  if (m_request == nullptr || bytes.empty()) {
    return;
  }
  evbuffer* buffer = evbuffer_new();
  evbuffer_add(buffer, bytes.data(), bytes.size());
  evhttp_send_reply_chunk(m_request, buffer);
  evbuffer_free(buffer);
}

void HttpExchange::End() {
  if (m_request == nullptr) {
    return;
  }
  evhttp_request* request = m_request;
  Detach();
  evhttp_send_reply_end(request);
}

void HttpExchange::Abort() {
  if (m_request == nullptr) {
    return;
  }
  evhttp_request* request = m_request;
  evhttp_connection* connection = evhttp_request_get_connection(request);
  Detach();
  if (connection == nullptr) {
    evhttp_request_free(request);
    return;
  }
  CloseFromLoop(m_loop, connection);
}

void HttpExchange::SendThenAbort(std::string_view bytes) {
  if (m_request == nullptr) {
    return;
  }
  m_on_gone = nullptr;
  m_keep = shared_from_this();
  evbuffer* buffer = evbuffer_new();
  evbuffer_add(buffer, bytes.data(), bytes.size());
  evhttp_send_reply_chunk_with_cb(
      m_request, buffer,
      [](evhttp_connection*, void* self) {
        auto* exchange = static_cast<HttpExchange*>(self);
        const std::shared_ptr<HttpExchange> keep = std::move(exchange->m_keep);
        exchange->Abort();
      },
      this);
  evbuffer_free(buffer);
}

size_t HttpExchange::UnsentBytes() const {
  if (m_request == nullptr) {
    return 0;
  }
  evhttp_connection* connection = evhttp_request_get_connection(m_request);
  return evbuffer_get_length(
      bufferevent_get_output(evhttp_connection_get_bufferevent(connection)));
}

void HttpExchange::OnCallerGone(std::function<void()> action) {
  m_on_gone = std::move(action);
}

void HttpExchange::OnSocketClosed(int, short, void* self) {
  static_cast<HttpExchange*>(self)->CallerGone();
}

void HttpExchange::OnConnectionFreed(void*, void* self) {
  auto* exchange = static_cast<HttpExchange*>(self);
  evhttp_request* request = exchange->m_request;
  // evhttp detaches an unanswered request before it frees the connection, and
  // leaves it to us; an attached one it frees itself.
  if (request != nullptr && evhttp_request_get_connection(request) == nullptr) {
    evhttp_request_free(request);
  }
  exchange->m_request = nullptr;
  exchange->CallerGone();
}

void HttpExchange::CallerGone() {
  const std::shared_ptr<HttpExchange> keep = std::move(m_keep);
  const std::function<void()> action = std::move(m_on_gone);
  m_on_gone = nullptr;
  if (m_request != nullptr) {
    Abort();
  }
  Detach();
  if (action) {
    action();
  }
}

void HttpExchange::Detach() {
  if (m_close_event != nullptr) {
    event_free(m_close_event);
    m_close_event = nullptr;
  }
  if (m_request != nullptr) {
    evhttp_connection* connection = evhttp_request_get_connection(m_request);
    if (connection != nullptr) {
      evhttp_connection_set_closecb(connection, nullptr, nullptr);
    }
    m_request = nullptr;
  }
  m_on_gone = nullptr;
}

HttpServer::HttpServer(EventLoop& loop,
                       HttpServerLimits limits,
                       Handler handler)
    : m_loop(loop),
      m_handler(std::move(handler)),
      m_http(evhttp_new(loop.base())) {
  evhttp_set_max_headers_size(m_http,
                              static_cast<ev_ssize_t>(limits.max_header_bytes));
  evhttp_set_max_body_size(m_http,
                           static_cast<ev_ssize_t>(limits.max_body_bytes));
  evhttp_set_timeout(m_http,
                     static_cast<int>(limits.idle_timeout / Seconds(1)));
  evhttp_set_allowed_methods(m_http, EVHTTP_REQ_GET | EVHTTP_REQ_POST |
                                         EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE |
                                         EVHTTP_REQ_HEAD);
  evhttp_set_gencb(m_http, &HttpServer::OnRequest, this);
}

HttpServer::~HttpServer() {
  evhttp_free(m_http);
}

Result<Address> HttpServer::Listen(const Address& address) {
  evhttp_bound_socket* socket = evhttp_bind_socket_with_handle(
      m_http, address.host.c_str(), address.port);
  if (socket == nullptr) {
    return Fail(ResultCode::kInternal,
                "The address '" + address.ToString() +
                    "' cannot be listened on; it must be free and of this "
                    "host.");
  }
  m_sockets.push_back(socket);
  sockaddr_in bound{};
  socklen_t size = sizeof(bound);
  getsockname(evhttp_bound_socket_get_fd(socket),
              reinterpret_cast<sockaddr*>(&bound), &size);
  return Address{address.host, ntohs(bound.sin_port)};
}

void HttpServer::StopListening() {
  for (void* socket : m_sockets) {
    evhttp_del_accept_socket(m_http, static_cast<evhttp_bound_socket*>(socket));
  }
  m_sockets.clear();
}

void HttpServer::OnRequest(evhttp_request* request, void* self) {
  auto* server = static_cast<HttpServer*>(self);
  evhttp_connection* connection = evhttp_request_get_connection(request);
  const int no_delay = 1;
  setsockopt(SocketOf(connection), IPPROTO_TCP, TCP_NODELAY, &no_delay,
             sizeof(no_delay));
  server->m_handler(std::make_shared<HttpExchange>(server->m_loop, request));
}

}  // namespace filbertrack

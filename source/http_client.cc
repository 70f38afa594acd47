#include "filbertrack/http_client.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

namespace filbertrack {

namespace {

evhttp_cmd_type ToCommand(HttpMethod method) {
  switch (method) {
    case HttpMethod::kHead:
      return EVHTTP_REQ_HEAD;
    case HttpMethod::kPost:
      return EVHTTP_REQ_POST;
    case HttpMethod::kPut:
      return EVHTTP_REQ_PUT;
    case HttpMethod::kDelete:
      return EVHTTP_REQ_DELETE;
    case HttpMethod::kGet:
    case HttpMethod::kOther:
      return EVHTTP_REQ_GET;
  }
  return EVHTTP_REQ_GET;
}

HttpHeaders ReadHeaders(evhttp_request* request) {
  HttpHeaders headers;
  const evkeyvalq* input = evhttp_request_get_input_headers(request);
  for (const evkeyval* row = input->tqh_first; row != nullptr;
       row = row->next.tqe_next) {
    headers.emplace_back(row->key, row->value);
  }
  return headers;
}

}  // namespace

/// Connections without a call, by address.
struct HttpClient::Pool {
  EventLoop& loop;
  size_t max_idle;
  std::map<Address, std::vector<evhttp_connection*>> idle;

  ~Pool() {
    for (auto& [address, connections] : idle) {
      for (evhttp_connection* connection : connections) {
        evhttp_connection_free(connection);
      }
    }
  }
};

struct HttpCall::State : std::enable_shared_from_this<HttpCall::State> {
  std::shared_ptr<HttpClient::Pool> pool;
  Address address;
  HttpCallEvents events;
  evhttp_connection* connection = nullptr;
  evhttp_request* request = nullptr;
  evbuffer_cb_entry* output_watch = nullptr;
  bool bytes_may_have_left = false;
  bool truncated = false;
  /// Keeps the state alive until evhttp's last callback for the request.
  std::shared_ptr<State> self;

  evbuffer* Output() const {
    return bufferevent_get_output(
        evhttp_connection_get_bufferevent(connection));
  }

  /// Takes a kept connection or opens one.
  void Connect(bool fresh) {
    std::vector<evhttp_connection*>& kept = pool->idle[address];
    if (!fresh && !kept.empty()) {
      connection = kept.back();
      kept.pop_back();
      evhttp_connection_set_closecb(connection, nullptr, nullptr);
    } else {
      connection = evhttp_connection_base_bufferevent_new(
          pool->loop.base(), nullptr, nullptr, address.host.c_str(),
          address.port);
    }
    output_watch = evbuffer_add_cb(Output(), &State::OnOutput, this);
  }

  void Send(HttpCallRequest call) {
    request = evhttp_request_new(&State::OnDone, this);
    evhttp_request_set_header_cb(request, &State::OnHead);
    evhttp_request_set_chunked_cb(request, &State::OnChunk);
    evhttp_request_set_error_cb(request, &State::OnError);
    evkeyvalq* headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", address.ToString().c_str());
    for (const auto& [name, value] : call.headers) {
      evhttp_add_header(headers, name.c_str(), value.c_str());
    }
    evbuffer_add(evhttp_request_get_output_buffer(request), call.body.data(),
                 call.body.size());
    // evhttp's own default is 50 s; 0 in a call means no limit.
    const Duration timeout =
        call.idle_timeout > Duration(0) ? call.idle_timeout : Seconds(86400);
    const timeval limit{
        static_cast<time_t>(timeout / Seconds(1)),
        static_cast<suseconds_t>((timeout % Seconds(1)).count())};
    evhttp_connection_set_timeout_tv(connection, &limit);
    self = shared_from_this();
    if (evhttp_make_request(connection, request, ToCommand(call.method),
                            call.target.c_str()) != 0) {
      // evhttp has freed the request and will not call back.
      request = nullptr;
      pool->loop.Post([state = shared_from_this()] { state->Fail(); });
    }
  }

  void Unwatch() {
    if (output_watch != nullptr) {
      evbuffer_remove_cb_entry(Output(), output_watch);
      output_watch = nullptr;
    }
  }

  /// Frees the connection from the loop, outside evhttp's callbacks.
  void DropConnection() {
    if (connection == nullptr) {
      return;
    }
    Unwatch();
    pool->loop.Post(
        [dropped = connection] { evhttp_connection_free(dropped); });
    connection = nullptr;
  }

  /// Keeps the connection for the next call, if it stays open.
  void KeepConnection() {
    Unwatch();
    pool->loop.Post([kept = connection, keeper = pool, to = address] {
      std::vector<evhttp_connection*>& idle = keeper->idle[to];
      if (idle.size() >= keeper->max_idle) {
        evhttp_connection_free(kept);
        return;
      }
      idle.push_back(kept);
    });
    connection = nullptr;
  }

  void Fail() {
    const std::shared_ptr<State> keep = std::move(self);
    request = nullptr;
    DropConnection();
    const auto on_failure = std::move(events.on_failure);
    events = {};
    if (on_failure) {
      on_failure(bytes_may_have_left);
    }
  }

  static void OnOutput(evbuffer*, const evbuffer_cb_info* info, void* self) {
    if (info->n_deleted > 0) {
      static_cast<State*>(self)->bytes_may_have_left = true;
    }
  }

  static int OnHead(evhttp_request* request, void* self) {
    auto* state = static_cast<State*>(self);
    const std::shared_ptr<State> keep = state->shared_from_this();
    // A copy: the callback may end the call, which clears the events.
    const auto on_head = state->events.on_head;
    if (on_head) {
      on_head(evhttp_request_get_response_code(request), ReadHeaders(request));
    }
    return 0;
  }

  static void OnChunk(evhttp_request* request, void* self) {
    auto* state = static_cast<State*>(self);
    const std::shared_ptr<State> keep = state->shared_from_this();
    evbuffer* buffer = evhttp_request_get_input_buffer(request);
    std::string bytes(evbuffer_get_length(buffer), '\0');
    evbuffer_remove(buffer, bytes.data(), bytes.size());
    const auto on_bytes = state->events.on_bytes;
    if (on_bytes) {
      on_bytes(bytes);
    }
  }

  static void OnError(evhttp_request_error, void* self) {
    static_cast<State*>(self)->truncated = true;
  }

  static void OnDone(evhttp_request* request, void* self) {
    auto* state = static_cast<State*>(self);
    if (request == nullptr || state->truncated ||
        evhttp_request_get_response_code(request) == 0) {
      state->Fail();
      return;
    }
    const std::shared_ptr<State> keep = std::move(state->self);
    const int status = evhttp_request_get_response_code(request);
    state->request = nullptr;
    state->KeepConnection();
    const auto on_end = std::move(state->events.on_end);
    state->events = {};
    if (on_end) {
      on_end(status);
    }
  }
};

HttpCall::~HttpCall() {
  const std::shared_ptr<State> state = std::move(m_state);
  state->events = {};
  if (state->request == nullptr) {
    return;
  }
  // The cancel waits for the loop because the present callback may be one of
  // this request's. The connection is dropped with it: the rest of its answer
  // could otherwise reach the next call.
  state->pool->loop.Post([state] {
    if (state->request == nullptr) {
      return;
    }
    evhttp_request* request = state->request;
    state->request = nullptr;
    evhttp_cancel_request(request);
    state->DropConnection();
    state->self.reset();
  });
}

HttpClient::HttpClient(EventLoop& loop, size_t max_idle)
    : m_pool(std::make_shared<Pool>(Pool{loop, max_idle, {}})) {}

HttpClient::~HttpClient() = default;

std::unique_ptr<HttpCall> HttpClient::Start(const Address& address,
                                            HttpCallRequest request,
                                            HttpCallEvents events) {
  auto state = std::make_shared<HttpCall::State>();
  state->pool = m_pool;
  state->address = address;
  state->events = std::move(events);
  state->Connect(request.fresh_connection);
  state->Send(std::move(request));
  return std::unique_ptr<HttpCall>(new HttpCall(state));
}

}  // namespace filbertrack

#include "filbertrack/peer_link.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <map>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/connection_base.hpp>
#include <websocketpp/endpoint_base.hpp>
#include <websocketpp/extensions/permessage_deflate/disabled.hpp>
#include <websocketpp/http/request.hpp>
#include <websocketpp/http/response.hpp>
#include <websocketpp/logger/levels.hpp>
#include <websocketpp/logger/stub.hpp>
#include <websocketpp/message_buffer/alloc.hpp>
#include <websocketpp/message_buffer/message.hpp>
#include <websocketpp/random/random_device.hpp>
#include <websocketpp/server.hpp>
#include <websocketpp/transport/iostream/endpoint.hpp>

#include "filbertrack/base_hash.h"
#include "filbertrack/peer_frame.h"

namespace filbertrack {

namespace ws = websocketpp;

/// websocketpp prescribes the names in this namespace.
// NOLINTBEGIN(readability-identifier-naming)
namespace peer_link_config {

/// websocketpp configuration without Asio, threads and logging: a bufferevent
/// is the transport. The library's core configuration cannot be used because
/// its logger does not compile as C++20.
struct PeerConfig {
  using type = PeerConfig;
  using concurrency_type = ws::concurrency::none;
  using request_type = ws::http::parser::request;
  using response_type = ws::http::parser::response;
  using message_type =
      ws::message_buffer::message<ws::message_buffer::alloc::con_msg_manager>;
  using con_msg_manager_type =
      ws::message_buffer::alloc::con_msg_manager<message_type>;
  using endpoint_msg_manager_type =
      ws::message_buffer::alloc::endpoint_msg_manager<con_msg_manager_type>;
  using elog_type = ws::log::stub;
  using alog_type = ws::log::stub;
  using rng_type =
      ws::random::random_device::int_generator<uint32_t, concurrency_type>;

  struct transport_config {
    using concurrency_type = type::concurrency_type;
    using elog_type = type::elog_type;
    using alog_type = type::alog_type;
    using request_type = type::request_type;
    using response_type = type::response_type;
    static const bool enable_multithreading = false;
    static const long timeout_socket_pre_init = 5000;
    static const long timeout_proxy = 5000;
    static const long timeout_socket_post_init = 5000;
    static const long timeout_dns_resolve = 5000;
    static const long timeout_connect = 5000;
    static const long timeout_socket_shutdown = 5000;
  };
  using transport_type = ws::transport::iostream::endpoint<transport_config>;
  using endpoint_base = ws::endpoint_base;
  using connection_base = ws::connection_base;

  struct permessage_deflate_config {
    using request_type = type::request_type;
    static const bool allow_disabling_context_takeover = true;
    static const uint8_t minimum_outgoing_window_bits = 8;
  };
  using permessage_deflate_type =
      ws::extensions::permessage_deflate::disabled<permessage_deflate_config>;

  static const bool enable_multithreading = false;
  static const long timeout_open_handshake = 5000;
  static const long timeout_close_handshake = 5000;
  static const long timeout_pong = 5000;
  static const int client_version = 13;
  static const ws::log::level elog_level = ws::log::elevel::none;
  static const ws::log::level alog_level = ws::log::alevel::none;
  static const size_t connection_read_buffer_size = 16384;
  static const bool drop_on_protocol_error = true;
  static const bool silent_close = true;
  static const size_t max_message_size = kMaxPeerMessageBytes;
  static const size_t max_http_body_size = 1024;
  static const bool enable_extensions = false;
};

}  // namespace peer_link_config
// NOLINTEND(readability-identifier-naming)

namespace {

using peer_link_config::PeerConfig;

constexpr std::string_view kNonceHeader = "Filbert-Nonce";

using WsServer = ws::server<PeerConfig>;
using WsClient = ws::client<PeerConfig>;

std::string SealContext(std::string_view direction,
                        std::string_view client_nonce,
                        std::string_view server_nonce) {
  return std::string(direction) + " " + std::string(client_nonce) + " " +
         std::string(server_nonce);
}

void SetNoDelay(int socket) {
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

/// Connects a bufferevent with the websocketpp connection that runs on it.
template <typename Endpoint>
class WebSocketStream
    : public std::enable_shared_from_this<WebSocketStream<Endpoint>> {
 public:
  using Connection = typename Endpoint::connection_ptr;

  WebSocketStream(EventLoop& loop, bufferevent* socket, Connection connection)
      : m_loop(loop), m_socket(socket), m_connection(std::move(connection)) {
    m_connection->set_write_handler(
        [this](const ws::connection_hdl&, const char* bytes, size_t size) {
          Write(bytes, size);
          return ws::lib::error_code();
        });
    bufferevent_setcb(m_socket, &WebSocketStream::OnRead, nullptr,
                      &WebSocketStream::OnEvent, this);
    bufferevent_enable(m_socket, EV_READ | EV_WRITE);
  }

  ~WebSocketStream() {
    m_connection->set_message_handler(nullptr);
    m_connection->set_open_handler(nullptr);
    m_connection->set_fail_handler(nullptr);
    m_connection->set_close_handler(nullptr);
    if (m_socket != nullptr) {
      bufferevent_free(m_socket);
    }
    m_connection->eof();
  }

  const Connection& connection() const { return m_connection; }

  void SendBinary(const std::string& bytes) {
    if (m_socket != nullptr) {
      m_connection->send(bytes, ws::frame::opcode::binary);
    }
  }

  /// Stops sending and calls `on_closed`, which releases the connection, from
  /// the event loop, outside the callbacks of libevent and websocketpp.
  void Close() {
    if (m_closed) {
      return;
    }
    m_closed = true;
    m_loop.Post([self = this->shared_from_this()] {
      const auto on_closed = std::move(self->on_closed);
      self->on_connected = nullptr;
      if (on_closed) {
        on_closed();
      }
    });
  }

  std::function<void()> on_connected;
  std::function<void()> on_closed;

 private:
  void Write(const char* bytes, size_t size) {
    if (m_socket != nullptr && !m_closed) {
      ProcessPeerTraffic().bytes_out += size;
      bufferevent_write(m_socket, bytes, size);
    }
  }

  static void OnRead(bufferevent* socket, void* self) {
    const auto stream = static_cast<WebSocketStream*>(self)->shared_from_this();
    std::string bytes(evbuffer_get_length(bufferevent_get_input(socket)), '\0');
    bytes.resize(bufferevent_read(socket, bytes.data(), bytes.size()));
    ProcessPeerTraffic().bytes_in += bytes.size();
    if (stream->m_closed) {
      return;
    }
    const size_t consumed =
        stream->m_connection->read_all(bytes.data(), bytes.size());
    // websocketpp leaves bytes unread only after a protocol error.
    if (consumed < bytes.size() ||
        stream->m_connection->get_state() == ws::session::state::closed) {
      stream->Close();
    }
  }

  static void OnEvent(bufferevent*, short what, void* self) {
    const auto stream = static_cast<WebSocketStream*>(self)->shared_from_this();
    if ((what & BEV_EVENT_CONNECTED) != 0) {
      SetNoDelay(bufferevent_getfd(stream->m_socket));
      if (stream->on_connected) {
        stream->on_connected();
      }
      return;
    }
    stream->Close();
  }

  EventLoop& m_loop;
  bufferevent* m_socket;
  Connection m_connection;
  bool m_closed = false;
};

template <typename Endpoint>
void DisableLogging(Endpoint& endpoint) {
  endpoint.clear_access_channels(ws::log::alevel::all);
  endpoint.clear_error_channels(ws::log::elevel::all);
}

}  // namespace

PeerTraffic& ProcessPeerTraffic() {
  static PeerTraffic traffic;
  return traffic;
}

struct PeerServer::State : std::enable_shared_from_this<PeerServer::State> {
  struct Peer {
    std::shared_ptr<WebSocketStream<WsServer>> stream;
    std::string client_nonce;
    std::string server_nonce;
    std::unique_ptr<FrameSealer> in;
    std::unique_ptr<FrameSealer> out;
  };

  State(EventLoop& event_loop, std::string shared_key, Handler request_handler)
      : loop(event_loop),
        key(std::move(shared_key)),
        handler(std::move(request_handler)) {
    DisableLogging(endpoint);
  }

  ~State() {
    if (listener != nullptr) {
      evconnlistener_free(listener);
    }
  }

  static void OnAccept(evconnlistener*,
                       int socket,
                       sockaddr*,
                       int,
                       void* argument) {
    static_cast<State*>(argument)->Accept(socket);
  }

  void Accept(int socket) {
    SetNoDelay(socket);
    bufferevent* buffered =
        bufferevent_socket_new(loop.base(), socket, BEV_OPT_CLOSE_ON_FREE);
    const uint64_t id = ++last_peer;
    auto connection = endpoint.get_connection();
    Peer& peer = peers[id];
    peer.stream =
        std::make_shared<WebSocketStream<WsServer>>(loop, buffered, connection);
    peer.stream->on_closed = [this, id] { peers.erase(id); };
    connection->set_open_handler(
        [this, id](const ws::connection_hdl&) { OnOpen(id); });
    connection->set_message_handler(
        [this, id](const ws::connection_hdl&,
                   const WsServer::message_ptr& message) {
          OnFrame(id, message->get_payload());
        });
    connection->start();
  }

  void OnOpen(uint64_t id) {
    Peer& peer = peers.at(id);
    peer.client_nonce = peer.stream->connection()->get_request_header(
        std::string(kNonceHeader));
    peer.server_nonce = RandomId();
    peer.in = std::make_unique<FrameSealer>(
        key, SealContext("ask", peer.client_nonce, peer.server_nonce));
    peer.out = std::make_unique<FrameSealer>(
        key, SealContext("answer", peer.client_nonce, peer.server_nonce));
    peer.stream->SendBinary(peer.server_nonce);
  }

  void OnFrame(uint64_t id, const std::string& frame) {
    Peer& peer = peers.at(id);
    const auto payload = peer.in->Open(frame);
    if (!payload) {
      // Not authenticated, or not the next frame: the payload is not parsed.
      ++ProcessPeerTraffic().refused_frames;
      peer.stream->Close();
      return;
    }
    ++ProcessPeerTraffic().messages_in;
    handler(*payload, [weak = weak_from_this(), id](const std::string& answer) {
      if (const auto state = weak.lock()) {
        state->Send(id, answer);
      }
    });
  }

  void Send(uint64_t id, const std::string& answer) {
    const auto peer = peers.find(id);
    if (peer != peers.end()) {
      peer->second.stream->SendBinary(peer->second.out->Seal(answer));
    }
  }

  EventLoop& loop;
  std::string key;
  Handler handler;
  WsServer endpoint;
  evconnlistener* listener = nullptr;
  std::map<uint64_t, Peer> peers;
  uint64_t last_peer = 0;
};

PeerServer::PeerServer(EventLoop& loop, std::string key, Handler handler)
    : m_state(
          std::make_shared<State>(loop, std::move(key), std::move(handler))) {}

PeerServer::~PeerServer() = default;

bool PeerServer::Listen(const Address& address, Address* result) {
  sockaddr_in bound{};
  bound.sin_family = AF_INET;
  bound.sin_port = htons(address.port);
  inet_pton(AF_INET, address.host.c_str(), &bound.sin_addr);
  m_state->listener = evconnlistener_new_bind(
      m_state->loop.base(), &State::OnAccept, m_state.get(),
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
      reinterpret_cast<sockaddr*>(&bound), sizeof(bound));
  if (m_state->listener == nullptr) {
    return false;
  }
  socklen_t size = sizeof(bound);
  getsockname(evconnlistener_get_fd(m_state->listener),
              reinterpret_cast<sockaddr*>(&bound), &size);
  *result = {address.host, ntohs(bound.sin_port)};
  return true;
}

struct PeerClient::State : std::enable_shared_from_this<PeerClient::State> {
  using Done = std::function<void(const std::string*)>;

  State(EventLoop& event_loop, std::string shared_key, Address peer)
      : loop(event_loop), key(std::move(shared_key)), address(std::move(peer)) {
    DisableLogging(endpoint);
  }

  void Connect() {
    ws::lib::error_code error;
    auto connection =
        endpoint.get_connection("ws://" + address.ToString(), error);
    client_nonce = RandomId();
    connection->append_header(std::string(kNonceHeader), client_nonce);
    connection->set_message_handler(
        [this](const ws::connection_hdl&,
               const WsClient::message_ptr& message) {
          OnFrame(message->get_payload());
        });
    bufferevent* buffered =
        bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    stream =
        std::make_shared<WebSocketStream<WsClient>>(loop, buffered, connection);
    in.reset();
    stream->on_connected = [this, connection] { endpoint.connect(connection); };
    stream->on_closed = [this] { Disconnect(); };
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(address.port);
    inet_pton(AF_INET, address.host.c_str(), &to.sin_addr);
    bufferevent_socket_connect(buffered, reinterpret_cast<sockaddr*>(&to),
                               sizeof(to));
  }

  void OnFrame(const std::string& frame) {
    if (in == nullptr) {
      in = std::make_unique<FrameSealer>(
          key, SealContext("answer", client_nonce, frame));
      out = std::make_unique<FrameSealer>(
          key, SealContext("ask", client_nonce, frame));
      SendRequest();
      return;
    }
    const auto payload = in->Open(frame);
    if (!payload) {
      ++ProcessPeerTraffic().refused_frames;
      stream->Close();
      return;
    }
    ++ProcessPeerTraffic().messages_in;
    const std::string answer(*payload);
    Complete(&answer);
  }

  void SendRequest() {
    if (done && !sent && in != nullptr) {
      sent = true;
      stream->SendBinary(out->Seal(request));
    }
  }

  /// Closes the connection and completes the request in flight without a reply.
  /// A late reply to it cannot arrive on a new connection.
  void Disconnect() {
    if (stream != nullptr) {
      stream->on_closed = nullptr;
      stream->on_connected = nullptr;
      loop.Post([kept_alive = stream] {});
      stream->Close();
    }
    stream.reset();
    in.reset();
    Complete(nullptr);
  }

  void Complete(const std::string* answer) {
    timer.reset();
    const Done finished = std::move(done);
    done = nullptr;
    if (finished) {
      finished(answer);
    }
  }

  EventLoop& loop;
  std::string key;
  Address address;
  WsClient endpoint;
  std::shared_ptr<WebSocketStream<WsClient>> stream;
  std::string client_nonce;
  std::unique_ptr<FrameSealer> in;
  std::unique_ptr<FrameSealer> out;
  std::string request;
  bool sent = false;
  Done done;
  std::unique_ptr<Timer> timer;
};

PeerClient::PeerClient(EventLoop& loop, std::string key, Address address)
    : m_state(
          std::make_shared<State>(loop, std::move(key), std::move(address))) {}

PeerClient::~PeerClient() {
  m_state->done = nullptr;
  m_state->Disconnect();
}

void PeerClient::Ask(std::string payload,
                     Duration timeout,
                     std::function<void(const std::string*)> done) {
  State& state = *m_state;
  state.request = std::move(payload);
  state.sent = false;
  state.done = std::move(done);
  state.timer = state.loop.After(timeout, [&state] { state.Disconnect(); });
  if (state.stream == nullptr) {
    state.Connect();
  } else {
    state.SendRequest();
  }
}

bool PeerClient::IsTo(const Address& address) const {
  return m_state->address == address;
}

bool PeerClient::busy() const {
  return m_state->done != nullptr;
}

}  // namespace filbertrack

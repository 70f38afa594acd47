#include "soak_proxy.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include <string>

#include <event2/listener.h>

namespace filbertrack::soak {

Proxy::Proxy(EventLoop& loop, const Address& server)
    : m_loop(loop), m_server(server) {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  m_listener = evconnlistener_new_bind(
      loop.base(), &Proxy::OnAccept, this,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, -1,
      reinterpret_cast<sockaddr*>(&at), sizeof(at));
  socklen_t size = sizeof(at);
  getsockname(evconnlistener_get_fd(m_listener),
              reinterpret_cast<sockaddr*>(&at), &size);
  m_address = {"127.0.0.1", ntohs(at.sin_port)};
}

Proxy::~Proxy() {
  *m_alive = false;
  ResetAll();
  evconnlistener_free(m_listener);
}

void Proxy::ResetAll() {
  while (!m_connections.empty()) {
    // A copy, since CloseConnection() removes the element from the list.
    const std::shared_ptr<Connection> first = m_connections.front();
    CloseConnection(first);
  }
}

void Proxy::OnAccept(evconnlistener*, int fd, sockaddr*, int, void* self) {
  auto* proxy = static_cast<Proxy*>(self);
  auto connection = std::make_shared<Connection>();
  connection->client = TcpStream::Accepted(proxy->m_loop, fd);
  if (proxy->m_faults.refuses) {
    connection->client->Close();
    return;
  }
  connection->server = TcpStream::Connect(proxy->m_loop, proxy->m_server);
  proxy->m_connections.push_back(connection);
  const auto end = [proxy, weak = std::weak_ptr(connection)](StreamEnd) {
    if (const auto closing = weak.lock()) {
      proxy->CloseConnection(closing);
    }
  };
  const auto forward = [proxy,
                        weak = std::weak_ptr(connection)](bool to_server) {
    return [proxy, weak, to_server](std::string_view bytes) {
      if (const auto connection_open = weak.lock()) {
        proxy->Forward(connection_open, to_server, bytes);
      }
    };
  };
  connection->client->Start({{}, forward(true), end, {}});
  connection->server->Start({{}, forward(false), end, {}});
}

void Proxy::Forward(const std::shared_ptr<Connection>& connection,
                    bool to_server,
                    std::string_view bytes) {
  const bool drops =
      to_server ? m_faults.drops_to_server : m_faults.drops_to_client;
  if (drops || connection->closed) {
    return;
  }
  const auto write = [connection, to_server, text = std::string(bytes)] {
    const auto& stream = to_server ? connection->server : connection->client;
    if (!connection->closed && stream->is_open()) {
      stream->Write(text);
    }
  };
  // Writes go through a timer even without a delay, so that bytes that were
  // delayed before are written first.
  m_loop.Call(m_faults.delay, write);
}

void Proxy::CloseConnection(const std::shared_ptr<Connection>& connection) {
  if (m_connections.remove(connection) == 0) {
    return;
  }
  // Bytes that were read before the end are still forwarded.
  m_loop.Call(m_faults.delay, [connection] {
    connection->closed = true;
    connection->client->ShutDown();
    connection->server->ShutDown();
  });
  m_loop.Call(m_faults.delay + Milliseconds(50), [connection] {
    connection->client->Close();
    connection->server->Close();
  });
}

}  // namespace filbertrack::soak

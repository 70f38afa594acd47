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
  while (!m_pairs.empty()) {
    // The list lets go of it while it is ended.
    const std::shared_ptr<Pair> first = m_pairs.front();
    End(first);
  }
}

void Proxy::OnAccept(evconnlistener*, int fd, sockaddr*, int, void* self) {
  auto* proxy = static_cast<Proxy*>(self);
  auto pair = std::make_shared<Pair>();
  pair->client = TcpStream::Accepted(proxy->m_loop, fd);
  if (proxy->m_faults.refuses) {
    pair->client->Close();
    return;
  }
  pair->server = TcpStream::Connect(proxy->m_loop, proxy->m_server);
  proxy->m_pairs.push_back(pair);
  const auto end = [proxy, weak = std::weak_ptr(pair)](StreamEnd) {
    if (const auto ended = weak.lock()) {
      proxy->End(ended);
    }
  };
  const auto pass = [proxy, weak = std::weak_ptr(pair)](bool to_server) {
    return [proxy, weak, to_server](std::string_view bytes) {
      if (const auto open = weak.lock()) {
        proxy->Pass(open, to_server, bytes);
      }
    };
  };
  pair->client->Start({{}, pass(true), end, {}});
  pair->server->Start({{}, pass(false), end, {}});
}

void Proxy::Pass(const std::shared_ptr<Pair>& pair,
                 bool to_server,
                 std::string_view bytes) {
  const bool drops =
      to_server ? m_faults.drops_to_server : m_faults.drops_to_client;
  if (drops || pair->closed) {
    return;
  }
  const auto write = [pair, to_server, text = std::string(bytes)] {
    const auto& stream = to_server ? pair->server : pair->client;
    if (!pair->closed && stream->is_open()) {
      stream->Write(text);
    }
  };
  // Also without a delay in the order of the loop's timers, so that bytes that
  // were held go first.
  m_loop.Call(m_faults.delay, write);
}

void Proxy::End(const std::shared_ptr<Pair>& pair) {
  if (m_pairs.remove(pair) == 0) {
    return;
  }
  // What was read before the end is still to be passed on.
  m_loop.Call(m_faults.delay, [pair] {
    pair->closed = true;
    pair->client->ShutDown();
    pair->server->ShutDown();
  });
  m_loop.Call(m_faults.delay + Milliseconds(50), [pair] {
    pair->client->Close();
    pair->server->Close();
  });
}

}  // namespace filbertrack::soak

#include "soak_proxy.h"

#include <arpa/inet.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <string>
#include <vector>

#include <event2/listener.h>

namespace filbertrack::soak {

namespace {

/// Attaches a filter that drops the packets for which `program` returns 0.
/// Failure would let packets pass, which the checks of a run show.
void AttachFilter(int fd, std::vector<sock_filter>& program) {
  const sock_fprog filter{static_cast<unsigned short>(program.size()),
                          program.data()};
  (void)setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof(filter));
}

void DetachFilter(int fd) {
  const int unused = 0;
  (void)setsockopt(fd, SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof(unused));
}

constexpr uint32_t kDrop = 0;
constexpr uint32_t kAccept = 0xffffffff;
/// Position of the source address in the IP header.
constexpr uint32_t kSourceOffset = 12;

void DropAll(int fd) {
  std::vector<sock_filter> program = {BPF_STMT(BPF_RET | BPF_K, kDrop)};
  AttachFilter(fd, program);
}

/// The id of the request whose head begins in `bytes`; empty: none does.
std::string RequestId(std::string_view bytes) {
  constexpr std::string_view kName = "X-Attempt-Id: ";
  const size_t at = bytes.find(kName);
  if (at == std::string_view::npos) {
    return "";
  }
  const std::string_view value = bytes.substr(at + kName.size());
  return std::string(value.substr(0, value.find('\r')));
}

void ResetOnClose(int fd) {
  const linger now{1, 0};
  (void)setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
}

}  // namespace

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
    Harm(*first);
    CloseConnection(first);
  }
}

void Proxy::UpdateListener() {
  const int fd = evconnlistener_get_fd(m_listener);
  if (m_dropped_clients.empty()) {
    DetachFilter(fd);
    return;
  }
  std::vector<sock_filter> program = {
      BPF_STMT(BPF_LD | BPF_W | BPF_ABS,
               static_cast<uint32_t>(SKF_NET_OFF) + kSourceOffset)};
  for (const std::string& client : m_dropped_clients) {
    in_addr address{};
    inet_pton(AF_INET, client.c_str(), &address);
    program.push_back(
        BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, ntohl(address.s_addr), 0, 1));
    program.push_back(BPF_STMT(BPF_RET | BPF_K, kDrop));
  }
  program.push_back(BPF_STMT(BPF_RET | BPF_K, kAccept));
  AttachFilter(fd, program);
}

void Proxy::Cut(const std::string& client, const LinkCut& cut) {
  if (cut.drops_new) {
    m_dropped_clients.insert(client);
    UpdateListener();
  }
  const auto connections = m_connections;
  for (const auto& connection : connections) {
    if (connection->client_ip != client || !connection->client->is_open()) {
      continue;
    }
    if (cut.resets_open) {
      ResetOnClose(connection->client_fd);
      connection->client->Close();
      CloseConnection(connection);
    } else if (cut.drops_open) {
      DropAll(connection->client_fd);
      connection->server->SetReading(false);
    }
  }
}

void Proxy::Heal(const std::string& client) {
  m_dropped_clients.erase(client);
  UpdateListener();
  for (const auto& connection : m_connections) {
    if (connection->client_ip == client && connection->client->is_open()) {
      DetachFilter(connection->client_fd);
      connection->server->SetReading(true);
    }
  }
}

void Proxy::OnAccept(evconnlistener*, int fd, sockaddr* from, int, void* self) {
  auto* proxy = static_cast<Proxy*>(self);
  auto connection = std::make_shared<Connection>();
  std::array<char, INET_ADDRSTRLEN> ip{};
  inet_ntop(AF_INET, &reinterpret_cast<sockaddr_in*>(from)->sin_addr, ip.data(),
            ip.size());
  connection->client_ip = ip.data();
  connection->client_fd = fd;
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
  if (std::string id = to_server ? RequestId(bytes) : ""; !id.empty()) {
    connection->request = std::move(id);
  }
  const bool drops =
      to_server ? m_faults.drops_to_server : m_faults.drops_to_client;
  if (drops) {
    Harm(*connection);
  } else if (!to_server) {
    connection->request.clear();
  }
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

void Proxy::Harm(const Connection& connection) {
  if (!connection.request.empty()) {
    m_harmed_requests.insert(connection.request);
  }
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

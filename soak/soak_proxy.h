#pragma once

/// A loopback TCP proxy in front of one server that injects connection faults.

#include <list>
#include <memory>

#include "filbertrack/base_address.h"
#include "filbertrack/event_loop.h"
#include "filbertrack/net_stream.h"

struct evconnlistener;
struct sockaddr;

namespace filbertrack::soak {

struct ProxyFaults {
  /// Delay of the bytes in both directions.
  Duration delay{0};
  /// Bytes to the server are dropped; the connection stays open.
  bool drops_to_server = false;
  /// Bytes from the server are dropped; the connection stays open.
  bool drops_to_client = false;
  /// New connections are closed immediately.
  bool refuses = false;
};

class Proxy {
 public:
  Proxy(EventLoop& loop, const Address& server);
  ~Proxy();
  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;

  const Address& address() const { return m_address; }
  ProxyFaults& faults() { return m_faults; }
  /// Closes all open connections, after the delay of ProxyFaults.
  void ResetAll();

 private:
  struct Connection {
    std::shared_ptr<TcpStream> client;
    std::shared_ptr<TcpStream> server;
    bool closed = false;
  };

  static void OnAccept(evconnlistener* listener,
                       int fd,
                       sockaddr* from,
                       int size,
                       void* self);
  void Forward(const std::shared_ptr<Connection>& connection,
               bool to_server,
               std::string_view bytes);
  void CloseConnection(const std::shared_ptr<Connection>& connection);

  EventLoop& m_loop;
  Address m_server;
  Address m_address;
  ProxyFaults m_faults;
  evconnlistener* m_listener;
  std::list<std::shared_ptr<Connection>> m_connections;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace filbertrack::soak

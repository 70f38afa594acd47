#pragma once

/// A loopback TCP proxy in front of one server that injects connection faults.

#include <list>
#include <memory>
#include <set>
#include <string>

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

/// Which packets of one client a cut link loses.
struct LinkCut {
  /// Of new connections.
  bool drops_new = true;
  /// Of open connections.
  bool drops_open = true;
  /// Open connections are reset.
  bool resets_open = false;
};

class Proxy {
 public:
  Proxy(EventLoop& loop, const Address& server);
  ~Proxy();
  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;

  const Address& address() const { return m_address; }
  ProxyFaults& faults() { return m_faults; }
  /// Cuts the link of the clients with the IP address `client`. Packets are
  /// dropped before TCP receives them, so that connecting hangs.
  void Cut(const std::string& client, const LinkCut& cut);
  /// Open connections continue with what their ends send again.
  void Heal(const std::string& client);

  /// Closes all open connections, after the delay of ProxyFaults.
  void ResetAll();

  /// Ids of requests that the faults kept from the server or cut off from their
  /// answers, on any connection.
  const std::set<std::string>& harmed_requests() const {
    return m_harmed_requests;
  }

 private:
  struct Connection {
    std::shared_ptr<TcpStream> client;
    std::shared_ptr<TcpStream> server;
    bool closed = false;
    int client_fd = -1;
    std::string client_ip;
    /// Id of the latest request on the connection; empty if it was answered.
    std::string request;
  };

  static void OnAccept(evconnlistener* listener,
                       int fd,
                       sockaddr* from,
                       int size,
                       void* self);
  void Forward(const std::shared_ptr<Connection>& connection,
               bool to_server,
               std::string_view bytes);
  /// Makes the listener drop the packets of m_dropped_clients.
  void UpdateListener();
  void CloseConnection(const std::shared_ptr<Connection>& connection);
  /// Notes that a fault affects the connection's latest request.
  void Harm(const Connection& connection);

  EventLoop& m_loop;
  Address m_server;
  Address m_address;
  ProxyFaults m_faults;
  evconnlistener* m_listener;
  std::list<std::shared_ptr<Connection>> m_connections;
  std::set<std::string> m_harmed_requests;
  /// Clients whose new connections are dropped.
  std::set<std::string> m_dropped_clients;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace filbertrack::soak

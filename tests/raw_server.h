#pragma once

/// A server that answers each request with the bytes of a script and then ends
/// its connection as the script says.

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include <netinet/in.h>
#include <sys/socket.h>

#include <event2/listener.h>

#include "filbertrack/net_stream.h"
#include "platform_store_standin.h"

namespace filbertrack {

// How a connection continues after the bytes of a reply.

/// Stays open for further requests.
struct KeepOpen {};
/// Is closed in an orderly way.
struct CloseOrderly {};
/// Is reset once the client has had time to read the bytes.
struct ResetConnection {};

using ConnectionEnd = std::variant<KeepOpen, CloseOrderly, ResetConnection>;

struct RawReply {
  std::string bytes;
  ConnectionEnd end = KeepOpen{};
  /// Time from the request to the reply.
  Duration delay{0};
};

/// Value of a header in the bytes of a request; empty if it is absent.
inline std::string RawHeader(std::string_view request, std::string_view name) {
  const std::string start = "\r\n" + std::string(name) + ": ";
  const size_t at = request.find(start);
  if (at == std::string_view::npos) {
    return {};
  }
  const size_t begin = at + start.size();
  return std::string(
      request.substr(begin, request.find("\r\n", begin) - begin));
}

class RawServer {
 public:
  /// Called once for each request that arrives, with its bytes.
  using Script = std::function<RawReply(std::string_view request)>;

  RawServer(EventLoop& loop, Script script)
      : m_loop(loop), m_script(std::move(script)) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    m_listener =
        evconnlistener_new_bind(loop.base(), &RawServer::OnAccept, this,
                                LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                                reinterpret_cast<sockaddr*>(&at), sizeof(at));
    socklen_t size = sizeof(at);
    getsockname(evconnlistener_get_fd(m_listener),
                reinterpret_cast<sockaddr*>(&at), &size);
    m_port = ntohs(at.sin_port);
  }
  ~RawServer() { evconnlistener_free(m_listener); }
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  Address address() const { return {"127.0.0.1", m_port}; }

  /// Registers it as a plain server.
  void Register(PlatformStoreStandin& store,
                const std::string& id,
                const std::string& service = "plain",
                int slots = 4) const {
    store.Put("servers", id,
              {{"service", service},
               {"address", address().ToString()},
               {"zone", "z"},
               {"version", "v1"},
               {"slots", slots},
               {"state", "ready"},
               {"coldRemainingMs", 0},
               {"seq", 1}});
  }

 private:
  static void OnAccept(evconnlistener*, int fd, sockaddr*, int, void* self) {
    auto* server = static_cast<RawServer*>(self);
    auto stream = TcpStream::Accepted(server->m_loop, fd);
    TcpStream* raw = stream.get();
    server->m_streams[raw] = {stream, fd};
    stream->Start(
        {{},
         [server, raw](std::string_view bytes) { server->Answer(*raw, bytes); },
         [server, raw](StreamEnd) { server->m_streams.erase(raw); },
         {}});
  }

  void Answer(TcpStream& stream, std::string_view bytes) {
    const RawReply reply = m_script(bytes);
    if (reply.delay > Duration(0)) {
      CallLater(stream, reply.delay,
                [this, reply](TcpStream& open) { Reply(open, reply); });
    } else {
      Reply(stream, reply);
    }
  }

  void Reply(TcpStream& stream, const RawReply& reply) {
    stream.Write(reply.bytes);
    std::visit([this, &stream](const auto& end) { End(stream, end); },
               reply.end);
  }

  void End(TcpStream&, const KeepOpen&) {}
  void End(TcpStream& stream, const CloseOrderly&) { stream.ShutDown(); }
  void End(TcpStream& stream, const ResetConnection&) {
    CallLater(stream, kReadTime, [this](TcpStream& open) {
      // Without a lingering time, closing sends a reset.
      const linger option{1, 0};
      setsockopt(m_streams.at(&open).fd, SOL_SOCKET, SO_LINGER, &option,
                 sizeof(option));
      open.Close();
      m_streams.erase(&open);
    });
  }

  void CallLater(TcpStream& stream,
                 Duration pause,
                 const std::function<void(TcpStream&)>& call) {
    m_timers.push_back(
        m_loop.After(pause, [weak = stream.weak_from_this(), call] {
          if (const auto open = weak.lock()) {
            call(*open);
          }
        }));
  }

  struct Connection {
    std::shared_ptr<TcpStream> stream;
    int fd = -1;
  };

  /// Time for the client to read what precedes a reset.
  static constexpr Duration kReadTime = Milliseconds(20);

  EventLoop& m_loop;
  Script m_script;
  evconnlistener* m_listener = nullptr;
  uint16_t m_port = 0;
  std::map<TcpStream*, Connection> m_streams;
  std::vector<std::unique_ptr<Timer>> m_timers;
};

}  // namespace filbertrack

#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <netinet/in.h>
#include <sys/socket.h>

#include <event2/listener.h>

#include "filbertrack/net_stream.h"
#include "platform_site.h"

/// Tests streams that have neither a length nor chunks and end with their
/// connection.

namespace filbertrack {
namespace {

/// A backend server that answers each request with the same bytes, without
/// framing, and closes the connection in an orderly way.
class UnframedServer {
 public:
  UnframedServer(EventLoop& loop, std::string id, std::string body)
      : m_loop(loop), m_id(std::move(id)), m_body(std::move(body)) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    m_listener =
        evconnlistener_new_bind(loop.base(), &UnframedServer::OnAccept, this,
                                LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                                reinterpret_cast<sockaddr*>(&at), sizeof(at));
    socklen_t size = sizeof(at);
    getsockname(evconnlistener_get_fd(m_listener),
                reinterpret_cast<sockaddr*>(&at), &size);
    m_port = ntohs(at.sin_port);
  }
  ~UnframedServer() { evconnlistener_free(m_listener); }
  UnframedServer(const UnframedServer&) = delete;
  UnframedServer& operator=(const UnframedServer&) = delete;

  void Register(PlatformStoreStandin& store) const {
    store.Put("servers", m_id,
              {{"service", "plain"},
               {"address", "127.0.0.1:" + std::to_string(m_port)},
               {"zone", "z"},
               {"version", "v1"},
               {"slots", 4},
               {"state", "ready"},
               {"coldRemainingMs", 0},
               {"seq", 1}});
  }
  int requests() const { return m_requests; }

 private:
  static void OnAccept(evconnlistener*, int fd, sockaddr*, int, void* self) {
    auto* server = static_cast<UnframedServer*>(self);
    auto stream = TcpStream::Accepted(server->m_loop, fd);
    server->m_streams.push_back(stream);
    TcpStream* raw = stream.get();
    stream->Start(
        {{},
         [server, raw](std::string_view bytes) { server->Answer(*raw, bytes); },
         [](StreamEnd) {},
         {}});
  }

  void Answer(TcpStream& stream, std::string_view bytes) {
    if (!bytes.starts_with("POST /raw/")) {
      stream.Write("HTTP/1.1 200 OK\r\nX-Runner-Id: " + m_id +
                   "\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    ++m_requests;
    const size_t at = bytes.find("X-Attempt-Id: ");
    const std::string_view id = bytes.substr(at, bytes.find("\r\n", at) - at);
    stream.Write("HTTP/1.1 200 OK\r\n" + std::string(id) +
                 "\r\nX-Runner-Seal: s\r\nContent-Type: "
                 "text/event-stream\r\n\r\n" +
                 m_body);
    stream.ShutDown();
  }

  EventLoop& m_loop;
  std::string m_id;
  std::string m_body;
  evconnlistener* m_listener = nullptr;
  uint16_t m_port = 0;
  std::vector<std::shared_ptr<TcpStream>> m_streams;
  int m_requests = 0;
};

/// An entry host whose only servers of the route are unframed ones.
struct UnframedSite : Site {
  UnframedSite() : Site(0, 1) {
    Json config = MakeConfig(2);
    config["routes"].push_back(MakeRoute("raw", "/raw/", "streaming", "plain"));
    store.Put("config", "main", config);
    for (const auto& server : plain) {
      server->Die();
    }
  }

  CallerResponse Send(size_t targets) {
    REQUIRE(RunUntil(loop, [this, targets] {
      return host->IsReady() && host->catalog()->version() == 2 &&
             CountTargets() == targets;
    }));
    CallerResponse response;
    const auto call = SendRequest(*this, client, "/raw/x", "one", response);
    CHECK(RunUntil(loop, [&response] { return response.ended; }));
    return response;
  }

  HttpClient client{loop, 4};
};

TEST_CASE("a complete stream without framing gets a framing of its own") {
  UnframedSite site;
  UnframedServer server(site.loop, "u1", ExpectedStream(3));
  server.Register(site.store);
  const CallerResponse response = site.Send(1);
  CHECK(response.status == 200);
  CHECK_FALSE(response.failed);
  CHECK(response.body == ExpectedStream(3));
  CHECK(FindHeader(response.headers, "Transfer-Encoding") == "chunked");
}

TEST_CASE("a stream that is closed before its first event is not complete") {
  // Guards against the crash of a server that looks like an empty answer.
  UnframedSite site;
  UnframedServer first(site.loop, "u1", "");
  UnframedServer second(site.loop, "u2", "");
  first.Register(site.store);
  second.Register(site.store);
  const CallerResponse response = site.Send(2);
  CHECK(response.status == 502);
  CHECK(first.requests() + second.requests() == 2);
}

TEST_CASE("a stream that is closed within an event is not complete") {
  UnframedSite site;
  UnframedServer server(site.loop, "u1", ExpectedStream(1) + "id: 2\ndata: p");
  server.Register(site.store);
  const CallerResponse response = site.Send(1);
  CHECK(response.failed);
  CHECK(response.body == ExpectedStream(1));
}

}  // namespace
}  // namespace filbertrack

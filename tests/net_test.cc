#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <csignal>

#include <netinet/in.h>
#include <sys/socket.h>

#include <event2/listener.h>

#include "filbertrack/http_client.h"
#include "filbertrack/http_server.h"
#include "filbertrack/net_stream.h"
#include "run_until.h"

namespace filbertrack {
namespace {

/// A client that sends raw bytes and records the bytes received.
struct RawCaller {
  RawCaller(EventLoop& loop, const Address& address)
      : stream(TcpStream::Connect(loop, address)) {
    stream->Start({{},
                   [this](std::string_view bytes) { received += bytes; },
                   [this](StreamEnd) { ended = true; },
                   {}});
  }

  std::shared_ptr<TcpStream> stream;
  std::string received;
  bool ended = false;
};

/// A server that calls `on_input` for each block of bytes received, with the
/// index of the connection.
struct RawServer {
  using OnInput =
      std::function<void(const std::shared_ptr<TcpStream>&, size_t connection)>;

  RawServer(EventLoop& event_loop, OnInput input)
      : loop(event_loop), on_input(std::move(input)) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    listener =
        evconnlistener_new_bind(loop.base(), &RawServer::OnAccept, this,
                                LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                                reinterpret_cast<sockaddr*>(&at), sizeof(at));
    socklen_t size = sizeof(at);
    getsockname(evconnlistener_get_fd(listener),
                reinterpret_cast<sockaddr*>(&at), &size);
    address = {"127.0.0.1", ntohs(at.sin_port)};
  }
  ~RawServer() { evconnlistener_free(listener); }

  static void OnAccept(evconnlistener*, int fd, sockaddr*, int, void* self) {
    auto* server = static_cast<RawServer*>(self);
    const size_t number = server->streams.size();
    auto stream = TcpStream::Accepted(server->loop, fd);
    server->streams.push_back(stream);
    stream->Start({{},
                   [server, number](std::string_view) {
                     server->on_input(server->streams[number], number);
                   },
                   [](StreamEnd) {},
                   {}});
  }

  EventLoop& loop;
  OnInput on_input;
  evconnlistener* listener;
  Address address;
  std::vector<std::shared_ptr<TcpStream>> streams;
};

/// The outcome of a call.
struct CallResult {
  bool ended = false;
  bool failed = false;
  bool may_have_left = false;
  int status = 0;
  std::string body;
};

std::unique_ptr<HttpCall> StartCall(HttpClient& client,
                                    const Address& address,
                                    CallResult& result) {
  HttpCallEvents events;
  events.on_bytes = [&result](std::string_view bytes) { result.body += bytes; };
  events.on_end = [&result](int status) {
    result.ended = true;
    result.status = status;
  };
  events.on_failure = [&result](bool may_have_left) {
    result.ended = true;
    result.failed = true;
    result.may_have_left = may_have_left;
  };
  HttpCallRequest request;
  request.target = "/x";
  return client.Start(address, std::move(request), std::move(events));
}

struct ServerFixture {
  ServerFixture()
      : server(loop,
               {1024, 100, Seconds(5), Seconds(5)},
               [this](const std::shared_ptr<HttpExchange>& exchange) {
                 requests.push_back(exchange);
               }) {
    address = server.Listen({"127.0.0.1", 0}).value();
  }

  EventLoop loop;
  std::vector<std::shared_ptr<HttpExchange>> requests;
  HttpServer server;
  Address address;
};

TEST_CASE("differing Content-Length fields are rejected") {
  // Guards against request smuggling: if a proxy in front of this host used the
  // first length and this host the second, the rest of the body would be parsed
  // as another request. Expects status 400 and a closed connection.
  ServerFixture fixture;
  RawCaller caller(fixture.loop, fixture.address);
  caller.stream->Write(
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: "
      "30\r\n\r\nabcGET /hidden HTTP/1.1\r\n\r\n");
  CHECK(RunUntil(fixture.loop, [&] { return caller.ended; }));
  CHECK(caller.received.starts_with("HTTP/1.1 400"));
  CHECK(fixture.requests.empty());
}

TEST_CASE("Content-Length with chunked encoding is rejected") {
  // Guards against request smuggling, as with differing lengths; expects status
  // 400.
  ServerFixture fixture;
  RawCaller caller(fixture.loop, fixture.address);
  caller.stream->Write(
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\n\r\n");
  CHECK(RunUntil(fixture.loop, [&] { return caller.ended; }));
  CHECK(caller.received.starts_with("HTTP/1.1 400"));
  CHECK(fixture.requests.empty());
}

TEST_CASE("whitespace before the colon of a request's field is rejected") {
  // Guards against request smuggling: the next host may read another field, and
  // another length of the body.
  for (const char* space : {" ", "\t"}) {
    ServerFixture fixture;
    RawCaller caller(fixture.loop, fixture.address);
    caller.stream->Write("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length" +
                         std::string(space) + ": 3\r\n\r\nabc");
    CHECK(RunUntil(fixture.loop, [&] { return caller.ended; }));
    CHECK(caller.received.starts_with("HTTP/1.1 400"));
    CHECK(fixture.requests.empty());
  }
}

TEST_CASE("whitespace before the colon of a response's field is rejected") {
  // Guards against a response whose body ends elsewhere than the server meant:
  // a name with whitespace is not a field, and may be a damaged length.
  for (const char* field : {"Name : v", "Name\t: v", "Content-Length : 2"}) {
    CAPTURE(field);
    EventLoop loop;
    RawServer server(loop, [field](const auto& stream, size_t) {
      stream->Write("HTTP/1.1 200 OK\r\n" + std::string(field) +
                    "\r\nContent-Length: 2\r\n\r\nok");
    });
    HttpClient client(loop, 4);
    CallResult result;
    const auto call = StartCall(client, server.address, result);
    REQUIRE(RunUntil(loop, [&result] { return result.ended; }));
    CHECK(result.failed);
    CHECK(result.may_have_left);
    CHECK(RunUntil(loop, [&server] { return !server.streams[0]->is_open(); }));
  }
}

TEST_CASE("a closing connection waits for a caller that reads slowly") {
  // Guards against responses that are cut while they are still being sent.
  EventLoop loop;
  HttpServerLimits limits;
  limits.linger_timeout = Milliseconds(50);
  const std::string body(32 * 1024 * 1024, 'x');
  HttpServer server(loop, limits, [&](const auto& exchange) {
    exchange->Reply(200, {}, body);
  });
  RawCaller caller(loop, server.Listen({"127.0.0.1", 0}).value());
  caller.stream->Write(
      "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  REQUIRE(RunUntil(loop, [&] { return !caller.received.empty(); }));
  caller.stream->SetReading(false);
  bool continues = false;
  const auto timer = loop.After(limits.linger_timeout * 20, [&] {
    caller.stream->SetReading(true);
    continues = true;
  });
  REQUIRE(RunUntil(loop, [&] { return continues && caller.ended; }));
  CHECK(caller.received.ends_with("\r\n\r\n" + body));
}

TEST_CASE("pipelined requests are answered in order") {
  // The second request is buffered until the first has been answered, and must
  // not be lost.
  ServerFixture fixture;
  RawCaller caller(fixture.loop, fixture.address);
  caller.stream->Write(
      "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(RunUntil(fixture.loop, [&] { return !fixture.requests.empty(); }));
  CHECK(fixture.requests.size() == 1);
  fixture.requests[0]->Reply(200, {}, "one");
  REQUIRE(RunUntil(fixture.loop, [&] { return fixture.requests.size() == 2; }));
  CHECK(fixture.requests[1]->target() == "/2");
  fixture.requests[1]->Reply(200, {}, "two");
  REQUIRE(RunUntil(fixture.loop, [&] {
    return caller.received.find("two") != std::string::npos;
  }));
  CHECK(caller.received.find("one") < caller.received.find("two"));
}

TEST_CASE("limits on the size of head and body are enforced") {
  // Expects status 431 for a head and 413 for a body over the limit.
  ServerFixture fixture;
  RawCaller head(fixture.loop, fixture.address);
  head.stream->Write("GET /a HTTP/1.1\r\nLong: " + std::string(2000, 'x') +
                     "\r\n\r\n");
  CHECK(RunUntil(fixture.loop, [&] { return head.ended; }));
  CHECK(head.received.starts_with("HTTP/1.1 431"));
  RawCaller body(fixture.loop, fixture.address);
  body.stream->Write("POST /a HTTP/1.1\r\nContent-Length: 200\r\n\r\n" +
                     std::string(200, 'x'));
  CHECK(RunUntil(fixture.loop, [&] { return body.ended; }));
  CHECK(body.received.starts_with("HTTP/1.1 413"));
  CHECK(fixture.requests.empty());
}

TEST_CASE("bodies of all requests share a bound, and short ones are kept") {
  // Guards against a process that exceeds its memory while many large requests
  // are received at once.
  EventLoop loop;
  constexpr size_t kMax = 64 * 1024;
  constexpr size_t kLarge = 48 * 1024;
  int handled = 0;
  std::vector<std::shared_ptr<HttpExchange>> running;
  HttpServer server(loop, {}, [&](const std::shared_ptr<HttpExchange>& each) {
    ++handled;
    running.push_back(each);
  });
  const auto budget = std::make_shared<SharedBudget>(kMax);
  server.SetBudget(budget);
  const Address address = server.Listen({"127.0.0.1", 0}).value();
  const auto request = [](size_t bytes) {
    return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
           std::to_string(bytes) + "\r\n\r\n" + std::string(bytes, 'x');
  };
  RawCaller first(loop, address);
  first.stream->Write(request(kLarge));
  REQUIRE(RunUntil(loop, [&] { return handled == 1; }));
  RawCaller second(loop, address);
  second.stream->Write(request(kLarge));
  REQUIRE(RunUntil(loop, [&] { return !second.received.empty(); }));
  CHECK(second.received.starts_with("HTTP/1.1 503"));
  CHECK(second.received.find("Retry-After") != std::string::npos);
  CHECK(handled == 1);
  RawCaller small(loop, address);
  small.stream->Write(request(100));
  CHECK(RunUntil(loop, [&] { return handled == 2; }));
  for (const auto& each : running) {
    each->Reply(200, {}, "");
  }
  running.clear();
  CHECK(budget->bytes() == 0);
}

TEST_CASE("an unlisted method and a chunked body reach the handler") {
  // The handler gets the original method name and the reassembled body.
  ServerFixture fixture;
  RawCaller caller(fixture.loop, fixture.address);
  caller.stream->Write(
      "PROPFIND /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
      "chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  REQUIRE(RunUntil(fixture.loop, [&] { return !fixture.requests.empty(); }));
  CHECK(fixture.requests[0]->method_text() == "PROPFIND");
  CHECK(fixture.requests[0]->body() == "abcde");
}

TEST_CASE("the handler is notified when the caller disconnects") {
  // The notification allows the handler to cancel work for the request.
  ServerFixture fixture;
  RawCaller caller(fixture.loop, fixture.address);
  caller.stream->Write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(RunUntil(fixture.loop, [&] { return !fixture.requests.empty(); }));
  bool disconnected = false;
  fixture.requests[0]->OnCallerDisconnected(
      [&disconnected] { disconnected = true; });
  caller.stream->Close();
  CHECK(RunUntil(fixture.loop, [&] { return disconnected; }));
  CHECK_FALSE(fixture.requests[0]->IsOpen());
}

TEST_CASE("an aborted stream has no final chunk") {
  // The caller receives the bytes sent so far and then the end of the
  // connection, and can detect that the response is incomplete.
  ServerFixture fixture;
  RawCaller caller(fixture.loop, fixture.address);
  caller.stream->Write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(RunUntil(fixture.loop, [&] { return !fixture.requests.empty(); }));
  fixture.requests[0]->StartStream(200, {});
  fixture.requests[0]->Send("event");
  fixture.requests[0]->Abort();
  CHECK(RunUntil(fixture.loop, [&] { return caller.ended; }));
  CHECK(caller.received.find("event") != std::string::npos);
  CHECK(caller.received.find("\r\n0\r\n") == std::string::npos);
}

TEST_CASE("a body without a length is complete at an orderly close") {
  EventLoop loop;
  RawServer server(loop, [](const auto& stream, size_t) {
    stream->Write("HTTP/1.1 200 OK\r\n\r\nall of it");
    stream->ShutDown();
  });
  HttpClient client(loop, 4);
  CallResult result;
  const auto call = StartCall(client, server.address, result);
  REQUIRE(RunUntil(loop, [&] { return result.ended; }));
  CHECK_FALSE(result.failed);
  CHECK(result.body == "all of it");
}

TEST_CASE("a response truncated in its body is a failure that may have run") {
  // The server announces 10 bytes, sends 3 and closes. The client must neither
  // accept the 3 bytes as the response nor report that the request did not run.
  EventLoop loop;
  RawServer server(loop, [](const auto& stream, size_t) {
    stream->Write("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc");
    stream->ShutDown();
  });
  HttpClient client(loop, 4);
  CallResult result;
  const auto call = StartCall(client, server.address, result);
  REQUIRE(RunUntil(loop, [&] { return result.ended; }));
  CHECK(result.failed);
  CHECK(result.may_have_left);
}

TEST_CASE("interim responses without end are a failure that may have run") {
  // Guards against a call that waits for its deadline while the server sends
  // interim responses only.
  EventLoop loop;
  RawServer server(loop, [](const auto& stream, size_t) {
    for (int i = 0; i < 1000; ++i) {
      stream->Write("HTTP/1.1 100 Continue\r\n\r\n");
    }
  });
  HttpClient client(loop, 4);
  CallResult result;
  const auto call = StartCall(client, server.address, result);
  REQUIRE(RunUntil(loop, [&] { return result.ended; }));
  CHECK(result.failed);
  CHECK(result.may_have_left);
}

TEST_CASE("a few interim responses precede the final one") {
  EventLoop loop;
  RawServer server(loop, [](const auto& stream, size_t) {
    for (int i = 0; i < 3; ++i) {
      stream->Write("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n");
    }
    stream->Write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  });
  HttpClient client(loop, 4);
  CallResult result;
  const auto call = StartCall(client, server.address, result);
  REQUIRE(RunUntil(loop, [&] { return result.ended; }));
  CHECK_FALSE(result.failed);
  CHECK(result.body == "ok");
}

TEST_CASE("a refused connection is a failure that did not run") {
  // Nothing listens at the address, so no byte can have been sent.
  EventLoop loop;
  Address unused_address;
  {
    RawServer server(loop, [](const auto&, size_t) {});
    unused_address = server.address;
  }
  HttpClient client(loop, 4);
  CallResult result;
  const auto call = StartCall(client, unused_address, result);
  REQUIRE(RunUntil(loop, [&] { return result.ended; }));
  CHECK(result.failed);
  CHECK_FALSE(result.may_have_left);
}

TEST_CASE("a call that is withdrawn while connecting sends nothing") {
  EventLoop loop;
  size_t received = 0;
  RawServer server(loop, [&received](const auto&, size_t) { ++received; });
  HttpClient client(loop, 4);
  CallResult result;
  HttpCallEvents events;
  events.on_failure = [&result](bool may_have_left) {
    result.ended = true;
    result.may_have_left = may_have_left;
  };
  events.may_send = [] { return false; };
  const auto call = client.Start(server.address, {}, std::move(events));
  REQUIRE(RunUntil(loop, [&] { return result.ended; }));
  CHECK_FALSE(result.may_have_left);
  REQUIRE(RunUntil(loop, [&] {
    return !server.streams.empty() && !server.streams[0]->is_open();
  }));
  CHECK(received == 0);
}

TEST_CASE("bytes after a complete response do not reach the next call") {
  // The first response is followed by an unsolicited one. The second call must
  // receive its own response, on a new connection.
  EventLoop loop;
  RawServer server(loop, [](const auto& stream, size_t connection) {
    const std::string body = connection == 0 ? "first" : "second";
    const std::string answer =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
        "\r\n\r\n" + body;
    stream->Write(connection == 0 ? answer +
                                        "HTTP/1.1 200 OK\r\nContent-"
                                        "Length: 5\r\n\r\nwrong"
                                  : answer);
  });
  HttpClient client(loop, 4);
  CallResult first;
  const auto call = StartCall(client, server.address, first);
  REQUIRE(RunUntil(loop, [&] { return first.ended; }));
  CHECK(first.body == "first");
  CallResult second;
  const auto next = StartCall(client, server.address, second);
  REQUIRE(RunUntil(loop, [&] { return second.ended; }));
  CHECK(second.body == "second");
  CHECK(client.connections_opened() == 2);
}

TEST_CASE("an idle connection is reused") {
  EventLoop loop;
  RawServer server(loop, [](const auto& stream, size_t) {
    stream->Write(
        "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=9\r\nContent-Length: "
        "2\r\n\r\nok");
  });
  HttpClient client(loop, 4);
  for (int i = 0; i < 3; ++i) {
    CallResult result;
    const auto call = StartCall(client, server.address, result);
    REQUIRE(RunUntil(loop, [&] { return result.ended; }));
    CHECK(result.body == "ok");
  }
  CHECK(client.connections_opened() == 1);
}

TEST_CASE("a call's limit on idle connections is enforced") {
  // Many hosts share the server's connections: an idle one held here is not
  // available to requests of other hosts.
  EventLoop loop;
  RawServer server(loop, [](const auto& stream, size_t) {
    stream->Write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  });
  HttpClient client(loop, 4);
  for (int i = 0; i < 2; ++i) {
    CallResult result;
    HttpCallRequest request;
    request.max_kept = 0;
    HttpCallEvents events;
    events.on_end = [&result](int) { result.ended = true; };
    const auto call =
        client.Start(server.address, std::move(request), std::move(events));
    REQUIRE(RunUntil(loop, [&] { return result.ended; }));
  }
  CHECK(client.connections_opened() == 2);
  CHECK(RunUntil(loop, [&] { return !server.streams[1]->is_open(); }));
}

TEST_CASE("a stop signal that arrives before its handler is handled") {
  // Guards against a process that is terminated by the signal while it starts.
  DeferStopSignals();
  std::raise(SIGTERM);
  EventLoop loop;
  bool is_stopping = false;
  loop.OnStopSignal([&is_stopping] { is_stopping = true; });
  CHECK(RunUntil(loop, [&is_stopping] { return is_stopping; }));
}

TEST_CASE("destroying a call closes its connection") {
  // This lets the server stop work whose result is no longer needed.
  EventLoop loop;
  bool request_received = false;
  RawServer server(loop, [&request_received](const auto&, size_t) {
    request_received = true;
  });
  HttpClient client(loop, 4);
  CallResult result;
  auto call = StartCall(client, server.address, result);
  REQUIRE(RunUntil(loop, [&] { return request_received; }));
  call.reset();
  CHECK(RunUntil(loop, [&] { return !server.streams[0]->is_open(); }));
  CHECK_FALSE(result.ended);
}

}  // namespace
}  // namespace filbertrack

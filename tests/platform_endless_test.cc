#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <fstream>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <event2/listener.h>

#include "filbertrack/net_stream.h"
#include "filbertrack/peer_link.h"
#include "platform_site.h"
#include "platform_store_fixture.h"

/// Backend servers that send bytes without end, in a head or a body, until the
/// connection is closed.

namespace filbertrack {
namespace {

struct Form {
  std::string name;
  /// Sent once, after the status line and the headers that name the request.
  std::string begin;
  /// Sent without end.
  std::string more;
  /// The response has a status line and headers of its own.
  bool has_head = true;
};

std::string Repeat(const std::string& text, size_t bytes) {
  std::string all;
  while (all.size() < bytes) {
    all += text;
  }
  return all;
}

constexpr size_t kBlock = 32 * 1024;

std::vector<Form> BodyForms() {
  const std::string text = Repeat("x", kBlock);
  return {{"a header line", "X-Long: ", text},
          {"header lines", "", Repeat("X-More: 1\r\n", kBlock)},
          {"garbage", "", text, false},
          {"blank lines", "", Repeat("\r\n", kBlock), false},
          {"interim responses", "",
           Repeat("HTTP/1.1 100 Continue\r\n\r\n", kBlock), false},
          {"a body with a length", "Content-Length: 9999999999\r\n\r\n", text},
          {"a body in chunks", "Transfer-Encoding: chunked\r\n\r\n",
           "8000\r\n" + text + "\r\n"},
          {"a body until the connection closes", "\r\n", text},
          {"trailers", "Transfer-Encoding: chunked\r\n\r\n0\r\n",
           Repeat("X-More: 1\r\n", kBlock)},
          {"a chunk extension", "Transfer-Encoding: chunked\r\n\r\n1;a=", text},
          {"a chunk size", "Transfer-Encoding: chunked\r\n\r\n",
           Repeat("0", kBlock)}};
}

std::vector<Form> StreamForms() {
  const std::string head =
      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
  const auto chunk = [](const std::string& text) {
    return "8000\r\n" + text.substr(0, 0x8000) + "\r\n";
  };
  return {{"an event", head, chunk(Repeat("data: x\n", kBlock))},
          {"a line of data", head, chunk(Repeat("x", kBlock))},
          {"a comment", head, chunk(Repeat(":", kBlock))},
          {"comments", head, chunk(Repeat(":\n\n", kBlock + 3))},
          {"an id", head + "3\r\nid:\r\n", chunk(Repeat("1", kBlock))},
          {"interim responses", "",
           Repeat("HTTP/1.1 100 Continue\r\n\r\n", kBlock), false}};
}

/// A backend server of the form.
class EndlessServer {
 public:
  /// With `for_all`, also answers probes and orders so, not only requests.
  EndlessServer(EventLoop& loop, Form form, bool for_all = false)
      : m_loop(loop), m_form(std::move(form)), m_for_all(for_all) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    m_listener =
        evconnlistener_new_bind(loop.base(), &EndlessServer::OnAccept, this,
                                LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                                reinterpret_cast<sockaddr*>(&at), sizeof(at));
    socklen_t size = sizeof(at);
    getsockname(evconnlistener_get_fd(m_listener),
                reinterpret_cast<sockaddr*>(&at), &size);
    m_port = ntohs(at.sin_port);
    m_timer = loop.Every(Milliseconds(1), [this] { SendMore(); });
  }
  ~EndlessServer() { evconnlistener_free(m_listener); }
  EndlessServer(const EndlessServer&) = delete;
  EndlessServer& operator=(const EndlessServer&) = delete;

  void Register(PlatformStoreStandin& store) const {
    store.Put("servers", "endless",
              {{"service", "plain"},
               {"address", "127.0.0.1:" + std::to_string(m_port)},
               {"zone", "z"},
               {"version", "v1"},
               {"slots", 4},
               {"state", "ready"},
               {"coldRemainingMs", 0},
               {"seq", 1}});
  }
  Address address() const { return {"127.0.0.1", m_port}; }
  int requests() const { return m_requests; }
  /// Connections on which it still sends.
  size_t sending() const { return m_sending.size(); }

 private:
  static void OnAccept(evconnlistener*, int fd, sockaddr*, int, void* self) {
    auto* server = static_cast<EndlessServer*>(self);
    auto stream = TcpStream::Accepted(server->m_loop, fd);
    server->m_streams.push_back(stream);
    const std::weak_ptr<TcpStream> weak = stream;
    stream->Start(
        {{},
         [server, weak](std::string_view bytes) {
           server->Answer(weak.lock(), bytes);
         },
         [server, weak](StreamEnd) { server->m_sending.erase(weak.lock()); },
         {}});
  }

  void Answer(const std::shared_ptr<TcpStream>& stream,
              std::string_view bytes) {
    if (!m_for_all && !bytes.starts_with("POST ")) {
      stream->Write(
          "HTTP/1.1 200 OK\r\nX-Runner-Id: endless\r\n"
          "Content-Length: 0\r\n\r\n");
      return;
    }
    ++m_requests;
    const size_t at = bytes.find("X-Attempt-Id: ");
    const std::string_view id =
        at == std::string_view::npos
            ? "X-Runner-Id: endless"
            : bytes.substr(at, bytes.find("\r\n", at) - at);
    if (m_form.has_head) {
      stream->Write("HTTP/1.1 200 OK\r\n" + std::string(id) +
                    "\r\nX-Runner-Seal: s\r\n" + m_form.begin);
    }
    m_sending.insert(stream);
  }

  void SendMore() {
    constexpr size_t kMaxUnsent = 256 * 1024;
    for (const auto& stream : m_sending) {
      if (stream->is_open() && stream->unsent() < kMaxUnsent) {
        stream->Write(m_form.more);
      }
    }
  }

  EventLoop& m_loop;
  Form m_form;
  bool m_for_all;
  evconnlistener* m_listener = nullptr;
  uint16_t m_port = 0;
  std::vector<std::shared_ptr<TcpStream>> m_streams;
  std::set<std::shared_ptr<TcpStream>> m_sending;
  std::unique_ptr<Timer> m_timer;
  int m_requests = 0;
};

struct EndlessSite : Site {
  explicit EndlessSite(SiteOptions options = {}) : Site(options) {
    Json config = MakeConfig(2);
    config["routes"].push_back(MakeRoute("raw", "/raw/", "streaming", "plain"));
    store.Put("config", "main", config);
    plain.back()->Die();
    REQUIRE(RunUntil(loop, [this] {
      return host->IsReady() && host->catalog()->version() == 2;
    }));
  }

  /// Waits until the host knows this number of servers, one of them endless.
  bool WaitForServers(size_t count) {
    return RunUntil(loop, [this, count] {
      return host->directory().Find("endless") != nullptr &&
             CountTargets() == count;
    });
  }

  HttpClient client{loop, 64};
};

TEST_CASE("a response without end is given up for one of a sound server") {
  // Guards against callers that wait for their deadline, and against
  // connections on which such a server still sends after that.
  constexpr int kCalls = 12;
  for (const Form& form : BodyForms()) {
    INFO(form.name);
    EndlessSite site;
    EndlessServer server(site.loop, form);
    server.Register(site.store);
    REQUIRE(site.WaitForServers(2));
    std::vector<CallerResponse> responses(kCalls);
    std::vector<std::unique_ptr<HttpCall>> calls;
    for (int i = 0; i < kCalls; ++i) {
      calls.push_back(SendRequest(site, site.client, "/safe/x",
                                  "r" + std::to_string(i), responses[i]));
    }
    CHECK(RunUntil(site.loop, [&responses] {
      return std::all_of(responses.begin(), responses.end(),
                         [](const auto& each) { return each.ended; });
    }));
    for (const CallerResponse& response : responses) {
      CHECK(response.status == 200);
      CHECK_FALSE(response.failed);
    }
    CHECK(server.requests() > 0);
    CHECK(RunUntil(site.loop, [&server] { return server.sending() == 0; }));
  }
}

TEST_CASE("a stream without end of an event ends with its caller's deadline") {
  // Guards against connections on which such a server sends on after the caller
  // was answered.
  for (const Form& form : StreamForms()) {
    INFO(form.name);
    EndlessSite site;
    site.plain.front()->Die();
    EndlessServer server(site.loop, form);
    server.Register(site.store);
    REQUIRE(site.WaitForServers(1));
    CallerResponse response;
    const auto call =
        SendRequestTo(site.host->caller_address(), site.client, "/raw/x", "one",
                      response, {.deadline_ms = "1500"});
    CHECK(RunUntil(site.loop, [&response] { return response.ended; }));
    CHECK((response.failed || response.status >= 500));
    CHECK(server.requests() > 0);
    CHECK(RunUntil(site.loop, [&server] { return server.sending() == 0; }));
  }
}

TEST_CASE("a caller that leaves ends a response without end") {
  for (const Form& form : BodyForms()) {
    INFO(form.name);
    EndlessSite site;
    site.plain.front()->Die();
    EndlessServer server(site.loop, form);
    server.Register(site.store);
    REQUIRE(site.WaitForServers(1));
    CallerResponse response;
    auto call = SendRequest(site, site.client, "/once/x", "one", response);
    CHECK(RunUntil(site.loop,
                   [&] { return response.ended || server.requests() > 0; }));
    call.reset();
    CHECK(RunUntil(site.loop, [&server] { return server.sending() == 0; }));
  }
}

TEST_CASE("responses without end stay within the memory for them") {
  // Guards against a process that exceeds its memory: each response may hold
  // megabytes until it is given up.
  constexpr int kCalls = 60;
  SiteOptions options;
  options.entry_memory_mb = 64;
  EndlessSite site(options);
  site.plain.front()->Die();
  EndlessServer server(site.loop, BodyForms()[5]);
  server.Register(site.store);
  REQUIRE(site.WaitForServers(1));
  std::vector<CallerResponse> responses(kCalls);
  std::vector<std::unique_ptr<HttpCall>> calls;
  for (int i = 0; i < kCalls; ++i) {
    calls.push_back(SendRequest(site, site.client, "/once/x",
                                "r" + std::to_string(i), responses[i]));
  }
  size_t most = 0;
  CHECK(RunUntil(site.loop, [&] {
    most = std::max(most, site.host->CollectedBytes());
    return std::all_of(responses.begin(), responses.end(),
                       [](const auto& each) { return each.ended; });
  }));
  CHECK(most > 0);
  CHECK(most <= options.entry_memory_mb * size_t{1024 * 1024} / 8);
  CHECK(site.host->CollectedBytes() == 0);
}

TEST_CASE("a probe and an order that get a response without end do end") {
  // Guards against a control loop that waits for a server in this state, and
  // against connections on which it still sends after that.
  for (const Form& form : BodyForms()) {
    INFO(form.name);
    EventLoop loop;
    EndlessServer server(loop, form, true);
    platform::PlatformEngineClient engines(loop, "");
    BackendServer host;
    host.id = "endless";
    host.address = server.address();
    std::optional<ProbeAnswer> probed;
    engines.Probe(host, Milliseconds(300),
                  [&probed](const ProbeAnswer& answer) { probed = answer; });
    CHECK(RunUntil(loop, [&probed] { return probed.has_value(); }));
    bool is_ended = false;
    engines.Order(host, {}, [&is_ended](OrderResult) { is_ended = true; });
    CHECK(RunUntil(loop, [&is_ended] { return is_ended; }));
    CHECK(server.requests() == 2);
    CHECK(RunUntil(loop, [&server] { return server.sending() == 0; }));
  }
}

/// Responses of a store that go on without end, also within their JSON.
std::vector<Form> StoreForms() {
  const std::string head = "Content-Length: 9999999999\r\n\r\n";
  const std::string item = Json{
      {"metadata", {{"name", "s"}, {"rev", 5}}},
      {"spec", MakePlainSpec()},
      {"status", nullptr}}.dump();
  std::vector<Form> forms = BodyForms();
  forms.push_back(
      {"an element", head + R"({"items":[{"metadata":")", Repeat("x", kBlock)});
  forms.push_back({"elements", head + R"({"items":[0)", Repeat(",0", kBlock)});
  forms.push_back(
      {"servers", head + R"({"items":[)" + item, Repeat("," + item, kBlock)});
  forms.push_back({"brackets", head, Repeat("[", kBlock)});
  return forms;
}

/// Memory of this process, in bytes.
size_t ResidentBytes() {
  std::ifstream file("/proc/self/statm");
  size_t total = 0;
  size_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<size_t>(sysconf(_SC_PAGESIZE));
}

/// The part of an entry host's memory of 256 MiB that responses may take.
constexpr size_t kMaxResponseMemory = size_t{32} * 1024 * 1024;

/// A store client of an endless store.
struct EndlessStore {
  EndlessStore(EventLoop& loop, const Form& form)
      : server(loop, form, true),
        client(loop, server.address(), {}, listener, 1) {}

  EndlessServer server;
  RecordingListener listener;
  platform::PlatformStore client;
  std::optional<StoreStatus> status;
};

TEST_CASE("responses of the store without end are given up") {
  // Guards against an entry host that keeps what a faulty store sends until it
  // runs out of memory.
  EventLoop loop;
  const std::vector<Form> forms = StoreForms();
  std::vector<std::unique_ptr<EndlessStore>> stores;
  for (const Form& form : forms) {
    stores.push_back(std::make_unique<EndlessStore>(loop, form));
  }
  const size_t before = ResidentBytes();
  size_t most = before;
  const auto run_until = [&loop, &most](const auto& done) {
    CHECK(RunUntil(loop, [&] {
      most = std::max(most, ResidentBytes());
      return done();
    }));
  };
  for (const auto& store : stores) {
    store->client.Read("n", [&store](const StoreResponse& got) {
      store->status = got.status;
    });
  }
  run_until([&stores] {
    return std::all_of(stores.begin(), stores.end(), [](const auto& store) {
      return store->status.has_value();
    });
  });
  for (const auto& store : stores) {
    CHECK(*store->status == StoreStatus::kUnavailable);
    store->client.SetWatching(true);
  }
  bool is_over = false;
  const auto timer = loop.After(Seconds(2), [&is_over] { is_over = true; });
  run_until([&is_over] { return is_over; });
  for (size_t i = 0; i < forms.size(); ++i) {
    CAPTURE(forms[i].name);
    // The read, and a listing of each kind.
    CHECK(stores[i]->server.requests() >= 3);
    CHECK(stores[i]->listener.servers.empty());
    CHECK(stores[i]->listener.versions.empty());
  }
  CHECK(most - before <= kMaxResponseMemory);
}

TEST_CASE("responses of a peer without end are given up") {
  for (const Form& form : BodyForms()) {
    INFO(form.name);
    EventLoop loop;
    EndlessServer server(loop, form, true);
    PeerClient client(loop, "key", server.address());
    bool is_ended = false;
    bool is_answered = false;
    const size_t before = ResidentBytes();
    size_t most = before;
    client.Ask("question", Milliseconds(500), [&](const std::string* answer) {
      is_ended = true;
      is_answered = answer != nullptr;
    });
    CHECK(RunUntil(loop, [&] {
      most = std::max(most, ResidentBytes());
      return is_ended;
    }));
    CHECK_FALSE(is_answered);
    CHECK(server.requests() == 1);
    CHECK(most - before <= kMaxResponseMemory);
    CHECK(RunUntil(loop, [&server] { return server.sending() == 0; }));
  }
}

}  // namespace
}  // namespace filbertrack

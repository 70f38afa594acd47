#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "platform_site.h"

/// Tests callers that read slowly or not at all. They cover the whole request
/// path of one entry host, with stand-ins for the platform.

namespace filbertrack {
namespace {

/// Memory of the entry host, in MiB, and the bytes that it may buffer for
/// callers.
constexpr int kMemoryMb = 16;
constexpr size_t kMaxHeld = 4 * 1024 * 1024;
constexpr Duration kUnreadTimeout = Seconds(2);

/// A caller that requests a stream and receives at most `per_read` bytes with
/// each call to Read(); none if 0.
class SlowCaller {
 public:
  SlowCaller(const Address& to, const std::string& id, size_t per_read)
      : m_socket(socket(AF_INET, SOCK_STREAM, 0)), m_per_read(per_read) {
    const int window = 4096;
    setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(to.port);
    inet_pton(AF_INET, to.host.c_str(), &at.sin_addr);
    REQUIRE(connect(m_socket, reinterpret_cast<sockaddr*>(&at), sizeof(at)) ==
            0);
    fcntl(m_socket, F_SETFL, O_NONBLOCK);
    const std::string request =
        "POST /s/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + id +
        "\r\nX-Model: m\r\nX-Token-Usage: 100,50\r\n"
        "X-Deadline-Remaining: 8000\r\nAuthorization: Bearer key\r\n"
        "Content-Length: 0\r\n\r\n";
    REQUIRE(write(m_socket, request.data(), request.size()) ==
            static_cast<ssize_t>(request.size()));
  }
  ~SlowCaller() { close(m_socket); }
  SlowCaller(const SlowCaller&) = delete;
  SlowCaller& operator=(const SlowCaller&) = delete;

  void Read() {
    std::string bytes(m_per_read, '\0');
    if (m_per_read > 0) {
      m_read += std::max<ssize_t>(0, read(m_socket, bytes.data(), m_per_read));
    }
  }
  ssize_t bytes_read() const { return m_read; }

 private:
  int m_socket;
  size_t m_per_read;
  ssize_t m_read = 0;
};

/// One entry host with little memory, and groups that send large streams.
struct ReaderSite : Site {
  ReaderSite()
      : Site(SiteOptions{.hosts = 4,
                         .entry_hosts = 1,
                         .event_padding = 40'000,
                         .entry_memory_mb = kMemoryMb,
                         .unread_timeout = kUnreadTimeout}) {
    for (const auto& runner : runners) {
      runner->SetEvents(100);
    }
  }
};

TEST_CASE("callers that do not read are disconnected, and others are served") {
  // Guards against unread responses that fill the memory of the entry host
  // until the platform kills the process.
  ReaderSite site;
  REQUIRE(RunUntil(site.loop, [&site] { return site.CountTargets() == 4; }));
  std::vector<std::unique_ptr<SlowCaller>> stalled_callers;
  for (int i = 0; i < 8; ++i) {
    stalled_callers.push_back(std::make_unique<SlowCaller>(
        site.host->caller_address(), "deaf-" + std::to_string(i), 0));
  }
  SlowCaller slow(site.host->caller_address(), "slow", 20'000);
  size_t max_held = 0;
  const auto watch = site.loop.Every(Milliseconds(20), [&] {
    slow.Read();
    max_held = std::max(max_held, site.host->HeldBytes());
  });
  REQUIRE(RunUntil(site.loop, [&] { return max_held > kMaxHeld / 4; }));
  HttpClient client(site.loop, 4);
  CallerResponse response;
  const auto call = SendRequest(site, client, "/safe/x", "beside", response);
  REQUIRE(RunUntil(site.loop, [&response] { return response.ended; }));
  CHECK(response.status == 200);
  REQUIRE(
      RunUntil(site.loop, [&] { return site.host->dropped_callers() >= 8; }));
  // Each stream may exceed the limit by the data of one read.
  CHECK(max_held < 2 * kMaxHeld);
  CHECK(slow.bytes_read() > 100'000);
}

}  // namespace
}  // namespace filbertrack

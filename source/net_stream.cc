#include "filbertrack/net_stream.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>

#include <event2/buffer.h>
#include <event2/event.h>

namespace filbertrack {

namespace {

/// Bytes read per system call; enough for the events of one engine step.
constexpr size_t kReadBytes = 16 * 1024;

void SetOption(int fd, int level, int option, int value) {
  // Failure is ignored: the options only tune the socket.
  (void)setsockopt(fd, level, option, &value, sizeof(value));
}

/// Returns whether the socket uses `source`; an empty one is left to the
/// kernel.
bool BindSource(int fd, const std::string& source) {
  if (source.empty()) {
    return true;
  }
  // The port is chosen on connecting, so that one port serves connections to
  // several addresses.
  SetOption(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1);
  sockaddr_in from{};
  from.sin_family = AF_INET;
  return inet_pton(AF_INET, source.c_str(), &from.sin_addr) == 1 &&
         bind(fd, reinterpret_cast<const sockaddr*>(&from), sizeof(from)) == 0;
}

}  // namespace

TcpStream::TcpStream(EventLoop& loop, int fd, bool connecting)
    : m_fd(fd),
      m_connecting(connecting),
      m_read_event(event_new(loop.base(),
                             fd,
                             EV_READ | EV_PERSIST,
                             &TcpStream::OnReadable,
                             this)),
      m_write_event(
          event_new(loop.base(), fd, EV_WRITE, &TcpStream::OnWritable, this)),
      m_output(evbuffer_new()) {
  SetOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
}

std::shared_ptr<TcpStream> TcpStream::Accepted(EventLoop& loop, int fd) {
  return std::shared_ptr<TcpStream>(new TcpStream(loop, fd, false));
}

std::shared_ptr<TcpStream> TcpStream::Connect(EventLoop& loop,
                                              const Address& address,
                                              const std::string& source) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  auto stream = std::shared_ptr<TcpStream>(new TcpStream(loop, fd, true));
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(address.port);
  const bool numeric =
      inet_pton(AF_INET, address.host.c_str(), &to.sin_addr) == 1;
  const bool started =
      fd >= 0 && numeric && BindSource(fd, source) &&
      (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) == 0 ||
       errno == EINPROGRESS);
  if (started) {
    event_add(stream->m_write_event, nullptr);
  } else {
    loop.Post([stream] { stream->End(StreamEnd::kReset); });
  }
  return stream;
}

TcpStream::~TcpStream() {
  Close();
  event_free(m_read_event);
  event_free(m_write_event);
  evbuffer_free(m_output);
}

void TcpStream::Start(StreamEvents events) {
  m_events = std::move(events);
  if (!m_connecting) {
    SetReading(true);
  }
}

void TcpStream::SetReading(bool reading) {
  if (m_fd < 0 || m_connecting || reading == m_reading) {
    return;
  }
  m_reading = reading;
  if (reading) {
    event_add(m_read_event, nullptr);
  } else {
    event_del(m_read_event);
  }
}

void TcpStream::Write(std::string_view bytes) {
  if (m_fd < 0) {
    return;
  }
  const bool idle = evbuffer_get_length(m_output) == 0;
  evbuffer_add(m_output, bytes.data(), bytes.size());
  if (idle && !m_connecting) {
    // Flushes at the end of this loop iteration, together with later writes.
    event_active(m_write_event, EV_WRITE, 0);
  }
}

void TcpStream::ShutDown() {
  m_shutting_down = true;
  if (m_fd >= 0 && !m_connecting && evbuffer_get_length(m_output) == 0) {
    shutdown(m_fd, SHUT_WR);
  }
}

void TcpStream::Close() {
  if (m_fd < 0) {
    return;
  }
  event_del(m_read_event);
  event_del(m_write_event);
  close(m_fd);
  m_fd = -1;
  m_events = {};
}

size_t TcpStream::unsent() const {
  return evbuffer_get_length(m_output);
}

void TcpStream::SetDeadPeerTimeout(Duration timeout) {
  SetOption(m_fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(ToMilliseconds(timeout)));
  SetOption(m_fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  const int idle_s = std::max(1, static_cast<int>(timeout / Seconds(2)));
  SetOption(m_fd, IPPROTO_TCP, TCP_KEEPIDLE, idle_s);
  SetOption(m_fd, IPPROTO_TCP, TCP_KEEPINTVL, 1);
  SetOption(m_fd, IPPROTO_TCP, TCP_KEEPCNT, 2);
}

void TcpStream::OnReadable(int, short, void* self) {
  const auto stream = static_cast<TcpStream*>(self)->shared_from_this();
  stream->Read();
}

void TcpStream::OnWritable(int, short, void* self) {
  const auto stream = static_cast<TcpStream*>(self)->shared_from_this();
  if (stream->m_connecting) {
    stream->FinishConnect();
  } else {
    stream->Flush();
  }
}

void TcpStream::FinishConnect() {
  int failure = 0;
  socklen_t size = sizeof(failure);
  getsockopt(m_fd, SOL_SOCKET, SO_ERROR, &failure, &size);
  if (failure != 0) {
    End(StreamEnd::kReset);
    return;
  }
  m_connecting = false;
  SetReading(true);
  const auto on_connected = m_events.on_connected;
  if (on_connected) {
    on_connected();
  }
  if (m_fd >= 0) {
    Flush();
  }
}

void TcpStream::Read() {
  std::array<char, kReadBytes> bytes;
  while (m_fd >= 0 && m_reading) {
    const ssize_t count = recv(m_fd, bytes.data(), bytes.size(), 0);
    if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
      return;
    }
    if (count <= 0) {
      End(count == 0 ? StreamEnd::kClosed : StreamEnd::kReset);
      return;
    }
    const auto on_bytes = m_events.on_bytes;
    if (on_bytes) {
      on_bytes({bytes.data(), static_cast<size_t>(count)});
    }
    if (static_cast<size_t>(count) < bytes.size()) {
      return;
    }
  }
}

void TcpStream::Flush() {
  if (m_fd < 0) {
    return;
  }
  while (evbuffer_get_length(m_output) > 0) {
    const int count = evbuffer_write(m_output, m_fd);
    if (count > 0) {
      m_sent += static_cast<uint64_t>(count);
      continue;
    }
    if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
      event_add(m_write_event, nullptr);
      return;
    }
    End(StreamEnd::kReset);
    return;
  }
  if (m_shutting_down) {
    shutdown(m_fd, SHUT_WR);
  }
  const auto on_drained = m_events.on_drained;
  if (on_drained) {
    on_drained();
  }
}

void TcpStream::End(StreamEnd end) {
  const auto on_end = std::move(m_events.on_end);
  Close();
  if (on_end) {
    on_end(end);
  }
}

}  // namespace filbertrack

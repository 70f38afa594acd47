#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstring>

namespace review {

namespace {

sockaddr_in ToSocketAddress(const Endpoint& endpoint) {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(static_cast<uint16_t>(endpoint.port));
  inet_pton(AF_INET, endpoint.host.c_str(), &at.sin_addr);
  return at;
}

std::string ToLower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](char c) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  });
  return text;
}

/// Reads from a socket until a deadline, or without one.
class Reader {
 public:
  Reader(int fd, long deadline_ms) : m_fd(fd), m_deadline_ms(deadline_ms) {}

  bool Line(std::string& line) {
    size_t end = m_buffer.find("\r\n");
    while (end == std::string::npos) {
      if (!Fill()) {
        return false;
      }
      end = m_buffer.find("\r\n");
    }
    line = m_buffer.substr(0, end);
    m_buffer.erase(0, end + 2);
    return true;
  }

  bool Bytes(size_t count, std::string& bytes) {
    while (m_buffer.size() < count) {
      if (!Fill()) {
        return false;
      }
    }
    bytes += m_buffer.substr(0, count);
    m_buffer.erase(0, count);
    return true;
  }

  bool Headers(std::map<std::string, std::string>& headers) {
    std::string line;
    while (Line(line)) {
      if (line.empty()) {
        return true;
      }
      const size_t colon = line.find(':');
      if (colon == std::string::npos) {
        return false;
      }
      const size_t value = line.find_first_not_of(' ', colon + 1);
      headers[ToLower(line.substr(0, colon))] =
          value == std::string::npos ? "" : line.substr(value);
    }
    return false;
  }

  bool Body(const std::map<std::string, std::string>& headers,
            std::string& body) {
    const auto coding = headers.find("transfer-encoding");
    if (coding != headers.end()) {
      std::string line;
      while (Line(line)) {
        const size_t size = std::strtoul(line.c_str(), nullptr, 16);
        std::string end;
        if (!Bytes(size, body) || !Bytes(2, end)) {
          return false;
        }
        if (size == 0) {
          return true;
        }
      }
      return false;
    }
    const auto length = headers.find("content-length");
    return length == headers.end() ||
           Bytes(std::strtoul(length->second.c_str(), nullptr, 10), body);
  }

 private:
  bool Fill() {
    pollfd wait{m_fd, POLLIN, 0};
    const long left = m_deadline_ms == 0 ? -1 : m_deadline_ms - NowMs();
    if (m_deadline_ms != 0 && left <= 0) {
      return false;
    }
    if (poll(&wait, 1, static_cast<int>(left)) <= 0) {
      return false;
    }
    char bytes[16384];
    const ssize_t count = recv(m_fd, bytes, sizeof(bytes), 0);
    if (count <= 0) {
      return false;
    }
    m_buffer.append(bytes, static_cast<size_t>(count));
    return true;
  }

  int m_fd;
  long m_deadline_ms;
  std::string m_buffer;
};

bool WriteAll(int fd, const std::string& text) {
  size_t done = 0;
  while (done < text.size()) {
    const ssize_t count =
        send(fd, text.data() + done, text.size() - done, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    done += static_cast<size_t>(count);
  }
  return true;
}

}  // namespace

long NowMs() {
  static const auto start = std::chrono::steady_clock::now();
  return static_cast<long>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::steady_clock::now() - start)
          .count());
}

std::string Request::Header(const std::string& name) const {
  const auto found = headers.find(ToLower(name));
  return found == headers.end() ? "" : found->second;
}

std::string Request::Query(const std::string& name) const {
  size_t at = 0;
  while (at < query.size()) {
    const size_t end = std::min(query.find('&', at), query.size());
    const std::string field = query.substr(at, end - at);
    const size_t equals = field.find('=');
    if (field.substr(0, equals) == name) {
      return equals == std::string::npos ? "" : field.substr(equals + 1);
    }
    at = end + 1;
  }
  return "";
}

Server::Server(const std::string& host, Handler handler)
    : m_handler(std::move(handler)), m_endpoint{host, 0} {
  m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in at = ToSocketAddress(m_endpoint);
  bind(m_listener, reinterpret_cast<sockaddr*>(&at), sizeof(at));
  listen(m_listener, 512);
  socklen_t size = sizeof(at);
  getsockname(m_listener, reinterpret_cast<sockaddr*>(&at), &size);
  m_endpoint.port = ntohs(at.sin_port);
  m_acceptor = std::thread([this] { Accept(); });
}

Server::~Server() {
  Stop();
  for (std::thread& thread : m_threads) {
    thread.join();
  }
}

void Server::Stop() {
  if (m_stopped.exchange(true)) {
    return;
  }
  shutdown(m_listener, SHUT_RDWR);
  m_acceptor.join();
  close(m_listener);
  const std::lock_guard lock(m_mutex);
  for (const int fd : m_open) {
    shutdown(fd, SHUT_RDWR);
  }
}

void Server::Accept() {
  while (!m_stopped) {
    const int fd = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      return;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const std::lock_guard lock(m_mutex);
    m_open.push_back(fd);
    m_threads.emplace_back([this, fd] { Serve(fd); });
  }
}

void Server::Serve(int fd) {
  const int connection = ++m_connections;
  Reader reader(fd, 0);
  std::string line;
  while (reader.Line(line)) {
    Request request;
    request.connection = connection;
    const size_t first = line.find(' ');
    const size_t last = line.rfind(' ');
    if (first == std::string::npos || last <= first) {
      break;
    }
    request.method = line.substr(0, first);
    const std::string target = line.substr(first + 1, last - first - 1);
    const size_t mark = target.find('?');
    request.path = target.substr(0, mark);
    request.query = mark == std::string::npos ? "" : target.substr(mark + 1);
    if (!reader.Headers(request.headers) ||
        !reader.Body(request.headers, request.body)) {
      break;
    }
    const Response response = m_handler(request);
    if (response.reset) {
      const linger at_once{1, 0};
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
      break;
    }
    std::string text =
        "HTTP/1.1 " + std::to_string(response.status) + " Status\r\n";
    for (const auto& [name, value] : response.headers) {
      text += name + ": " + value + "\r\n";
    }
    text += "Content-Length: " + std::to_string(response.body.size()) +
            "\r\n\r\n" + response.body;
    if (!WriteAll(fd, text)) {
      break;
    }
  }
  const std::lock_guard lock(m_mutex);
  std::erase(m_open, fd);
  close(fd);
}

Answer Send(const Endpoint& to,
            const std::string& method,
            const std::string& target,
            const std::vector<std::pair<std::string, std::string>>& headers,
            const std::string& body,
            int timeout_ms) {
  Answer answer;
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in at = ToSocketAddress(to);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) != 0) {
    close(fd);
    return answer;
  }
  answer.connected = true;
  std::string text = method + " " + target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : headers) {
    text += name + ": " + value + "\r\n";
  }
  if (!body.empty()) {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  text += "\r\n" + body;
  Reader reader(fd, NowMs() + timeout_ms);
  std::string line;
  if (WriteAll(fd, text) && reader.Line(line) &&
      reader.Headers(answer.headers) &&
      reader.Body(answer.headers, answer.body) && line.size() > 12) {
    answer.status = std::atoi(line.c_str() + 9);
  }
  close(fd);
  return answer;
}

int FreePort(const std::string& host) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in at = ToSocketAddress({host, 0});
  bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof(at));
  socklen_t size = sizeof(at);
  getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  close(fd);
  return ntohs(at.sin_port);
}

}  // namespace review

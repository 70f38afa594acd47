#pragma once

/// A small deployment on loopback addresses for the cases of review 2: the
/// platform (settings, store, restarts), runners and clients are stand-ins;
/// `filbert-entry` is started as the deploy file says. Blocking sockets and one
/// thread per connection keep it simple.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace rig {

using Json = nlohmann::json;
using Headers = std::vector<std::pair<std::string, std::string>>;

// Figures of the site donatia-ho that the cases use.
constexpr double kStableWindowS = 3.0;
constexpr double kConfigS = 2.0;
constexpr int kMemoryMb = 260;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

/// Thrown if a case cannot run.
struct CannotRun {
  std::string why;
};

/// The processes that the case has started and not ended.
class Processes {
 public:
  static void Add(pid_t pid) {
    Change([pid](auto& pids) { pids.insert(pid); });
  }
  static void Remove(pid_t pid) {
    Change([pid](auto& pids) { pids.erase(pid); });
  }
  static void KillAll() {
    Change([](auto& pids) {
      for (const pid_t pid : pids) {
        kill(pid, SIGKILL);
        waitpid(pid, nullptr, 0);
      }
      pids.clear();
    });
  }

 private:
  static void Change(const std::function<void(std::set<pid_t>&)>& change) {
    static std::mutex mutex;
    static std::set<pid_t> pids;
    const std::lock_guard lock(mutex);
    change(pids);
  }
};

inline double Now() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
      .count();
}

inline void Sleep(double seconds) {
  if (seconds > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
  }
}

/// record.txt of the case: what was sent, answered and run.
class Record {
 public:
  explicit Record(const std::string& path) : m_file(path) {}
  void Line(const std::string& text) {
    const std::lock_guard lock(m_mutex);
    char time[32];
    std::snprintf(time, sizeof(time), "%9.3f  ", Now());
    m_file << time << text << "\n" << std::flush;
  }

 private:
  std::mutex m_mutex;
  std::ofstream m_file;
};

// Sockets.

inline sockaddr_in ToSockaddr(const std::string& ip, uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

/// Returns a listening socket, or -1. Port 0: a free one, see PortOf().
inline int Listen(const std::string& ip, uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = ToSockaddr(ip, port);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) !=
          0 ||
      listen(fd, 512) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

inline uint16_t PortOf(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

inline int Connect(const std::string& ip, uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  const sockaddr_in address = ToSockaddr(ip, port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

inline bool SendAll(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t count = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<size_t>(count));
  }
  return true;
}

/// Buffered reading with a time limit for each read.
class Reader {
 public:
  explicit Reader(int fd) : m_fd(fd) {}

  /// Reads more bytes. False at the end, on an error or after `timeout_s`.
  bool Fill(double timeout_s) {
    pollfd poll_fd{m_fd, POLLIN, 0};
    if (poll(&poll_fd, 1, static_cast<int>(timeout_s * 1000)) <= 0) {
      timed_out = true;
      return false;
    }
    char bytes[16384];
    const ssize_t count = recv(m_fd, bytes, sizeof(bytes), 0);
    if (count <= 0) {
      return false;
    }
    buffer.append(bytes, static_cast<size_t>(count));
    return true;
  }

  std::optional<std::string> Until(std::string_view mark, double timeout_s) {
    size_t at = buffer.find(mark);
    while (at == std::string::npos) {
      if (!Fill(timeout_s)) {
        return std::nullopt;
      }
      at = buffer.find(mark);
    }
    std::string text = buffer.substr(0, at);
    buffer.erase(0, at + mark.size());
    return text;
  }

  std::optional<std::string> Exactly(size_t size, double timeout_s) {
    while (buffer.size() < size) {
      if (!Fill(timeout_s)) {
        return std::nullopt;
      }
    }
    std::string text = buffer.substr(0, size);
    buffer.erase(0, size);
    return text;
  }

  std::string buffer;
  bool timed_out = false;

 private:
  int m_fd;
};

inline bool EqualNames(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
           return std::tolower(static_cast<unsigned char>(x)) ==
                  std::tolower(static_cast<unsigned char>(y));
         });
}

inline std::string Find(const Headers& headers, std::string_view name) {
  for (const auto& [field, value] : headers) {
    if (EqualNames(field, name)) {
      return value;
    }
  }
  return "";
}

/// A request as a server sees it, or a response as a client does.
struct Message {
  std::string start_line;
  Headers headers;
  std::string body;
  /// The body ended as its framing says.
  bool complete = false;

  std::string Method() const {
    return start_line.substr(0, start_line.find(' '));
  }
  std::string Target() const {
    const size_t from = start_line.find(' ') + 1;
    return start_line.substr(from, start_line.find(' ', from) - from);
  }
  int Status() const { return std::atoi(start_line.c_str() + 9); }
};

inline std::optional<Message> ReadMessage(Reader& reader, double timeout_s) {
  const auto head = reader.Until("\r\n\r\n", timeout_s);
  if (!head) {
    return std::nullopt;
  }
  Message message;
  std::istringstream lines(*head);
  std::string line;
  while (std::getline(lines, line)) {
    if (line.ends_with('\r')) {
      line.pop_back();
    }
    if (message.start_line.empty()) {
      message.start_line = line;
      continue;
    }
    const size_t colon = line.find(':');
    const size_t value = line.find_first_not_of(' ', colon + 1);
    message.headers.emplace_back(
        line.substr(0, colon),
        value == std::string::npos ? "" : line.substr(value));
  }
  if (EqualNames(Find(message.headers, "Transfer-Encoding"), "chunked")) {
    while (true) {
      const auto size_line = reader.Until("\r\n", timeout_s);
      if (!size_line) {
        return message;
      }
      const size_t size = std::strtoul(size_line->c_str(), nullptr, 16);
      const auto chunk = reader.Exactly(size, timeout_s);
      if (!chunk || !reader.Until("\r\n", timeout_s)) {
        return message;
      }
      message.body += *chunk;
      if (size == 0) {
        message.complete = true;
        return message;
      }
    }
  }
  const size_t size = std::strtoul(
      Find(message.headers, "Content-Length").c_str(), nullptr, 10);
  const auto body = reader.Exactly(size, timeout_s);
  message.body = body.value_or("");
  message.complete = body.has_value();
  return message;
}

inline std::string Response(int status,
                            const Headers& headers,
                            std::string_view body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  for (const auto& [name, value] : headers) {
    text += name + ": " + value + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         std::string(body);
}

/// Serves requests, one thread per connection. The handler returns false to
/// close the connection.
class Server {
 public:
  using Handler =
      std::function<bool(int fd, const Message& request, double opened)>;

  Server(const std::string& ip, Handler handler)
      : m_ip(ip), m_fd(Listen(ip, 0)), m_handler(std::move(handler)) {
    if (m_fd < 0) {
      throw CannotRun{"cannot listen on " + ip};
    }
    m_port = PortOf(m_fd);
    std::thread([this] { Accept(); }).detach();
  }

  std::string Address() const { return m_ip + ":" + std::to_string(m_port); }

 private:
  void Accept() {
    while (true) {
      const int fd = accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        continue;
      }
      std::thread([this, fd, opened = Now()] {
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        Reader reader(fd);
        while (true) {
          const auto request = ReadMessage(reader, 100);
          if (!request || !request->complete ||
              !m_handler(fd, *request, opened)) {
            break;
          }
        }
        close(fd);
      }).detach();
    }
  }

  std::string m_ip;
  int m_fd;
  uint16_t m_port = 0;
  Handler m_handler;
};

/// The platform's metadata store, form "objects".
class Store {
 public:
  explicit Store(Record& record)
      : m_record(record),
        m_server("127.0.0.1",
                 [this](int fd, const Message& request, double opened) {
                   return Handle(fd, request, opened);
                 }) {}

  std::string Address() const { return m_server.Address(); }

  /// A way to the store for one machine alone, which can be cut.
  struct Door {
    std::atomic<bool> is_cut{false};
    /// Times of the last listings of `servers` and `config` that were answered.
    std::atomic<double> servers_listed_at{-1};
    std::atomic<double> config_listed_at{-1};
    std::unique_ptr<Server> server;
  };

  std::unique_ptr<Door> OpenDoor() {
    auto door = std::make_unique<Door>();
    Door* opened = door.get();
    door->server = std::make_unique<Server>(
        "127.0.0.1", [this, opened](int fd, const Message& request, double at) {
          if (opened->is_cut) {
            return false;
          }
          const bool open = Handle(fd, request, at,
                                   [opened] { return opened->is_cut.load(); });
          const std::string target = request.Target();
          if (open && target.starts_with("/objects/servers?after")) {
            opened->servers_listed_at = Now();
          } else if (open && target.starts_with("/objects/config?after")) {
            opened->config_listed_at = Now();
          }
          return open;
        });
    return door;
  }

  /// Removes an entry, as the platform does with that of a runner that leaves.
  double Remove(const std::string& kind, const std::string& name) {
    const std::lock_guard lock(m_mutex);
    const auto found = m_objects.find({kind, name});
    ++m_revision;
    m_events.push_back({m_revision, kind, found->second, true});
    m_objects.erase(found);
    m_changed.notify_all();
    return Now();
  }

  /// Writes an object, as the operator or a runner does. Returns the time of
  /// the acknowledgement.
  double Put(const std::string& kind, const std::string& name, Json spec) {
    const std::lock_guard lock(m_mutex);
    PutLocked(kind, name, std::move(spec));
    return Now();
  }

  /// All connections that are open now go silent for good, without a reset: no
  /// byte of them is read or answered any more. New ones work.
  void SilenceOpenConnections() { m_silent_before = Now(); }

 private:
  using Key = std::pair<std::string, std::string>;
  struct Event {
    uint64_t revision;
    std::string kind;
    Json object;
    bool is_removal = false;
  };

  Json PutLocked(const std::string& kind, const std::string& name, Json spec) {
    const auto found = m_objects.find({kind, name});
    if (found != m_objects.end() && found->second["spec"] == spec) {
      return found->second;
    }
    ++m_revision;
    const Json created = found == m_objects.end()
                             ? Json(m_revision)
                             : found->second["metadata"]["created"];
    Json object = {{"metadata",
                    {{"name", name},
                     {"rev", m_revision},
                     {"created", created},
                     {"finalizers", Json::array()},
                     {"deleting", false}}},
                   {"spec", std::move(spec)},
                   {"status", nullptr}};
    m_objects[{kind, name}] = object;
    m_events.push_back({m_revision, kind, object});
    m_changed.notify_all();
    return object;
  }

  bool IsSilent(double opened) const { return opened < m_silent_before; }

  static std::string Parameter(const std::string& target,
                               const std::string& name) {
    const size_t at = target.find(name + "=");
    if (at == std::string::npos) {
      return "";
    }
    const size_t from = at + name.size() + 1;
    return target.substr(from, target.find('&', from) - from);
  }

  /// `is_cut` tells whether the caller is cut off from the store by now.
  bool Handle(
      int fd,
      const Message& request,
      double opened,
      const std::function<bool()>& is_cut = [] { return false; }) {
    if (IsSilent(opened)) {
      Sleep(1000);
      return false;
    }
    const std::string target = request.Target();
    const std::string path = target.substr(0, target.find('?'));
    std::string rest = path.substr(std::string("/objects/").size());
    const size_t slash = rest.find('/');
    const std::string kind = rest.substr(0, slash);
    const std::string name =
        slash == std::string::npos ? "" : rest.substr(slash + 1);
    int status = 200;
    Json body;
    if (request.Method() == "GET" && !Parameter(target, "watch").empty()) {
      body = Watch(kind, std::stoull(Parameter(target, "watch")),
                   std::stod(Parameter(target, "waitMs")) / 1000, is_cut);
    } else {
      const std::lock_guard lock(m_mutex);
      if (request.Method() == "GET" && name.empty()) {
        Json items = Json::array();
        for (const auto& [key, object] : m_objects) {
          if (key.first == kind) {
            items.push_back(object);
          }
        }
        body = {{"items", items}, {"hasMore", false}, {"asOf", m_revision}};
      } else if (request.Method() == "GET") {
        const auto found = m_objects.find({kind, name});
        status = found == m_objects.end() ? 404 : 200;
        body = found == m_objects.end() ? Json::object() : found->second;
      } else {
        std::tie(status, body) = Write(kind, name, request);
      }
    }
    if (is_cut()) {
      return false;
    }
    if (IsSilent(opened)) {
      Sleep(1000);
      return false;
    }
    return SendAll(fd, Response(status, {{"Content-Type", "application/json"}},
                                body.dump()));
  }

  std::pair<int, Json> Write(const std::string& kind,
                             const std::string& name,
                             const Message& request) {
    const Json object = Json::parse(request.body);
    const Json& metadata = object["metadata"];
    const std::string given =
        name.empty() ? metadata["name"].get<std::string>() : name;
    const auto found = m_objects.find({kind, given});
    const bool exists = found != m_objects.end();
    if (request.Method() == "POST") {
      return exists ? std::pair(409, found->second)
                    : std::pair(200, PutLocked(kind, given, object["spec"]));
    }
    if (!exists) {
      return {404, Json::object()};
    }
    const bool conflicts = metadata.contains("rev") &&
                           metadata["rev"] != found->second["metadata"]["rev"];
    return conflicts ? std::pair(409, found->second)
                     : std::pair(200, PutLocked(kind, given, object["spec"]));
  }

  Json Watch(const std::string& kind,
             uint64_t revision,
             double wait_s,
             const std::function<bool()>& is_cut) {
    const double end = Now() + wait_s;
    std::unique_lock lock(m_mutex);
    while (true) {
      Json events = Json::array();
      for (const Event& event : m_events) {
        if (event.revision > revision && event.kind == kind) {
          events.push_back(
              {{"object", event.object}, {"deleted", event.is_removal}});
        }
      }
      const double left = end - Now();
      if (!events.empty() || left <= 0 || is_cut()) {
        return {{"events", events}, {"asOf", m_revision}};
      }
      m_changed.wait_for(lock,
                         std::chrono::duration<double>(std::min(left, 0.02)));
    }
  }

  Record& m_record;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  uint64_t m_revision = 100;
  std::map<Key, Json> m_objects;
  std::vector<Event> m_events;
  std::atomic<double> m_silent_before{-1};
  Server m_server;
};

/// A runner. It keeps what it ran and what it made, by the request's id.
class Runner {
 public:
  struct Run {
    std::string target;
    std::string body;
    std::string tenant;
    /// Body of the response that the runner made, without framing.
    std::string made;
    double at = 0;
  };

  Runner(Record& record,
         Store& store,
         std::string id,
         std::string service,
         const std::string& ip)
      : m_record(record),
        m_store(store),
        m_id(std::move(id)),
        m_service(std::move(service)),
        m_server(ip, [this](int fd, const Message& request, double) {
          return Handle(fd, request);
        }) {}

  virtual ~Runner() = default;

  const std::string& id() const { return m_id; }

  virtual Json Spec() {
    return {{"service", m_service},
            {"address", m_server.Address()},
            {"zone", "zone-a"},
            {"version", "v1"},
            {"slots", 6},
            {"state", "ready"},
            {"coldRemainingMs", 0},
            {"stage", "both"},
            {"models", Json::array()},
            {"seq", 0}};
  }

  void Register() { m_store.Put("servers", m_id, Spec()); }

  std::map<std::string, std::vector<Run>> Runs() {
    const std::lock_guard lock(m_mutex);
    return m_runs;
  }

  /// How long a plain request takes.
  double work_s = 0.05;

 protected:
  /// Handles a request that is neither a report nor an order.
  virtual bool Serve(int fd, const Message& request) {
    const std::string request_id = Find(request.headers, "X-Attempt-Id");
    const std::string body = "answer to " + request_id;
    Note(request, body);
    Sleep(work_s);
    return SendAll(fd, Response(200,
                                {{"X-Attempt-Id", request_id},
                                 {"X-Runner-Seal", "seal." + m_id}},
                                body));
  }

  virtual bool Order(int fd, const Message&) {
    return SendAll(fd, Response(400, {}, ""));
  }

  virtual Json Report() { return {{"busy", false}, {"seq", 0}}; }

  void Note(const Message& request, const std::string& made) {
    const std::string request_id = Find(request.headers, "X-Attempt-Id");
    {
      const std::lock_guard lock(m_mutex);
      m_runs[request_id].push_back({request.Target(), request.body,
                                    Find(request.headers, "X-Tenant"), made,
                                    Now()});
    }
    m_record.Line("runner " + m_id + " runs " + request_id + " " +
                  request.Method() + " " + request.Target() + ", body of " +
                  std::to_string(request.body.size()) + " B, X-Tenant " +
                  Find(request.headers, "X-Tenant"));
  }

  Record& m_record;
  Store& m_store;
  std::mutex m_mutex;
  std::string m_id;
  std::string m_service;
  std::map<std::string, std::vector<Run>> m_runs;

 private:
  bool Handle(int fd, const Message& request) {
    const std::string expected = Find(request.headers, "X-Expect-Runner");
    if (!expected.empty() && expected != m_id) {
      return SendAll(fd, Response(421, {{"X-Runner-Id", m_id}}, ""));
    }
    if (request.Target() == "/health") {
      return SendAll(fd, Response(200, {{"X-Runner-Id", m_id}}, ""));
    }
    if (request.Target() == "/report") {
      return SendAll(fd, Response(200, {{"Content-Type", "application/json"}},
                                  Report().dump()));
    }
    if (request.Target() == "/order") {
      return Order(fd, request);
    }
    return Serve(fd, request);
  }

  Server m_server;
};

// Settings and processes.

/// Fills in a template of settings: the parts of DEPLOY.md that
/// deploy/entry.ini uses.
class Template {
 public:
  explicit Template(const Json& fields) : m_fields(fields) {}

  std::string Fill(const std::string& text, const Json& entry = {}) const {
    std::string out;
    size_t at = 0;
    while (true) {
      const size_t open = text.find("{{", at);
      out += text.substr(at, open - at);
      if (open == std::string::npos) {
        return out;
      }
      const size_t shut = text.find("}}", open);
      const std::string name = text.substr(open + 2, shut - open - 2);
      at = shut + 2;
      if (name[0] == '#' || name[0] == '^') {
        const std::string end = "{{/" + name.substr(1) + "}}";
        const size_t stop = text.find(end, at);
        const std::string inner = text.substr(at, stop - at);
        at = stop + end.size();
        out += Section(Find(name.substr(1)), name[0] == '^', inner);
      } else if (entry.is_object() && entry.contains(name)) {
        out += Text(entry[name]);
      } else {
        out += Text(Find(name));
      }
    }
  }

 private:
  static std::string Text(const Json& value) {
    return value.is_null()     ? ""
           : value.is_string() ? value.get<std::string>()
                               : value.dump();
  }

  Json Find(const std::string& name) const {
    Json value = m_fields;
    std::istringstream parts(name);
    std::string part;
    while (std::getline(parts, part, '.')) {
      if (value.is_array() && std::stoul(part) < value.size()) {
        value = Json(value[std::stoul(part)]);
      } else if (value.is_object() && value.contains(part)) {
        value = Json(value[part]);
      } else {
        return nullptr;
      }
    }
    return value;
  }

  std::string Section(const Json& value,
                      bool inverted,
                      const std::string& inner) const {
    const bool present = !value.is_null() && value != Json(false);
    if (inverted || !present || !value.is_object()) {
      return inverted != present ? Fill(inner) : "";
    }
    std::string out;
    size_t left = value.size();
    for (const auto& [key, item] : value.items()) {
      --left;
      out += Fill(inner, {{"@", key}, {".", item}, {",", left > 0 ? "," : ""}});
    }
    return out;
  }

  Json m_fields;
};

inline std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/// Value of the line NAME = "VALUE" of the role in deploy/system.toml.
inline std::string DeployValue(const std::string& name) {
  const std::string text = ReadFile("deploy/system.toml");
  const std::string mark = "\n" + name + " = \"";
  const size_t at = text.find(mark);
  if (at == std::string::npos) {
    throw CannotRun{"deploy/system.toml has no " + name};
  }
  const size_t from = at + mark.size();
  return text.substr(from, text.find('"', from) - from);
}

/// The ports that all entry hosts use: free on each of their addresses.
struct Ports {
  uint16_t front = 0;
  uint16_t ready = 0;
  uint16_t peers = 0;
  uint16_t forward = 0;
};

inline uint16_t FreePort(const std::vector<std::string>& ips) {
  for (int i = 0; i < 100; ++i) {
    const int first = Listen(ips.front(), 0);
    const uint16_t port = PortOf(first);
    bool free = true;
    for (size_t at = 1; at < ips.size(); ++at) {
      const int fd = Listen(ips[at], port);
      free = free && fd >= 0;
      if (fd >= 0) {
        close(fd);
      }
    }
    close(first);
    if (free) {
      return port;
    }
  }
  throw CannotRun{"no free port"};
}

/// One machine with the role `entry`, whose process the platform starts and
/// ends.
class EntryHost {
 public:
  EntryHost(Record& record,
            std::string folder,
            std::string name,
            std::string ip,
            const Ports& ports,
            const std::string& store)
      : m_record(record),
        m_folder(std::move(folder)),
        m_name(std::move(name)),
        m_ip(std::move(ip)),
        m_ports(ports) {
    const Json fields = {
        {"node", m_name},
        {"ip", m_ip},
        {"zone", "zone-a"},
        {"portRange", {ports.peers, ports.forward}},
        {"bootstrap", true},
        {"zones", {{"zone-a", "region-a"}}},
        {"listen",
         {{"front", m_ip + ":" + std::to_string(ports.front)},
          {"ready", m_ip + ":" + std::to_string(ports.ready)}}},
        {"limits",
         {{"cpuShare", 0.25}, {"memoryMb", kMemoryMb}, {"linkMbps", 1000.0}}},
        {"bounds",
         {{"graceS", 8},
          {"retryBudgetRatio", 0.2},
          {"budgetSlack", 103},
          {"stallMs", 5000}}},
        {"platform", {{"address", store}}}};
    const std::string path = m_folder + "/" + m_name + ".ini";
    std::ofstream(path) << Template(fields).Fill(
        ReadFile(DeployValue("template")));
    m_settings = "FILBERTRACK_SETTINGS=" + path;
    Start();
  }

  const std::string& ip() const { return m_ip; }
  const std::string& name() const { return m_name; }
  const Ports& ports() const { return m_ports; }

  void Start() {
    const std::string program = DeployValue("run");
    const std::string log = m_folder + "/" + m_name + ".log";
    const pid_t parent = getpid();
    m_pid = fork();
    if (m_pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent) {
        _exit(1);
      }
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      char* const arguments[] = {const_cast<char*>(program.c_str()), nullptr};
      std::string path = "PATH=";
      path += std::getenv("PATH") == nullptr ? "" : std::getenv("PATH");
      char* const environment[] = {m_settings.data(), path.data(), nullptr};
      execve(program.c_str(), arguments, environment);
      _exit(127);
    }
    Processes::Add(m_pid);
    m_record.Line("platform starts " + m_name);
  }

  void Kill(const std::string& why) {
    if (m_pid > 0) {
      kill(m_pid, SIGKILL);
      waitpid(m_pid, nullptr, 0);
      Processes::Remove(m_pid);
      m_pid = 0;
      m_record.Line("platform kills " + m_name + ": " + why);
    }
  }

  bool IsReady() const {
    const int fd = Connect(m_ip, m_ports.ready);
    if (fd < 0) {
      return false;
    }
    SendAll(fd, "GET /ready HTTP/1.1\r\nHost: " + m_ip + "\r\n\r\n");
    Reader reader(fd);
    const auto response = ReadMessage(reader, 1);
    close(fd);
    return response && response->Status() == 200;
  }

  bool WaitUntilReady() const {
    const double end = Now() + 10;
    while (!IsReady()) {
      if (Now() > end) {
        return false;
      }
      Sleep(0.05);
    }
    return true;
  }

  /// Resident memory of the process in MiB.
  int MemoryMb() const {
    std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
    std::string line;
    while (std::getline(status, line)) {
      if (line.starts_with("VmRSS:")) {
        return std::atoi(line.c_str() + 6) / 1024;
      }
    }
    return 0;
  }

 private:
  Record& m_record;
  std::string m_folder;
  std::string m_name;
  std::string m_ip;
  Ports m_ports;
  std::string m_settings;
  pid_t m_pid = 0;
};

/// A client's connection to an entry host.
class Client {
 public:
  explicit Client(const EntryHost& host)
      : m_fd(Connect(host.ip(), host.ports().front)), m_reader(m_fd) {}
  ~Client() {
    if (m_fd >= 0) {
      close(m_fd);
    }
  }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  bool is_open() const { return m_fd >= 0; }
  int fd() const { return m_fd; }
  bool Send(std::string_view bytes) const { return SendAll(m_fd, bytes); }

  /// nullopt: the connection ended, or nothing came for `timeout_s`.
  std::optional<Message> Read(double timeout_s) {
    return ReadMessage(m_reader, timeout_s);
  }

 private:
  int m_fd;
  Reader m_reader;
};

struct Call {
  std::string method = "POST";
  std::string target;
  std::string id;
  std::string key = "key-1";
  int deadline_ms = 1500;
  Headers more;
};

/// Head of a request, up to the fields that frame its body.
inline std::string Head(const Call& call) {
  std::string text =
      call.method + " " + call.target +
      " HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: " + call.id +
      "\r\nX-Deadline-Remaining: " + std::to_string(call.deadline_ms) +
      "\r\nAuthorization: Bearer " + call.key + "\r\n";
  for (const auto& [name, value] : call.more) {
    text += name + ": " + value + "\r\n";
  }
  return text;
}

inline Json RouteOf(const std::string& name,
                    const std::string& prefix,
                    const std::string& kind,
                    const std::string& service,
                    int timeout_ms,
                    int attempts) {
  return {{"name", name},
          {"hostname", "site.example"},
          {"pathPrefix", prefix},
          {"kind", kind},
          {"timeoutMs", timeout_ms},
          {"targetLatencyMs", 300},
          {"priority", 1},
          {"service", service},
          {"maxAttempts", attempts},
          {"public", false},
          {"sticky", kind == "streaming"},
          {"resumable", kind == "streaming"},
          {"gapTargetMs", 200}};
}

/// The configuration, with the limits that `fleetbench wire` prints.
inline Json ConfigOf(int version,
                     const Json& routes,
                     const Json& services,
                     const std::vector<std::string>& keys) {
  const Json tenant = {
      {"name", "tenant-1"}, {"apiKeys", keys}, {"priority", 1}};
  return {{"version", version},
          {"routes", routes},
          {"services", services},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 4194304},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000}}},
          {"tenants", Json::array({tenant})}};
}

inline Json PlainService(const std::string& name) {
  return {{"name", name},
          {"healthPath", "/health"},
          {"maxConnections", 48},
          {"protocol", "h1"},
          {"tls", false}};
}

/// What each case gets.
struct Case {
  Record& record;
  bool trouble;
  /// Temporary folder, removed at the end.
  std::string folder;

  /// Ends all processes and this program, whose stand-ins may still be at work
  /// on other threads.
  [[noreturn]] void End(int result) const {
    Processes::KillAll();
    record.Line(result == kBroken ? "the rule was broken"
                : result == kHeld ? "the rule held"
                                  : "the case could not run");
    for (int i = 1; i <= 9; ++i) {
      const std::string name = folder + "/front-zone-a-" + std::to_string(i);
      unlink((name + ".ini").c_str());
      unlink((name + ".log").c_str());
    }
    rmdir(folder.c_str());
    std::_Exit(result);
  }

  [[noreturn]] void Fail(const std::string& why) const {
    record.Line("could not run: " + why);
    End(kCouldNotRun);
  }

  std::vector<std::unique_ptr<EntryHost>> StartHosts(
      int count,
      const std::string& store) const {
    return StartHosts(std::vector<std::string>(count, store));
  }

  /// Starts an entry host for each address of the store.
  std::vector<std::unique_ptr<EntryHost>> StartHosts(
      const std::vector<std::string>& stores) const {
    const int count = static_cast<int>(stores.size());
    std::vector<std::string> ips;
    for (int i = 0; i < count; ++i) {
      ips.push_back("127.0.1." + std::to_string(10 + i));
    }
    const Ports ports{FreePort(ips), FreePort(ips), FreePort(ips),
                      FreePort(ips)};
    std::vector<std::unique_ptr<EntryHost>> hosts;
    for (int i = 0; i < count; ++i) {
      hosts.push_back(std::make_unique<EntryHost>(
          record, folder, "front-zone-a-" + std::to_string(i + 1), ips[i],
          ports, stores[i]));
    }
    for (const auto& host : hosts) {
      if (!host->WaitUntilReady()) {
        Fail(host->name() + " does not become ready");
      }
    }
    return hosts;
  }
};

}  // namespace rig

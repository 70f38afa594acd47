#include "filbertrack/http_client.h"

#include <deque>
#include <optional>
#include <set>

#include "filbertrack/http_message.h"
#include "filbertrack/net_stream.h"
#include "http_client_text.h"

namespace filbertrack {

namespace {

/// Fraction of the server's keep-alive timeout for which an idle connection is
/// reused. Later, the server could close the connection while the request is on
/// its way, which leaves unknown whether it ran.
constexpr double kKeepAliveFraction = 0.7;
/// Used if the server states no timeout. Most servers keep idle connections
/// longer.
constexpr Duration kDefaultKeepAliveTimeout = Seconds(4);
/// Time without an acknowledgement from the server's host after which a
/// connection fails.
constexpr Duration kDeadServerTimeout = Seconds(4);
constexpr size_t kMaxResponseHeaderBytes = 64 * 1024;
/// A server that sends more of them before the final response sends no
/// response.
constexpr int kMaxInterimResponses = 16;
constexpr int kFirstFinalStatus = 200;

}  // namespace

/// A connection to a server, used by one call at a time.
struct ServerConnection {
  std::shared_ptr<TcpStream> stream;
  std::unique_ptr<HttpMessageParser> parser;
  TimePoint usable_until;
  /// The call that receives the next response; null while idle.
  HttpCall::State* call = nullptr;
};

struct HttpClient::Pool {
  EventLoop& loop;
  size_t max_idle;
  std::string source;
  std::map<Address, std::deque<std::shared_ptr<ServerConnection>>> idle;
  uint64_t opened = 0;
  HttpClientObserver* observer = nullptr;
  /// Start of each connection that is not established yet, by its call.
  std::map<const HttpCall::State*, std::pair<Address, TimePoint>> connecting;
  /// Calls whose request was sent and whose response is not complete.
  std::set<const HttpCall::State*> waiting;

  /// Closes an idle connection that received bytes or was closed by the server.
  /// An unsolicited response would otherwise be taken for that of the next
  /// request.
  void Discard(const Address& address,
               const std::shared_ptr<ServerConnection>& connection) {
    connection->stream->Close();
    const auto found = idle.find(address);
    if (found == idle.end()) {
      return;
    }
    std::erase(found->second, connection);
    if (found->second.empty()) {
      idle.erase(found);
    }
  }

  std::shared_ptr<ServerConnection> TakeIdle(const Address& address,
                                             TimePoint now) {
    const auto found = idle.find(address);
    if (found == idle.end()) {
      return nullptr;
    }
    std::shared_ptr<ServerConnection> taken;
    auto& kept = found->second;
    while (!kept.empty() && taken == nullptr) {
      // Most recently used first, so that surplus connections expire.
      taken = kept.back();
      kept.pop_back();
      if (taken->usable_until <= now || !taken->stream->is_open()) {
        taken->stream->Close();
        taken = nullptr;
      }
    }
    if (kept.empty()) {
      idle.erase(found);
    }
    return taken;
  }

  void Keep(const Address& address,
            const std::shared_ptr<ServerConnection>& connection,
            size_t max_kept,
            TimePoint now) {
    const size_t limit = std::min(max_idle, max_kept);
    auto& kept = idle[address];
    kept.push_back(connection);
    while (!kept.empty() &&
           (kept.size() > limit || kept.front()->usable_until <= now)) {
      kept.front()->stream->Close();
      kept.pop_front();
    }
  }
};

struct HttpCall::State : std::enable_shared_from_this<HttpCall::State> {
  std::shared_ptr<HttpClient::Pool> pool;
  Address address;
  HttpCallEvents events;
  Duration idle_timeout{0};
  std::shared_ptr<ServerConnection> connection;
  std::unique_ptr<Timer> timer;
  TimePoint sent_at;
  /// The same as `sent_at` until bytes of the response arrive.
  TimePoint last_byte;
  uint64_t sent_at_start = 0;
  size_t max_kept = 0;
  std::string unsent_request;
  HttpHead head;
  bool is_head_request = false;
  bool complete = false;
  int interim_responses = 0;

  void Begin(HttpCallRequest&& call) {
    is_head_request = call.method == HttpMethod::kHead ||
                      call.method_text == HttpMethodName(HttpMethod::kHead);
    idle_timeout = call.idle_timeout;
    max_kept = call.max_kept;
    unsent_request = FormatRequest(call, address);
    const TimePoint now = MonotonicNow();
    connection = call.fresh_connection ? nullptr : pool->TakeIdle(address, now);
    if (connection != nullptr) {
      sent_at_start = connection->stream->sent();
      connection->call = this;
      SendRequest();
      return;
    }
    Connect(call.connect_timeout);
  }

  void Connect(Duration timeout) {
    ++pool->opened;
    pool->connecting[this] = {address, MonotonicNow()};
    connection = std::make_shared<ServerConnection>();
    connection->call = this;
    connection->stream = TcpStream::Connect(pool->loop, address, pool->source);
    connection->stream->SetDeadPeerTimeout(kDeadServerTimeout);
    // The connection can outlive this call, so its callbacks look up the
    // current call through it.
    const std::weak_ptr<ServerConnection> weak = connection;
    connection->parser = std::make_unique<HttpMessageParser>(
        HttpMessageKind::kResponse, kMaxResponseHeaderBytes,
        HttpMessageEvents{
            [weak](const HttpHead& read) { return OnHead(weak, read); },
            [weak](std::string_view bytes) { OnBody(weak, bytes); },
            [weak] { OnComplete(weak); }});
    connection->stream->Start(
        {[weak, owner = std::weak_ptr(pool), to = address] {
           Notify(owner, &HttpClientObserver::OnConnected, to);
           OnConnected(weak);
         },
         [weak, owner = std::weak_ptr(pool), to = address](
             std::string_view bytes) { OnBytes(weak, owner, to, bytes); },
         [weak, owner = std::weak_ptr(pool), to = address](StreamEnd end) {
           OnStreamEnd(weak, owner, to, end);
         },
         {}});
    timer = pool->loop.After(timeout, [this] {
      Notify(pool, &HttpClientObserver::OnConnectionFailed, address);
      Fail();
    });
  }

  static void Notify(const std::weak_ptr<HttpClient::Pool>& owner,
                     void (HttpClientObserver::*event)(const Address&),
                     const Address& address) {
    const auto pool = owner.lock();
    if (pool != nullptr && pool->observer != nullptr) {
      (pool->observer->*event)(address);
    }
  }

  void SendRequest() {
    pool->connecting.erase(this);
    pool->waiting.insert(this);
    timer.reset();
    sent_at = MonotonicNow();
    last_byte = sent_at;
    connection->stream->Write(unsent_request);
    unsent_request.clear();
    if (idle_timeout > Duration(0)) {
      StartIdleTimer(idle_timeout);
    }
    const auto on_sent = events.on_sent;
    if (on_sent) {
      on_sent();
    }
  }

  /// Fails the call once `idle_timeout` passes without a byte from the server.
  void StartIdleTimer(Duration after) {
    timer = pool->loop.After(after, [this] {
      const Duration idle_time = MonotonicNow() - last_byte;
      if (idle_time >= idle_timeout) {
        Fail();
      } else {
        StartIdleTimer(idle_timeout - idle_time);
      }
    });
  }

  /// Closes the connection instead of returning it to the pool: the rest of the
  /// response could otherwise reach the next call.
  void Drop() {
    pool->connecting.erase(this);
    pool->waiting.erase(this);
    timer.reset();
    if (connection != nullptr) {
      connection->call = nullptr;
      connection->stream->Close();
      connection = nullptr;
    }
  }

  /// Closes the connection and reports the failure, once.
  void Fail() {
    const std::shared_ptr<State> keep = shared_from_this();
    if (connection == nullptr) {
      return;
    }
    const bool may_have_left =
        unsent_request.empty() && connection->stream->sent() > sent_at_start;
    Drop();
    const auto on_failure = std::move(events.on_failure);
    events = {};
    if (on_failure) {
      on_failure(may_have_left);
    }
  }

  /// Completes the call and returns the connection to the pool if it is
  /// reusable, which it is not after bytes beyond the end of the response.
  void Finish(bool trailing_bytes) {
    const std::shared_ptr<State> keep = shared_from_this();
    const TimePoint now = MonotonicNow();
    const auto used = connection;
    pool->waiting.erase(this);
    timer.reset();
    const bool reusable = head.keep_alive && !trailing_bytes &&
                          used->stream->is_open() &&
                          used->stream->unsent() == 0;
    used->call = nullptr;
    connection = nullptr;
    if (reusable) {
      used->stream->SetReading(true);
      const auto stated = ParseKeepAliveTimeout(head.headers);
      const Duration usable =
          stated
              ? Duration(static_cast<int64_t>(
                    kKeepAliveFraction * static_cast<double>(stated->count())))
              : kDefaultKeepAliveTimeout;
      used->usable_until = now + usable;
      pool->Keep(address, used, max_kept, now);
    } else {
      used->stream->Close();
    }
    const auto on_end = std::move(events.on_end);
    events = {};
    if (on_end) {
      on_end(head.status);
    }
  }

  static void OnConnected(const std::weak_ptr<ServerConnection>& weak) {
    const auto connection = weak.lock();
    if (connection == nullptr || connection->call == nullptr) {
      return;
    }
    State* call = connection->call;
    if (call->events.may_send && !call->events.may_send()) {
      call->Fail();
      return;
    }
    call->SendRequest();
  }

  /// Returns the call that uses the connection. If there is none, discards the
  /// connection, since an idle one must receive nothing, and returns null.
  static std::shared_ptr<State> CurrentCall(
      const std::shared_ptr<ServerConnection>& connection,
      const std::weak_ptr<HttpClient::Pool>& owner,
      const Address& address) {
    if (connection == nullptr) {
      return nullptr;
    }
    if (connection->call != nullptr) {
      return connection->call->shared_from_this();
    }
    if (const auto pool = owner.lock()) {
      pool->Discard(address, connection);
    }
    return nullptr;
  }

  static void OnBytes(const std::weak_ptr<ServerConnection>& weak,
                      const std::weak_ptr<HttpClient::Pool>& owner,
                      const Address& address,
                      std::string_view bytes) {
    Notify(owner, &HttpClientObserver::OnBytes, address);
    const auto connection = weak.lock();
    const std::shared_ptr<State> call = CurrentCall(connection, owner, address);
    if (call == nullptr) {
      return;
    }
    call->last_byte = MonotonicNow();
    while (!bytes.empty() && connection->call == call.get() &&
           !call->complete) {
      const size_t taken = connection->parser->Push(bytes);
      bytes.remove_prefix(std::min(taken, bytes.size()));
      if (connection->parser->fault() != HttpMessageFault::kNone ||
          call->interim_responses > kMaxInterimResponses) {
        call->Fail();
        return;
      }
    }
    if (call->complete && connection->call == call.get()) {
      call->Finish(!bytes.empty());
    }
  }

  static void OnStreamEnd(const std::weak_ptr<ServerConnection>& weak,
                          const std::weak_ptr<HttpClient::Pool>& owner,
                          const Address& address,
                          StreamEnd end) {
    if (end == StreamEnd::kReset) {
      Notify(owner, &HttpClientObserver::OnConnectionFailed, address);
    }
    const auto connection = weak.lock();
    const std::shared_ptr<State> call = CurrentCall(connection, owner, address);
    if (call == nullptr) {
      return;
    }
    // A body without a stated length is complete only if the connection was
    // closed in an orderly way; after a reset its end may be missing.
    if (end == StreamEnd::kClosed && call->head.ends_with_connection) {
      connection->parser->PushEnd();
    }
    if (connection->call != call.get()) {
      return;
    }
    if (call->complete) {
      call->Finish(false);
    } else {
      call->Fail();
    }
  }

  static bool OnHead(const std::weak_ptr<ServerConnection>& weak,
                     const HttpHead& read) {
    const auto connection = weak.lock();
    State* call = connection == nullptr ? nullptr : connection->call;
    if (call == nullptr) {
      return true;
    }
    call->head = read;
    const bool has_body = !call->is_head_request;
    if (read.status < kFirstFinalStatus) {
      ++call->interim_responses;
      return has_body;
    }
    // Calls a copy, as the callback may end the call, which clears `events`.
    const auto on_head = call->events.on_head;
    if (on_head) {
      on_head(read.status, read.headers);
    }
    return has_body;
  }

  static void OnBody(const std::weak_ptr<ServerConnection>& weak,
                     std::string_view bytes) {
    const auto connection = weak.lock();
    if (connection == nullptr || connection->call == nullptr) {
      return;
    }
    const auto on_bytes = connection->call->events.on_bytes;
    if (on_bytes) {
      on_bytes(bytes);
    }
  }

  static void OnComplete(const std::weak_ptr<ServerConnection>& weak) {
    const auto connection = weak.lock();
    if (connection == nullptr || connection->call == nullptr) {
      return;
    }
    // An interim (1xx) response is followed by the final one.
    connection->call->complete =
        connection->call->head.status >= kFirstFinalStatus;
  }
};

void HttpCall::SetReading(bool reading) {
  if (m_state->connection != nullptr) {
    m_state->connection->stream->SetReading(reading);
  }
}

HttpCall::~HttpCall() {
  const std::shared_ptr<State> state = std::move(m_state);
  state->events = {};
  state->Drop();
}

HttpClient::HttpClient(EventLoop& loop, size_t max_idle, std::string source)
    : m_pool(std::make_shared<Pool>(
          Pool{loop, max_idle, std::move(source), {}, 0, nullptr, {}, {}})) {}

HttpClient::~HttpClient() = default;

std::unique_ptr<HttpCall> HttpClient::Start(const Address& address,
                                            HttpCallRequest request,
                                            HttpCallEvents events) {
  auto state = std::make_shared<HttpCall::State>();
  state->pool = m_pool;
  state->address = address;
  state->events = std::move(events);
  state->Begin(std::move(request));
  return std::unique_ptr<HttpCall>(new HttpCall(state));
}

std::shared_ptr<TcpStream> HttpClient::Connect(const Address& address) const {
  return TcpStream::Connect(m_pool->loop, address, m_pool->source);
}

void HttpClient::SetObserver(HttpClientObserver* observer) {
  m_pool->observer = observer;
}

std::vector<Address> HttpClient::SlowConnects(TimePoint now,
                                              Duration min_age) const {
  std::vector<Address> slow;
  for (const auto& [call, started] : m_pool->connecting) {
    if (now - started.second > min_age) {
      slow.push_back(started.first);
    }
  }
  return slow;
}

std::vector<Address> HttpClient::SilentServers(TimePoint now,
                                               Duration max_wait,
                                               Duration max_pause) const {
  struct Waiting {
    TimePoint oldest_sent = TimePoint::max();
    TimePoint last_byte = TimePoint::min();
  };
  std::map<Address, Waiting> servers;
  for (const HttpCall::State* call : m_pool->waiting) {
    Waiting& server = servers[call->address];
    server.oldest_sent = std::min(server.oldest_sent, call->sent_at);
    if (call->last_byte > call->sent_at) {
      server.last_byte = std::max(server.last_byte, call->last_byte);
    }
  }
  std::vector<Address> silent;
  for (const auto& [address, server] : servers) {
    const bool has_begun = server.last_byte != TimePoint::min();
    if (now - std::max(server.oldest_sent, server.last_byte) >
        (has_begun ? max_pause : max_wait)) {
      silent.push_back(address);
    }
  }
  return silent;
}

uint64_t HttpClient::connections_opened() const {
  return m_pool->opened;
}

}  // namespace filbertrack

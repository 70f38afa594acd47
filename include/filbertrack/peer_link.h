#pragma once

/// WebSocket connections between entry hosts: websocketpp on bufferevents of
/// the event loop. Each frame carries a message authentication code over the
/// nonces of both sides, the direction and a frame counter. A frame that is
/// forged, replayed, reordered or taken from another connection fails
/// authentication and closes the connection. websocketpp does not compile as
/// C++20 with this compiler, so the source is built as C++17 and this header
/// must stay valid C++17.

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "filbertrack/base_address.h"
#include "filbertrack/event_loop.h"

namespace filbertrack {

/// Counters of all peer connections of this process.
struct PeerTraffic {
  uint64_t bytes_in = 0;
  uint64_t bytes_out = 0;
  uint64_t messages_in = 0;
  uint64_t refused_frames = 0;
};

PeerTraffic& ProcessPeerTraffic();

/// Accepts connections of peers and passes their requests to a handler.
class PeerServer {
 public:
  /// Sends the reply to a request. May be called after the handler has
  /// returned, at most once. Does nothing if the connection has been closed
  /// meanwhile.
  using Answer = std::function<void(std::string payload)>;
  using Handler = std::function<void(std::string_view payload, Answer answer)>;

  PeerServer(EventLoop& loop, std::string key, Handler handler);
  ~PeerServer();

  /// Listens on `address`; port 0 selects a free port. Writes the address in
  /// use to `bound`. Returns false if the address cannot be bound.
  bool Listen(const Address& address, Address* bound);

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

/// Sends requests to one peer, one at a time. Connects on the first request and
/// again on the next request after a connection was lost.
class PeerClient {
 public:
  PeerClient(EventLoop& loop, std::string key, Address address);
  ~PeerClient();

  /// Sends `payload`. `done` receives the reply, or null if the connection
  /// fails or no reply arrives within `timeout`; both close the connection, so
  /// that a late reply cannot be taken for that of the next request.
  void Ask(std::string payload,
           Duration timeout,
           std::function<void(const std::string* answer)> done);

  /// Returns whether a request is in flight. Ask() must not be called then.
  bool busy() const;

  bool IsTo(const Address& address) const;

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace filbertrack

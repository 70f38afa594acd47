#pragma once

/// Connections between entry hosts: websocketpp on bufferevents of the one
/// loop. Each frame carries a message authentication code over the nonces of
/// both sides, the direction and a counter, so that bytes of a stranger, of
/// another connection, out of order or sent twice are told apart and end the
/// connection. The source is built as C++17, which websocketpp needs with this
/// compiler, so this header holds nothing newer.

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "filbertrack/base_address.h"
#include "filbertrack/event_loop.h"

namespace filbertrack {

/// Bytes that passed over peer connections of this process.
struct PeerTraffic {
  uint64_t bytes_in = 0;
  uint64_t bytes_out = 0;
  uint64_t messages_in = 0;
  uint64_t refused_frames = 0;
};

PeerTraffic& ProcessPeerTraffic();

/// Answers peers' questions.
class PeerServer {
 public:
  /// Sends the answer; it may be called later, at most once, and does nothing
  /// once the peer is gone.
  using Answer = std::function<void(std::string payload)>;
  using Handler = std::function<void(std::string_view payload, Answer answer)>;

  PeerServer(EventLoop& loop, std::string key, Handler handler);
  ~PeerServer();

  /// Port 0 lets the kernel choose. Writes the address in use to `bound`; false
  /// where the address cannot be listened on.
  bool Listen(const Address& address, Address* bound);

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

/// Asks one peer, one question at a time; connects again by itself.
class PeerClient {
 public:
  PeerClient(EventLoop& loop, std::string key, Address address);
  ~PeerClient();

  /// `done` gets the answer, or nothing where there was none within `timeout`.
  void Ask(std::string payload,
           Duration timeout,
           std::function<void(const std::string* answer)> done);

  /// Whether a question is open; Ask() must not be called then.
  bool busy() const;

  bool IsTo(const Address& address) const;

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace filbertrack

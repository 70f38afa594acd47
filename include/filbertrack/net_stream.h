#pragma once

/// A TCP connection on the event loop. Bytes written during one iteration of
/// the loop are sent together at its end, to save system calls.

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "filbertrack/base_address.h"
#include "filbertrack/event_loop.h"

struct evbuffer;

namespace filbertrack {

enum class StreamEnd {
  /// The peer closed its side in an orderly way and all its bytes were read.
  kClosed,
  /// The connection failed or could not be opened.
  kReset,
};

struct StreamEvents {
  /// An outgoing connection has been established. Optional.
  std::function<void()> on_connected;
  std::function<void(std::string_view bytes)> on_bytes;
  /// The connection has ended; no event follows.
  std::function<void(StreamEnd end)> on_end;
  /// The operating system has accepted all bytes written so far. Optional.
  std::function<void()> on_drained;
};

class TcpStream : public std::enable_shared_from_this<TcpStream> {
 public:
  /// Takes ownership of an accepted socket.
  static std::shared_ptr<TcpStream> Accepted(EventLoop& loop, int fd);
  /// Starts connecting, from the IP address `source` unless it is empty.
  /// Failure is reported through on_end, from the loop.
  static std::shared_ptr<TcpStream> Connect(EventLoop& loop,
                                            const Address& address,
                                            const std::string& source = {});

  ~TcpStream();
  TcpStream(const TcpStream&) = delete;
  TcpStream& operator=(const TcpStream&) = delete;

  /// Sets the callbacks and starts reading, on an outgoing connection once it
  /// is established.
  void Start(StreamEvents events);

  /// Queues bytes for sending; ignored once the connection is closed.
  void Write(std::string_view bytes);

  /// Pauses or resumes reading.
  void SetReading(bool reading);

  /// Closes the sending side once the queued bytes are sent; reading continues.
  void ShutDown();

  /// Closes immediately, without an event; queued bytes are not sent.
  void Close();

  bool is_open() const { return m_fd >= 0; }
  /// Queued bytes that the operating system has not accepted.
  size_t unsent() const;
  /// Bytes that the operating system has accepted.
  uint64_t sent() const { return m_sent; }

  /// Time after which the connection fails if the peer's host acknowledges
  /// neither data nor keep-alive probes.
  void SetDeadPeerTimeout(Duration timeout);

 private:
  TcpStream(EventLoop& loop, int fd, bool connecting);
  static void OnReadable(int fd, short what, void* self);
  static void OnWritable(int fd, short what, void* self);
  void Read();
  void Flush();
  void FinishConnect();
  void End(StreamEnd end);

  int m_fd;
  bool m_connecting;
  bool m_shutting_down = false;
  bool m_reading = false;
  uint64_t m_sent = 0;
  event* m_read_event;
  event* m_write_event;
  evbuffer* m_output;
  StreamEvents m_events;
};

}  // namespace filbertrack

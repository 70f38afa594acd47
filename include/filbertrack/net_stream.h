#pragma once

/// One TCP connection on the loop. Bytes that are written during one turn of
/// the loop leave with one system call at its end.

#include <functional>
#include <memory>
#include <string_view>

#include "filbertrack/base_address.h"
#include "filbertrack/event_loop.h"

struct evbuffer;

namespace filbertrack {

enum class StreamEnd {
  /// The peer ended its side in order; all it sent has been read.
  kClosed,
  /// The connection broke, or could not be opened.
  kReset,
};

struct StreamEvents {
  /// An outgoing connection is open. Optional.
  std::function<void()> on_connected;
  std::function<void(std::string_view bytes)> on_bytes;
  /// The last event.
  std::function<void(StreamEnd end)> on_end;
  /// All bytes written so far were taken by the operating system. Optional.
  std::function<void()> on_drained;
};

class TcpStream : public std::enable_shared_from_this<TcpStream> {
 public:
  /// Takes over an accepted socket.
  static std::shared_ptr<TcpStream> Accepted(EventLoop& loop, int fd);
  /// Starts to connect; failure is told through on_end from the loop.
  static std::shared_ptr<TcpStream> Connect(EventLoop& loop,
                                            const Address& address);

  ~TcpStream();
  TcpStream(const TcpStream&) = delete;
  TcpStream& operator=(const TcpStream&) = delete;

  /// Starts reading, with these events from now on.
  void Start(StreamEvents events);

  void Write(std::string_view bytes);

  /// Stops or resumes the reading of bytes.
  void SetReading(bool reading);

  /// Ends this side once the written bytes have left; reading goes on.
  void ShutDown();

  /// Closes now; no event follows.
  void Close();

  bool is_open() const { return m_fd >= 0; }
  size_t unsent() const;
  /// Bytes of Write() that the operating system took.
  uint64_t sent() const { return m_sent; }

  /// Silence of the peer's host, with data or keep-alive probes unanswered,
  /// after which the connection counts as broken.
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

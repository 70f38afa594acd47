#include "filbertrack/http_buffered_client.h"

#include <algorithm>

namespace filbertrack {

struct BufferedHttpClient::Open {
  std::unique_ptr<HttpCall> call;
  std::unique_ptr<Timer> timer;
  int status = 0;
  std::string body;
  /// Receives the body in place of `body` if set.
  Sink sink;
  Done done;
};

BufferedHttpClient::BufferedHttpClient(EventLoop& loop,
                                       size_t max_idle,
                                       size_t max_body_bytes,
                                       std::string source)
    : m_loop(loop),
      m_max_body_bytes(max_body_bytes),
      m_http(loop, max_idle, std::move(source)) {}

BufferedHttpClient::~BufferedHttpClient() = default;

BufferedHttpClient::Handle BufferedHttpClient::Start(const Address& address,
                                                     HttpCallRequest request,
                                                     Duration timeout,
                                                     Done done) {
  return StartStreaming(address, std::move(request), timeout, nullptr,
                        std::move(done));
}

BufferedHttpClient::Handle BufferedHttpClient::StartStreaming(
    const Address& address,
    HttpCallRequest request,
    Duration timeout,
    Sink sink,
    Done done) {
  request.connect_timeout = std::min(request.connect_timeout, timeout);
  const auto open = std::make_shared<Open>();
  open->sink = std::move(sink);
  open->done = std::move(done);
  m_open.push_back(open);
  Handle handle = open;
  const auto end = [this, handle](int status) {
    if (const auto ended_call = handle.lock()) {
      Close(ended_call, status);
    }
  };
  HttpCallEvents events;
  events.on_head = [handle](int status, const HttpHeaders&) {
    if (const auto open_call = handle.lock()) {
      open_call->status = status;
    }
  };
  events.on_bytes = [this, handle](std::string_view bytes) {
    const auto open_call = handle.lock();
    if (open_call == nullptr) {
      return;
    }
    if (open_call->sink) {
      open_call->sink(bytes);
    } else if (open_call->body.size() + bytes.size() <= m_max_body_bytes) {
      open_call->body += bytes;
    } else {
      open_call->body.clear();
      Close(open_call, open_call->status);
    }
  };
  events.on_end = end;
  events.on_failure = [end](bool) { end(0); };
  open->timer = m_loop.After(timeout, [end] { end(0); });
  open->call = m_http.Start(address, std::move(request), std::move(events));
  return handle;
}

void BufferedHttpClient::Close(const std::shared_ptr<Open>& open, int status) {
  m_open.remove(open);
  open->timer.reset();
  open->call.reset();
  const Done done = std::move(open->done);
  open->done = nullptr;
  if (done) {
    done(status, open->body);
  }
}

void BufferedHttpClient::Cancel(const Handle& handle) {
  if (const auto open = handle.lock()) {
    open->done = nullptr;
    Close(open, 0);
  }
}

}  // namespace filbertrack

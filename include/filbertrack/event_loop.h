#pragma once

/// The one event loop of a process, on libevent, and its timers. The loop's
/// adapters read the clock here and hand the time to the decisions.

#include <functional>
#include <memory>

#include "filbertrack/base_time.h"

struct event;
struct event_base;

namespace filbertrack {

/// Present time on the monotonic clock that also counts the time for which the
/// host was suspended. On one that does not, a lease looks held when the host
/// wakes although another host has taken it over, and orders of both reach the
/// members.
TimePoint MonotonicNow();

/// Wall time in milliseconds; for records that people read and for what
/// outlives a process, never for deciding how long something took.
int64_t WallTimeMs();

/// A timer; destroying it cancels it.
class Timer {
 public:
  Timer(event_base* base,
        Duration interval,
        bool repeats,
        std::function<void()> action);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

 private:
  static void OnFire(int fd, short what, void* self);

  std::function<void()> m_action;
  event* m_event;
};

/// Until OnReloadSignal() a signal to reload is passed over. By default it ends
/// the process, as it did one that was told of new settings in the first 6 ms
/// of its life; it reads them then anyway.
void IgnoreReloadSignal();

class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  event_base* base() const { return m_base; }

  std::unique_ptr<Timer> Every(Duration interval, std::function<void()> action);
  std::unique_ptr<Timer> After(Duration delay, std::function<void()> action);

  /// Runs `action` once after `delay`; it cannot be cancelled.
  void Call(Duration delay, std::function<void()> action);

  /// Runs `action` once from the loop, after the present callback returned.
  void Post(std::function<void()> action);

  /// Calls `action` on SIGTERM and SIGINT.
  void OnStopSignal(std::function<void()> action);

  /// Calls `action` on SIGHUP, which otherwise ends the process.
  void OnReloadSignal(std::function<void()> action);

  void Run();
  void Stop();

 private:
  event_base* m_base;
  event* m_terminate = nullptr;
  event* m_interrupt = nullptr;
  event* m_hangup = nullptr;
  std::function<void()> m_stop_action;
  std::function<void()> m_reload_action;
};

}  // namespace filbertrack

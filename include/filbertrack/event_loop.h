#pragma once

/// The process's libevent event loop and its timers. Adapters on the loop read
/// the clock here and pass the time to the decision code.

#include <functional>
#include <memory>

#include "filbertrack/base_time.h"

struct event;
struct event_base;

namespace filbertrack {

/// The current time of CLOCK_BOOTTIME, a monotonic clock that includes time
/// during which the host was suspended. With CLOCK_MONOTONIC, a host that
/// resumes would still consider its lease valid after another host has acquired
/// it, and group members would receive orders from both.
TimePoint MonotonicNow();

/// Wall-clock time in milliseconds since the Unix epoch, for logs and for data
/// that outlives the process. Not for measuring durations: it can be set back.
int64_t WallTimeMs();

/// A one-shot or repeating timer. Destroying it cancels it.
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

/// Ignores SIGHUP until OnReloadSignal() is called. The default action would
/// terminate a process that is told to reload within the first 6 ms after its
/// start. Ignoring the signal loses nothing: the settings are read afterwards.
void IgnoreReloadSignal();

/// Defers SIGTERM and SIGINT until OnStopSignal() is called. The default action
/// would terminate a process that is told to stop while it starts.
void DeferStopSignals();

class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  event_base* base() const { return m_base; }

  /// Runs `action` every `interval` until the timer is destroyed.
  std::unique_ptr<Timer> Every(Duration interval, std::function<void()> action);
  /// Runs `action` once after `delay` unless the timer is destroyed first.
  std::unique_ptr<Timer> After(Duration delay, std::function<void()> action);

  /// Runs `action` once after `delay`; it cannot be cancelled.
  void Call(Duration delay, std::function<void()> action);

  /// Runs `action` once from the loop, after the current callback returns.
  void Post(std::function<void()> action);

  /// Calls `action` on SIGTERM and SIGINT, and for those that were deferred.
  void OnStopSignal(std::function<void()> action);

  /// Calls `action` on SIGHUP, whose default action terminates the process.
  void OnReloadSignal(std::function<void()> action);

  /// Blocks until Stop() is called or no event is pending.
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

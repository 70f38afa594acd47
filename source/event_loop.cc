#include "filbertrack/event_loop.h"

#include <chrono>
#include <csignal>
#include <ctime>
#include <utility>

#include <event2/event.h>

namespace filbertrack {

namespace {

timeval ToTimeval(Duration duration) {
  return {static_cast<time_t>(duration / Seconds(1)),
          static_cast<suseconds_t>((duration % Seconds(1)).count())};
}

/// Creates an event base with precise timers. By default libevent uses a coarse
/// clock that advances once per kernel tick, so a 1 ms timer takes up to 5 ms.
event_base* CreateEventBase() {
  event_config* config = event_config_new();
  event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
  event_base* base = event_base_new_with_config(config);
  event_config_free(config);
  return base;
}

void RunOnce(int, short, void* argument) {
  const std::unique_ptr<std::function<void()>> action(
      static_cast<std::function<void()>*>(argument));
  (*action)();
}

void MaskStopSignals(int how) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(how, &signals, nullptr);
}

}  // namespace

TimePoint MonotonicNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(now.tv_sec) +
      std::chrono::nanoseconds(now.tv_nsec)));
}

int64_t WallTimeMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

Timer::Timer(event_base* base,
             Duration interval,
             bool repeats,
             std::function<void()> action)
    : m_action(std::move(action)),
      m_event(event_new(base,
                        -1,
                        static_cast<short>(repeats ? EV_PERSIST : 0),
                        &Timer::OnFire,
                        this)) {
  const timeval delay = ToTimeval(interval);
  event_add(m_event, &delay);
}

Timer::~Timer() {
  event_free(m_event);
}

void Timer::OnFire(int, short, void* self) {
  // Runs a copy because the action may destroy this timer.
  const std::function<void()> action = static_cast<Timer*>(self)->m_action;
  action();
}

EventLoop::EventLoop() : m_base(CreateEventBase()) {
  // Writing to a socket that the peer has closed must return an error instead
  // of terminating the process.
  std::signal(SIGPIPE, SIG_IGN);
}

EventLoop::~EventLoop() {
  if (m_terminate != nullptr) {
    event_free(m_terminate);
    event_free(m_interrupt);
  }
  if (m_hangup != nullptr) {
    event_free(m_hangup);
  }
  event_base_free(m_base);
}

std::unique_ptr<Timer> EventLoop::Every(Duration interval,
                                        std::function<void()> action) {
  return std::make_unique<Timer>(m_base, interval, true, std::move(action));
}

std::unique_ptr<Timer> EventLoop::After(Duration delay,
                                        std::function<void()> action) {
  return std::make_unique<Timer>(m_base, delay, false, std::move(action));
}

void EventLoop::Call(Duration delay, std::function<void()> action) {
  const timeval after = ToTimeval(delay);
  event_base_once(m_base, -1, EV_TIMEOUT, RunOnce,
                  new std::function<void()>(std::move(action)), &after);
}

void EventLoop::Post(std::function<void()> action) {
  Call(Duration(0), std::move(action));
}

void EventLoop::OnStopSignal(std::function<void()> action) {
  m_stop_action = std::move(action);
  const auto run = [](int, short, void* self) {
    static_cast<EventLoop*>(self)->m_stop_action();
  };
  m_terminate = evsignal_new(m_base, SIGTERM, run, this);
  m_interrupt = evsignal_new(m_base, SIGINT, run, this);
  event_add(m_terminate, nullptr);
  event_add(m_interrupt, nullptr);
  MaskStopSignals(SIG_UNBLOCK);
}

void DeferStopSignals() {
  MaskStopSignals(SIG_BLOCK);
}

void IgnoreReloadSignal() {
  std::signal(SIGHUP, SIG_IGN);
}

void EventLoop::OnReloadSignal(std::function<void()> action) {
  m_reload_action = std::move(action);
  const auto run = [](int, short, void* self) {
    static_cast<EventLoop*>(self)->m_reload_action();
  };
  m_hangup = evsignal_new(m_base, SIGHUP, run, this);
  event_add(m_hangup, nullptr);
}

void EventLoop::Run() {
  event_base_dispatch(m_base);
}

void EventLoop::Stop() {
  event_base_loopbreak(m_base);
}

}  // namespace filbertrack

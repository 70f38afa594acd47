#pragma once

/// Stand-in for a runner of the platform, written from its page: it registers
/// in the store stand-in, obeys orders, answers reports, and serves plain and
/// streamed requests. A group's members share the stand-in's process, so a head
/// knows whether its members live.

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "filbertrack/http_server.h"
#include "platform_store_standin.h"

namespace filbertrack {

class PlatformRunnerStandin;

/// Is told what a runner does, for checks while a test runs.
class RunnerObserver {
 public:
  virtual ~RunnerObserver() = default;
  /// Before the runner leaves its present group, if it has one, for `group`.
  virtual void OnJoin(const PlatformRunnerStandin& runner,
                      const std::string& group) = 0;
  /// Before the runner, a head, opens its group.
  virtual void OnOpen(const PlatformRunnerStandin& runner) = 0;
  /// A request has ended the runner.
  virtual void OnCrash(const PlatformRunnerStandin& runner) = 0;
};

struct RunnerStandinOptions {
  std::string id;
  /// Where others reach it; nullopt: where it listens.
  std::function<Address(const Address& listening)> published;
  RunnerObserver* observer = nullptr;
  std::string service = "llm";
  std::string domain = "d";
  std::string data_centre = "z";
  bool is_plain = false;
  /// Bytes that each event of a streamed answer has beyond the usual text.
  size_t event_padding = 0;
  /// Events of a streamed answer, and the pause between them.
  int events = 5;
  Duration pause = Milliseconds(10);
  Duration load = Milliseconds(20);
  /// A request whose body holds this ends the process; empty: none does.
  std::string crash_trigger;
  /// A stream that stays unread for this long is cut; 0: none is.
  Duration unread_timeout{0};
};

/// A server that bears few requests until it is warm.
struct ColdStart {
  Duration left{0};
  /// Requests a second that it bears meanwhile.
  double per_second = 0;
  /// It tells so in its registration, not only in its health answers.
  bool registers = true;
};

/// What a runner saw of one request.
struct SeenRequest {
  std::string id;
  std::string last_event;
  std::string workspace;
  std::string authorization;
  std::string time_left;
  TimePoint arrived;
  bool ended = false;
  /// Since when its answer has stayed unread; nullopt: it is read.
  std::optional<TimePoint> unread_since;
};

/// A request that a runner did not run.
struct RefusedRequest {
  std::string id;
  TimePoint at;
};

class PlatformRunnerStandin {
 public:
  PlatformRunnerStandin(EventLoop& loop,
                        PlatformStoreStandin& store,
                        RunnerStandinOptions options);
  ~PlatformRunnerStandin();

  const std::string& id() const { return m_options.id; }
  const std::vector<SeenRequest>& seen() const { return m_seen; }
  bool is_open() const { return m_state == "open"; }
  bool is_dead() const { return m_dead; }
  /// Orders that reached it.
  uint64_t orders() const { return m_orders; }
  const std::string& data_centre() const { return m_options.data_centre; }
  const std::string& group() const { return m_group; }
  uint64_t epoch() const { return m_epoch; }
  const std::string& state() const { return m_state; }
  /// Its streams have this many events from now on.
  void SetEvents(int events) { m_options.events = events; }
  /// A request whose body holds this ends the process from now on.
  void SetCrashTrigger(std::string body) {
    m_options.crash_trigger = std::move(body);
  }
  /// Its streams stand still once, for this long, after this event.
  void SetStreamStall(int after_event, Duration stall) {
    m_stall_after_event = after_event;
    m_stall = stall;
  }
  const std::vector<std::string>& members() const { return m_members; }

  /// As a head that lost a member: ends what it has and refuses all requests.
  void Break();
  /// Its registration lapses; it lives and answers. Register() brings it back.
  void ExpireRegistration();
  /// Registers anew with `state` as ready or draining.
  void Register(const std::string& state);
  /// Stops answering, cuts its streams and leaves the store.
  void Die();
  /// The same as a process that ends by itself does: its registration lapses
  /// some heartbeats later.
  void Crash();
  /// The next requests are refused as not run.
  void SetFull(bool full) { m_full = full; }
  /// The next plain answers are cut after they ran.
  void SetDropsResponses(bool drops) { m_drops_responses = drops; }
  /// Names this limit, requests a second, in all answers; nullopt: none.
  void SetLimit(std::optional<double> per_second) { m_limit = per_second; }
  /// Asks for so long a rest as it refuses; nullopt: it names no time.
  void SetRetryAfter(std::optional<Duration> retry_after) {
    m_retry_after = retry_after;
  }
  /// Is cold from now on: it ends when well more requests reach it in a second
  /// than it bears.
  void SetCold(const ColdStart& cold_start);
  Duration RemainingColdTime() const;
  bool is_cold() const { return MonotonicNow() < m_cold_until; }
  /// The most requests, refused ones with them, in any second from `since` on.
  size_t MaxInSecond(TimePoint since) const;
  /// Streams that it cut because they stayed unread.
  int unread_aborts() const { return m_unread_aborts; }
  /// Says in all answers that it leaves.
  void SetLeaving(bool leaving) { m_leaving = leaving; }
  /// Requests that it refused because it is full.
  const std::vector<RefusedRequest>& refusals() const { return m_refusals; }
  /// The next plain answers bear another request's name.
  void SetSendsWrongAttemptId(bool wrong) { m_sends_wrong_attempt_id = wrong; }

 private:
  using Exchange = std::shared_ptr<HttpExchange>;

  void Stop();
  void Handle(const Exchange& exchange);
  void HandleOrder(HttpExchange& exchange);
  void Join(HttpExchange& exchange, const nlohmann::json& order);
  void Close(bool cancel);
  void Run(const Exchange& exchange);
  /// A cold server ends under too many requests.
  void CheckCold();
  /// Cuts the stream if it stayed unread for too long.
  bool AbortIfUnread(const Exchange& exchange, size_t number);
  void Stream(const Exchange& exchange, size_t number, int event);
  HttpHeaders ResponseHeaders(HttpExchange& exchange) const;
  /// What it says of itself in all answers.
  void AddSignals(HttpHeaders& headers) const;
  void Refuse(HttpExchange& exchange);

  EventLoop& m_loop;
  PlatformStoreStandin& m_store;
  RunnerStandinOptions m_options;
  HttpServer m_server;
  Address m_address;
  Address m_published_address;
  bool m_dead = false;
  bool m_full = false;
  bool m_drops_responses = false;
  bool m_sends_wrong_attempt_id = false;
  std::optional<double> m_limit;
  std::optional<Duration> m_retry_after;
  bool m_leaving = false;
  std::vector<RefusedRequest> m_refusals;
  uint64_t m_orders = 0;
  TimePoint m_cold_until{};
  ColdStart m_cold;
  int m_unread_aborts = 0;
  int m_stall_after_event = -1;
  Duration m_stall{0};

  std::string m_group;
  uint64_t m_epoch = 0;
  uint64_t m_newest_epoch = 0;
  std::string m_model;
  std::string m_state;
  std::vector<std::string> m_members;
  std::vector<std::string> m_staged;
  std::vector<SeenRequest> m_seen;
  std::vector<Exchange> m_streams;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace filbertrack

#pragma once

/// Stand-in for a runner of the platform, implemented from the platform's
/// documentation: it registers in the store stand-in, executes orders, answers
/// reports, and serves plain and streamed requests. All members of a group run
/// in one process, so the test can tell a head whether its members are alive.

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "filbertrack/http_server.h"
#include "platform_store_standin.h"

namespace filbertrack {

class PlatformRunnerStandin;

/// Receives the state changes of runners, for checks while a test runs.
class RunnerObserver {
 public:
  virtual ~RunnerObserver() = default;
  /// Called before the runner leaves its current group, if any, and joins
  /// `group`.
  virtual void OnJoin(const PlatformRunnerStandin& runner,
                      const std::string& group) = 0;
  /// Called before the runner, as the head, opens its group.
  virtual void OnOpen(const PlatformRunnerStandin& runner) = 0;
  /// Called after the runner has crashed.
  virtual void OnCrash(const PlatformRunnerStandin& runner) = 0;
};

struct RunnerStandinOptions {
  std::string id;
  /// Returns the address to register for the listening address, such as that of
  /// a proxy. Empty: the listening address itself.
  std::function<Address(const Address& listening)> published;
  RunnerObserver* observer = nullptr;
  std::string service = "llm";
  std::string domain = "d";
  std::string data_centre = "z";
  bool is_plain = false;
  /// Padding of each event of a streamed response, in bytes.
  size_t event_padding = 0;
  /// Number of events of a streamed response, and the interval between them.
  int events = 5;
  Duration pause = Milliseconds(10);
  /// Texts of the events in turn; empty: `part N` and the padding.
  std::vector<std::string> event_texts;
  /// Time to load a model after a join order.
  Duration load = Milliseconds(20);
  /// A request whose body contains this crashes the runner; empty: none does.
  std::string crash_trigger;
  /// Ids of prompt parts. A request whose prompt has one of them, other than as
  /// its last part, crashes the runner as its answer begins.
  std::vector<std::string> crash_parts;
  /// A stream that the client has not read for longer is aborted; 0: never.
  Duration unread_timeout{0};
};

/// The event of a streamed response with this number, from 1 on.
std::string FormatStandinEvent(const RunnerStandinOptions& options, int event);

/// A cold start, in which a server can handle only few requests.
struct ColdStart {
  Duration left{0};
  /// Requests per second that it can handle during that time.
  double per_second = 0;
  /// Reported in the registration too, not only in the health response.
  bool registers = true;
};

/// A request that a runner ran.
struct SeenRequest {
  std::string id;
  std::string last_event;
  std::string workspace;
  std::string authorization;
  std::string time_left;
  TimePoint arrived;
  bool ended = false;
  /// When its response was first seen to have unsent bytes; nullopt: it has
  /// none.
  std::optional<TimePoint> unread_since;
};

/// A request that a runner refused without running it.
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
  /// Orders received.
  uint64_t orders() const { return m_orders; }
  const std::string& data_centre() const { return m_options.data_centre; }
  const std::string& group() const { return m_group; }
  uint64_t epoch() const { return m_epoch; }
  const std::string& state() const { return m_state; }
  /// Sets the number of events of its streams.
  void SetEvents(int events) { m_options.events = events; }
  /// Sets RunnerStandinOptions::crash_trigger.
  void SetCrashTrigger(std::string body) {
    m_options.crash_trigger = std::move(body);
  }
  /// Sets RunnerStandinOptions::crash_parts.
  void SetCrashParts(std::vector<std::string> parts) {
    m_options.crash_parts = std::move(parts);
  }
  /// Streams pause for `stall` instead of RunnerStandinOptions::pause after
  /// this event.
  void SetStreamStall(int after_event, Duration stall) {
    m_stall_after_event = after_event;
    m_stall = stall;
  }
  const std::vector<std::string>& members() const { return m_members; }

  /// Simulates a head that lost a member: aborts its streams and refuses all
  /// requests.
  void Break();
  /// Removes its registration while it still serves. Register() restores it.
  void ExpireRegistration();
  /// Registers with `state` "ready" or "draining", or updates the registration.
  void Register(const std::string& state);
  /// Stops listening, aborts its streams and removes its registration.
  void Die();
  /// Simulates a process that crashes: as Die(), but its registration expires
  /// only after kRegistrationTtl.
  void Crash();
  /// Refuses requests with 503 and X-Not-Executed.
  void SetFull(bool full) { m_full = full; }
  /// Runs plain requests but closes the connection instead of responding.
  void SetDropsResponses(bool drops) { m_drops_responses = drops; }
  /// Runs plain requests but responds with 503, without the statement that it
  /// did not.
  void SetFailsAfterRun(bool fails) { m_fails_after_run = fails; }
  /// Sends this limit, in requests per second, in responses and refusals;
  /// nullopt: none.
  void SetLimit(std::optional<double> per_second) { m_limit = per_second; }
  /// Sends this Retry-After with refusals; nullopt: none.
  void SetRetryAfter(std::optional<Duration> retry_after) {
    m_retry_after = retry_after;
  }
  /// Starts a cold start. It crashes if the requests of a second exceed
  /// `cold_start.per_second` by a margin.
  void SetCold(const ColdStart& cold_start);
  Duration RemainingColdTime() const;
  bool is_cold() const { return MonotonicNow() < m_cold_until; }
  /// Maximum number of requests, including refused ones, within any second that
  /// starts at or after `since`.
  size_t MaxInSecond(TimePoint since) const;
  /// Streams that it aborted because the client did not read them.
  int unread_aborts() const { return m_unread_aborts; }
  /// Sends the header Server-Leaving in responses and refusals.
  void SetLeaving(bool leaving) { m_leaving = leaving; }
  /// Requests refused because it is full or its group is not open.
  const std::vector<RefusedRequest>& refusals() const { return m_refusals; }
  /// Sends another request's X-Attempt-Id in responses.
  void SetSendsWrongAttemptId(bool wrong) { m_sends_wrong_attempt_id = wrong; }

 private:
  using Exchange = std::shared_ptr<HttpExchange>;

  void Stop();
  void Handle(const Exchange& exchange);
  void HandleOrder(HttpExchange& exchange);
  void Join(HttpExchange& exchange, const nlohmann::json& order);
  void Close(bool cancel);
  void Run(const Exchange& exchange);
  /// Whether the request crashes the runner.
  bool IsCrashing(HttpExchange& exchange) const;
  /// Crashes the runner if it is cold and gets too many requests.
  void CheckCold();
  /// Aborts the stream if it has been unread for longer than the timeout.
  /// Returns whether it did.
  bool AbortIfUnread(const Exchange& exchange, size_t number);
  void Stream(const Exchange& exchange, size_t number, int event);
  HttpHeaders ResponseHeaders(HttpExchange& exchange) const;
  /// Adds the limit and the leaving signal to a response or a refusal.
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
  bool m_fails_after_run = false;
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

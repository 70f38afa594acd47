#pragma once

/// One request on an entry host: sends it to the targets that the board
/// chooses, relays the answer, and carries out what the request machine
/// decides.

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>

#include "filbertrack/dispatch_selector.h"
#include "filbertrack/entry_backpressure.h"
#include "filbertrack/entry_poison.h"
#include "filbertrack/entry_ports.h"
#include "filbertrack/http_client.h"
#include "filbertrack/http_server.h"
#include "filbertrack/request_machine.h"
#include "filbertrack/request_retry_budget.h"
#include "filbertrack/site_catalog.h"

namespace filbertrack {

/// What a request is, as it was admitted.
struct EntryRequest {
  CallFacts facts;
  /// Keeps `route` valid while a newer configuration comes into force.
  std::shared_ptr<const Catalog> catalog;
  const Route* route = nullptr;
  std::string service;
  /// Empty on public routes.
  std::string workspace;
  /// To which the workspace is bound; empty: to none.
  std::span<const std::string> workspace_regions;
  int priority = 0;
  TimePoint arrived;
  TimePoint deadline;
};

/// How a request ended, for logs and counters.
struct EntryResult {
  ResultCode code = ResultCode::kOk;
  Outcome outcome = Outcome::kRan;
  int status = 0;
};

struct RelayTimes {
  /// A stream that has begun and is silent for this many of its longest
  /// pauses is taken up elsewhere.
  double silence_factor = 3;
  bool moves_silent = true;
  /// At least this long: shorter silences are loss on the way.
  Duration min_silence = Milliseconds(700);
  /// A backend server that does not take a connection within this time is
  /// passed over.
  Duration connect_timeout = Milliseconds(600);
};

/// Parts of the entry host that relays share.
struct RelayContext {
  EventLoop& loop;
  HttpClient& http;
  const CallHeaderCodec& header_codec;
  TargetSelector& selector;
  RetryBudget& retries;
  EntryPoison& poison;
  EntryBackpressure& backpressure;
  RelayTimes times;
  /// Entry hosts that share the connections of the backend servers.
  size_t entry_hosts = 1;
  /// Data centre whose targets go first; empty: all are alike.
  std::string local_data_centre;
  /// Revision of the store up to which the targets are known.
  uint64_t servers_revision = 0;
};

class EntryRelay {
 public:
  using OnEnd = std::function<void(EntryRelay& relay, const EntryResult& end)>;

  EntryRelay(RelayContext& context,
             EntryRequest request,
             std::shared_ptr<HttpExchange> exchange,
             OnEnd on_end);
  ~EntryRelay();

  void Start();

  /// The target, if it is the present one, does not answer any more.
  void TargetLost(std::string_view target);

  /// Ends the request if it was marked since it was sent and no part of its
  /// answer has come: from a server's queue it would end that server too.
  void RefuseIfBlocked();

  /// Looks for a stream that has fallen silent.
  void CheckSilence(TimePoint now);

  /// Reads no further where too much waits for the caller, and goes on once it
  /// has read. `pauses`: while anything waits for it.
  void UpdateReadPause(bool pauses);

  /// Bytes of an answer that is passed on once it is whole.
  size_t buffered_bytes() const { return m_answer_body.size(); }

  const EntryRequest& request() const { return m_request; }
  /// The target of the present attempt, or of the last one; empty: none.
  const std::string& last_target() const { return m_last_target; }
  /// Start of the process that has the present attempt, Unix ms; 0: there is
  /// none, or it is not told.
  uint64_t target_process_start_ms() const {
    return m_choice ? m_choice->target.process_start_ms : 0;
  }
  /// Of the present attempt; null: there is none.
  const DispatchTarget* target() const {
    return m_choice ? &m_choice->target : nullptr;
  }
  /// The present attempt, as it would be if its connection broke now.
  BrokenAttempt CurrentAttempt() const {
    return {digest(), Progress(), m_sent_at};
  }
  /// Names what the request asks, whoever sends it again.
  const RequestDigest& digest() const;
  int sends() const { return m_state.sends; }
  /// What the best target would have taken where all were too busy; nullopt: no
  /// such refusal.
  std::optional<Duration> refused_prediction() const {
    return m_refused_prediction;
  }
  /// What a refused caller was told; nullopt: nothing.
  std::optional<Duration> retry_after() const { return m_sent_retry_after; }
  std::optional<TimePoint> first_event_at() const { return m_first_event; }
  std::optional<Duration> longest_pause() const { return m_longest_pause; }

 private:
  friend struct EntryActions;

  void Feed(const RequestEvent& event);
  void Seek(bool is_retry, uint64_t resume_from);
  /// A target for the next send, as the board sees it now.
  DispatchDecision ChooseTarget(TimePoint now);
  /// Finds where an answer that stands still can be taken up. Where nothing can
  /// be found it is better left to go on late: to give it up would break it.
  bool CanFailOver(TimePoint now);
  void Send(const DispatchChoice& choice);
  HttpCallRequest MakeCall(const DispatchChoice& choice, TimePoint now) const;
  void OnHead(int status, const HttpHeaders& headers);
  /// The head of an answer says that its server is cold for so long.
  void ReportCold(const DispatchTarget& target, Duration left);
  void OnBytes(std::string_view bytes);
  void OnComplete();
  void OnFailure(bool may_have_left);
  /// False where servers end under what this request asks, so that it may not
  /// be sent. Notes whether this send is the copy that is let through.
  bool CheckAdmission(TimePoint now);
  /// The request was answered to its end.
  void ReportServed();
  AttemptProgress Progress() const;
  void CloseAttempt(bool failed);
  void RecordFirstEvent(TimePoint now);
  void ForwardEvent(const SseEvent& event);
  void ForwardAnswer();
  void FinishStream();
  void Refuse(ResultCode code, Outcome outcome);
  void Finish(const EntryResult& end);

  RelayContext& m_context;
  EntryRequest m_request;
  std::shared_ptr<HttpExchange> m_exchange;
  OnEnd m_on_end;
  RequestState m_state;
  RequestPolicy m_policy;
  std::unique_ptr<Timer> m_deadline_timer;

  // The present attempt.
  std::unique_ptr<HttpCall> m_call;
  std::optional<DispatchChoice> m_choice;
  TimePoint m_sent_at;
  TimePoint m_last_byte;
  bool m_attempt_first_event = false;
  bool m_not_run = false;
  /// What the present attempt's server asked for as it refused.
  std::optional<Duration> m_backoff;
  /// Why the present attempt ends without an answer, for its line.
  std::string_view m_end_reason;
  SseParser m_splitter;
  int m_attempt_status = 0;
  int m_answer_status = 0;
  HttpHeaders m_answer_headers;
  std::string m_answer_body;
  uint64_t m_resume_from = 0;

  /// Where CanMoveOn() found that the answer can be taken up.
  std::optional<DispatchChoice> m_failover_choice;
  std::set<std::string, std::less<>> m_tried_targets;
  /// Made when it is first asked for: most requests never need it.
  mutable RequestDigest m_digest;
  /// The present attempt shows whether servers still end under the request.
  bool m_on_trial = false;
  std::string m_last_target;
  Duration m_retry_after{0};
  std::optional<Duration> m_sent_retry_after;
  std::optional<Duration> m_refused_prediction;
  std::optional<TimePoint> m_first_event;
  TimePoint m_last_event;
  std::optional<Duration> m_longest_pause;
  bool m_stream_started = false;
  /// The present attempt is not read, as the caller does not keep up.
  bool m_paused = false;
  bool m_finished = false;
  /// Destroying the relay ends the loops of its callbacks.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

/// Answers a request that was not passed on.
void RefuseCall(HttpExchange& exchange,
                const CallHeaderCodec& header_codec,
                std::string_view request_id,
                ResultCode code,
                Outcome outcome,
                std::optional<Duration> retry_after);

/// The status that tells a caller what is known of a refused request. 503 and
/// 429 say that it did not run.
int RefusalStatus(ResultCode code, Outcome outcome);

}  // namespace filbertrack

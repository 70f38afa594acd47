#pragma once

/// Relays one request through an entry host: sends it to the targets that the
/// selector chooses, forwards the response, and carries out the actions of the
/// request state machine.

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>

#include "filbertrack/base_shared_budget.h"
#include "filbertrack/dispatch_selector.h"
#include "filbertrack/entry_backpressure.h"
#include "filbertrack/entry_forward.h"
#include "filbertrack/entry_placer.h"
#include "filbertrack/entry_poison.h"
#include "filbertrack/entry_ports.h"
#include "filbertrack/entry_reach.h"
#include "filbertrack/entry_view.h"
#include "filbertrack/http_client.h"
#include "filbertrack/http_server.h"
#include "filbertrack/request_machine.h"
#include "filbertrack/request_retry_budget.h"
#include "filbertrack/site_catalog.h"

namespace filbertrack {

/// A request that another entry host forwarded to this one.
struct ForwardedFrom {
  std::string host;
  /// Servers that may still run the request.
  int attempts = 1;
};

/// An admitted request with its route and limits.
struct EntryRequest {
  CallFacts facts;
  /// Configuration at admission; keeps `route` valid after a newer one becomes
  /// active.
  std::shared_ptr<const Catalog> catalog;
  const Route* route = nullptr;
  std::string service;
  /// Empty on public routes.
  std::string workspace;
  /// Regions that the workspace is restricted to; empty if unrestricted.
  std::span<const std::string> workspace_regions;
  int priority = 0;
  TimePoint arrived;
  TimePoint deadline;
  /// nullopt: the caller sent it to this host. Such a request is not forwarded
  /// to a third host.
  std::optional<ForwardedFrom> forwarded{};
};

/// Final result of a request, for logs and metrics.
struct EntryResult {
  ResultCode code = ResultCode::kOk;
  Outcome outcome = Outcome::kRan;
  int status = 0;
};

struct RelayTimes {
  /// A started stream is resumed on another target after a silence of this many
  /// times the longest pause that its route allows.
  double silence_factor = 3;
  bool moves_silent = true;
  /// Lower bound of that time: shorter silences are caused by packet loss.
  Duration min_silence = Milliseconds(700);
  /// Time within which a backend server must accept a connection; after it the
  /// attempt fails and another target is tried.
  Duration connect_timeout = Milliseconds(600);
  /// The same for another entry host.
  Duration forward_connect_timeout = Milliseconds(150);
};

/// State of the entry host that its relays share.
struct RelayContext {
  EventLoop& loop;
  HttpClient& http;
  const CallHeaderCodec& header_codec;
  TargetSelector& selector;
  RetryBudgets& retries;
  EntryPoison& poison;
  EntryBackpressure& backpressure;
  EntryForward& forward;
  const EntryReach& reach;
  EntryView& view;
  RelayTimes times;
  /// Number of entry hosts that share the connection limits of the backend
  /// servers.
  size_t entry_hosts = 1;
  /// Data centre whose targets are preferred; empty for no preference.
  std::string local_data_centre;
  /// Store revision that the target list is based on.
  uint64_t servers_revision = 0;
  /// When registrations were last received, from the store or a peer.
  TimePoint servers_at{};
  /// Null: targets are chosen by `selector` only.
  RequestPlacer* placer = nullptr;
  /// Responses that are collected before they are passed on.
  SharedBudget collected{0};
};

/// How a request was placed, for the log. Present only where placement is on.
struct RequestPlacement {
  /// Entry host that made the last decision; empty if it was this host's own
  /// choice by reported loads.
  std::string by;
  /// Time from asking to the decision, of all asks of the request.
  Duration waited{0};
  /// Position in the queue when the last ask was queued; 0 if it was not.
  int position = 0;
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

  /// The group of this target lost a member or its process was restarted. If
  /// the current attempt runs there and the request may be repeated, the
  /// attempt ends and the request is sent elsewhere.
  void TargetLost(std::string_view target);

  /// This host no longer reaches the servers. Ends an attempt that cannot be
  /// answered any more, so that the request is forwarded to another entry host.
  void OnServersUnreachable();

  /// This host cannot connect to one server. Ends an attempt there that has no
  /// answer.
  void OnServerUnreachable(const Address& server);

  /// This host is about to exit. Ends the request: refuses it if its answer has
  /// not begun, and breaks it off otherwise.
  void OnHostStops();

  /// Refuses the request if it was blocked after it was sent and no part of its
  /// answer has arrived: it may still be queued on a server, and would crash
  /// that server as well. A trial copy is left to run.
  void RefuseIfBlocked();

  /// Reports to the poison detection that the answer has passed its beginning,
  /// once for each revision of the suspects.
  void ReportSurvival(TimePoint now);

  /// Ends the current attempt if its server has been silent for too long and
  /// the request can continue on another target.
  void CheckSilence(TimePoint now);

  /// Stops reading the response while more than a fixed number of bytes are
  /// unsent to the caller, and resumes once it has caught up. With `pauses`,
  /// any unsent byte stops the reading.
  void UpdateReadPause(bool pauses);

  /// Bytes buffered of a response, or of an event, that is forwarded only when
  /// complete.
  size_t buffered_bytes() const {
    return m_answer_body.size() + m_splitter.held_bytes();
  }

  const EntryRequest& request() const { return m_request; }
  /// Target of the current or the latest attempt; empty if there was none.
  const std::string& last_target() const { return m_last_target; }
  /// Start time of the process that runs the current attempt, Unix ms; 0 if
  /// there is no attempt or the time is unknown.
  uint64_t target_process_start_ms() const {
    return m_choice ? m_choice->target.process_start_ms : 0;
  }
  /// Target of the current attempt; null if there is none.
  const DispatchTarget* target() const {
    return m_choice ? &m_choice->target : nullptr;
  }
  /// Description of the current attempt for the poison detection.
  BrokenAttempt CurrentAttempt() const {
    return {digest(), Progress(), m_sent_at, shared_parts()};
  }
  /// Digest of the request's content, the same for each copy of it. Computed on
  /// first use.
  const RequestDigest& digest() const;
  /// As CallHeaderCodec::ReadSharedParts(). Read on first use.
  const std::vector<std::string>& shared_parts() const;
  /// The block for which the request was refused; empty if it was not.
  const std::string& blocked_by() const { return m_blocked_by; }
  int sends() const { return m_state.sends; }
  /// Entry host that the request was forwarded to last; empty: none.
  const std::string& last_forwarded_to() const { return m_last_forwarded_to; }
  /// Predicted time to the first event at the best target if the request was
  /// refused because all targets were too busy; else nullopt.
  std::optional<Duration> refused_prediction() const {
    return m_refused_prediction;
  }
  /// Retry-after time that was sent with a refusal; nullopt if none was.
  std::optional<Duration> retry_after() const { return m_sent_retry_after; }
  std::optional<TimePoint> first_event_at() const { return m_first_event; }
  std::optional<Duration> longest_pause() const { return m_longest_pause; }
  const std::optional<RequestPlacement>& placement() const {
    return m_placement;
  }

 private:
  friend struct EntryActions;
  friend struct PlacementActions;

  /// An ask that was not decided yet.
  struct PendingAsk {
    uint64_t id = 0;
    bool is_retry = false;
    TimePoint asked_at;
  };

  void Feed(const RequestEvent& event);
  void Seek(bool is_retry, uint64_t resume_from);
  /// Seeks again once the host's view is confirmed; false if it is not
  /// outdated.
  bool DeferIfOutdated(bool is_retry, TimePoint now);
  /// Forwards the request to another entry host, or refuses it, if this host
  /// reaches no server. False: a target is to be chosen here.
  bool ForwardOrRefuse(bool is_retry, TimePoint now);
  /// Forwards the request if the targets that this host reaches are too busy,
  /// and others that it does not reach may not be.
  bool ForwardIfBusy(const DispatchDecision& decision, TimePoint now);
  const ForwardPeer* ChooseForwardPeer(TimePoint now) const;
  void Forward(const ForwardPeer& peer, TimePoint now);
  HttpCallRequest MakeForwardedCall(const ForwardPeer& peer,
                                    TimePoint now) const;
  /// Clears what is known of the previous attempt.
  void ResetAttempt(TimePoint now);
  void DiscardAnswerBody();
  void OnForwardHead(int status, const HttpHeaders& headers);
  void OnForwardRefusal(std::string_view text);
  void EndForward(bool failed);
  /// Whether the next attempt takes a retry from the budget. It does not if no
  /// server can have received the request yet.
  bool NeedsRetry(bool is_retry) const {
    return is_retry && m_may_have_arrived;
  }
  bool has_attempt() const { return m_choice || !m_forwarded_to.empty(); }
  /// Chooses the target of the next attempt by the loads that other entry hosts
  /// reported, and sends the request there.
  /// `failover_choice`, if given, is used instead of a new choice.
  void SeekLocally(
      bool is_retry,
      TimePoint now,
      const std::optional<DispatchChoice>& failover_choice = std::nullopt);
  /// The same after an ask, in which time the request may have been blocked.
  void SeekAgainLocally(bool is_retry);
  /// Asks the placer for a target if placement is on. The request then waits
  /// for OnDecision(). False: nothing was asked.
  bool TryPlace(bool is_retry, TimePoint now);
  PlacementAsk MakeAsk(uint64_t id, const DispatchQuery& query) const;
  void WithdrawAsk();
  void OnDecision(const PlacementDecision& decision);
  /// Sends the request to the granted target if that is still allowed;
  /// otherwise withdraws the grant.
  void OnGrant(const PlacementGrant& grant, bool is_retry);
  // Report the current attempt to the placer where placement is on.
  void ReportSent();
  void ReportFirst(Duration measured);
  void ReportEnded(DispatchResult result);
  void RefuseWithoutTarget(const DispatchRefusal& refusal);
  DispatchQuery MakeQuery(TimePoint now) const;
  /// Asks the selector for the target of the next attempt.
  DispatchDecision ChooseTarget(TimePoint now);
  /// Whether a stalled answer can be resumed on another target now, which is
  /// then kept in `m_failover_choice`. If it cannot, the attempt is left
  /// running, since ending it would break off an answer that may still
  /// continue.
  bool CanFailOver(TimePoint now);
  void Send(const DispatchChoice& choice);
  /// Callbacks of the call of an attempt.
  HttpCallEvents CallEvents();
  HttpCallRequest MakeCall(const DispatchChoice& choice, TimePoint now) const;
  void OnHead(int status, const HttpHeaders& headers);
  /// Prepares the forwarding of a response with this head.
  void FeedHead(const AttemptHead& head, const HttpHeaders& headers);
  /// Applies the rate limit for cold servers to the target for the time `left`.
  void ReportCold(const DispatchTarget& target, Duration left);
  void OnBytes(std::string_view bytes);
  void OnStreamBytes(std::string_view bytes);
  /// Counts what is held of an event in the bound that all relays share.
  /// False: there is no room for it.
  bool CountHeldBytes();
  void OnComplete();
  void OnFailure(bool may_have_left);
  /// The block that applies to the request; null if there is none.
  const PoisonSubject* FindBlock() const;
  /// False if the request is blocked as a poison request. Sets `m_trial` if it
  /// may be sent as a trial copy.
  bool CheckAdmission(TimePoint now);
  /// Reports to the poison detection that the request was answered completely.
  void ReportServed();
  AttemptProgress Progress() const;
  /// Whether the current attempt was at its beginning, at which a poison
  /// request ends its server.
  bool MayHaveEndedServer() const;
  void CloseAttempt(bool failed);
  void RecordFirstEvent(TimePoint now);
  void ForwardBytes(std::string_view bytes);
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

  // The current attempt.
  std::unique_ptr<HttpCall> m_call;
  std::optional<DispatchChoice> m_choice;
  /// Runs between the failure of an attempt and its retry.
  std::unique_ptr<Timer> m_retry_timer;
  /// Entry host that the current attempt was forwarded to; empty: none.
  std::string m_forwarded_to;
  /// The request was queued for sending on an open connection.
  bool m_is_sent = false;
  TimePoint m_sent_at;
  TimePoint m_last_byte;
  bool m_attempt_first_event = false;
  TimePoint m_attempt_first_event_at;
  /// Revision of the suspects at which ReportSurvival() reported the attempt.
  uint64_t m_survival_reported = 0;
  bool m_not_run = false;
  /// Back-off time that the server requested when it refused the attempt.
  std::optional<Duration> m_backoff;
  /// Reason for the log if the attempt ends without an answer.
  std::string_view m_end_reason;
  StreamSplitter m_splitter;
  /// Bytes held by `m_splitter`, as counted in RelayContext::collected.
  size_t m_counted_stream_bytes = 0;
  int m_attempt_status = 0;
  /// The response has no framing: it is complete when the connection is closed.
  bool m_ends_with_connection = false;
  int m_answer_status = 0;
  HttpHeaders m_answer_headers;
  std::string m_answer_body;
  uint64_t m_resume_from = 0;

  /// Target found by CanFailOver(), for the attempt that Seek() makes next.
  std::optional<DispatchChoice> m_failover_choice;
  std::set<std::string, std::less<>> m_tried_targets;
  /// Entry hosts that the request was forwarded to.
  std::set<std::string, std::less<>> m_tried_hosts;
  /// A backend server may have received the request.
  bool m_may_have_arrived = false;
  PoolKey m_pool;
  std::optional<PendingAsk> m_ask;
  /// Id of the grant that the next Send() uses; 0: none.
  uint64_t m_granted_id = 0;
  /// Id under which the current attempt is reported; 0: it is not.
  uint64_t m_reported_id = 0;
  std::optional<RequestPlacement> m_placement;
  /// Computed on first use, as most requests never need it.
  mutable RequestDigest m_digest;
  mutable std::optional<std::vector<std::string>> m_shared_parts;
  /// The block that the current attempt tests as a trial copy.
  std::optional<PoisonSubject> m_trial;
  std::string m_blocked_by;
  std::string m_last_target;
  std::string m_last_forwarded_to;
  Duration m_retry_after{0};
  std::optional<Duration> m_sent_retry_after;
  std::optional<Duration> m_refused_prediction;
  std::optional<TimePoint> m_first_event;
  TimePoint m_last_event;
  std::optional<Duration> m_longest_pause;
  bool m_stream_started = false;
  /// Reading the response is paused, as the caller is too slow.
  bool m_paused = false;
  bool m_finished = false;
  /// Set to false on destruction, so that loops which invoke callbacks of the
  /// relay stop.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

/// Sends a refusal in the name of the entry host, with a JSON body that holds
/// the result code and whether the request ran. `forward_refusal` tells the
/// same to the entry host that forwarded the request; null: a caller sent it.
void RefuseCall(HttpExchange& exchange,
                const CallHeaderCodec& header_codec,
                std::string_view request_id,
                ResultCode code,
                Outcome outcome,
                std::optional<Duration> retry_after,
                const ForwardRefusal* forward_refusal = nullptr);

/// HTTP status of a refusal. 503 and 429 guarantee that the request did not
/// run.
int RefusalStatus(ResultCode code, Outcome outcome);

}  // namespace filbertrack

#pragma once

/// Sends a scheduled load to entry hosts and verifies every answer.

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "filbertrack/http_client.h"
#include "filbertrack/load_plan.h"
#include "filbertrack/metrics.h"
#include "filbertrack/request_sse.h"

namespace filbertrack {

struct LoadTargets {
  std::string name;  ///< Name of this side in the results.
  std::vector<Address> entry_hosts;
  /// The addresses are those of a plain service itself, to measure a baseline
  /// without an entry host.
  bool direct = false;
};

struct LoadRun {
  LoadPolicy policy;
  std::string model;
  std::string plain_service;
  Duration deadline = Seconds(30);
  /// Every request is sent to every side, so that the policies under comparison
  /// receive the same load.
  std::vector<LoadTargets> sides;
  /// Number of times that each request with an idempotency key is sent, one
  /// after the other, through the entry hosts in turn.
  int keyed_attempts = 1;
  /// Value of the Filbert-Idempotent header of plain requests.
  std::string plain_idempotent = "false";
};

/// Results of one side.
struct LoadSummary {
  uint64_t sent = 0;
  uint64_t answered = 0;
  uint64_t refused_not_run = 0;
  uint64_t refused_unknown = 0;
  uint64_t refused_ran = 0;
  /// Answers with status 200 whose connection failed before their end.
  uint64_t truncated = 0;
  /// Requests that received no HTTP response.
  uint64_t no_answer = 0;
  /// Answers with wrong text, a missing or duplicate token, the content of
  /// another request, or a regular end without the closing event.
  uint64_t wrong = 0;
  uint64_t tokens = 0;
  std::map<std::string, uint64_t> answered_of_workspace;
  std::map<int, uint64_t> codes;
  /// Both latencies are measured from the time at which the request was due.
  LatencyHistogram first_token_latency;
  LatencyHistogram total_latency;
  /// Longest time between two tokens of one stream.
  Duration max_gap{0};
};

class LoadRunner {
 public:
  /// Writes one JSON line per ended request to `lines` unless it is null.
  LoadRunner(EventLoop& loop, LoadRun run, std::ostream* lines);
  ~LoadRunner();

  /// Blocks until every scheduled request has been sent and has ended.
  void Run();

  /// Returns one JSON line per side with its counts and latency quantiles.
  std::string Summary() const;

 private:
  struct OpenRequest;
  struct Side;

  void SendDue();
  void Send(size_t side, const PlannedRequest& planned, int attempt);
  std::string PlainPath(const PlannedRequest& planned) const;
  HttpCallRequest MakeCall(const PlannedRequest& planned,
                           const OpenRequest& request) const;
  void OnBytes(OpenRequest& request, std::string_view bytes);
  void OnToken(OpenRequest& request, const SseEvent& event);
  void OnEnd(OpenRequest& request, int status);
  void VerifyAnswer(OpenRequest& request);
  void Count(OpenRequest& request, int status);
  void Finish(OpenRequest& request, std::string_view result);

  EventLoop& m_loop;
  LoadRun m_run;
  std::ostream* m_lines;
  HttpClient m_http;
  std::vector<PlannedRequest> m_plan;
  size_t m_next_planned = 0;
  TimePoint m_start;
  std::vector<std::unique_ptr<Side>> m_sides;
  std::map<uint64_t, std::unique_ptr<OpenRequest>> m_open_requests;
  uint64_t m_last_id = 0;
  std::unique_ptr<Timer> m_timer;
};

}  // namespace filbertrack

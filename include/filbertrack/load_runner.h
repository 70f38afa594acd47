#pragma once

/// Sends a planned load to entry hosts and checks every answer.

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
  std::string name;  ///< Of this side, in the results.
  std::vector<Address> entry_hosts;
  /// The addresses are plain services' own, for comparing with no entry host.
  bool direct = false;
};

struct LoadRun {
  LoadPolicy policy;
  std::string model;
  std::string plain_service;
  Duration deadline = Seconds(30);
  /// Each request goes to every side, so that two policies meet the same load.
  std::vector<LoadTargets> sides;
  /// Keyed requests are sent this many times, each through another entry host.
  int keyed_attempts = 1;
  /// Plain requests carry this header's value for Filbert-Idempotent.
  std::string plain_idempotent = "false";
};

/// What one side saw.
struct LoadSummary {
  uint64_t sent = 0;
  uint64_t answered = 0;
  uint64_t refused_not_run = 0;
  uint64_t refused_unknown = 0;
  uint64_t refused_ran = 0;
  /// A started stream that ended visibly unfinished.
  uint64_t truncated = 0;
  /// No HTTP answer at all.
  uint64_t no_answer = 0;
  /// Wrong text, a missing or doubled token, another request's answer, or an
  /// end without a sign.
  uint64_t wrong = 0;
  uint64_t tokens = 0;
  std::map<std::string, uint64_t> answered_of_workspace;
  std::map<int, uint64_t> codes;
  /// From the moment the request was due.
  LatencyHistogram first_token_latency;
  LatencyHistogram total_latency;
  Duration max_gap{0};
};

class LoadRunner {
 public:
  /// Writes a JSON line a request to `lines` if that is not null.
  LoadRunner(EventLoop& loop, LoadRun run, std::ostream* lines);
  ~LoadRunner();

  /// Runs to the end of the schedule and of the last answer.
  void Run();

  /// A JSON object a side, with the quantiles of its times.
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

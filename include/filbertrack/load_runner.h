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
  int keyed_tries = 1;
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
  uint64_t broken = 0;
  /// No HTTP answer at all.
  uint64_t no_answer = 0;
  /// Wrong text, a missing or doubled token, another request's answer, or an
  /// end without a sign.
  uint64_t wrong = 0;
  uint64_t tokens = 0;
  std::map<std::string, uint64_t> answered_of_workspace;
  std::map<int, uint64_t> codes;
  /// From the moment the request was due.
  LatencyHistogram first_token;
  LatencyHistogram whole;
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
  struct Open;
  struct Side;

  void SendDue();
  void Send(size_t side, const PlannedRequest& planned, int attempt);
  std::string PlainPath(const PlannedRequest& planned) const;
  HttpCallRequest MakeCall(const PlannedRequest& planned,
                           const Open& open) const;
  void OnBytes(Open& open, std::string_view bytes);
  void OnToken(Open& open, const SseEvent& event);
  void OnEnd(Open& open, int status);
  void CheckWhole(Open& open);
  void Count(Open& open, int status);
  void Finish(Open& open, std::string_view result);

  EventLoop& m_loop;
  LoadRun m_run;
  std::ostream* m_lines;
  HttpClient m_http;
  std::vector<PlannedRequest> m_plan;
  size_t m_next = 0;
  TimePoint m_start;
  std::vector<std::unique_ptr<Side>> m_sides;
  std::map<uint64_t, std::unique_ptr<Open>> m_open;
  uint64_t m_last_id = 0;
  std::unique_ptr<Timer> m_timer;
};

}  // namespace filbertrack

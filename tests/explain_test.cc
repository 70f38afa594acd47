#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <sstream>

#include "filbertrack/explain_account.h"
#include "filbertrack/explain_request.h"

namespace filbertrack {
namespace {

constexpr const char* kLogLines = R"(
 3.1 e1 {"event":"placed","node":"e1","time_ms":1000,"at_us":1,"request":"r1","target":"h1","predicted_ms":180,"own":1,"others":8,"send":1}
{"event":"host-health","node":"e9","time_ms":1900,"at_us":7,"host":"h7","health":"silent"}
{"event":"order","node":"e9","time_ms":1901,"at_us":8,"order":"close","group":"m/1","head":"h1","why":"a member is missing, leaving or silent"}
{"event":"request","node":"e1","time_ms":3000,"at_us":30,"request":"r1","code":0,"sends":2,"aim_ms":300,"first_ms":1200,"total_ms":2000,"target":"h2"}
{"event":"attempt-ended","node":"e1","time_ms":1902,"at_us":20,"request":"r1","target":"h1","why":"its group lost a member","after_ms":902}
{"event":"placed","node":"e1","time_ms":1903,"at_us":21,"request":"r1","target":"h2","send":2}
{"event":"groups","node":"e9","time_ms":3500,"at_us":50,"serving":{"m":3},"not_serving":{"m":1},"loading":7,"quarantined":2}
{"event":"request","node":"e2","time_ms":4000,"at_us":3,"request":"r2","code":106,"outcome":"not-run","sends":0,"retry_after_ms":250}
{"event":"placed","node":"e2","time_ms":4000,"at_us":4,"request":"r3","target":"h3","predicted_ms":200,"own":2,"others":12}
{"event":"request","node":"e2","time_ms":5000,"at_us":9,"request":"r3","code":0,"sends":1,"aim_ms":300,"first_ms":700,"total_ms":1000}
{"event":"refused","node":"e2","time_ms":5000,"at_us":10,"request":"r4","code":9,"config":12}
{"event":"request","node":"e2","time_ms":5100,"at_us":11,"request":"r6","code":109,"outcome":"unknown","sends":1}
{"event":"server-ended","node":"e1","time_ms":5200,"at_us":40,"server":"h5","evidence":"no answer","age_ms":3,"requests":[{"digest":"d7","progress":"begun","ends":1},{"digest":"d8","progress":"answering","ends":1}]}
{"event":"server-ended","node":"e2","time_ms":5300,"at_us":41,"server":"h6","evidence":"no answer","age_ms":3,"requests":[{"digest":"d7","progress":"begun","ends":2}]}
{"event":"server-ended","node":"e2","time_ms":5350,"at_us":42,"server":"h9","evidence":"no answer","age_ms":3,"requests":[{"digest":"d8","progress":"answering","ends":2}]}
{"event":"request-marked","node":"e3","time_ms":5900,"at_us":43,"digest":"d7","ends":3,"servers":["h5","h6","h8"],"from":"own"}
{"event":"request","node":"e3","time_ms":6000,"at_us":44,"request":"r7","code":119,"outcome":"not-run","sends":0,"digest":"d7"}
{"event":"request","node":"e3","time_ms":6100,"at_us":45,"request":"r8","code":120,"outcome":"not-run","sends":0,"retry_after_ms":700}
{"event":"request","node":"e2","time_ms":6200,"at_us":46,"request":"r9","code":106,"outcome":"not-run","sends":0,"predicted_ms":700,"aim_ms":300,"retry_after_ms":90,"by":"e7","waited_ms":160,"position":12}
{"event":"placed","node":"e2","time_ms":6300,"at_us":47,"request":"r10","target":"h3","predicted_ms":200,"own":2,"others":12,"by":"","waited_ms":30}
{"event":"request","node":"e2","time_ms":7000,"at_us":48,"request":"r10","code":0,"sends":1,"aim_ms":300,"first_ms":700,"total_ms":1000,"by":"","waited_ms":30}
not a line
{"no event":1}
)";

std::vector<RequestLogLine> ReadLogLines() {
  std::istringstream stream(kLogLines);
  return ReadRequestLog(stream);
}

bool Contains(const std::string& text, std::string_view part) {
  return text.find(part) != std::string::npos;
}

TEST_CASE("log lines are read despite a collector's prefix") {
  const auto log_lines = ReadLogLines();
  REQUIRE(log_lines.size() == 21);
  CHECK(log_lines[0].node == "e1");
  CHECK(log_lines[0].fields["target"] == "h1");
}

TEST_CASE("a resumed stream is explained by the loss of its group") {
  // The stream paused because its first group lost a member, which the lease
  // holder e9 logged. The input has the lines of e1 out of order.
  const auto log_lines = ReadLogLines();
  const Explanation explanation = ExplainRequest(log_lines, "r1");
  REQUIRE(explanation.lines.size() == 4);
  CHECK(explanation.lines[1].event == "attempt-ended");
  CHECK(explanation.lines[3].event == "request");
  CHECK(
      Contains(explanation.cause, "h1: its group lost a member after 902 ms"));
  CHECK(Contains(explanation.cause, "The group of h1 was closed by e9"));
  CHECK(explanation.context.size() == 2);
}

TEST_CASE("a refusal for overload names the groups serving at that time") {
  const auto log_lines = ReadLogLines();
  const Explanation explanation = ExplainRequest(log_lines, "r2");
  CHECK(Contains(explanation.cause, "retry after 250 ms"));
  CHECK(Contains(explanation.cause, "500 ms before, e9 counted"));
  CHECK(Contains(explanation.cause, "7 loading and 2 quarantined"));
}

TEST_CASE("a refused or late request is explained by who placed it") {
  // Guards against refusals after a wait, and late answers during a fallback,
  // whose cause is not told.
  const auto log_lines = ReadLogLines();
  const std::string refused = ExplainRequest(log_lines, "r9").cause;
  CHECK(Contains(refused, "The placer e7 decided after 160 ms"));
  CHECK(Contains(refused, "last at position 12"));
  const std::string late = ExplainRequest(log_lines, "r10").cause;
  CHECK(Contains(late, "decided by reported loads"));
  CHECK(Contains(late, "after 30 ms"));
  CHECK_FALSE(Contains(ExplainRequest(log_lines, "r2").cause, "placer"));
}

TEST_CASE("a request with an unknown outcome is not reported as not run") {
  // Guards against reporting every failure as not run: this attempt may have
  // been executed before it failed, and no retry was left.
  const auto log_lines = ReadLogLines();
  CHECK(Contains(ExplainRequest(log_lines, "r2").cause, "Refused as not run"));
  const Explanation explanation = ExplainRequest(log_lines, "r6");
  CHECK(Contains(explanation.cause, "outcome unknown"));
  CHECK_FALSE(Contains(explanation.cause, "not run"));
}

TEST_CASE("a blocked poison request is traced to the server terminations") {
  // The request itself was never sent to a server. Other entry hosts had sent
  // requests with the same digest to the servers that terminated.
  const auto log_lines = ReadLogLines();
  const Explanation explanation = ExplainRequest(log_lines, "r7");
  CHECK(Contains(explanation.cause,
                 "Refused as not run: servers terminated while"));
  CHECK(Contains(
      explanation.cause,
      "e3 attributed 3 server terminations to it: [\"h5\",\"h6\",\"h8\"]"));
  CHECK(Contains(explanation.cause, "e1 had sent a copy to h5"));
  CHECK(Contains(explanation.cause, "e2 had sent a copy to h6"));
  CHECK_FALSE(Contains(explanation.cause, "h9"));
}

TEST_CASE("a late answer is compared with its prediction") {
  const auto log_lines = ReadLogLines();
  const Explanation explanation = ExplainRequest(log_lines, "r3");
  CHECK(Contains(explanation.cause, "after 700 ms"));
  CHECK(Contains(explanation.cause, "200 ms were predicted"));
  CHECK(Contains(explanation.cause, "14 requests at the target"));
}

TEST_CASE("a request refused before placement names the configuration") {
  const auto log_lines = ReadLogLines();
  CHECK(
      Contains(ExplainRequest(log_lines, "r4").cause, "configuration was 12"));
  const Explanation none = ExplainRequest(log_lines, "r5");
  CHECK(none.lines.empty());
  CHECK(none.context.empty());
  CHECK(Contains(none.cause, "No log line names this request"));
}

/// Seven requests that count towards the report, and one with an invalid key.
constexpr const char* kLossLogLines = R"(
{"event":"request","node":"e1","time_ms":1000,"request":"a","route":"r","model":"m","code":0,"status":200,"sends":1,"aim_ms":300,"first_ms":200,"left_ms":6000,"pause_ms":90,"pause_aim_ms":200}
{"event":"placed","node":"e1","time_ms":1000,"request":"b","predicted_ms":180,"loads_age_ms":70}
{"event":"request","node":"e1","time_ms":1100,"request":"b","route":"r","model":"m","code":0,"status":200,"sends":1,"aim_ms":300,"first_ms":900,"left_ms":6000}
{"event":"request","node":"e1","time_ms":1200,"request":"c","route":"r","model":"m","code":106,"status":503,"sends":0,"aim_ms":300,"left_ms":6000,"predicted_ms":700}
{"event":"request","node":"e2","time_ms":1500,"request":"c2","route":"r","model":"m","code":0,"status":200,"sends":1,"aim_ms":300,"first_ms":100,"left_ms":5700}
{"event":"refused","node":"e1","time_ms":1300,"request":"d","model":"m","code":118,"left_ms":6000}
{"event":"request","node":"e2","time_ms":3900,"request":"d2","route":"r","model":"m","code":106,"status":503,"sends":0,"aim_ms":300,"left_ms":5400}
{"event":"attempt-ended","node":"e2","time_ms":1350,"request":"e","why":"silent"}
{"event":"request","node":"e2","time_ms":1400,"request":"e","route":"r","model":"m","code":0,"status":200,"sends":2,"aim_ms":300,"first_ms":150,"left_ms":6000,"pause_ms":900,"pause_aim_ms":200}
{"event":"refused","node":"e1","time_ms":1450,"request":"f","code":100,"left_ms":6000}
)";

TEST_CASE("the losses by cause add up to the total") {
  // Two are answered on time, one of them a retry after a refusal; one is late;
  // three are refused. One stream paused beyond its limit because its first
  // target fell silent and it continued on another.
  std::istringstream stream(kLossLogLines);
  const auto log_lines = ReadRequestLog(stream);
  const LossReport account =
      AttributeLosses(log_lines, LossReportPolicy{0.25, 2000});
  CHECK(account.total_requests == 7);
  CHECK(account.on_time == 2);
  CHECK(account.lost == doctest::Approx(0.75 + 3 + 0.75));
  std::map<std::string, double> by_cause;
  for (const LossRow& row : SumLosses(account.rows, &LossRow::cause)) {
    by_cause[row.cause] = row.lost;
  }
  CHECK(by_cause["late at first, against the prediction"] == 0.75);
  CHECK(by_cause["late by a pause, moved: silent"] == 0.75);
  CHECK(by_cause["refused or ended: overloaded"] == 2);
  CHECK(by_cause["refused or ended: may-be-behind"] == 1);
  // The last refusal falls into the second window.
  CHECK(std::any_of(
      account.rows.begin(), account.rows.end(),
      [](const LossRow& row) { return row.window_start_ms == 2000; }));
}

TEST_CASE("a refusal because servers limited their load names no prediction") {
  const std::string cause = ExplainRequest(ReadLogLines(), "r8").cause;
  CHECK(Contains(cause, "Refused as not run"));
  CHECK(Contains(cause, "asked for fewer requests or none"));
  CHECK(Contains(cause, "retry after 700 ms"));
}

}  // namespace
}  // namespace filbertrack

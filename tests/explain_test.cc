#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <sstream>

#include "filbertrack/explain_request.h"

namespace filbertrack {
namespace {

constexpr const char* kTrail = R"(
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
not a line
{"no event":1}
)";

std::vector<TrailLine> Trail() {
  std::istringstream stream(kTrail);
  return ReadTrail(stream);
}

bool Contains(const std::string& text, std::string_view part) {
  return text.find(part) != std::string::npos;
}

TEST_CASE("lines are read whatever stands before them") {
  const auto trail = Trail();
  REQUIRE(trail.size() == 12);
  CHECK(trail[0].node == "e1");
  CHECK(trail[0].fields["target"] == "h1");
}

TEST_CASE("a stream that was taken up: in order, with the loss behind it") {
  // The caller complains of a gap. Its group lost a member, which the host that
  // gives orders noticed; the lines of three hosts tell it.
  const auto trail = Trail();
  const Explanation told = ExplainRequest(trail, "r1");
  REQUIRE(told.lines.size() == 4);
  CHECK(told.lines[1].event == "attempt-ended");
  CHECK(told.lines[3].event == "request");
  CHECK(Contains(told.cause, "h1: its group lost a member after 902 ms"));
  CHECK(Contains(told.cause, "The group of h1 was closed by e9"));
  CHECK(told.context.size() == 2);
}

TEST_CASE("a refusal tells what the fleet had at that time") {
  const auto trail = Trail();
  const Explanation told = ExplainRequest(trail, "r2");
  CHECK(Contains(told.cause, "come back after 250 ms"));
  CHECK(Contains(told.cause, "500 ms before, e9 counted"));
  CHECK(Contains(told.cause, "7 loading and 2 held"));
}

TEST_CASE("a request that may have run is not called not run") {
  // Its first attempt broke, and no retry was left in the budget.
  const auto trail = Trail();
  CHECK(Contains(ExplainRequest(trail, "r2").cause, "Refused as not run"));
  const Explanation told = ExplainRequest(trail, "r6");
  CHECK(Contains(told.cause, "outcome unknown"));
  CHECK_FALSE(Contains(told.cause, "not run"));
}

TEST_CASE("a late answer tells what was predicted and why") {
  const auto trail = Trail();
  const Explanation told = ExplainRequest(trail, "r3");
  CHECK(Contains(told.cause, "after 700 ms"));
  CHECK(Contains(told.cause, "200 ms were predicted"));
  CHECK(Contains(told.cause, "14 requests at the target"));
}

TEST_CASE("what was refused before it was placed names the configuration") {
  const auto trail = Trail();
  CHECK(Contains(ExplainRequest(trail, "r4").cause, "configuration was 12"));
  const Explanation none = ExplainRequest(trail, "r5");
  CHECK(none.lines.empty());
  CHECK(none.context.empty());
  CHECK(Contains(none.cause, "No line names this request"));
}

}  // namespace
}  // namespace filbertrack

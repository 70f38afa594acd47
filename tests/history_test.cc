#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <functional>

#include "filbertrack/history_check.h"

namespace filbertrack {
namespace {

/// A run that violates no invariant.
History ValidRun() {
  History history;
  history.members = {{"h2", true, 10'000'000}, {"h2", false, 30'000'000}};
  history.groups = {{"d", {{"h1", "h2"}, {"h3", "h4"}}, 1'000'000}};
  history.forwards = {
      {"r1", "eh", "d/1", 1, {"h1", "h2"}, 5'000'000, 10'900'000},
      {"r2", "eh", "d/2", 1, {"h3", "h4"}, 5'000'000, 25'000'000}};
  history.executions = {{"r1", "w1", "h1", 5'000'000},
                        {"r2", "w2", "h3", 5'000'000},
                        {"r3", "w2", "h3", 6'000'000},
                        {"r5", "w5", "portal", 6'000'000}};
  history.callers = {{"r1", "w1", false, CallerResult::kComplete, 11'000'000},
                     {"r2", "w2", true, CallerResult::kComplete, 25'000'000},
                     {"r4", "w4", false, CallerResult::kNotRun, 7'000'000},
                     {"r5", "w5", false, CallerResult::kUnknown, 7'000'000}};
  history.leaves = {{"portal", 2'000'000}};
  history.stopped = {{"eh", "r1", true}};
  history.configs = {
      {"", 2, 8'000'000}, {"eh", 1, 1'000'000}, {"eh", 2, 9'000'000}};
  return history;
}

/// A change that makes a valid run violate `invariant`.
struct ViolatingChange {
  Invariant invariant;
  std::function<void(History&)> apply;
};

TEST_CASE("a valid run has no violation") {
  CHECK(CheckHistory(ValidRun(), HistoryBounds()).empty());
}

TEST_CASE("each violating change is reported, and only for its own invariant") {
  // Guards against a checker that misses violations, whose reports could not be
  // told from those of a system without faults. Each change adds or alters one
  // event that the invariant forbids.
  const std::vector<ViolatingChange> variants = {
      {Invariant::kNoIncompleteGroupAnswers,
       [](History& run) { run.forwards[0].last = 11'100'000; }},
      {Invariant::kOneGroupPerHost,
       [](History& run) { run.groups[0].groups[1][0] = "h1"; }},
      {Invariant::kCorrectAnswers,
       [](History& run) { run.callers[1].result = CallerResult::kWrong; }},
      {Invariant::kNotRunIsAccurate,
       [](History& run) {
         run.executions.push_back({"r4", "w4", "h1", 6'500'000});
       }},
      {Invariant::kAtMostOnce,
       [](History& run) {
         run.executions.push_back({"r9", "w1", "h3", 6'500'000});
       }},
      {Invariant::kNoWorkWhenLeaving,
       [](History& run) { run.executions[3].at = 7'500'000; }},
      {Invariant::kGracefulStop,
       [](History& run) { run.stopped[0].completed = false; }},
      {Invariant::kConfigPropagation,
       [](History& run) {
         run.configs.push_back({"eh", 1, 9'500'000});
       }},
      {Invariant::kConfigPropagation,
       [](History& run) { run.configs[2].at = 12'500'000; }},
  };
  for (const ViolatingChange& variant : variants) {
    History run = ValidRun();
    variant.apply(run);
    const std::vector<Violation> violations =
        CheckHistory(run, HistoryBounds());
    REQUIRE(violations.size() == 1);
    CHECK(violations[0].invariant == variant.invariant);
    CHECK(!violations[0].description.empty());
  }
}

TEST_CASE("known events are read and other lines are ignored") {
  History history;
  const auto read = ReadHistory(
      "{\"event\":\"member\",\"host\":\"h\",\"state\":\"down\",\"at_us\":5}\n"
      "not a JSON line\n"
      "{\"event\":\"draining\"}\n"
      "{\"event\":\"config-in-force\",\"node\":\"e\",\"generation\":3,"
      "\"at_us\":7}\n",
      history);
  REQUIRE(read);
  CHECK(*read == 2);
  CHECK(history.members[0].down);
  CHECK(history.configs[0].generation == 3);
  CHECK(!ReadHistory("{\"event\":\"member\"}\n", history));
}

}  // namespace
}  // namespace filbertrack

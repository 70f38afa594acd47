#include <algorithm>
#include <array>

#include <nlohmann/json.hpp>

#include "filbertrack/base_json.h"
#include "filbertrack/history_check.h"

namespace filbertrack {

namespace {

using Json = nlohmann::json;

CallerResult ParseCallerResult(const std::string& text) {
  if (text == "answered") {
    return CallerResult::kComplete;
  }
  if (text == "not-run") {
    return CallerResult::kNotRun;
  }
  if (text == "wrong") {
    return CallerResult::kWrong;
  }
  if (text == "ran") {
    return CallerResult::kRan;
  }
  return text == "broken" ? CallerResult::kTruncated : CallerResult::kUnknown;
}

/// One kind of event: its name, and the function that appends it to a history.
/// An event that several programs write has the same fields in all of them.
struct LineKind {
  std::string_view event;
  void (*add)(const Json& line, History& history);
};

constexpr auto kLineKinds = std::to_array<LineKind>({
    {"member",
     [](const Json& line, History& history) {
       history.members.push_back(
           {line.at("host"), line.at("state") == "down", line.at("at_us")});
     }},
    {"forwarded",
     [](const Json& line, History& history) {
       history.forwards.push_back(
           {line.at("request"), line.at("node"), line.at("group"),
            line.at("epoch"),
            line.at("members").get<std::vector<std::string>>(),
            line.at("first_us"), line.at("last_us")});
     }},
    {"groups",
     [](const Json& line, History& history) {
       history.groups.push_back(
           {line.at("domain"),
            line.at("groups").get<std::vector<std::vector<std::string>>>(),
            line.at("at_us")});
     }},
    {"executed",
     [](const Json& line, History& history) {
       history.executions.push_back({line.at("request"), line.at("what"),
                                     line.at("server"), line.at("at_us")});
     }},
    {"result",
     [](const Json& line, History& history) {
       history.callers.push_back(
           {line.at("request"), line.at("what"), line.at("idempotent"),
            ParseCallerResult(line.at("result")), line.at("end_us")});
     }},
    {"leaving",
     [](const Json& line, History& history) {
       history.leaves.push_back({line.at("server"), line.at("at_us")});
     }},
    {"stopped-request",
     [](const Json& line, History& history) {
       history.stopped.push_back(
           {line.at("node"), line.at("request"), line.at("whole")});
     }},
    {"config-in-force",
     [](const Json& line, History& history) {
       history.configs.push_back(
           {line.at("node"), line.at("generation"), line.at("at_us")});
     }},
    {"config-accepted",
     [](const Json& line, History& history) {
       history.configs.push_back({"", line.at("generation"), line.at("at_us")});
     }},
});

}  // namespace

Result<size_t> ReadHistory(std::string_view lines, History& history) {
  size_t read = 0;
  size_t number = 0;
  while (!lines.empty()) {
    const size_t end = std::min(lines.find('\n'), lines.size());
    const std::string_view text = lines.substr(0, end);
    lines.remove_prefix(std::min(end + 1, lines.size()));
    ++number;
    if (text.empty() || text.front() != '{') {
      continue;
    }
    const auto fail = [number](const std::string& why) {
      return Fail(ResultCode::kBadRequest,
                  "Line " + std::to_string(number) + " cannot be read: " + why);
    };
    const Result<Json> line = ParseJson(text);
    if (!line) {
      return fail(line.error().message);
    }
    try {
      const std::string event = line->value("event", "");
      const auto kind = std::find_if(
          kLineKinds.begin(), kLineKinds.end(),
          [&event](const auto& row) { return row.event == event; });
      if (kind != kLineKinds.end()) {
        kind->add(*line, history);
        ++read;
      }
    } catch (const Json::exception& error) {
      return fail(error.what());
    }
  }
  return read;
}

}  // namespace filbertrack

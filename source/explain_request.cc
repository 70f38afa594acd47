#include "filbertrack/explain_request.h"

#include <algorithm>
#include <optional>
#include <set>

#include "filbertrack/base_result.h"

namespace filbertrack {

namespace {

using Json = nlohmann::json;

/// A loss shows in the log of the host that gives orders up to this long after
/// a request met it: the time to notice a silent host, and as much again.
constexpr int64_t kAfterMs = 1500;
constexpr int64_t kBeforeMs = 500;

int64_t Number(const RequestLogLine& line, const char* field) {
  return NumberField(line, field).value_or(0);
}

std::string Milliseconds(int64_t count) {
  return std::to_string(count) + " ms";
}

bool Precedes(const RequestLogLine& left, const RequestLogLine& right) {
  if (left.node == right.node) {
    return left.at_us < right.at_us;
  }
  return left.time_ms < right.time_ms;
}

const RequestLogLine* FindLast(std::span<const RequestLogLine> lines,
                               std::string_view event) {
  const auto found = std::find_if(
      lines.rbegin(), lines.rend(),
      [event](const RequestLogLine& line) { return line.event == event; });
  return found == lines.rend() ? nullptr : &*found;
}

const RequestLogLine* FindFirst(std::span<const RequestLogLine> lines,
                                std::string_view event) {
  const auto found = std::find_if(
      lines.begin(), lines.end(),
      [event](const RequestLogLine& line) { return line.event == event; });
  return found == lines.end() ? nullptr : &*found;
}

/// Builds the context and the cause from a request's lines.
class Explainer {
 public:
  Explainer(std::span<const RequestLogLine> trail,
            std::vector<RequestLogLine> lines)
      : m_trail(trail), m_lines(std::move(lines)) {
    for (const RequestLogLine& line : m_lines) {
      const std::string target = TextField(line, "target");
      if (!target.empty()) {
        m_targets.insert(target);
      }
    }
  }

  Explanation Run() {
    Explanation explanation;
    explanation.cause = Cause();
    explanation.context = Context();
    explanation.lines = std::move(m_lines);
    return explanation;
  }

 private:
  const RequestLogLine* End() const {
    const RequestLogLine* end = FindLast(m_lines, "request");
    return end != nullptr ? end : FindLast(m_lines, "refused");
  }

  std::string Cause() const {
    const RequestLogLine* end = End();
    if (m_lines.empty()) {
      return "No line names this request. It came to another host, its lines "
             "were dropped (see 'lines-dropped'), or it was never read.";
    }
    if (end == nullptr) {
      return "The request has no line of its end: the process ended, or the "
             "line was dropped.";
    }
    return OfCode(*end, static_cast<ResultCode>(Number(*end, "code"))) +
           OfTargets();
  }

  std::string OfCode(const RequestLogLine& end, ResultCode code) const {
    switch (code) {
      case ResultCode::kOk:
        return OfAnswer(end);
      case ResultCode::kNoServingGroup:
        return Refusal(end) + ": no group served model '" +
               TextField(end, "model") + "'." + Groups(end);
      case ResultCode::kOverloaded:
        return Refusal(end) +
               ": the best target that was looked at would "
               "have answered after " +
               Milliseconds(Number(end, "predicted_ms")) + ", the aim is " +
               Milliseconds(Number(end, "aim_ms")) +
               "; the caller was told to come back after " +
               Milliseconds(Number(end, "retry_after_ms")) + "." + Groups(end);
      case ResultCode::kServersHoldOff:
        return Refusal(end) +
               ": every server that was left had asked for fewer requests or "
               "none; the caller was told to come back after " +
               Milliseconds(Number(end, "retry_after_ms")) + "." + Groups(end);
      case ResultCode::kEvacuated:
        return Refusal(end) +
               ": what could answer stands in data centres that the operator "
               "has evacuated; `evacuations` lines tell since when.";
      case ResultCode::kNoServerInRegions:
        return Refusal(end) +
               ": no server stands in the regions that the route and the "
               "workspace allow.";
      case ResultCode::kAttemptRefused:
        return Refusal(end) + " after " + std::to_string(Number(end, "sends")) +
               " sends: " + Attempts() + ", and no retry was left or allowed.";
      case ResultCode::kUpstreamFailed:
      case ResultCode::kStreamInterrupted:
        return "Ended without a whole answer: " + Attempts() +
               "; it could not be sent or taken up once more.";
      case ResultCode::kDeadlinePassed:
        return "Its time passed after " +
               Milliseconds(Number(end, "total_ms")) + ". " + Attempts() + ".";
      case ResultCode::kCallerGone:
        return "The caller left after " +
               Milliseconds(Number(end, "total_ms")) +
               "; the first event came after " +
               Milliseconds(Number(end, "first_ms")) + ".";
      case ResultCode::kEndsServers:
        return Refusal(end) + ": servers end while they run what it asks." +
               OfMark(TextField(end, "digest"));
      default:
        return std::string(ResultCodeInfo(code).meaning) +
               " The configuration was " +
               std::to_string(Number(end, "config")) + ".";
    }
  }

  /// What was known of the request when it was turned away. An attempt before
  /// may have run.
  static std::string Refusal(const RequestLogLine& end) {
    const std::string outcome = TextField(end, "outcome");
    return outcome == OutcomeName(Outcome::kNotRun)
               ? "Refused as not run"
               : "Given up, outcome " +
                     (outcome.empty() ? "not told" : outcome);
  }

  std::string OfAnswer(const RequestLogLine& end) const {
    const int64_t first = Number(end, "first_ms");
    const int64_t aim = Number(end, "aim_ms");
    if (Number(end, "sends") > 1) {
      return "Answered by its send number " +
             std::to_string(Number(end, "sends")) + ": " + Attempts() + ".";
    }
    if (aim == 0 || first <= aim) {
      return "Answered in time, the first event after " + Milliseconds(first) +
             ". If it was late, a pause between events was.";
    }
    const RequestLogLine* placed = FindFirst(m_lines, "placed");
    if (placed == nullptr) {
      return "Late: the first event came after " + Milliseconds(first) + ".";
    }
    return "Late: the first event came after " + Milliseconds(first) +
           ", where " + Milliseconds(Number(*placed, "predicted_ms")) +
           " were predicted, with " +
           std::to_string(Number(*placed, "own") + Number(*placed, "others")) +
           " requests at the target.";
  }

  /// What became of the attempts that failed.
  std::string Attempts() const {
    std::string text;
    for (const RequestLogLine& line : m_lines) {
      if (line.event != "attempt-ended") {
        continue;
      }
      text += (text.empty() ? "" : ", then ") + TextField(line, "target") +
              ": " + TextField(line, "why") + " after " +
              Milliseconds(Number(line, "after_ms"));
    }
    return text.empty() ? "no attempt failed before" : text;
  }

  /// Which ends of servers were laid to copies of the request, and by whom.
  std::string OfMark(const std::string& digest) const {
    std::string text;
    for (const RequestLogLine& line : m_trail) {
      if (line.event == "request-marked" &&
          TextField(line, "digest") == digest &&
          TextField(line, "from") == "own") {
        text += " " + line.node + " laid " +
                std::to_string(Number(line, "ends")) + " ends to it: " +
                line.fields.value("servers", Json::array()).dump() + ".";
        break;
      }
    }
    for (const RequestLogLine& line : m_trail) {
      if (line.event == "server-ended" && HadRequest(line, digest)) {
        text += " " + line.node + " had a copy at " +
                TextField(line, "server") + ", which ended (" +
                TextField(line, "evidence") + ").";
      }
    }
    return text;
  }

  /// Whether a line of a server's end names a copy of the request.
  static bool HadRequest(const RequestLogLine& line,
                         const std::string& digest) {
    const auto requests = line.fields.find("requests");
    if (requests == line.fields.end() || !requests->is_array()) {
      return false;
    }
    return std::any_of(requests->begin(), requests->end(),
                       [&digest](const Json& request) {
                         return request.is_object() &&
                                request.value("digest", Json()) == digest;
                       });
  }

  /// What the host that gives orders found of the request's targets.
  std::string OfTargets() const {
    std::string text;
    for (const RequestLogLine& line : Near()) {
      const bool is_close = line.event == "order" &&
                            TextField(line, "order") == "close" &&
                            m_targets.contains(TextField(line, "head"));
      const bool is_health = line.event == "host-health" &&
                             m_targets.contains(TextField(line, "host"));
      if (is_close) {
        text += " The group of " + TextField(line, "head") + " was closed by " +
                line.node + ": " + TextField(line, "why") + ".";
      } else if (is_health) {
        text += " " + line.node + " found " + TextField(line, "host") + " " +
                TextField(line, "health") + ".";
      }
    }
    return text;
  }

  /// How many groups served, as the holder of the lease last counted before.
  std::string Groups(const RequestLogLine& end) const {
    const RequestLogLine* latest = nullptr;
    for (const RequestLogLine& line : m_trail) {
      if (line.event == "groups" && line.time_ms <= end.time_ms &&
          (latest == nullptr || latest->time_ms < line.time_ms)) {
        latest = &line;
      }
    }
    if (latest == nullptr) {
      return "";
    }
    const Json& fields = latest->fields;
    return " " + Milliseconds(end.time_ms - latest->time_ms) + " before, " +
           latest->node + " counted groups serving " +
           fields.value("serving", Json::object()).dump() + ", not serving " +
           fields.value("not_serving", Json::object()).dump() + ", hosts " +
           std::to_string(Number(*latest, "loading")) + " loading and " +
           std::to_string(Number(*latest, "quarantined")) + " held.";
  }

  /// All lines around the request's.
  std::vector<RequestLogLine> Near() const {
    std::vector<RequestLogLine> near;
    const int64_t from = m_lines.front().time_ms - kBeforeMs;
    const int64_t to = m_lines.back().time_ms + kAfterMs;
    for (const RequestLogLine& line : m_trail) {
      if (line.time_ms >= from && line.time_ms <= to) {
        near.push_back(line);
      }
    }
    std::stable_sort(near.begin(), near.end(), Precedes);
    return near;
  }

  bool IsContext(const RequestLogLine& line) const {
    static const std::set<std::string_view> kOfHost = {
        "config",  "store-lost",        "store-returned", "stopping", "started",
        "stopped", "settings-reloaded", "peer-lost",      "peer-back"};
    if (line.event == "host-health" || line.event == "lease-gained" ||
        line.event == "lease-lost") {
      return true;
    }
    if (line.event == "order") {
      return m_targets.contains(TextField(line, "head")) ||
             m_targets.contains(TextField(line, "host"));
    }
    return kOfHost.contains(line.event) && line.node == m_lines.front().node;
  }

  std::vector<RequestLogLine> Context() const {
    std::vector<RequestLogLine> context;
    if (m_lines.empty()) {
      return context;
    }
    for (RequestLogLine& line : Near()) {
      if (IsContext(line)) {
        context.push_back(std::move(line));
      }
    }
    return context;
  }

  std::span<const RequestLogLine> m_trail;
  std::vector<RequestLogLine> m_lines;
  std::set<std::string, std::less<>> m_targets;
};

}  // namespace

std::string TextField(const RequestLogLine& line, const char* field) {
  return line.fields.value(field, "");
}

std::optional<int64_t> NumberField(const RequestLogLine& line,
                                   const char* field) {
  const auto found = line.fields.find(field);
  if (found == line.fields.end() || !found->is_number()) {
    return std::nullopt;
  }
  return found->get<int64_t>();
}

std::vector<RequestLogLine> ReadRequestLog(std::istream& stream) {
  std::vector<RequestLogLine> trail;
  std::string text;
  while (std::getline(stream, text)) {
    const size_t begin = text.find('{');
    if (begin == std::string::npos) {
      continue;
    }
    Json fields = Json::parse(text.substr(begin), nullptr, false);
    if (!fields.is_object() || !fields.contains("event") ||
        !fields["event"].is_string()) {
      continue;
    }
    RequestLogLine line;
    line.event = fields["event"].get<std::string>();
    line.node = fields.value("node", "");
    line.time_ms = fields.value("time_ms", int64_t{0});
    line.at_us = fields.value("at_us", int64_t{0});
    line.fields = std::move(fields);
    trail.push_back(std::move(line));
  }
  return trail;
}

Explanation ExplainRequest(std::span<const RequestLogLine> trail,
                           std::string_view request_id) {
  std::vector<RequestLogLine> lines;
  for (const RequestLogLine& line : trail) {
    if (TextField(line, "request") == request_id) {
      lines.push_back(line);
    }
  }
  std::stable_sort(lines.begin(), lines.end(), Precedes);
  return Explainer(trail, std::move(lines)).Run();
}

std::string FormatRequestLogLine(const RequestLogLine& line) {
  static const std::set<std::string_view> kShownApart = {
      "event", "node", "time_ms", "at_us", "level", "program", "request"};
  std::string text =
      std::to_string(line.time_ms) + " " + line.node + " " + line.event;
  for (const auto& [name, value] : line.fields.items()) {
    if (!kShownApart.contains(name)) {
      text += " " + name + "=" +
              (value.is_string() ? value.get<std::string>() : value.dump());
    }
  }
  return text;
}

}  // namespace filbertrack

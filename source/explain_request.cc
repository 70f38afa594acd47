#include "filbertrack/explain_request.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <set>

#include "filbertrack/base_json.h"
#include "filbertrack/base_result.h"
#include "filbertrack/poison_subject.h"

namespace filbertrack {

namespace {

using Json = nlohmann::json;

/// The lease holder may log the loss of a host this long after the loss
/// affected a request: twice the time that it takes to detect a silent host.
constexpr int64_t kContextAfterMs = 1500;
constexpr int64_t kContextBeforeMs = 500;
/// Numbers up to this are represented exactly by a double.
constexpr double kMaxNumber = 9007199254740992.0;

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

/// Derives the cause and the context of a request from its log lines and the
/// lines of other processes around that time.
class Explainer {
 public:
  Explainer(std::span<const RequestLogLine> log_lines,
            std::vector<RequestLogLine> lines)
      : m_log_lines(log_lines), m_request_lines(std::move(lines)) {
    for (const RequestLogLine& line : m_request_lines) {
      const std::string target = TextField(line, "target");
      if (!target.empty()) {
        m_targets.insert(target);
      }
    }
  }

  Explanation Run() {
    Explanation explanation;
    explanation.cause = DescribeCause();
    explanation.context = Context();
    explanation.lines = std::move(m_request_lines);
    return explanation;
  }

 private:
  const RequestLogLine* FindEndLine() const {
    const RequestLogLine* end = FindLast(m_request_lines, "request");
    return end != nullptr ? end : FindLast(m_request_lines, "refused");
  }

  std::string DescribeCause() const {
    const RequestLogLine* end = FindEndLine();
    if (m_request_lines.empty()) {
      return "No log line names this request. Another host received it, its "
             "lines were dropped (see 'lines-dropped'), or it was never read.";
    }
    if (end == nullptr) {
      return "The final log line of the request is missing: the process "
             "terminated, or the line was dropped.";
    }
    return ExplainCode(*end, static_cast<ResultCode>(Number(*end, "code"))) +
           DescribeTargets();
  }

  std::string ExplainCode(const RequestLogLine& end, ResultCode code) const {
    switch (code) {
      case ResultCode::kOk:
        return ExplainAnswer(end);
      case ResultCode::kNoServingGroup:
        return DescribeRefusal(end) + ": no group served model '" +
               TextField(end, "model") + "'." + DescribeServingGroups(end);
      case ResultCode::kOverloaded:
        return DescribeRefusal(end) +
               ": the best candidate target was predicted to answer after " +
               Milliseconds(Number(end, "predicted_ms")) +
               ", the target latency is " +
               Milliseconds(Number(end, "aim_ms")) +
               "; the caller was told to retry after " +
               Milliseconds(Number(end, "retry_after_ms")) + "." +
               DescribePlacement(end) + DescribeServingGroups(end);
      case ResultCode::kServersBackingOff:
        return DescribeRefusal(end) +
               ": every remaining server had asked for fewer requests or "
               "none; the caller was told to retry after " +
               Milliseconds(Number(end, "retry_after_ms")) + "." +
               DescribeServingGroups(end);
      case ResultCode::kEvacuated:
        return DescribeRefusal(end) +
               ": the servers that could answer are in data centres that the "
               "operator has evacuated; the `evacuations` lines show since "
               "when.";
      case ResultCode::kNoServerInRegions:
        return DescribeRefusal(end) +
               ": no server is in a region that the route and the workspace "
               "both allow.";
      case ResultCode::kAttemptRefused:
        return DescribeRefusal(end) + " after " +
               std::to_string(Number(end, "sends")) +
               " attempts: " + DescribeFailedAttempts() +
               "; no further retry was left or allowed.";
      case ResultCode::kUpstreamFailed:
      case ResultCode::kStreamInterrupted:
        return "Ended without a complete answer: " + DescribeFailedAttempts() +
               "; it could not be retried or resumed.";
      case ResultCode::kDeadlinePassed:
        return "Its deadline passed after " +
               Milliseconds(Number(end, "total_ms")) + ". " +
               DescribeFailedAttempts() + "." + DescribePlacement(end);
      case ResultCode::kCallerDisconnected:
        return "The caller disconnected after " +
               Milliseconds(Number(end, "total_ms")) +
               "; the first event came after " +
               Milliseconds(Number(end, "first_ms")) + ".";
      case ResultCode::kRequestEndsServers:
        return DescribeRefusal(end) + ": servers terminated while executing " +
               DescribeBlockedRequests(TextField(end, "digest")) + "." +
               DescribeServerEnds(TextField(end, "digest"));
      default:
        return std::string(ResultCodeInfo(code).meaning) +
               " The configuration was " +
               std::to_string(Number(end, "config")) + ".";
    }
  }

  /// Describes how the request failed, by its logged outcome. Only `not-run` is
  /// called a refusal: otherwise the request may have been executed.
  static std::string DescribeRefusal(const RequestLogLine& end) {
    const std::string outcome = TextField(end, "outcome");
    return outcome == OutcomeName(Outcome::kNotRun)
               ? "Refused as not run"
               : "Failed, outcome " +
                     (outcome.empty() ? "not logged" : outcome);
  }

  std::string ExplainAnswer(const RequestLogLine& end) const {
    const int64_t first = Number(end, "first_ms");
    const int64_t target_latency = Number(end, "aim_ms");
    if (Number(end, "sends") > 1) {
      return "Answered by attempt " + std::to_string(Number(end, "sends")) +
             ": " + DescribeFailedAttempts() + ".";
    }
    if (target_latency == 0 || first <= target_latency) {
      return "Answered in time: the first event came after " +
             Milliseconds(first) +
             ". If it was late, the delay was a pause between later events.";
    }
    const RequestLogLine* placed = FindFirst(m_request_lines, "placed");
    if (placed == nullptr) {
      return "Late: the first event came after " + Milliseconds(first) + ".";
    }
    return "Late: the first event came after " + Milliseconds(first) +
           ", where " + Milliseconds(Number(*placed, "predicted_ms")) +
           " were predicted, with " +
           std::to_string(Number(*placed, "own") + Number(*placed, "others")) +
           " requests at the target." + DescribePlacement(*placed);
  }

  /// Describes who placed the request and how long it waited for that. Empty
  /// where placement was off.
  static std::string DescribePlacement(const RequestLogLine& line) {
    if (!line.fields.contains("by")) {
      return "";
    }
    const std::string placer = TextField(line, "by");
    const int64_t waited = Number(line, "waited_ms");
    const int64_t position = Number(line, "position");
    std::string text =
        placer.empty()
            ? " Its entry host decided by reported loads, since no placer did"
            : " The placer " + placer + " decided";
    text += " after " + Milliseconds(waited);
    if (position > 0) {
      text += "; the request waited in the queue, last at position " +
              std::to_string(position);
    }
    return text + ".";
  }

  /// Lists the failed attempts in order: target, reason and duration of each.
  std::string DescribeFailedAttempts() const {
    std::string text;
    for (const RequestLogLine& line : m_request_lines) {
      if (line.event != "attempt-ended") {
        continue;
      }
      text += (text.empty() ? "" : ", then ") + TextField(line, "target") +
              ": " + TextField(line, "why") + " after " +
              Milliseconds(Number(line, "after_ms"));
    }
    return text.empty() ? "no attempt was logged as failed" : text;
  }

  /// The requests that a block applies to.
  static std::string DescribeBlockedRequests(const std::string& block) {
    return ParsePoisonSubject(block).is_whole_request()
               ? "copies of it"
               : "requests whose prompts have " + block;
  }

  /// Lists the server terminations attributed to the requests of a block: the
  /// entry host that decided to block them, then each host that had sent one of
  /// them to a server that terminated.
  std::string DescribeServerEnds(const std::string& digest) const {
    std::string text;
    for (const RequestLogLine& line : m_log_lines) {
      if (line.event == "request-marked" &&
          TextField(line, "digest") == digest &&
          TextField(line, "from") == "own") {
        text += " " + line.node + " attributed " +
                std::to_string(Number(line, "ends")) +
                " server terminations to it: " +
                line.fields.value("servers", Json::array()).dump() + ".";
        break;
      }
    }
    for (const RequestLogLine& line : m_log_lines) {
      if (line.event == "server-ended" && NamesRequest(line, digest)) {
        text += " " + line.node + " had sent a copy to " +
                TextField(line, "server") + ", which terminated (" +
                TextField(line, "evidence") + ").";
      }
    }
    return text;
  }

  /// Whether a "server-ended" line lists a request that this block applies to:
  /// one with this digest, or with all of the parts that it names.
  static bool NamesRequest(const RequestLogLine& line,
                           const std::string& block) {
    const PoisonSubject subject = ParsePoisonSubject(block);
    const auto requests = line.fields.find("requests");
    if (requests == line.fields.end() || !requests->is_array()) {
      return false;
    }
    return std::any_of(
        requests->begin(), requests->end(),
        [&subject, &block](const Json& request) {
          if (!request.is_object()) {
            return false;
          }
          if (subject.is_whole_request()) {
            return request.value("digest", Json()) == block;
          }
          const Json parts = request.value("parts", Json::array());
          return std::all_of(subject.parts.begin(), subject.parts.end(),
                             [&parts](const PromptPart& part) {
                               return std::find(parts.begin(), parts.end(),
                                                part) != parts.end();
                             });
        });
  }

  /// Describes what controllers logged about the request's targets around that
  /// time: groups that were closed, and the health of hosts.
  std::string DescribeTargets() const {
    std::string text;
    for (const RequestLogLine& line : LinesAround()) {
      const bool is_group_close = line.event == "order" &&
                                  TextField(line, "order") == "close" &&
                                  m_targets.contains(TextField(line, "head"));
      const bool is_health = line.event == "host-health" &&
                             m_targets.contains(TextField(line, "host"));
      if (is_group_close) {
        text += " The group of " + TextField(line, "head") + " was closed by " +
                line.node + ": " + TextField(line, "why") + ".";
      } else if (is_health) {
        text += " " + line.node + " reported " + TextField(line, "host") +
                " as " + TextField(line, "health") + ".";
      }
    }
    return text;
  }

  /// Describes the latest "groups" line before the end of the request: how many
  /// groups of each model the lease holder counted as serving. Empty if there
  /// is none.
  std::string DescribeServingGroups(const RequestLogLine& end) const {
    const RequestLogLine* latest = nullptr;
    for (const RequestLogLine& line : m_log_lines) {
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
           fields.value("not_serving", Json::object()).dump() +
           ", hosts: " + std::to_string(Number(*latest, "loading")) +
           " loading and " + std::to_string(Number(*latest, "quarantined")) +
           " quarantined.";
  }

  /// Returns the lines of all hosts from shortly before the first line of the
  /// request until shortly after its last.
  std::vector<RequestLogLine> LinesAround() const {
    std::vector<RequestLogLine> around;
    const int64_t from = m_request_lines.front().time_ms - kContextBeforeMs;
    const int64_t to = m_request_lines.back().time_ms + kContextAfterMs;
    for (const RequestLogLine& line : m_log_lines) {
      if (line.time_ms >= from && line.time_ms <= to) {
        around.push_back(line);
      }
    }
    std::stable_sort(around.begin(), around.end(), Precedes);
    return around;
  }

  bool IsContext(const RequestLogLine& line) const {
    static const std::set<std::string_view> kHostEvents = {
        "config",    "store-lost",        "store-returned",    "stopping",
        "started",   "stopped",           "settings-reloaded", "peer-lost",
        "peer-back", "placement-fallback"};
    if (line.event == "host-health" || line.event == "lease-gained" ||
        line.event == "lease-lost" || line.event == "placement-role") {
      return true;
    }
    if (line.event == "order") {
      return m_targets.contains(TextField(line, "head")) ||
             m_targets.contains(TextField(line, "host"));
    }
    return kHostEvents.contains(line.event) &&
           line.node == m_request_lines.front().node;
  }

  std::vector<RequestLogLine> Context() const {
    std::vector<RequestLogLine> context;
    if (m_request_lines.empty()) {
      return context;
    }
    for (RequestLogLine& line : LinesAround()) {
      if (IsContext(line)) {
        context.push_back(std::move(line));
      }
    }
    return context;
  }

  std::span<const RequestLogLine> m_log_lines;
  std::vector<RequestLogLine> m_request_lines;
  std::set<std::string, std::less<>> m_targets;
};

}  // namespace

std::string TextField(const RequestLogLine& line, const char* field) {
  const auto found = line.fields.find(field);
  return found != line.fields.end() && found->is_string()
             ? found->get<std::string>()
             : "";
}

std::optional<int64_t> NumberField(const RequestLogLine& line,
                                   const char* field) {
  const auto found = line.fields.find(field);
  // Converting a number that the type cannot represent is undefined.
  const bool is_representable = found != line.fields.end() &&
                                found->is_number() &&
                                std::abs(found->get<double>()) < kMaxNumber;
  return is_representable ? std::optional(found->get<int64_t>()) : std::nullopt;
}

std::vector<RequestLogLine> ReadRequestLog(std::istream& stream) {
  std::vector<RequestLogLine> log_lines;
  std::string text;
  while (std::getline(stream, text)) {
    const size_t begin = text.find('{');
    if (begin == std::string::npos) {
      continue;
    }
    RequestLogLine line;
    line.fields =
        ParseJson(std::string_view(text).substr(begin)).value_or(Json());
    line.event = TextField(line, "event");
    if (line.event.empty()) {
      continue;
    }
    line.node = TextField(line, "node");
    line.time_ms = NumberField(line, "time_ms").value_or(0);
    line.at_us = NumberField(line, "at_us").value_or(0);
    log_lines.push_back(std::move(line));
  }
  return log_lines;
}

Explanation ExplainRequest(std::span<const RequestLogLine> log_lines,
                           std::string_view request_id) {
  std::vector<RequestLogLine> lines;
  for (const RequestLogLine& line : log_lines) {
    if (TextField(line, "request") == request_id) {
      lines.push_back(line);
    }
  }
  std::stable_sort(lines.begin(), lines.end(), Precedes);
  return Explainer(log_lines, std::move(lines)).Run();
}

std::string FormatRequestLogLine(const RequestLogLine& line) {
  static const std::set<std::string_view> kOmittedFields = {
      "event", "node", "time_ms", "at_us", "level", "program", "request"};
  std::string text =
      std::to_string(line.time_ms) + " " + line.node + " " + line.event;
  for (const auto& [name, value] : line.fields.items()) {
    if (!kOmittedFields.contains(name)) {
      text += " " + name + "=" +
              (value.is_string() ? value.get<std::string>() : value.dump());
    }
  }
  return text;
}

}  // namespace filbertrack

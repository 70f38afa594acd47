#include "filbertrack/explain_account.h"

#include <algorithm>
#include <limits>
#include <optional>

#include "filbertrack/base_result.h"

namespace filbertrack {

namespace {

/// Cap on the logged age of other hosts' loads. Before the first loads arrive
/// the age is counted from the clock's origin, which would distort the mean.
constexpr int64_t kMaxLoadsAgeMs = 60'000;

ResultCode Code(const RequestLogLine& line) {
  return static_cast<ResultCode>(NumberField(line, "code").value_or(0));
}

/// Whether the request counts towards the report. Requests that are
/// unauthorized or invalid are the caller's error and no loss.
bool IsCounted(ResultCode code) {
  return code != ResultCode::kUnauthorized && code != ResultCode::kNotFound &&
         code != ResultCode::kBadRequest && code != ResultCode::kBodyTooLarge;
}

bool IsEnd(const RequestLogLine& line) {
  return line.event == "request" || line.event == "refused";
}

/// The first "placed" and "attempt-ended" lines of one request; null if the
/// logs contain none.
struct AttemptLines {
  const RequestLogLine* first_placed = nullptr;
  const RequestLogLine* first_failed = nullptr;
};

class LossAttributor {
 public:
  LossAttributor(std::span<const RequestLogLine> log_lines,
                 const LossReportPolicy& policy)
      : m_log_lines(log_lines), m_policy(policy) {}

  LossReport Run() {
    IndexAttemptLines();
    for (const RequestLogLine& line : m_log_lines) {
      if (IsEnd(line) && IsCounted(Code(line))) {
        AddRequest(line);
      }
    }
    for (auto& [key, row] : m_rows) {
      if (row.requests > 0) {
        row.loads_age_ms /= row.requests;
        row.predicted_ms /= row.requests;
      }
      m_report.lost += row.lost;
      m_report.rows.push_back(std::move(row));
    }
    return std::move(m_report);
  }

 private:
  void IndexAttemptLines() {
    for (const RequestLogLine& line : m_log_lines) {
      AttemptLines& attempts = m_attempt_lines[TextField(line, "request")];
      if (line.event == "placed" && attempts.first_placed == nullptr) {
        attempts.first_placed = &line;
      } else if (line.event == "attempt-ended" &&
                 attempts.first_failed == nullptr) {
        attempts.first_failed = &line;
      } else if (IsEnd(line)) {
        m_first_end_ms = std::min(m_first_end_ms, line.time_ms);
      }
    }
  }

  static bool IsOnTime(const RequestLogLine& line) {
    const int64_t target_latency = NumberField(line, "aim_ms").value_or(0);
    return target_latency == 0 ||
           NumberField(line, "first_ms").value_or(0) <= target_latency;
  }

  static bool HasLongPause(const RequestLogLine& line) {
    return NumberField(line, "pause_ms").value_or(0) >
           NumberField(line, "pause_aim_ms")
               .value_or(std::numeric_limits<int64_t>::max());
  }

  static bool IsAnswered(const RequestLogLine& line) {
    constexpr int64_t kFirstError = 400;
    const int64_t status = NumberField(line, "status").value_or(0);
    return Code(line) == ResultCode::kOk && status < kFirstError;
  }

  void AddRequest(const RequestLogLine& line) {
    ++m_report.total_requests;
    if (!IsAnswered(line)) {
      AddLoss(line, CauseOfFailure(line), 1);
    } else if (!IsOnTime(line) || HasLongPause(line)) {
      AddLoss(line, CauseOfLateness(line), 1 - m_policy.late_share);
    } else {
      ++m_report.on_time;
    }
  }

  std::string CauseOfFailure(const RequestLogLine& line) const {
    const ResultCode code = Code(line);
    if (code == ResultCode::kOk) {
      return "error of the backend server";
    }
    if (code == ResultCode::kUpstreamFailed ||
        code == ResultCode::kStreamInterrupted) {
      return "broken off: " + FirstFailure(line);
    }
    return "refused or ended: " + std::string(ResultCodeInfo(code).name);
  }

  std::string FirstFailure(const RequestLogLine& line) const {
    const auto attempts = m_attempt_lines.find(TextField(line, "request"));
    const bool is_known = attempts != m_attempt_lines.end() &&
                          attempts->second.first_failed != nullptr;
    return is_known ? TextField(*attempts->second.first_failed, "why")
                    : "not told";
  }

  std::string CauseOfLateness(const RequestLogLine& line) const {
    if (NumberField(line, "sends").value_or(0) > 1) {
      return std::string(IsOnTime(line) ? "late by a pause" : "late at first") +
             ", moved: " + FirstFailure(line);
    }
    if (IsOnTime(line)) {
      return "late by a pause of its group";
    }
    const auto attempts = m_attempt_lines.find(TextField(line, "request"));
    if (attempts == m_attempt_lines.end() ||
        attempts->second.first_placed == nullptr) {
      return "late at first, decision not told";
    }
    const RequestLogLine& placed = *attempts->second.first_placed;
    const bool predicted_late =
        NumberField(placed, "predicted_ms").value_or(0) >
        NumberField(line, "aim_ms").value_or(0);
    return predicted_late ? "late at first, as predicted"
                          : "late at first, against the prediction";
  }

  void AddLoss(const RequestLogLine& line, std::string cause, double lost) {
    const int64_t window = (line.time_ms - m_first_end_ms) /
                           m_policy.window_ms * m_policy.window_ms;
    const std::string route = TextField(line, "route");
    LossRow& row = m_rows[{cause, route, window}];
    row.cause = std::move(cause);
    row.route = route;
    row.model = TextField(line, "model");
    row.window_start_ms = window;
    ++row.requests;
    row.lost += lost;
    const auto attempts = m_attempt_lines.find(TextField(line, "request"));
    const bool placed = attempts != m_attempt_lines.end() &&
                        attempts->second.first_placed != nullptr;
    const RequestLogLine& decision =
        placed ? *attempts->second.first_placed : line;
    const int64_t age = NumberField(decision, "loads_age_ms").value_or(0);
    row.loads_age_ms += static_cast<double>(std::min(age, kMaxLoadsAgeMs));
    row.predicted_ms +=
        static_cast<double>(NumberField(decision, "predicted_ms").value_or(0));
  }

  std::span<const RequestLogLine> m_log_lines;
  LossReportPolicy m_policy;
  std::map<std::string, AttemptLines, std::less<>> m_attempt_lines;
  int64_t m_first_end_ms = std::numeric_limits<int64_t>::max();
  std::map<std::tuple<std::string, std::string, int64_t>, LossRow> m_rows;
  LossReport m_report;
};

}  // namespace

LossReport AttributeLosses(std::span<const RequestLogLine> log_lines,
                           const LossReportPolicy& policy) {
  return LossAttributor(log_lines, policy).Run();
}

std::vector<LossRow> SumLosses(std::span<const LossRow> rows,
                               std::string LossRow::*field) {
  std::map<std::string, LossRow> sums;
  for (const LossRow& row : rows) {
    LossRow& sum = sums[row.*field];
    sum.*field = row.*field;
    const double requests = sum.requests + row.requests;
    const double weight = row.requests / std::max(1.0, requests);
    sum.loads_age_ms += weight * (row.loads_age_ms - sum.loads_age_ms);
    sum.predicted_ms += weight * (row.predicted_ms - sum.predicted_ms);
    sum.requests += row.requests;
    sum.lost += row.lost;
  }
  std::vector<LossRow> sorted;
  sorted.reserve(sums.size());
  for (auto& [key, sum] : sums) {
    sorted.push_back(std::move(sum));
  }
  std::stable_sort(sorted.begin(), sorted.end(),
                   [](const LossRow& left, const LossRow& right) {
                     return left.lost > right.lost;
                   });
  return sorted;
}

}  // namespace filbertrack

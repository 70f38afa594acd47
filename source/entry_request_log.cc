#include "entry_request_log.h"

#include <nlohmann/json.hpp>

#include "filbertrack/log.h"

namespace filbertrack {

namespace {

void AddPlacement(nlohmann::json& fields,
                  const std::optional<RequestPlacement>& placement) {
  if (!placement) {
    return;
  }
  fields["by"] = placement->by;
  fields["waited_ms"] = ToMilliseconds(placement->waited);
  if (placement->position > 0) {
    fields["position"] = placement->position;
  }
}

}  // namespace

void LogPlaced(const PlacedLogLine& line) {
  if (!IsLogged(LogLevel::kInfo)) {
    return;
  }
  const DispatchChoice& choice = line.choice;
  nlohmann::json fields = {
      {"request", line.request.facts.request_id},
      {"target", choice.target.id},
      {"model", line.request.facts.model},
      {"send", line.send},
      {"predicted_ms", ToMilliseconds(choice.predicted)},
      {"aim_ms", ToMilliseconds(line.request.route->target_latency)},
      {"own", choice.own_requests},
      {"others", choice.other_requests},
      {"loads_age_ms", ToMilliseconds(choice.loads_age)},
      {"servers", line.servers_revision},
      {"servers_age_ms", ToMilliseconds(line.servers_age)},
      {"config", line.request.catalog->version()}};
  if (line.resumes_at) {
    fields["resumes_at"] = *line.resumes_at;
  }
  if (line.rate_limit) {
    fields["rate_limit"] = *line.rate_limit;
  }
  AddPlacement(fields, line.placement);
  Log(LogLevel::kInfo, "placed", fields);
}

void LogForwarded(const EntryRequest& request, std::string_view host) {
  Log(LogLevel::kInfo, "forwarded",
      {{"request", request.facts.request_id}, {"to", host}});
}

void LogAttemptEnded(const AttemptEndedLogLine& line) {
  if (!IsLogged(LogLevel::kInfo)) {
    return;
  }
  nlohmann::json fields = {{"request", line.request.facts.request_id},
                           {"target", line.target},
                           {"why", line.why},
                           {"status", line.status},
                           {"after_ms", ToMilliseconds(line.after)},
                           {"silent_ms", ToMilliseconds(line.since_last_byte)}};
  if (line.backoff) {
    fields["rest_ms"] = ToMilliseconds(*line.backoff);
  }
  if (!line.digest.empty()) {
    fields["digest"] = line.digest;
  }
  Log(LogLevel::kInfo, "attempt-ended", fields);
}

void LogRequest(const RequestEndLogLine& line) {
  if (!IsLogged(LogLevel::kInfo)) {
    return;
  }
  const EntryRequest& request = line.request;
  nlohmann::json fields = {
      {"request", request.facts.request_id},
      {"route", request.route->name},
      {"model", request.facts.model},
      {"workspace", request.workspace},
      {"config", request.catalog->version()},
      {"target", line.target},
      {"sends", line.sends},
      {"code", static_cast<int>(line.end.code)},
      {"status", line.end.status},
      {"outcome", OutcomeName(line.end.outcome)},
      {"aim_ms", ToMilliseconds(request.route->target_latency)},
      {"first_ms", ToMilliseconds(line.first_event)},
      {"total_ms", ToMilliseconds(line.total)}};
  if (request.facts.time_left) {
    fields["left_ms"] = ToMilliseconds(*request.facts.time_left);
  }
  if (request.facts.prompt_tokens > 0) {
    fields["prompt_tokens"] = request.facts.prompt_tokens;
  }
  if (line.longest_pause && request.route->longest_pause > Duration(0)) {
    fields["pause_ms"] = ToMilliseconds(*line.longest_pause);
    fields["pause_aim_ms"] = ToMilliseconds(request.route->longest_pause);
  }
  if (line.retry_after) {
    fields["retry_after_ms"] = ToMilliseconds(*line.retry_after);
  }
  if (line.refused_prediction) {
    fields["predicted_ms"] = ToMilliseconds(*line.refused_prediction);
    fields["loads_age_ms"] = ToMilliseconds(line.loads_age);
  }
  if (!line.blocked_by.empty()) {
    fields["digest"] = line.blocked_by;
  }
  if (!line.forwarded_to.empty()) {
    fields["forwarded_to"] = line.forwarded_to;
  }
  if (request.forwarded) {
    fields["forwarded_from"] = request.forwarded->host;
  }
  AddPlacement(fields, line.placement);
  Log(LogLevel::kInfo, "request", fields);
}

}  // namespace filbertrack

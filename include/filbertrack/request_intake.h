#pragma once

/// Parses a caller's HTTP request into a typed request or an error. Nothing has
/// been sent to a backend server at this stage, so the outcome of each of these
/// errors is `not-run`.

#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "filbertrack/base_result.h"
#include "filbertrack/base_time.h"
#include "filbertrack/config_resources.h"

namespace filbertrack {

inline constexpr std::string_view kChatPath = "/v1/chat/completions";
inline constexpr std::string_view kServicePathPrefix = "/services/";

/// The relevant parts of an HTTP request, exactly as the caller sent them.
struct RawRequest {
  bool is_post = false;
  /// GET or HEAD, which may be repeated unless the caller forbids it.
  bool is_read = false;
  std::string_view target;
  std::string_view authorization;
  std::string_view idempotency_key;
  /// "true" or "false"; empty selects the default of the request type.
  std::string_view idempotent;
  /// Milliseconds from arrival; empty selects the default.
  std::string_view deadline_ms;
  std::string_view body;
};

struct IntakePolicy {
  Duration default_deadline = Seconds(60);
  Duration max_deadline = Seconds(600);
  size_t max_key_bytes = 200;
};

/// A valid request from a known workspace.
struct CallerRequest {
  // Copies, because the configuration may be replaced while the request runs.
  std::string workspace;
  int priority = 0;
  std::string service;
  ServiceType service_type = ServiceType::kModel;
  std::string adapter;
  bool streaming = false;
  bool idempotent = false;
  std::string idempotency_key;
  TimePoint arrived;
  TimePoint deadline;
  /// Hash of the first message, which requests of the same kind share.
  std::string prefix;
  /// Model requests only.
  nlohmann::json body;
  /// Plain requests only: the path and query after the service's name.
  std::string service_target;
};

Result<CallerRequest> ReadCallerRequest(const RawRequest& raw,
                                        const Resources& resources,
                                        const IntakePolicy& policy,
                                        TimePoint now);

/// Returns the body to send to a group. A `resume_from` other than 0 is the
/// number of tokens that the caller has already received.
std::string BodyForAttempt(const CallerRequest& request, uint64_t resume_from);

/// Returns the JSON body of an error response.
std::string RefusalBody(ResultCode code,
                        Outcome outcome,
                        std::string_view request_id);

}  // namespace filbertrack

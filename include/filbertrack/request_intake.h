#pragma once

/// Reads what a caller sent into a typed request, or into the refusal that it
/// gets. Nothing here leaves this host, so each refusal is `not-run`.

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

/// The parts of an HTTP request that matter, as the caller wrote them.
struct RawRequest {
  bool is_post = false;
  /// GET and HEAD may be repeated unless the caller says otherwise.
  bool is_read = false;
  std::string_view target;
  std::string_view authorization;
  std::string_view idempotency_key;
  /// "true" or "false"; empty: the default of the kind of request.
  std::string_view idempotent;
  /// Milliseconds from now; empty: the default.
  std::string_view deadline_ms;
  std::string_view body;
};

struct IntakePolicy {
  Duration default_deadline = Seconds(60);
  Duration max_deadline = Seconds(600);
  size_t max_key_bytes = 200;
};

/// A request that is understood and whose workspace is known.
struct CallerRequest {
  // Copies, because a newer configuration may come in force meanwhile.
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
  /// Hash of the first message, which requests of one kind share.
  std::string prefix;
  /// Model requests only.
  nlohmann::json body;
  /// Plain requests only: the path and query behind the service's name.
  std::string service_target;
};

Result<CallerRequest> ReadCallerRequest(const RawRequest& raw,
                                        const Resources& resources,
                                        const IntakePolicy& policy,
                                        TimePoint now);

/// The body that goes to a group: with the tokens that the caller has already.
std::string BodyForAttempt(const CallerRequest& request, uint64_t resume_from);

/// The body of a refusal.
std::string RefusalBody(ResultCode code,
                        Outcome outcome,
                        std::string_view request_id);

}  // namespace filbertrack

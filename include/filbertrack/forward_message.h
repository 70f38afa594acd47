#pragma once

/// Header fields of the requests that entry hosts forward to each other, and of
/// their refusals. The request itself, its method, target, header fields and
/// body, is forwarded as the caller sent it.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "filbertrack/base_result.h"
#include "filbertrack/base_time.h"

namespace filbertrack {

/// Field of a forwarded request.
inline constexpr std::string_view kForwardedHeader = "Filbert-Forwarded";
/// Field of a response in which the receiving host itself refuses the request.
inline constexpr std::string_view kForwardRefusalHeader =
    "Filbert-Forward-Refusal";

struct ForwardedCall {
  /// Entry host that took the request from the caller.
  std::string from;
  /// Time since that host received it.
  Duration age{0};
  /// Time until the deadline.
  Duration time_left{0};
  /// Servers that may still run the request: at least 1.
  int attempts = 1;
  /// Version of the configuration by which it was admitted.
  uint64_t config_version = 0;
  /// Id of the last event of a stream that the caller has; nullopt: none.
  std::optional<uint64_t> last_event;
};

/// What authenticates a forwarded request: the shared secret of the entry
/// hosts, the process that it is meant for, and its content.
struct ForwardedContent {
  std::string_view secret;
  std::string_view token;
  std::string_view method;
  std::string_view target;
  std::string_view request_id;
  std::string_view body;
};

std::string EncodeForwardedCall(const ForwardedCall& call,
                                const ForwardedContent& content);

/// Fails with kBadRequest if the text is malformed or a number out of range,
/// and with kUnauthorized if it does not authenticate the content.
Result<ForwardedCall> DecodeForwardedCall(std::string_view text,
                                          const ForwardedContent& content);

struct ForwardRefusal {
  ResultCode code = ResultCode::kInternal;
  Outcome outcome = Outcome::kUnknown;
  /// Servers that may have run the request.
  int attempts = 0;
  std::optional<Duration> retry_after;
};

std::string EncodeForwardRefusal(const ForwardRefusal& refusal);

/// Fails with kBadRequest.
Result<ForwardRefusal> DecodeForwardRefusal(std::string_view text);

/// Whether another entry host may accept a request that was refused with this
/// code: the reason is a state of the host that refused it.
bool MayBeAcceptedElsewhere(ResultCode code);

}  // namespace filbertrack

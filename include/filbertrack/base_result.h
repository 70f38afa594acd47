#pragma once

/// Numbered result codes, the error type, and whether a rejected request ran.
/// tests/base_test.cc checks docs/RESULT_CODES.md against ResultCodeTable().

#include <span>
#include <string>
#include <string_view>
#include <utility>

#include <tl/expected.hpp>

namespace filbertrack {

/// The result of an operation. The numbers are stable: they appear in response
/// bodies and logs and, below 100, as exit codes.
enum class ResultCode : int {
  kOk = 0,
  kInternal = 1,
  kUsage = 2,
  kSettingsInvalid = 3,
  kConflict = 4,
  kStoreUnavailable = 5,
  kNotInForce = 6,
  kResourceInvalid = 7,
  kNotFound = 8,
  kUnauthorized = 100,
  kUnknownModel = 101,
  kBodyTooLarge = 102,
  kBadRequest = 103,
  kDeadlinePassed = 104,
  kOverEntitlement = 105,
  kOverloaded = 106,
  kNoServingGroup = 107,
  kUpstreamFailed = 108,
  kAttemptRefused = 109,
  kStreamInterrupted = 110,
  kKeyInProgress = 111,
  kKeyOutcomeUnknown = 112,
  kKeyReused = 113,
  kKeyAnswerGone = 114,
  kKeyStoreUnavailable = 115,
  kDraining = 116,
  kCallerDisconnected = 117,
  kConfigMayBeStale = 118,
  kRequestEndsServers = 119,
  kServersBackingOff = 120,
  kEvacuated = 121,
  kNoServerInRegions = 122,
  kServersUnreachable = 123,
};

/// One row of the table of result codes.
struct ResultCodeRow {
  ResultCode code;
  std::string_view name;
  int http_status;  ///< 0 if the code is never sent to a caller.
  std::string_view meaning;
};

std::span<const ResultCodeRow> ResultCodeTable();
const ResultCodeRow& ResultCodeInfo(ResultCode code);

/// Whether a rejected request ran. `kNotRun` is reported only if that is
/// certain: no byte that could start the work left this host, or the backend
/// server reported that it did not start it.
enum class Outcome { kNotRun, kUnknown, kRan };

std::string_view OutcomeName(Outcome outcome);

/// An error for a caller or operator. `message` is a sentence that quotes the
/// invalid value and states what is allowed.
struct Error {
  ResultCode code = ResultCode::kInternal;
  std::string message;
};

template <typename T>
using Result = tl::expected<T, Error>;

inline tl::unexpected<Error> Fail(ResultCode code, std::string message) {
  return tl::unexpected<Error>(Error{code, std::move(message)});
}

/// Passes on the error of another result.
inline tl::unexpected<Error> Fail(Error error) {
  return tl::unexpected<Error>(std::move(error));
}

}  // namespace filbertrack

#include "filbertrack/base_result.h"

#include <algorithm>
#include <array>

namespace filbertrack {

namespace {

using enum ResultCode;

constexpr auto kTable = std::to_array<ResultCodeRow>({
    {kOk, "ok", 200, "The operation took effect."},
    {kInternal, "internal", 500, "A fault of filbertrack itself."},
    {kUsage, "usage", 0, "The command line cannot be understood."},
    {kSettingsInvalid, "settings-invalid", 0,
     "A settings file has an unknown key or a value out of range."},
    {kConflict, "conflict", 0, "Another operator's change came first."},
    {kStoreUnavailable, "store-unavailable", 0,
     "The platform's object API gave no answer in time."},
    {kNotInForce, "not-in-force", 0,
     "The change was accepted and is not yet in force on every entry host."},
    {kResourceInvalid, "resource-invalid", 0,
     "A declared resource breaks a rule; nothing of the change was applied."},
    {kNotFound, "not-found", 404, "There is no such path or resource."},
    {kUnauthorized, "unauthorized", 401, "The key names no workspace."},
    {kUnknownModel, "unknown-model", 404,
     "No model or adapter of that name is declared for this workspace."},
    {kBodyTooLarge, "body-too-large", 413, "The request is over the limit."},
    {kBadRequest, "bad-request", 400, "The request cannot be understood."},
    {kDeadlinePassed, "deadline-passed", 504,
     "The caller's deadline passed before the answer was whole."},
    {kOverEntitlement, "over-entitlement", 429,
     "The workspace uses all it is entitled to; Retry-After says when."},
    {kOverloaded, "overloaded", 503,
     "The answer would miss its deadline; Retry-After says when to return."},
    {kNoServingGroup, "no-serving-group", 503,
     "No whole group serves the model now."},
    {kUpstreamFailed, "upstream-failed", 502,
     "The backend server failed and the request may not be sent again."},
    {kAttemptRefused, "attempt-refused", 503,
     "Every backend server that was asked said that it did not run it."},
    {kStreamInterrupted, "stream-interrupted", 502,
     "A started stream could not be finished on any group."},
    {kKeyInProgress, "key-in-progress", 409,
     "A request with this idempotency key is running."},
    {kKeyOutcomeUnknown, "key-outcome-unknown", 409,
     "A request with this idempotency key may have run; it is not repeated."},
    {kKeyReused, "key-reused", 422,
     "This idempotency key was used for a different request."},
    {kKeyAnswerGone, "key-answer-gone", 409,
     "The request with this key ran; its answer was too large to be kept."},
    {kKeyStoreUnavailable, "key-store-unavailable", 503,
     "The idempotency key cannot be recorded now, so nothing was run."},
    {kDraining, "draining", 503, "This entry host is stopping."},
    {kCallerDisconnected, "caller-gone", 499,
     "The caller closed its connection."},
    {kConfigMayBeStale, "may-be-behind", 503,
     "This entry host may not have the configuration that is in force."},
    {kRequestEndsServers, "ends-servers", 503,
     "Backend servers end while they run this request; do not send it again as "
     "it is."},
    {kServersBackingOff, "servers-hold-off", 503,
     "Every backend server that is left has asked for fewer requests or none; "
     "Retry-After says when to return."},
    {kEvacuated, "evacuated", 503,
     "The data centres whose servers could answer are evacuated by the "
     "operator."},
    {kNoServerInRegions, "no-server-in-regions", 503,
     "No server answers this in the regions to which the route or the "
     "workspace is bound."},
    {kServersUnreachable, "servers-unreachable", 503,
     "This entry host reaches no backend server, and no other entry host took "
     "the request."},
});

}  // namespace

std::span<const ResultCodeRow> ResultCodeTable() {
  return kTable;
}

const ResultCodeRow& ResultCodeInfo(ResultCode code) {
  const auto row = std::find_if(
      kTable.begin(), kTable.end(),
      [code](const ResultCodeRow& entry) { return entry.code == code; });
  return row == kTable.end() ? kTable[1] : *row;
}

std::string_view OutcomeName(Outcome outcome) {
  switch (outcome) {
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kUnknown:
      return "unknown";
    case Outcome::kRan:
      return "ran";
  }
  return "unknown";
}

}  // namespace filbertrack

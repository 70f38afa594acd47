#pragma once

/// Decides which requests with an idempotency key may run. A key is claimed
/// before its request is sent to any backend server. At most one claim of a key
/// is granted, unless the granted one is known not to have run.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <nlohmann/json.hpp>

#include "filbertrack/base_result.h"

namespace filbertrack {

/// Asks for permission to run the request with this key.
struct KeyClaim {
  std::string key;  ///< Hash of workspace and idempotency key.
  std::string claim_id;
  std::string node;  ///< Entry host that wants to run it.
  uint64_t incarnation = 0;
  /// Hash of the request, used to reject a key that is reused for a different
  /// request.
  std::string fingerprint;
};

/// Records the outcome of a granted claim.
struct KeyCompletion {
  std::string key;
  std::string claim_id;
  Outcome outcome = Outcome::kUnknown;
  int status = 0;
  std::string content_type;
  /// The response body; `has_body` is false if it was too large to store.
  std::string body;
  bool has_body = false;
};

using KeyOperation = std::variant<KeyClaim, KeyCompletion>;

enum class KeyVerdict {
  kRun,
  /// Another claim of the key is still running.
  kInProgress,
  /// Another claim may have run; its outcome cannot be determined.
  kOutcomeUnknown,
  kReused,
  /// The request ran; the stored response is returned.
  kReplay,
  /// The request ran, but its response was not stored.
  kAnswerNotStored,
  /// The operation could not be recorded, so the request must not run.
  kUnavailable,
  /// The completion has been recorded.
  kRecorded,
};

struct KeyAnswer {
  KeyVerdict verdict = KeyVerdict::kUnavailable;
  int status = 0;
  std::string content_type;
  std::string body;
};

/// Returns whether the entry host process that made a claim is still alive.
using IsLiveNode =
    std::function<bool(const std::string& node, uint64_t incarnation)>;

/// The recorded claims and completions of one partition of the key space.
class KeyLedger {
 public:
  /// Returns the answer to `operation` if it follows from what is recorded, or
  /// nullopt if the operation must be recorded first. Changes nothing.
  std::optional<KeyAnswer> Peek(const KeyOperation& operation,
                                const IsLiveNode& is_live) const;

  /// Applies a recorded operation. Idempotent.
  void Apply(const KeyOperation& operation);

  size_t size() const { return m_entries.size(); }

 private:
  struct Entry {
    KeyClaim claim;
    std::optional<KeyCompletion> completion;
  };

  std::optional<KeyAnswer> PeekClaim(const KeyClaim& claim,
                                     const IsLiveNode& is_live) const;
  std::optional<KeyAnswer> PeekCompletion(
      const KeyCompletion& completion) const;

  std::map<std::string, Entry, std::less<>> m_entries;
};

nlohmann::json ToJson(const KeyOperation& operation);
Result<KeyOperation> ParseKeyOperation(const nlohmann::json& value);

std::string EncodeKeyOperation(const KeyOperation& operation);
Result<KeyOperation> DecodeKeyOperation(std::string_view bytes);
std::string EncodeKeyAnswer(const KeyAnswer& answer);
/// Malformed input yields an answer with KeyVerdict::kUnavailable.
KeyAnswer DecodeKeyAnswer(std::string_view bytes);

/// Returns the ledger key of a workspace's idempotency key: a hash of both.
std::string LedgerKey(std::string_view workspace,
                      std::string_view idempotency_key);

const std::string& KeyOf(const KeyOperation& operation);

}  // namespace filbertrack

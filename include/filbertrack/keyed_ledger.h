#pragma once

/// Which requests with an idempotency key may run. A key is claimed before its
/// request is sent anywhere; of all claims of a key one at most is told to run,
/// unless that one is proved not to have run.

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

/// "May I run the request with this key?"
struct KeyClaim {
  std::string key;  ///< Hash of workspace and idempotency key.
  std::string claim_id;
  std::string node;  ///< Entry host that wants to run it.
  uint64_t incarnation = 0;
  /// Hash of the request; a key must not be used for two different ones.
  std::string fingerprint;
};

/// "This is what came of the claim."
struct KeyCompletion {
  std::string key;
  std::string claim_id;
  Outcome outcome = Outcome::kUnknown;
  int status = 0;
  std::string content_type;
  /// The caller's answer; `has_body` is false where it was too large to keep.
  std::string body;
  bool has_body = false;
};

using KeyOperation = std::variant<KeyClaim, KeyCompletion>;

enum class KeyVerdict {
  kRun,
  /// Another claim of the key is running.
  kInProgress,
  /// Another claim may have run, and nobody can tell.
  kOutcomeUnknown,
  kReused,
  /// It ran; here is its answer.
  kReplay,
  /// It ran; its answer is not kept.
  kAnswerNotStored,
  /// Nothing could be recorded; nothing may run.
  kUnavailable,
  /// The completion is recorded.
  kRecorded,
};

struct KeyAnswer {
  KeyVerdict verdict = KeyVerdict::kUnavailable;
  int status = 0;
  std::string content_type;
  std::string body;
};

/// Tells whether the entry host's process that made a claim still lives.
using IsLiveNode =
    std::function<bool(const std::string& node, uint64_t incarnation)>;

/// All recorded orders of one partition of keys.
class KeyLedger {
 public:
  /// The answer that needs no new record; nullopt where the order must be
  /// recorded first.
  std::optional<KeyAnswer> Peek(const KeyOperation& operation,
                                const IsLiveNode& is_live) const;

  /// Applies a recorded order. Applying one twice changes nothing.
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
/// Bytes that cannot be read are an answer of kUnavailable.
KeyAnswer DecodeKeyAnswer(std::string_view bytes);

/// The key under which a workspace's idempotency key is recorded.
std::string LedgerKey(std::string_view workspace,
                      std::string_view idempotency_key);

const std::string& KeyOf(const KeyOperation& operation);

}  // namespace filbertrack

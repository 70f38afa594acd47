#include "filbertrack/keyed_ledger.h"

#include "filbertrack/base_cbor.h"
#include "filbertrack/base_hash.h"

namespace filbertrack {

namespace {

using Json = nlohmann::json;

constexpr std::string_view kClaimTag = "c";
constexpr std::string_view kCompletionTag = "d";
constexpr size_t kKeyDigits = 32;

struct OperationToJson {
  Json operator()(const KeyClaim& claim) const {
    return Json::array({kClaimTag, claim.key, claim.claim_id, claim.node,
                        claim.incarnation, claim.fingerprint});
  }
  Json operator()(const KeyCompletion& completion) const {
    return Json::array({kCompletionTag, completion.key, completion.claim_id,
                        static_cast<int>(completion.outcome), completion.status,
                        completion.content_type, completion.body,
                        completion.has_body});
  }
};

Outcome ReadOutcome(const Json& value) {
  const int number = value.get<int>();
  return number == static_cast<int>(Outcome::kNotRun) ? Outcome::kNotRun
         : number == static_cast<int>(Outcome::kRan)  ? Outcome::kRan
                                                      : Outcome::kUnknown;
}

}  // namespace

std::optional<KeyAnswer> KeyLedger::Peek(const KeyOperation& operation,
                                         const IsLiveNode& is_live) const {
  if (const auto* claim = std::get_if<KeyClaim>(&operation)) {
    return PeekClaim(*claim, is_live);
  }
  return PeekCompletion(std::get<KeyCompletion>(operation));
}

std::optional<KeyAnswer> KeyLedger::PeekClaim(const KeyClaim& claim,
                                              const IsLiveNode& is_live) const {
  const auto found = m_entries.find(claim.key);
  if (found == m_entries.end()) {
    return std::nullopt;
  }
  const Entry& entry = found->second;
  if (entry.claim.claim_id == claim.claim_id && !entry.completion) {
    // An earlier write of this claim took effect, but its answer was lost.
    return KeyAnswer{KeyVerdict::kRun, 0, "", ""};
  }
  if (entry.completion && entry.completion->outcome == Outcome::kNotRun) {
    return std::nullopt;
  }
  if (entry.claim.fingerprint != claim.fingerprint) {
    return KeyAnswer{KeyVerdict::kReused, 0, "", ""};
  }
  if (!entry.completion) {
    const bool running = is_live(entry.claim.node, entry.claim.incarnation);
    return KeyAnswer{
        running ? KeyVerdict::kInProgress : KeyVerdict::kOutcomeUnknown, 0, "",
        ""};
  }
  const KeyCompletion& done = *entry.completion;
  if (done.outcome == Outcome::kUnknown) {
    return KeyAnswer{KeyVerdict::kOutcomeUnknown, 0, "", ""};
  }
  if (!done.has_body) {
    return KeyAnswer{KeyVerdict::kAnswerNotStored, 0, "", ""};
  }
  return KeyAnswer{KeyVerdict::kReplay, done.status, done.content_type,
                   done.body};
}

std::optional<KeyAnswer> KeyLedger::PeekCompletion(
    const KeyCompletion& completion) const {
  const auto found = m_entries.find(completion.key);
  const bool open = found != m_entries.end() &&
                    found->second.claim.claim_id == completion.claim_id &&
                    !found->second.completion;
  if (open) {
    return std::nullopt;
  }
  if (found == m_entries.end() ||
      found->second.claim.claim_id != completion.claim_id) {
    // The claim was never recorded, so there is nothing to complete. A delayed
    // write of it could still arrive; recording the completion closes the claim
    // in advance.
    return completion.outcome == Outcome::kNotRun && found == m_entries.end()
               ? std::nullopt
               : std::optional(KeyAnswer{KeyVerdict::kRecorded, 0, "", ""});
  }
  return KeyAnswer{KeyVerdict::kRecorded, 0, "", ""};
}

void KeyLedger::Apply(const KeyOperation& operation) {
  if (const auto* claim = std::get_if<KeyClaim>(&operation)) {
    Entry& entry = m_entries[claim->key];
    if (entry.claim.claim_id != claim->claim_id) {
      entry = {*claim, std::nullopt};
    }
    return;
  }
  const auto& completion = std::get<KeyCompletion>(operation);
  Entry& entry = m_entries[completion.key];
  if (entry.claim.claim_id.empty()) {
    entry.claim.key = completion.key;
    entry.claim.claim_id = completion.claim_id;
  }
  if (entry.claim.claim_id == completion.claim_id && !entry.completion) {
    entry.completion = completion;
  }
}

Json ToJson(const KeyOperation& operation) {
  return std::visit(OperationToJson(), operation);
}

Result<KeyOperation> ParseKeyOperation(const Json& value) {
  try {
    if (value.at(0) == kClaimTag) {
      return KeyClaim{value.at(1), value.at(2), value.at(3), value.at(4),
                      value.at(5)};
    }
    if (value.at(0) == kCompletionTag) {
      return KeyCompletion{value.at(1), value.at(2), ReadOutcome(value.at(3)),
                           value.at(4), value.at(5), value.at(6),
                           value.at(7)};
    }
  } catch (const Json::exception&) {
    // Reported as malformed below.
  }
  return Fail(ResultCode::kBadRequest,
              "The idempotency key operation is malformed.");
}

std::string EncodeKeyOperation(const KeyOperation& operation) {
  return ToCbor(ToJson(operation));
}

Result<KeyOperation> DecodeKeyOperation(std::string_view bytes) {
  return ParseKeyOperation(ParseCbor(bytes).value_or(Json()));
}

std::string EncodeKeyAnswer(const KeyAnswer& answer) {
  return ToCbor(Json::array({static_cast<int>(answer.verdict), answer.status,
                             answer.content_type, answer.body}));
}

KeyAnswer DecodeKeyAnswer(std::string_view bytes) {
  const Json value = ParseCbor(bytes).value_or(Json());
  try {
    const int verdict = value.at(0).get<int>();
    if (verdict < 0 || verdict > static_cast<int>(KeyVerdict::kRecorded)) {
      return {};
    }
    return {static_cast<KeyVerdict>(verdict), value.at(1), value.at(2),
            value.at(3)};
  } catch (const Json::exception&) {
    return {};
  }
}

std::string LedgerKey(std::string_view workspace,
                      std::string_view idempotency_key) {
  std::string text(workspace);
  text += '\n';
  text += idempotency_key;
  return Sha256Hex(text).substr(0, kKeyDigits);
}

const std::string& KeyOf(const KeyOperation& operation) {
  return std::visit(
      [](const auto& typed) -> const std::string& { return typed.key; },
      operation);
}

}  // namespace filbertrack

#pragma once

/// Messages between entry hosts and their CBOR form. At rest a question and its
/// answer carry digests and one byte a peer and a group; whole tables travel
/// only where the digests differ.

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "filbertrack/base_result.h"
#include "filbertrack/base_time.h"
#include "filbertrack/peer_frame.h"
#include "filbertrack/peer_table.h"
#include "filbertrack/state_cache.h"

namespace filbertrack {

inline constexpr uint64_t kPeerProtocol = 1;

/// Ages of peers in this unit, of evidence in the other; 255 and 127 units mean
/// older or unknown.
inline constexpr Duration kPeerAgeUnit = Milliseconds(20);
inline constexpr Duration kEvidenceAgeUnit = Milliseconds(20);

/// A part of an entitlement that the asker lacks, in requests per second.
struct EntitlementLoan {
  std::string workspace;
  std::string service;
  double requests_per_second = 0;
};

/// Evidence about one group, as old as `age` says.
struct GroupEvidence {
  std::string group;
  uint64_t epoch = 0;
  bool whole = false;  ///< False: a member is known to be missing.
  Duration age{0};
  int load = 0;  ///< Requests running and queued there.
};

/// "What do you know that I do not?"
struct ExchangeRequest {
  PeerState from;
  uint64_t cache_digest = 0;
  uint64_t table_digest = 0;
  std::vector<std::string> wanted_objects;
  std::vector<EntitlementLoan> loan_requests;
};

struct PeerUpdate {
  PeerState state;
  Duration age{0};
};

struct ExchangeReply {
  PeerState from;
  uint64_t cache_digest = 0;
  /// Only where the digests of the caches differ.
  std::vector<ObjectVersion> inventory;
  std::vector<StoredObject> objects;
  /// Only where the digests of the tables differ.
  std::vector<PeerUpdate> peers;
  /// Otherwise: ages of the answerer's peers in the order of names, without
  /// the answerer.
  std::vector<uint8_t> peer_ages;
  /// Where the caches differ: evidence by name.
  std::vector<GroupEvidence> evidence;
  /// Otherwise: two bytes a group, in the order of the cached groups' ids.
  std::vector<uint8_t> evidence_bytes;
  std::vector<EntitlementLoan> loans;
};

/// Keys whose requests the asker wants to run, or has run; see keyed_ledger.h.
struct KeyedOperation {
  std::string key;
  std::string payload;  ///< CBOR of the claim or completion.
};
struct KeyedRequest {
  std::string from;
  std::vector<KeyedOperation> orders;
};
struct KeyedReply {
  /// One a order; CBOR of the verdict.
  std::vector<std::string> verdicts;
};

using PeerMessage =
    std::variant<ExchangeRequest, ExchangeReply, KeyedRequest, KeyedReply>;

std::string EncodePeerMessage(const PeerMessage& message);

/// Refuses bytes of another protocol version, shape or size.
Result<PeerMessage> DecodePeerMessage(std::string_view bytes);

/// One byte for an age: 255 units or more read as 255.
uint8_t PackAge(Duration age, Duration unit, uint8_t max_units);

}  // namespace filbertrack

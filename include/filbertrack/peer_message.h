#pragma once

/// Messages between the entry hosts of the gateway and their CBOR encoding. In
/// the steady state a request and its reply carry digests, one byte for each
/// peer and two bytes for each group; full tables are sent only if the digests
/// differ.

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

/// Units of the packed ages of peers and of group evidence. The largest packed
/// values, 255 for peers and 127 for evidence, mean that the age is larger than
/// that or unknown.
inline constexpr Duration kPeerAgeUnit = Milliseconds(20);
inline constexpr Duration kEvidenceAgeUnit = Milliseconds(20);

/// Share of an entitlement that the requester asks to borrow or that the
/// replier lends, in requests per second.
struct EntitlementLoan {
  std::string workspace;
  std::string service;
  double requests_per_second = 0;
};

/// Evidence about the liveness and the load of one group.
struct GroupEvidence {
  std::string group;
  uint64_t epoch = 0;
  bool whole = false;  ///< False if a member is known to be missing.
  Duration age{0};
  int load = 0;  ///< Requests running and queued in the group.
};

/// Requests the state that the sender lacks. The digests tell the receiver
/// which tables differ.
struct ExchangeRequest {
  /// An empty `from.node` denotes an observer that takes no part in the
  /// membership; it receives objects only.
  PeerState from;
  uint64_t cache_digest = 0;
  uint64_t table_digest = 0;
  std::vector<std::string> wanted_objects;
  std::vector<EntitlementLoan> loan_requests;
};

/// State of a third host, as the sender knows it.
struct PeerUpdate {
  PeerState state;
  Duration age{0};
};

struct ExchangeReply {
  PeerState from;
  uint64_t cache_digest = 0;
  /// Present only if the cache digests differ.
  std::vector<ObjectVersion> inventory;
  std::vector<StoredObject> objects;
  /// Present only if the table digests differ.
  std::vector<PeerUpdate> peers;
  /// Present only if the table digests are equal: ages of the replier's peers
  /// in the order of their names, without the replier itself.
  std::vector<uint8_t> peer_ages;
  /// Present only if the cache digests differ: evidence with the group's name.
  std::vector<GroupEvidence> evidence;
  /// Present only if the cache digests are equal: two bytes for each group, in
  /// the order of the cached groups' ids.
  std::vector<uint8_t> evidence_bytes;
  std::vector<EntitlementLoan> loans;
};

/// Claim or completion of one idempotency key; see keyed_ledger.h.
struct KeyedOperation {
  std::string key;
  std::string payload;  ///< CBOR of the claim or completion.
};
struct KeyedRequest {
  std::string from;  ///< Name of the requesting host.
  std::vector<KeyedOperation> orders;
};
struct KeyedReply {
  /// One verdict for each operation of the request, in its order, as CBOR.
  std::vector<std::string> verdicts;
};

using PeerMessage =
    std::variant<ExchangeRequest, ExchangeReply, KeyedRequest, KeyedReply>;

std::string EncodePeerMessage(const PeerMessage& message);

/// Fails with kBadRequest if the bytes exceed kMaxPeerMessageBytes, are not
/// CBOR, or have another protocol version or structure.
Result<PeerMessage> DecodePeerMessage(std::string_view bytes);

/// Encodes an age in one byte: in `unit`s, rounded up and capped at
/// `max_units`.
uint8_t PackAge(Duration age, Duration unit, uint8_t max_units);

}  // namespace filbertrack

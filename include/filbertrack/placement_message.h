#pragma once

/// Messages between an entry host that asks for places (the asker) and the
/// placer of a pool.

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "filbertrack/base_result.h"
#include "filbertrack/base_time.h"
#include "filbertrack/dispatch_selector.h"
#include "filbertrack/placement_role.h"

namespace filbertrack {

inline constexpr uint64_t kPlacementProtocol = 1;

struct PlacementAsk {
  /// Of one attempt of a request, unique at its asker since its start: a retry
  /// asks with a new id.
  uint64_t id = 0;
  PoolKey pool;
  double prompt_tokens = 0;
  /// Time until the SLO for the first event expires; negative once it has.
  Duration time_to_slo{0};
  /// Time until the caller gives up.
  Duration time_left{0};
  /// 0 is the most urgent.
  int priority = 0;
  std::string workspace;
  /// The caller was refused before and repeats the request.
  bool came_back = false;
  /// Targets to which the asker may not send the request.
  std::vector<std::string> excluded;
  std::vector<std::string> route_regions;
  std::vector<std::string> workspace_regions;
};

/// Permission to send a request to a target.
struct PlacementGrant {
  uint64_t id = 0;
  std::string target;
  Duration predicted{0};
  /// Requests at the target before this one.
  int requests = 0;
};

struct PlacementRefusal {
  uint64_t id = 0;
  DispatchDenial reason = DispatchDenial::kNoneServing;
  Duration retry_after{0};
  Duration predicted{0};
};

/// The ask waits at the placer. Repeated in each reply while it does.
struct PlacementQueued {
  uint64_t id = 0;
  /// 1 is the next one.
  int position = 0;
};

/// The placer does not decide: it drains, or placement is off.
struct ChooseLocally {
  uint64_t id = 0;
};

using PlacementAnswer = std::
    variant<PlacementGrant, PlacementRefusal, PlacementQueued, ChooseLocally>;

/// A request that was sent without a grant.
struct PlacementSent {
  uint64_t id = 0;
  std::string target;
  double prompt_tokens = 0;
};

struct PlacementFirst {
  uint64_t id = 0;
  std::string target;
  /// Time from the sending of the request to its first event.
  Duration measured{0};
};

struct PlacementEnded {
  uint64_t id = 0;
  std::string target;
  bool prompt_pending = false;
  DispatchResult result = DispatchResult::kAnswered;
};

/// The asker no longer needs the answer to an ask, or it came too late.
struct PlacementWithdrawn {
  uint64_t id = 0;
};

using PlacementEvent = std::
    variant<PlacementSent, PlacementFirst, PlacementEnded, PlacementWithdrawn>;

/// A request under way.
struct PlacementLoad {
  uint64_t id = 0;
  std::string target;
  double prompt_tokens = 0;
  bool prompt_pending = false;
  /// Time since it was sent; 0: not known.
  Duration age{0};
};

/// What a placer has learned about a pool, with which the next one starts.
struct PlacementEstimate {
  PoolKey pool;
  /// Mean time of an answered request.
  Duration request_time{0};
  /// Time to the first event in excess of the engine profile.
  Duration overhead{0};
  /// Mean absolute error of predicted times to the first event.
  Duration error{0};
};

struct PlacementRequest {
  std::string asker;
  /// Of the asker's process; higher for a later one.
  uint64_t incarnation = 0;
  /// Consecutive for the messages of one asker to one placer.
  uint64_t sequence = 0;
  bool is_sync = false;
  /// All requests under way in the receiver's pools; with is_sync only.
  std::vector<PlacementLoad> loads;
  std::vector<PlacementEvent> events;
  std::vector<PlacementAsk> asks;
  /// Pools whose asks went to another placer before; with is_sync only.
  std::vector<PoolKey> moved{};
  /// Hosts that rank before the receiver and do not reply to the asker or do
  /// not place; with `moved` only.
  std::vector<std::string> unresponsive{};
  /// What the earlier placers of `moved` had learned.
  std::vector<PlacementEstimate> estimates{};
};

struct PlacementReply {
  std::string placer;
  uint64_t incarnation = 0;
  /// Of the request.
  uint64_t sequence = 0;
  bool places = false;
  /// The next message must be a sync.
  bool wants_sync = false;
  std::vector<PlacementAnswer> answers;
  /// Sent now and then, see Placer::kEstimateInterval.
  std::vector<PlacementEstimate> estimates{};
};

/// Later answers to queued asks, or the claim of a placer.
struct PlacementNotice {
  std::string placer;
  uint64_t incarnation = 0;
  std::vector<PlacementAnswer> answers;
  /// Hosts that the sender takes over from, since they do not reply. The
  /// receiver asks them no longer.
  std::vector<std::string> replaced{};
};

struct PlacementNoticeReply {
  /// Asks whose answers came too late.
  std::vector<uint64_t> declined;
};

/// Returns the amount of prompt tokens within the bounds of the messages.
/// Callers state the amount, and a placer rejects a whole message for one bad
/// field.
double ClampTokens(double tokens);

/// Returns whether `bytes` have the outer shape of a placement message, which
/// is a CBOR map; gossip messages are arrays.
bool IsPlacementMessage(std::string_view bytes);

std::string EncodePlacementRequest(const PlacementRequest& request);
std::string EncodePlacementReply(const PlacementReply& reply);
std::string EncodePlacementNotice(const PlacementNotice& notice);
std::string EncodePlacementNoticeReply(const PlacementNoticeReply& reply);

/// Fail with kBadRequest if the bytes are not CBOR, have another protocol
/// version, message kind or structure, or hold a number that is out of range.
Result<PlacementRequest> DecodePlacementRequest(std::string_view bytes);
Result<PlacementReply> DecodePlacementReply(std::string_view bytes);
Result<PlacementNotice> DecodePlacementNotice(std::string_view bytes);
Result<PlacementNoticeReply> DecodePlacementNoticeReply(std::string_view bytes);

}  // namespace filbertrack

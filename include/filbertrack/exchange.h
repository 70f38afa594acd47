#pragma once

/// State exchange between the entry hosts of the gateway: objects of the store,
/// membership, evidence about groups and loans of entitlements. The functions
/// do no I/O. The requester dates a reply by the time at which it sent the
/// request, so that neither a slow network nor a paused process makes old data
/// appear fresh.

#include <string>
#include <vector>

#include "filbertrack/admission_parts.h"
#include "filbertrack/fleet_view.h"
#include "filbertrack/peer_message.h"
#include "filbertrack/peer_table.h"
#include "filbertrack/state_cache.h"

namespace filbertrack {

/// State of one entry host that the exchange reads and updates.
struct ExchangeState {
  PeerTable& table;
  ObjectCache& cache;
  FleetView& fleet;
  EntitlementParts& parts;
  LoanPolicy loans;
};

/// Creates the request to the peer named `peer`. `wanted` holds the keys of the
/// objects to fetch, taken from ExchangeEffect::wanted of its last reply.
ExchangeRequest MakeExchangeRequest(ExchangeState& state,
                                    std::string_view peer,
                                    std::vector<std::string> wanted,
                                    TimePoint now);

/// Creates the reply to `request` and records its sender as a known peer.
ExchangeReply MakeExchangeReply(ExchangeState& state,
                                const ExchangeRequest& request,
                                TimePoint now);

struct ExchangeEffect {
  bool objects_changed = false;
  /// Ids of the groups whose evidence changed.
  std::vector<std::string> groups;
  /// Keys of the objects to request from this peer next.
  std::vector<std::string> wanted;
};

/// Applies the reply to `request`, which was sent at `asked_at`.
ExchangeEffect ApplyExchangeReply(ExchangeState& state,
                                  const ExchangeRequest& request,
                                  const ExchangeReply& reply,
                                  TimePoint asked_at);

}  // namespace filbertrack

#pragma once

/// What entry hosts tell each other, as plain functions over what each knows:
/// objects of the store, membership, evidence about groups, and loans of
/// entitlements. Every answer is dated by its question, so that neither a slow
/// network nor a paused process makes old news look fresh.

#include <string>
#include <vector>

#include "filbertrack/admission_parts.h"
#include "filbertrack/fleet_view.h"
#include "filbertrack/peer_message.h"
#include "filbertrack/peer_table.h"
#include "filbertrack/state_cache.h"

namespace filbertrack {

/// What one entry host knows.
struct ExchangeState {
  PeerTable& table;
  ObjectCache& cache;
  FleetView& fleet;
  EntitlementParts& parts;
  LoanPolicy loans;
};

/// The question to the peer of that name; `wanted` are keys that its last
/// answer offered.
ExchangeRequest MakeExchangeRequest(ExchangeState& state,
                                    std::string_view peer,
                                    std::vector<std::string> wanted,
                                    TimePoint now);

ExchangeReply MakeExchangeReply(ExchangeState& state,
                                const ExchangeRequest& request,
                                TimePoint now);

struct ExchangeEffect {
  bool objects_changed = false;
  /// Groups whose evidence changed.
  std::vector<std::string> groups;
  /// To be asked for next.
  std::vector<std::string> wanted;
};

/// Takes over the answer to `ask`, which was asked at `asked_at`.
ExchangeEffect ApplyExchangeReply(ExchangeState& state,
                                  const ExchangeRequest& request,
                                  const ExchangeReply& reply,
                                  TimePoint asked_at);

}  // namespace filbertrack

#pragma once

/// Gossip state of a simulated entry host.

#include <string>

#include "filbertrack/dispatch_selector.h"
#include "filbertrack/gossip_message.h"

namespace filbertrack {

/// Returns a state with the own loads of `selector`.
inline GossipState MakeLoadReport(const std::string& node,
                                  const std::string& data_centre,
                                  const TargetSelector& selector) {
  GossipState state;
  state.node = node;
  state.data_centre = data_centre;
  for (const auto& [id, load] : selector.OwnLoads()) {
    state.loads.push_back({id, load.requests, load.prompt_tokens});
  }
  return state;
}

}  // namespace filbertrack

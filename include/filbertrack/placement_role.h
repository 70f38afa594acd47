#pragma once

/// Chooses the placer of a pool, that is, the entry host that decides for all
/// entry hosts which target takes a request of one service and model.

#include <span>
#include <string>
#include <tuple>
#include <vector>

#include "filbertrack/gossip_message.h"

namespace filbertrack {

/// The targets of one model of a service.
struct PoolKey {
  std::string service;
  std::string model;

  bool operator==(const PoolKey&) const = default;
  bool operator<(const PoolKey& other) const {
    return std::tie(service, model) < std::tie(other.service, other.model);
  }
};

/// Returns the host that places the requests of `pool`; empty if `live` is.
/// Hosts that know the same live hosts choose the same one without
/// coordination: the highest capacity class first, by rendezvous hashing of the
/// pool within a class. Hosts that are draining must not be listed.
std::string ChoosePlacer(const PoolKey& pool, std::span<const FleetHost> live);

/// Hosts that are ranked for a pool: the placer and those that are asked in
/// turn if it does not reply.
inline constexpr size_t kRankedPlacers = 3;

/// Returns the first kRankedPlacers hosts in the order of ChoosePlacer(): each
/// is the one that ChoosePlacer() returns without those before it.
std::vector<std::string> RankPlacers(const PoolKey& pool,
                                     std::span<const FleetHost> live);

}  // namespace filbertrack

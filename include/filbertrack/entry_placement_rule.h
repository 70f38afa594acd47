#pragma once

/// Decides for which services one entry host places the requests of all, from
/// the setting, the configuration and the entry hosts of the fleet.

#include <cstddef>
#include <set>
#include <span>
#include <string>

#include "filbertrack/gossip_message.h"
#include "filbertrack/settings.h"
#include "filbertrack/site_catalog.h"

namespace filbertrack {

enum class PlacementMode { kAuto, kOn, kOff };

/// The setting `[placement] mode`.
PlacementMode PlacementModeOf(const Settings& settings);

struct PlacementFleet {
  /// Live entry hosts, with this one.
  std::span<const FleetHost> hosts;
  /// Number of regions that the data centres are in.
  size_t regions = 1;
};

/// A pool with more targets is not placed: the cost of a choice grows with the
/// number of targets that are compared.
inline constexpr size_t kMaxPlacedTargets = 64;

/// Names of the services whose requests are placed. With kOn these are all
/// services with an engine. With kAuto they are those whose routes differ in
/// priority, since an order among requests needs one place that decides, and
/// all of them if a live entry host is too weak for the load exchange that a
/// choice by reported loads needs; none with several regions.
std::set<std::string, std::less<>> PlacedServices(PlacementMode mode,
                                                  const Catalog& catalog,
                                                  const PlacementFleet& fleet);

}  // namespace filbertrack

#pragma once

/// Demand of a service's models: how many hosts each model needs.

#include "filbertrack/site_catalog.h"

namespace filbertrack {

/// Whether few large groups serve the models: every model has groups that are
/// large enough for spares, and for at least one model, its share of the hosts
/// makes so few groups that a lost one takes more than 5% of its capacity.
bool HasCoarseGroups(const EngineProfile& engine, int usable_hosts);

}  // namespace filbertrack

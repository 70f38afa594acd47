#pragma once

/// Demand of a service's models: how many hosts each model needs.

#include "filbertrack/site_catalog.h"

namespace filbertrack {

/// Whether few large groups serve the models: every model has groups that are
/// large enough for spares, and for at least one model, its share of the hosts
/// makes so few groups that a lost one takes more than 5% of its capacity.
bool HasCoarseGroups(const EngineProfile& engine, int usable_hosts);

/// Requests per second that one group of the model completes while `requests`
/// are under way in it. Proportional to `requests` if the engine publishes no
/// times.
double GroupRate(const EngineProfile& engine,
                 const ModelProfile& model,
                 double requests);

/// Hosts that a model needs so that its groups have `utilisation` of their
/// slots taken. `pressure` is the demand for the model's `groups` groups as in
/// ReplicaInput.
double HostsNeeded(const EngineProfile& engine,
                   const ModelProfile& model,
                   int groups,
                   double pressure,
                   double utilisation);

}  // namespace filbertrack

#pragma once

/// Derives the targets of requests from the registrations of backend servers.

#include <set>
#include <string_view>
#include <vector>

#include "filbertrack/dispatch_selector.h"
#include "filbertrack/server_directory.h"
#include "filbertrack/site_catalog.h"
#include "filbertrack/site_evacuations.h"
#include "filbertrack/site_regions.h"

namespace filbertrack {

/// Targets that accept requests now: the heads of groups that are complete and
/// open, and plain backend servers that are not draining. Targets in evacuated
/// data centres are included with `evacuated` set.
std::vector<DispatchTarget> CurrentTargets(
    const ServerDirectory& directory,
    const Catalog& catalog,
    const SiteEvacuations& evacuations = {},
    const RegionMap& regions = {});

/// Ids of the heads of groups that lost a member while open: their requests
/// stall without an error. Not included are groups that close in order or whose
/// members are only draining, since these finish their requests, and heads that
/// are not registered: those may still be running behind a network partition,
/// and are detected by their silence.
std::set<std::string_view> StalledHeads(const ServerDirectory& directory,
                                        const Catalog& catalog);

}  // namespace filbertrack

#pragma once

/// What the registrations say of the targets of requests.

#include <set>
#include <string_view>
#include <vector>

#include "filbertrack/dispatch_selector.h"
#include "filbertrack/server_directory.h"
#include "filbertrack/site_catalog.h"
#include "filbertrack/site_evacuations.h"
#include "filbertrack/site_regions.h"

namespace filbertrack {

/// Targets that take requests now: groups that are whole and open, and plain
/// backend servers that are not leaving. Those of evacuated data centres are
/// among them and say so.
std::vector<DispatchTarget> CurrentTargets(
    const ServerDirectory& directory,
    const Catalog& catalog,
    const SiteEvacuations& evacuations = {},
    const RegionMap& regions = {});

/// Heads of groups that lost a member and hold their requests without saying
/// so. A group that closes in order, or whose members only leave, ends what it
/// has; a head that is not registered may run on behind a partition, and its
/// silence shows.
std::set<std::string_view> StalledHeads(const ServerDirectory& directory,
                                        const Catalog& catalog);

}  // namespace filbertrack

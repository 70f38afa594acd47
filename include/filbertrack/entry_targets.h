#pragma once

/// What the registrations say of the targets of requests.

#include <string_view>
#include <vector>

#include "filbertrack/dispatch_board.h"
#include "filbertrack/server_directory.h"
#include "filbertrack/site_catalog.h"

namespace filbertrack {

/// Targets that take requests now: groups that are whole and open, and plain
/// backend servers that are not leaving.
std::vector<DispatchTarget> CurrentTargets(const ServerDirectory& directory,
                                           const Catalog& catalog);

/// Whether a group that lost a member holds its requests without saying so. One
/// that closes in order, or whose members only leave, ends what it has; a head
/// that is not registered may run on behind a partition, and its silence shows.
bool StandsStill(const ServerDirectory& directory,
                 const Catalog& catalog,
                 std::string_view head_id);

}  // namespace filbertrack

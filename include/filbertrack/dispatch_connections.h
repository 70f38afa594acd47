#pragma once

/// How many idle connections an entry host may keep to one backend server. A
/// server accepts a number of connections from all entry hosts together and
/// resets what comes beyond it. A reset leaves open whether the request ran, so
/// one that runs at most once fails for good.

#include <cstddef>

namespace filbertrack {

/// `most_connections` is what one server accepts from all `entry_hosts`; 0 or
/// less: it does not say, and nothing is kept. 0 is a valid answer: each
/// request then opens a connection, which costs a millisecond.
size_t KeptConnections(int max_connections, size_t entry_hosts);

}  // namespace filbertrack

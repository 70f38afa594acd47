#pragma once

/// Limits the idle connections that an entry host keeps to one backend server.
/// A server accepts a fixed number of connections from all entry hosts together
/// and resets any beyond that. After a reset it is unknown whether the request
/// was run, so a request that must run at most once fails and is not retried.

#include <cstddef>

namespace filbertrack {

/// Returns how many idle connections this host may keep. `max_connections` is
/// the number that one server accepts from all `entry_hosts`; if it is 0 or
/// less the server does not name it and none are kept. With 0 kept connections
/// each request opens its own, which takes about a millisecond.
size_t KeptConnections(int max_connections, size_t entry_hosts);

}  // namespace filbertrack

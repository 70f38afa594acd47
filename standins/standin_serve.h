#pragma once

/// The server loop that the stand-in programs share.

#include <functional>
#include <string>

#include "filbertrack/http_server.h"

namespace filbertrack {

/// Listens on `listen`, prints the bound address to standard output, and serves
/// until a stop signal. `make_handler` creates the request handler on the loop.
/// Returns the exit code: 0, or that of kUsage for an invalid address and of
/// kInternal if it cannot be bound.
int ServeStandin(
    const std::string& listen,
    const HttpServerLimits& limits,
    const std::function<HttpServer::Handler(EventLoop&)>& make_handler);

}  // namespace filbertrack

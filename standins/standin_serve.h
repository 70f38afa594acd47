#pragma once

/// What every stand-in's main() shares.

#include <functional>
#include <string>

#include "filbertrack/http_server.h"

namespace filbertrack {

/// Listens on `listen`, prints the address in use, and serves until a stop
/// signal. `make` builds the handler on the loop. Returns the exit code.
int ServeStandin(
    const std::string& listen,
    const HttpServerLimits& limits,
    const std::function<HttpServer::Handler(EventLoop&)>& make_handler);

}  // namespace filbertrack

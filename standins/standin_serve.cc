#include "standin_serve.h"

#include <cstdio>

namespace filbertrack {

int ServeStandin(
    const std::string& listen,
    const HttpServerLimits& limits,
    const std::function<HttpServer::Handler(EventLoop&)>& make_handler) {
  const Result<Address> address = ParseAddress(listen);
  if (!address) {
    std::fprintf(stderr, "%s\n", address.error().message.c_str());
    return static_cast<int>(ResultCode::kUsage);
  }
  EventLoop loop;
  HttpServer server(loop, limits, make_handler(loop));
  const Result<Address> bound = server.Listen(*address);
  if (!bound) {
    std::fprintf(stderr, "%s\n", bound.error().message.c_str());
    return static_cast<int>(ResultCode::kInternal);
  }
  std::printf("%s\n", bound->ToString().c_str());
  std::fflush(stdout);
  loop.OnStopSignal([&loop] { loop.Stop(); });
  loop.Run();
  return 0;
}

}  // namespace filbertrack

/// filbert-gateway: serves callers' requests on one entry host.

#include <cstdio>

#include <nlohmann/json.hpp>

#include "filbertrack/gateway.h"
#include "filbertrack/log.h"
#include "filbertrack/program.h"

namespace filbertrack {
namespace {

int RunGateway(const Settings& settings) {
  InitLog("filbert-gateway", settings.Text("node", "name"),
          settings.Text("log", "level"));
  EventLoop loop;
  Gateway gateway(loop, settings);
  const Result<bool> listening = gateway.Listen();
  if (!listening) {
    Log(LogLevel::kError, "cannot-listen",
        {{"why", listening.error().message}});
    return static_cast<int>(listening.error().code);
  }
  std::printf("callers %s\nadmin %s\npeers %s\n",
              gateway.caller_address().ToString().c_str(),
              gateway.admin_address().ToString().c_str(),
              gateway.peer_address().ToString().c_str());
  std::fflush(stdout);
  loop.OnStopSignal([&gateway] { gateway.Drain(); });
  loop.Run();
  return 0;
}

}  // namespace
}  // namespace filbertrack

int main(int argc, char** argv) {
  return filbertrack::RunProgram(
      {"filbert-gateway",
       "Accepts callers' requests and forwards them to complete groups.",
       filbertrack::GatewaySchema(), filbertrack::RunGateway},
      argc, argv);
}

/// filbert-controller: runs the control loops on one entry host.

#include <cstdio>

#include <nlohmann/json.hpp>

#include "filbertrack/controller.h"
#include "filbertrack/log.h"
#include "filbertrack/program.h"

namespace filbertrack {
namespace {

int RunController(const Settings& settings) {
  InitLog("filbert-controller", settings.Text("node", "name"),
          settings.Text("log", "level"));
  EventLoop loop;
  Controller controller(loop, settings);
  const Result<Address> admin = controller.Listen();
  if (!admin) {
    Log(LogLevel::kError, "cannot-listen", {{"why", admin.error().message}});
    return static_cast<int>(admin.error().code);
  }
  std::printf("admin %s\n", admin->ToString().c_str());
  std::fflush(stdout);
  loop.OnStopSignal([&controller] { controller.Stop(); });
  loop.Run();
  return 0;
}

}  // namespace
}  // namespace filbertrack

int main(int argc, char** argv) {
  return filbertrack::RunProgram(
      {"filbert-controller",
       "Forms, repairs and dissolves groups according to the declared "
       "resources.",
       filbertrack::ControllerSchema(), filbertrack::RunController},
      argc, argv);
}

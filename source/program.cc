#include "filbertrack/program.h"

#include <cstdio>

#include <CLI/CLI.hpp>

namespace filbertrack {

int RunProgram(const ProgramInfo& program, int argc, char** argv) {
  CLI::App app(program.description, program.name);
  std::string settings_path;
  bool check_only = false;
  bool describe = false;
  app.set_version_flag("--version", program.name + " " FILBERTRACK_VERSION);
  app.add_option("-s,--settings", settings_path, "The INI settings file.")
      ->envname("FILBERTRACK_SETTINGS");
  app.add_flag("--check-settings", check_only,
               "Check the settings file and exit.");
  app.add_flag("--help-settings", describe,
               "Print every settings key with its meaning and exit.");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : static_cast<int>(ResultCode::kUsage);
  }
  if (describe) {
    std::fputs(program.schema.Describe().c_str(), stdout);
    return 0;
  }
  if (settings_path.empty()) {
    std::fprintf(stderr, "%s: --settings must name a file.\n",
                 program.name.c_str());
    return static_cast<int>(ResultCode::kUsage);
  }
  const Result<Settings> settings = program.schema.ReadFile(settings_path);
  if (!settings) {
    std::fprintf(stderr, "%s: %s\n", program.name.c_str(),
                 settings.error().message.c_str());
    return static_cast<int>(settings.error().code);
  }
  if (check_only) {
    std::printf("%s: the settings are valid.\n", settings_path.c_str());
    return 0;
  }
  if (program.run_with_reload) {
    return program.run_with_reload(*settings, [&program, &settings_path] {
      return program.schema.ReadFile(settings_path);
    });
  }
  return program.run(*settings);
}

}  // namespace filbertrack

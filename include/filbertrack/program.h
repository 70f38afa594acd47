#pragma once

/// Common main() of the long-running programs: command line, settings and exit
/// codes.

#include <functional>
#include <string>

#include "filbertrack/settings.h"

namespace filbertrack {

struct ProgramInfo {
  std::string name;
  std::string description;
  SettingsSchema schema;
  /// Runs the program until a stop signal and returns the exit code.
  std::function<int(const Settings&)> run;
  /// Used instead of `run` by programs that can reload their settings; the
  /// second argument reads and validates the settings file again.
  std::function<int(const Settings&, std::function<Result<Settings>()>)>
      run_with_reload = nullptr;
};

/// Parses the command line, validates the settings file and runs the program.
/// Errors go to standard error; the exit code is the number of a ResultCode.
int RunProgram(const ProgramInfo& program, int argc, char** argv);

}  // namespace filbertrack

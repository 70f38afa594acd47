#pragma once

/// What the main() of each long-running program shares: its command line, its
/// checked settings and the exit codes that go with them.

#include <functional>
#include <string>

#include "filbertrack/settings.h"

namespace filbertrack {

struct ProgramInfo {
  std::string name;
  std::string description;
  SettingsSchema schema;
  /// Runs until a stop signal; returns the exit code.
  std::function<int(const Settings&)> run;
  /// In place of `run`, for programs that read their settings again; the second
  /// argument does that.
  std::function<int(const Settings&, std::function<Result<Settings>()>)>
      run_with_reload = nullptr;
};

int RunProgram(const ProgramInfo& program, int argc, char** argv);

}  // namespace filbertrack

/// filbert-history: checks the event histories of a test run against the
/// system's invariants.

#include <cstdio>
#include <fstream>
#include <sstream>

#include <CLI/CLI.hpp>

#include "filbertrack/history_check.h"

namespace filbertrack {
namespace {

int RunCheck(const std::vector<std::string>& paths,
             const HistoryBounds& bounds) {
  History history;
  for (const std::string& path : paths) {
    std::ifstream stream(path);
    std::stringstream text;
    text << stream.rdbuf();
    const Result<size_t> read = ReadHistory(text.str(), history);
    if (!stream || !read) {
      std::fprintf(stderr, "filbert-history: '%s': %s\n", path.c_str(),
                   read ? "cannot be read." : read.error().message.c_str());
      return static_cast<int>(ResultCode::kUsage);
    }
  }
  const std::vector<Violation> violations = CheckHistory(history, bounds);
  for (const Violation& violation : violations) {
    std::printf("%d. %s: %s\n", static_cast<int>(violation.invariant),
                std::string(InvariantText(violation.invariant)).c_str(),
                violation.description.c_str());
  }
  std::printf(
      "%zu callers' results, %zu executions, %zu forwarded answers, %zu "
      "configurations, %zu member events: %zu violations\n",
      history.callers.size(), history.executions.size(),
      history.forwards.size(), history.configs.size(), history.members.size(),
      violations.size());
  return violations.empty() ? 0 : static_cast<int>(ResultCode::kInternal);
}

}  // namespace
}  // namespace filbertrack

int main(int argc, char** argv) {
  CLI::App app("Checks the event histories of a test run.", "filbert-history");
  std::vector<std::string> paths;
  filbertrack::HistoryBounds bounds;
  app.set_version_flag("--version", "filbert-history " FILBERTRACK_VERSION);
  app.add_option("files", paths, "History files (JSON lines).")->required();
  app.add_option("--evidence-us", bounds.max_evidence_age,
                 "Maximum age of evidence, in microseconds.");
  app.add_option(
      "--leaving-us", bounds.leaving_grace,
      "Time for which a leaving server may get new work, in microseconds.");
  app.add_option(
      "--in-force-us", bounds.propagation_timeout,
      "Time for a change to be in force everywhere, in microseconds.");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0
               ? 0
               : static_cast<int>(filbertrack::ResultCode::kUsage);
  }
  return filbertrack::RunCheck(paths, bounds);
}

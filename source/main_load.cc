/// filbert-load: sends a seeded open-loop load to entry hosts, verifies every
/// answer and prints the results of each side.

#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

#include "filbertrack/load_runner.h"
#include "filbertrack/program.h"

namespace filbertrack {
namespace {

SettingsSchema LoadSchema() {
  return SettingsSchema({
      {"run", "seed", IntegerKey{1, 0, 1000000000}, "Seed of the schedule."},
      {"run", "duration",
       DurationKey{Seconds(10), Milliseconds(100), Seconds(86400)},
       "Length of the schedule."},
      {"run", "requests_per_second", IntegerKey{10, 1, 1000000},
       "Mean arrival rate."},
      {"run", "deadline",
       DurationKey{Seconds(30), Milliseconds(10), Seconds(600)},
       "Deadline sent with each request."},
      {"run", "lines", TextKey{"", false, {}},
       "File for one JSON line per request; empty: none."},
      {"side_a", "name", TextKey{"a", false, {}}, "Name in the results."},
      {"side_a", "entry_hosts", AddressListKey{}, "Entry hosts, used in turn."},
      {"side_a", "direct", TextKey{"false", false, {"true", "false"}},
       "Whether the addresses are those of a plain service itself."},
      {"side_b", "direct", TextKey{"false", false, {"true", "false"}},
       "Whether the addresses are those of a plain service itself."},
      {"side_b", "name", TextKey{"b", false, {}}, "Name in the results."},
      {"side_b", "entry_hosts", AddressListKey{},
       "Entry hosts of a second side that gets the same load; empty: none."},
      {"mix", "model", TextKey{"model", false, {}}, "Model of the requests."},
      {"mix", "plain_service", TextKey{"", false, {}},
       "Plain service of the requests."},
      {"mix", "plain_idempotent", TextKey{"false", false, {"true", "false"}},
       "Whether plain requests may run more than once."},
      {"mix", "stream_percent", IntegerKey{100, 0, 100},
       "Share of requests with a streamed answer."},
      {"mix", "plain_percent", IntegerKey{0, 0, 100},
       "Share of plain requests."},
      {"mix", "keyed_percent", IntegerKey{0, 0, 100},
       "Share of plain requests with an idempotency key."},
      {"mix", "keyed_tries", IntegerKey{1, 1, 10},
       "Number of times each keyed request is sent."},
      {"mix", "prefixes", IntegerKey{16, 1, 100000},
       "Number of distinct prompt prefixes."},
      {"mix", "prefix_skew_percent", IntegerKey{100, 0, 400},
       "Exponent of the prefixes' Zipf weights, times 100."},
      {"mix", "most_tokens", IntegerKey{32, 1, 100000},
       "Maximum tokens of a request; the minimum is half of it."},
      {"mix", "workspaces", TextKey{"", true, {}},
       "Workspace keys with weights: officers-key:4 clerks-key:1."},
  });
}

std::vector<LoadWorkspace> ReadWorkspaces(const std::string& text) {
  std::vector<LoadWorkspace> workspaces;
  std::istringstream stream(text);
  std::string word;
  while (stream >> word) {
    const size_t colon = word.rfind(':');
    LoadWorkspace workspace;
    workspace.key = word.substr(0, colon);
    workspace.weight =
        colon == std::string::npos ? 1 : std::atof(word.c_str() + colon + 1);
    workspaces.push_back(workspace);
  }
  return workspaces;
}

double Share(const Settings& settings, std::string_view key) {
  return static_cast<double>(settings.Integer("mix", key)) / 100;
}

LoadRun ReadRun(const Settings& settings) {
  LoadRun run;
  run.policy.seed = static_cast<uint64_t>(settings.Integer("run", "seed"));
  run.policy.duration = settings.Time("run", "duration");
  run.policy.requests_per_second =
      static_cast<double>(settings.Integer("run", "requests_per_second"));
  run.policy.stream_share = Share(settings, "stream_percent");
  run.policy.plain_share = Share(settings, "plain_percent");
  run.policy.keyed_share = Share(settings, "keyed_percent");
  run.policy.prefixes = static_cast<int>(settings.Integer("mix", "prefixes"));
  run.policy.prefix_skew = Share(settings, "prefix_skew_percent");
  run.policy.max_tokens =
      static_cast<int>(settings.Integer("mix", "most_tokens"));
  run.policy.workspaces = ReadWorkspaces(settings.Text("mix", "workspaces"));
  run.model = settings.Text("mix", "model");
  run.plain_service = settings.Text("mix", "plain_service");
  run.plain_idempotent = settings.Text("mix", "plain_idempotent");
  run.keyed_attempts = static_cast<int>(settings.Integer("mix", "keyed_tries"));
  run.deadline = settings.Time("run", "deadline");
  for (const char* side : {"side_a", "side_b"}) {
    const std::vector<Address>& hosts = settings.Addresses(side, "entry_hosts");
    if (!hosts.empty()) {
      run.sides.push_back({settings.Text(side, "name"), hosts,
                           settings.Text(side, "direct") == "true"});
    }
  }
  return run;
}

int RunLoad(const Settings& settings) {
  LoadRun run = ReadRun(settings);
  if (run.sides.empty()) {
    std::fprintf(stderr,
                 "filbert-load: section [side_a], key 'entry_hosts', must name "
                 "at least one entry host.\n");
    return static_cast<int>(ResultCode::kSettingsInvalid);
  }
  std::ofstream lines;
  const std::string& path = settings.Text("run", "lines");
  if (!path.empty()) {
    lines.open(path);
  }
  EventLoop loop;
  LoadRunner runner(loop, std::move(run), path.empty() ? nullptr : &lines);
  runner.Run();
  std::cout << runner.Summary();
  return 0;
}

}  // namespace
}  // namespace filbertrack

int main(int argc, char** argv) {
  return filbertrack::RunProgram(
      {"filbert-load",
       "Sends a seeded open-loop load to entry hosts and verifies every "
       "answer.",
       filbertrack::LoadSchema(), filbertrack::RunLoad},
      argc, argv);
}

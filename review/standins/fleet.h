#pragma once

/// Entry hosts as separate processes, plain runners and callers, for the
/// review's scripts. Everything stays on loopback addresses.

#include <sys/types.h>

#include <atomic>
#include <cstdio>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "http.h"
#include "store.h"

namespace review {

/// Writes lines to record.txt, each with the time in ms since the start.
class Record {
 public:
  explicit Record(const std::string& path);
  ~Record();
  void Add(const std::string& line);

 private:
  std::mutex m_mutex;
  std::FILE* m_file;
};

/// Bounds that the settings file and the checks share.
struct Bounds {
  bool has_evacuations = true;
  int stable_window_ms = 4000;
  int drain_timeout_ms = 3000;
  int config_ms = 3000;
  int grace_s = 8;
  int budget_slack = 306;
};

/// A run of a request at a runner.
struct Run {
  std::string runner;
  std::string request;
  std::string path;
  /// When it arrived, in ms of NowMs().
  long at_ms = 0;
  bool finished = false;
};

/// Shared by all runners of a case.
class Runs {
 public:
  explicit Runs(Record& record) : m_record(record) {}
  size_t Begin(const std::string& runner,
               const std::string& request,
               const std::string& path);
  void Finish(size_t index);
  std::vector<Run> All();

 private:
  Record& m_record;
  std::mutex m_mutex;
  std::vector<Run> m_runs;
};

/// A runner of a plain service, registered in the store.
class PlainRunner {
 public:
  PlainRunner(Store& store,
              Runs& runs,
              Record& record,
              const std::string& host,
              const std::string& id,
              const std::string& service,
              const std::string& zone);
  ~PlainRunner();

  const std::string& id() const { return m_id; }
  /// Reports that it is leaving. Returns when the store has accepted that, in
  /// ms of NowMs().
  long Drain();
  /// Removes its entry; the runner goes on serving. Returns when the store has
  /// accepted that, in ms of NowMs().
  long RemoveEntry();
  /// Ends, as after a planned shutdown.
  void End();

 private:
  Response Handle(const Request& request);
  void Register(const std::string& state);

  Store& m_store;
  Runs& m_runs;
  Record& m_record;
  std::string m_id;
  std::string m_service;
  std::string m_zone;
  Server m_server;
};

struct EntryOptions {
  std::string program;
  std::string folder;
  Bounds bounds;
  bool watches_evacuations = true;
};

/// One entry host's process.
class EntryProcess {
 public:
  EntryProcess(const EntryOptions& options,
               Record& record,
               const std::string& name,
               const std::string& zone,
               const std::string& ip,
               const Endpoint& store);
  ~EntryProcess();

  const std::string& name() const { return m_name; }
  const Endpoint& front() const { return m_front; }
  /// Starts it, for the first time or again.
  void Start();
  void Kill(int signal);
  /// Waits for the end of a process that was killed and starts it again.
  void Restart();
  /// Whether the process has ended by itself since the last call; a process
  /// that ended is started again.
  bool RestartIfEnded();
  /// Ends it without starting it again.
  void Stop();
  bool IsReady() const;

 private:
  /// Writes the settings file, as the platform does at each start.
  void WriteSettings() const;

  const EntryOptions& m_options;
  Record& m_record;
  std::string m_name;
  std::string m_zone;
  std::string m_settings;
  std::string m_log;
  Endpoint m_front;
  Endpoint m_ready;
  Endpoint m_peers;
  Endpoint m_forward;
  Endpoint m_store;
  /// The whole system starts for the first time.
  bool m_is_first_start = true;
  pid_t m_pid = -1;
  bool m_signalled = false;
};

/// JSON of a plain route and of a configuration of plain services.
std::string RouteJson(const std::string& name,
                      const std::string& prefix,
                      const std::string& kind,
                      const std::string& service);
std::string ConfigJson(int version,
                       const std::vector<std::string>& routes,
                       const std::vector<std::string>& services);

/// First three numbers of the loopback network that this process uses.
std::string LoopbackNetwork();

inline constexpr const char* kHostname = "desk.example";
inline constexpr const char* kKey = "n2ctnfzs989anu6wsjnb";

/// What one caller's request ended with.
struct Outcome {
  std::string id;
  std::string path;
  std::string host;
  long sent_ms = 0;
  Answer answer;
};

using Headers = std::vector<std::pair<std::string, std::string>>;

/// Sends one request, as a caller does, and records it. `more` are added to the
/// headers that all callers send.
Outcome Call(Record& record,
             const EntryProcess& entry,
             const std::string& method,
             const std::string& path,
             int deadline_ms,
             const Headers& more = {});

/// Whether the environment asks for the case without its disruption.
bool HasTrouble();

}  // namespace review

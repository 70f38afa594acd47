#pragma once

/// What a soak runs: entry hosts as processes, and stand-ins of the platform
/// behind proxies. It checks all the while that no host is in two groups and no
/// group opens before its members are ready.

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "filbertrack/event_loop.h"
#include "platform_runner_standin.h"
#include "platform_store_standin.h"
#include "soak_process.h"
#include "soak_proxy.h"

namespace filbertrack::soak {

/// A head that lost a member holds its requests for this long. Shorter than the
/// users' 5 s, so that more repairs fit into a run.
inline constexpr Duration kHeadStallTimeout = Milliseconds(1500);
inline constexpr Duration kGrace = Seconds(5);
/// Events of each streamed answer.
inline constexpr int kStreamEvents = 25;
/// A request with this body ends the backend server that runs it.
inline constexpr std::string_view kPoisonBody = "ends its server";

struct FleetOptions {
  /// Path of filbert-entry.
  std::string program;
  /// Folder for settings and logs.
  std::string folder;
  int entry_hosts = 3;
  int runners = 8;
  int plain_servers = 3;
};

struct EntryProcess {
  std::string name;
  Address callers;
  Address ready;
  std::unique_ptr<Proxy> store;
  std::unique_ptr<Process> process;
  bool paused = false;
  /// A signal that ends it was sent; its end is no fault of its own.
  std::optional<TimePoint> end_signalled_at;
  bool killed = false;
  /// When it was started, stopped, paused or woken.
  std::vector<TimePoint> disruptions;
};

struct RunnerHost {
  std::unique_ptr<PlatformRunnerStandin> standin;
  std::unique_ptr<Proxy> proxy;
  /// When faults of its link began and ended.
  std::vector<TimePoint> disruptions;
};

class Fleet : public RunnerObserver {
 public:
  Fleet(EventLoop& loop, const FleetOptions& options);
  ~Fleet() override;

  /// Starts the entry hosts; false if one cannot be started.
  bool Start();

  // RunnerObserver.
  void OnJoin(const PlatformRunnerStandin& runner,
              const std::string& group) override;
  void OnOpen(const PlatformRunnerStandin& runner) override;
  void OnCrash(const PlatformRunnerStandin& runner) override;

  void AddRunner();
  void AddPlainServer();
  void PutConfig();

  PlatformStoreStandin& store() { return m_store; }
  std::vector<std::unique_ptr<EntryProcess>>& entries() { return m_entries; }
  std::vector<std::unique_ptr<RunnerHost>>& runners() { return m_runners; }
  std::vector<std::unique_ptr<RunnerHost>>& plain() { return m_plain; }
  int CountOpenGroups() const;
  /// Runners that a request has ended.
  int crashes() const { return m_crashes; }

  std::vector<std::string>& violations() { return m_violations; }

 private:
  std::unique_ptr<RunnerHost> MakeHost(const std::string& id, bool plain);
  PlatformRunnerStandin* FindRunner(std::string_view id);
  /// Heads whose group lost a member break after the stall.
  void BreakHeads();
  void WatchProcesses();

  EventLoop& m_loop;
  FleetOptions m_options;
  PlatformStoreStandin m_store;
  std::vector<std::unique_ptr<EntryProcess>> m_entries;
  std::vector<std::unique_ptr<RunnerHost>> m_runners;
  std::vector<std::unique_ptr<RunnerHost>> m_plain;
  /// Since when the head of each group stands still.
  std::map<std::string, TimePoint> m_incomplete_since;
  /// Last group of each runner.
  std::map<std::string, std::string> m_last_group;
  std::vector<std::string> m_violations;
  std::unique_ptr<Timer> m_break_timer;
  std::unique_ptr<Timer> m_watch_timer;
  uint64_t m_config_version = 0;
  int m_crashes = 0;
  int m_next_runner = 0;
  int m_next_plain = 0;
};

}  // namespace filbertrack::soak

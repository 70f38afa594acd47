#pragma once

/// The system under test of a soak: entry hosts as processes, and stand-ins for
/// the platform behind proxies. While it runs, it checks that no runner is in
/// two groups, that no group opens before its members are ready, and that entry
/// hosts end only when told to.

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

/// How long the head of a group that lost a member holds its requests before it
/// aborts them. Shorter than the users' 5 s, so that more repairs fit into a
/// run.
inline constexpr Duration kHeadStallTimeout = Milliseconds(1500);
inline constexpr Duration kGrace = Seconds(5);
/// Events of each streamed response.
inline constexpr int kStreamEvents = 25;
/// A request with this body crashes the backend server that runs it.
inline constexpr std::string_view kPoisonBody = "ends its server";
/// Id of the part of a prompt that crashes the servers which begin to answer a
/// request with it.
inline constexpr std::string_view kFaultyPart = "5c1e07a2";
/// First part of the prompts of all streams.
inline constexpr std::string_view kFirstPart = "aa";

/// Entry hosts connect to the proxies of the store from this address.
inline constexpr const char* kStoreClient = "127.0.0.1";

struct FleetOptions {
  /// Path of filbert-entry.
  std::string program;
  /// Directory for settings and logs.
  std::string folder;
  int entry_hosts = 3;
  int runners = 8;
  int plain_servers = 3;
  /// Setting [placement] mode of the entry hosts.
  std::string placement = "auto";
  /// As RunnerStandinOptions::event_texts.
  std::vector<std::string> event_texts{};
};

struct EntryProcess {
  std::string name;
  /// IP address from which it connects to backend servers.
  std::string source;
  Address callers;
  Address ready;
  std::unique_ptr<Proxy> store;
  std::unique_ptr<Process> process;
  bool paused = false;
  /// When SIGTERM or SIGKILL was sent; nullopt: the process must not exit.
  std::optional<TimePoint> end_signalled_at;
  bool killed = false;
  /// When it was restarted, stopped, killed, paused or resumed, and when this
  /// process stalled.
  std::vector<TimePoint> disruptions;
};

struct RunnerHost {
  std::unique_ptr<PlatformRunnerStandin> standin;
  std::unique_ptr<Proxy> proxy;
  /// When faults of its link and lost responses started and ended.
  std::vector<TimePoint> disruptions;
};

class Fleet : public RunnerObserver {
 public:
  Fleet(EventLoop& loop, const FleetOptions& options);
  ~Fleet() override;

  /// Starts the entry hosts. Returns false if one cannot be started.
  bool Start();

  // RunnerObserver.
  void OnJoin(const PlatformRunnerStandin& runner,
              const std::string& group) override;
  void OnOpen(const PlatformRunnerStandin& runner) override;
  void OnCrash(const PlatformRunnerStandin& runner) override;

  /// Cuts the entry host off from all backend servers, also from those that are
  /// added before Heal().
  void Cut(const EntryProcess& entry, const LinkCut& cut);
  void Heal(const EntryProcess& entry);

  void AddRunner();
  void AddPlainServer();
  void PutConfig();

  PlatformStoreStandin& store() { return m_store; }
  std::vector<std::unique_ptr<EntryProcess>>& entries() { return m_entries; }
  std::vector<std::unique_ptr<RunnerHost>>& runners() { return m_runners; }
  std::vector<std::unique_ptr<RunnerHost>>& plain() { return m_plain; }
  int CountOpenGroups() const;
  /// Backend servers that a request has crashed.
  int crashes() const { return m_crashes; }

  std::vector<std::string>& violations() { return m_violations; }

  /// Adds a line with the current time to fault_log().
  void LogFault(const std::string& what);
  /// Faults, their ends, and restarts of entry hosts, with times in
  /// milliseconds since the start of the fleet.
  const std::vector<std::string>& fault_log() const { return m_fault_log; }

 private:
  std::unique_ptr<RunnerHost> MakeHost(const std::string& id, bool plain);
  PlatformRunnerStandin* FindRunner(std::string_view id);
  /// Breaks heads whose group has been incomplete for kHeadStallTimeout.
  void BreakHeads();
  void WatchProcesses();

  EventLoop& m_loop;
  FleetOptions m_options;
  PlatformStoreStandin m_store;
  std::vector<std::unique_ptr<EntryProcess>> m_entries;
  std::vector<std::unique_ptr<RunnerHost>> m_runners;
  std::vector<std::unique_ptr<RunnerHost>> m_plain;
  /// When each group was first seen incomplete while its head served.
  std::map<std::string, TimePoint> m_incomplete_since;
  /// Last group that each runner joined.
  std::map<std::string, std::string> m_last_group;
  std::vector<std::string> m_violations;
  std::vector<std::string> m_fault_log;
  TimePoint m_started_at = MonotonicNow();
  /// Cuts in force, by source.
  std::map<std::string, LinkCut> m_cuts;
  std::unique_ptr<Timer> m_break_timer;
  std::unique_ptr<Timer> m_watch_timer;
  uint64_t m_config_version = 0;
  int m_crashes = 0;
  int m_next_runner = 0;
  int m_next_plain = 0;
};

}  // namespace filbertrack::soak

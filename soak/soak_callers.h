#pragma once

/// Callers with persistent connections, and checks of the responses they get.

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "filbertrack/http_client.h"
#include "soak_fleet.h"

namespace filbertrack::soak {

class Callers;

enum class CallKind { kStream, kIdempotent, kNonIdempotent };

struct CallRecord {
  std::string id;
  CallKind kind = CallKind::kStream;
  std::string entry;
  TimePoint started_at;
  TimePoint ended_at;
  bool ended = false;
  /// The connection closed, or the caller timed out, before the response was
  /// complete.
  bool aborted = false;
  int status = 0;
  std::string response_id;
  std::string seal;
  std::string body;
};

/// What the requests that crash servers have in common.
enum class PoisonKind {
  /// They are copies of one request.
  kWholeRequest,
  /// A part of their prompts; nothing else.
  kPromptPart,
};

/// A caller that repeatedly sends requests that crash the servers which run
/// them, each with a new id and to a random entry host.
class PoisonCaller {
 public:
  PoisonCaller(EventLoop& loop,
               Fleet& fleet,
               Callers& callers,
               PoisonKind kind,
               uint64_t seed);
  ~PoisonCaller();

  void Start(Duration interval);
  void Stop();
  size_t copies() const { return m_copies; }

 private:
  void Send();

  EventLoop& m_loop;
  Fleet& m_fleet;
  Callers& m_callers;
  PoisonKind m_kind;
  std::mt19937_64 m_random;
  HttpClient m_client;
  std::unique_ptr<Timer> m_timer;
  std::map<std::string, std::unique_ptr<HttpCall>> m_open;
  size_t m_copies = 0;
};

class Callers {
 public:
  /// `event_texts` as RunnerStandinOptions::event_texts of the servers.
  Callers(EventLoop& loop,
          Fleet& fleet,
          uint64_t seed,
          const std::vector<std::string>& event_texts = {});
  ~Callers();

  void Start(Duration interval);
  void Stop();
  bool idle() const { return m_open.empty(); }

  /// Records that a fault that may close connections was active at `now`.
  void RecordDisruption(TimePoint now) { m_disruptions.push_back(now); }

  /// Checks all calls and appends violations. Call when idle() is true.
  void Check(std::vector<std::string>& violations);

  const std::deque<CallRecord>& records() const { return m_records; }
  size_t count() const { return m_records.size(); }
  size_t CountAnswered() const;
  /// Answered calls of this kind that started at or after `since`.
  size_t CountAnswered(CallKind kind, TimePoint since) const;

 private:
  void Call();
  void CheckResponse(const CallRecord& record,
                     std::vector<std::string>& violations) const;
  void CheckRunCount(const CallRecord& record,
                     std::vector<std::string>& violations);
  void CountRuns();
  bool IsUndisrupted(const CallRecord& record) const;

  EventLoop& m_loop;
  Fleet& m_fleet;
  std::mt19937_64 m_random;
  std::string m_complete_stream;
  std::unique_ptr<Timer> m_timer;
  /// One client per caller, so that no two callers share a connection.
  std::vector<std::unique_ptr<HttpClient>> m_clients;
  std::deque<CallRecord> m_records;
  std::map<std::string, std::unique_ptr<HttpCall>> m_open;
  std::map<std::string, std::unique_ptr<Timer>> m_timeouts;
  std::deque<TimePoint> m_disruptions;
  /// How often each request ran on a backend server, by request id.
  std::map<std::string, int> m_run_counts;
  uint64_t m_last_id = 0;
};

}  // namespace filbertrack::soak

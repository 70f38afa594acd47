#pragma once

/// Liveness and status reports of group members. Each engine writes heartbeat
/// lines to a long-lived HTTP response. The age of a line is computed so that
/// neither a line that was buffered nor a reader that was paused makes it look
/// recent.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "filbertrack/base_result.h"
#include "filbertrack/base_time.h"

namespace filbertrack {

enum class MemberPhase { kIdle, kLoading, kReady, kFailed };

/// Status of one engine, from its latest line that carried a report.
struct MemberReport {
  std::string host;
  /// Changes with every start of the engine; distinguishes an old process from
  /// a new one at the same address.
  std::string incarnation;
  std::string group;  ///< Empty: in no group.
  uint64_t epoch = 0;
  uint64_t fence = 0;
  MemberPhase phase = MemberPhase::kIdle;
  std::string model_version;
  int running = 0;  ///< Requests in progress.
  int queued = 0;
  int slots = 1;  ///< Maximum number of requests in progress.
  /// Time from arrival to first token for a request that does not queue.
  Duration prefill{0};
  /// Recent time between two output tokens.
  Duration token_interval{0};
  /// Hashes of cached prefixes; delayed, may have gaps.
  std::vector<std::string> cached_prefixes;
};

/// One heartbeat line: the engine's own clock, and its report if it changed
/// since the previous line.
struct HeartbeatLine {
  int64_t engine_clock_us = 0;
  std::optional<MemberReport> report;
};

/// Fails with kBadRequest if the line is not valid JSON or lacks a field.
Result<HeartbeatLine> ParseHeartbeatLine(std::string_view line);
std::string FormatHeartbeatLine(const HeartbeatLine& beat);

/// Load of an engine as sent in the response header Filbert-Load, a JSON array:
/// running, queued, slots, prefill in microseconds. It needs no message of its
/// own, and reaches entry hosts that do not watch the engine.
struct AnswerLoad {
  int running = 0;
  int queued = 0;
  int slots = 1;
  Duration prefill{0};
};

/// Fails with kBadRequest if the header cannot be parsed.
Result<AnswerLoad> ParseAnswerLoad(std::string_view text);
std::string FormatAnswerLoad(const AnswerLoad& load);

/// Liveness evidence about one member, kept by the process that reads its
/// heartbeat response.
class MemberEvidence {
 public:
  /// The heartbeat response was requested at `requested_at`, on this process's
  /// clock.
  void OnConnect(TimePoint requested_at);

  void OnHeartbeatLine(const HeartbeatLine& beat, TimePoint now);

  /// The first line came so late that all lines on this connection look older
  /// than they are; the reader should reconnect.
  bool NeedsReconnect() const { return m_needs_reconnect; }

  /// The connection was closed: the engine is known to be gone, not just
  /// silent.
  void OnDisconnected();

  /// Null until the first report has arrived.
  const MemberReport* report() const { return m_report ? &*m_report : nullptr; }

  /// Latest time at which the member is known to have been alive; nullopt if it
  /// never was, or if its connection was closed since.
  std::optional<TimePoint> alive_at() const { return m_alive_at; }

  bool connected() const { return m_connected; }

 private:
  std::optional<MemberReport> m_report;
  std::optional<TimePoint> m_alive_at;
  TimePoint m_requested_at;
  std::optional<Duration> m_clock_offset;
  bool m_connected = false;
  bool m_needs_reconnect = false;
};

}  // namespace filbertrack

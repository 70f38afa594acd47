#pragma once

/// What the members of groups say of themselves, and how old that is. Engines
/// write a line to a standing response; its age is counted so that neither a
/// line that waited in a buffer nor a paused reader makes it look fresh.

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

/// One engine's own account, from its latest full line.
struct MemberReport {
  std::string host;
  /// Changes with every start of the engine, so that an old process and a new
  /// one on the same address are told apart.
  std::string incarnation;
  std::string group;  ///< Empty: in no group.
  uint64_t epoch = 0;
  uint64_t fence = 0;
  MemberPhase phase = MemberPhase::kIdle;
  std::string model_version;
  int running = 0;  ///< Requests being answered.
  int queued = 0;
  int slots = 1;  ///< Requests answered at a time.
  /// Time from arrival to first token of a request without queue.
  Duration prefill{0};
  /// Recent time between two tokens.
  Duration token_interval{0};
  std::vector<std::string> cached_prefixes;  ///< Hashes; late and with gaps.
};

/// A line from a standing response: the engine's own clock, and its report
/// where that changed since the line before.
struct HeartbeatLine {
  int64_t engine_clock_us = 0;
  std::optional<MemberReport> report;
};

Result<HeartbeatLine> ParseHeartbeatLine(std::string_view line);
std::string FormatHeartbeatLine(const HeartbeatLine& beat);

/// What an engine says of its load in the header Filbert-Load of an answer, as
/// a JSON list: running, queued, slots, prefill in microseconds. It costs no
/// message, and reaches entry hosts that do not watch the engine.
struct AnswerLoad {
  int running = 0;
  int queued = 0;
  int slots = 1;
  Duration prefill{0};
};

Result<AnswerLoad> ParseAnswerLoad(std::string_view text);
std::string FormatAnswerLoad(const AnswerLoad& load);

/// Evidence about one member, kept by whoever reads its standing response.
class MemberEvidence {
 public:
  /// The standing response was asked for at `asked_at`, by this process's
  /// clock.
  void OnConnect(TimePoint requested_at);

  void OnHeartbeatLine(const HeartbeatLine& beat, TimePoint now);

  /// The first answer took so long that lines on this connection look older
  /// than they are; the reader asks anew.
  bool NeedsReconnect() const { return m_needs_reconnect; }

  /// The connection ended: the engine is known to be gone, not just silent.
  void OnDisconnected();

  /// Null until a report has come.
  const MemberReport* report() const { return m_report ? &*m_report : nullptr; }

  /// The member was alive at this time; nullopt where it never was or its
  /// connection broke since.
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

#include "filbertrack/groups_evidence.h"

#include <algorithm>
#include <array>

#include <nlohmann/json.hpp>

#include "filbertrack/base_json.h"

namespace filbertrack {

namespace {

using Json = nlohmann::json;

/// Lines are dated relative to the request. If the first line takes longer than
/// this, all lines of the connection are dated too early: a member that was
/// paused during the request would look lost for as long as the connection
/// lasts.
constexpr Duration kMaxFirstLineDelay = Milliseconds(100);

constexpr auto kPhaseNames =
    std::to_array<std::string_view>({"idle", "loading", "ready", "failed"});

MemberPhase PhaseFromName(const std::string& name) {
  for (size_t i = 0; i < kPhaseNames.size(); ++i) {
    if (kPhaseNames[i] == name) {
      return static_cast<MemberPhase>(i);
    }
  }
  // Phases unknown to this version are treated as idle, so the member gets no
  // requests.
  return MemberPhase::kIdle;
}

Json ReportToJson(const MemberReport& report) {
  return {{"host", report.host},
          {"incarnation", report.incarnation},
          {"group", report.group},
          {"epoch", report.epoch},
          {"fence", report.fence},
          {"phase", kPhaseNames[static_cast<size_t>(report.phase)]},
          {"model_version", report.model_version},
          {"running", report.running},
          {"queued", report.queued},
          {"slots", report.slots},
          {"prefill_us", report.prefill.count()},
          {"token_us", report.token_interval.count()},
          {"cached", report.cached_prefixes}};
}

MemberReport ReportFromJson(const Json& value) {
  MemberReport report;
  report.host = value.at("host");
  report.incarnation = value.at("incarnation");
  report.group = value.at("group");
  report.epoch = value.at("epoch");
  report.fence = value.at("fence");
  report.phase = PhaseFromName(value.at("phase"));
  report.model_version = value.at("model_version");
  report.running = value.at("running");
  report.queued = value.at("queued");
  report.slots = value.at("slots");
  report.prefill = Duration(value.at("prefill_us").get<int64_t>());
  report.token_interval = Duration(value.at("token_us").get<int64_t>());
  report.cached_prefixes = value.at("cached").get<std::vector<std::string>>();
  return report;
}

}  // namespace

Result<HeartbeatLine> ParseHeartbeatLine(std::string_view line) {
  const auto fail = [](const std::string& why) {
    return Fail(ResultCode::kBadRequest,
                "A heartbeat line of an engine cannot be parsed: " + why);
  };
  const Result<Json> value = ParseJson(line);
  if (!value) {
    return fail(value.error().message);
  }
  try {
    HeartbeatLine beat;
    beat.engine_clock_us = value->at("t");
    if (value->contains("r")) {
      beat.report = ReportFromJson(value->at("r"));
    }
    return beat;
  } catch (const Json::exception& error) {
    return fail(error.what());
  }
}

std::string FormatHeartbeatLine(const HeartbeatLine& beat) {
  Json value = {{"t", beat.engine_clock_us}};
  if (beat.report) {
    value["r"] = ReportToJson(*beat.report);
  }
  return value.dump() + "\n";
}

Result<AnswerLoad> ParseAnswerLoad(std::string_view text) {
  try {
    // at() throws on the null value of an invalid text.
    const Json value = ParseJson(text).value_or(Json());
    return AnswerLoad{value.at(0), value.at(1), value.at(2),
                      Duration(value.at(3).get<int64_t>())};
  } catch (const Json::exception&) {
    return Fail(ResultCode::kBadRequest,
                "The Filbert-Load header '" + std::string(text) +
                    "' of an engine's answer cannot be parsed.");
  }
}

std::string FormatAnswerLoad(const AnswerLoad& load) {
  return Json::array(
             {load.running, load.queued, load.slots, load.prefill.count()})
      .dump();
}

void MemberEvidence::OnConnect(TimePoint requested_at) {
  m_requested_at = requested_at;
  m_needs_reconnect = false;
  m_clock_offset.reset();
}

void MemberEvidence::OnHeartbeatLine(const HeartbeatLine& beat, TimePoint now) {
  m_connected = true;
  if (beat.report) {
    m_report = beat.report;
  }
  // Lines cannot be dated by their arrival: a reader that was paused finds old
  // lines in its socket and would take a dead member for a live one. The first
  // line cannot be older than the request, and the engine's clock gives the
  // time between lines. The age of each line is thus known to within the delay
  // of the first one, whenever it is read. The reader reconnects every few
  // minutes, which bounds the drift between the two clocks.
  const Duration engine_clock(beat.engine_clock_us);
  if (!m_clock_offset) {
    m_clock_offset = m_requested_at.time_since_epoch() - engine_clock;
    m_needs_reconnect = now - m_requested_at > kMaxFirstLineDelay;
  }
  const TimePoint sent(engine_clock + *m_clock_offset);
  m_alive_at = std::max(m_alive_at.value_or(sent), sent);
}

void MemberEvidence::OnDisconnected() {
  m_connected = false;
  m_alive_at.reset();
}

}  // namespace filbertrack

#pragma once

/// The hosts, targets and delays of the replay of placements.

#include <string>

#include "placement_replay.h"

namespace filbertrack {

inline const TimePoint kStart{Seconds(1000)};
inline const PoolKey kPool{"llm", "m"};
inline constexpr size_t kHosts = 97;
inline constexpr size_t kStrongHosts = 6;
inline constexpr size_t kTargets = 27;
inline constexpr int kSlots = 34;
/// Passes before each first event in addition to the engine's passes.
inline constexpr Duration kFirstDelay = Milliseconds(120);
inline constexpr Duration kReportInterval = Milliseconds(50);
/// Ages of reported loads in intervals: 100 ms within a data centre and 500 ms
/// between data centres.
inline constexpr size_t kLocalAge = 2;
inline constexpr size_t kRemoteAge = 10;
inline constexpr Duration kLength = Seconds(7);
/// Time in which a lost target or host becomes known.
inline constexpr Duration kDetection = Milliseconds(300);

inline std::string DataCentre(size_t number) {
  return "dc" + std::to_string(number % 3);
}

inline std::string TargetName(size_t number) {
  return "t" + std::to_string(number);
}

inline size_t TargetNumber(const std::string& name) {
  return std::stoul(name.substr(1));
}

inline Catalog MakeCatalog(double pace) {
  EngineProfile engine;
  engine.slots = kSlots;
  engine.step = Duration(6070);
  engine.step_per_request = Duration(241);
  engine.prompt_tokens_per_second = 46000;
  engine.chunk_tokens = 2048;
  engine.stride = 5;
  engine.usual_prompt_tokens = 714;
  engine.usual_answer_tokens = 115;
  engine.models = {{"m", 4, 1, pace, Seconds(12), Seconds(1)}};
  CatalogParts parts;
  parts.services["llm"] = {"llm", 300, engine};
  return Catalog(std::move(parts));
}

}  // namespace filbertrack

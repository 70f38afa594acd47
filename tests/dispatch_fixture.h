#pragma once

/// A TargetSelector with targets of one model, for the tests of dispatch.

#include <string>
#include <utility>
#include <vector>

#include "filbertrack/dispatch_selector.h"

namespace filbertrack {

inline const TimePoint kStart{Seconds(1000)};

inline Catalog MakeCatalog() {
  CatalogParts parts;
  EngineProfile engine;
  engine.slots = 17;
  engine.step = Duration(7800);
  engine.step_per_request = Duration(95);
  engine.step_per_1k_context = Duration(10);
  engine.prompt_tokens_per_second = 45900;
  engine.chunk_tokens = 2048;
  engine.stride = 5;
  engine.usual_prompt_tokens = 979;
  engine.usual_answer_tokens = 154;
  ModelProfile model;
  model.name = "m";
  model.members = 2;
  model.pace = 0.6;
  engine.models = {model};
  parts.services["llm"] = {"llm", 300, engine};
  parts.services["plain"] = {"plain", 100, std::nullopt};
  return Catalog(std::move(parts));
}

inline std::vector<DispatchTarget> MakeTargets(int count,
                                               const std::string& model) {
  std::vector<DispatchTarget> targets;
  for (int i = 0; i < count; ++i) {
    targets.push_back({"t" + std::to_string(i),
                       {"127.0.0.1", 1},
                       model.empty() ? "plain" : "llm",
                       model,
                       "dc",
                       17,
                       100});
  }
  return targets;
}

inline DispatchQuery MakeQuery(double prompt_tokens = 714) {
  DispatchQuery query;
  query.service = "llm";
  query.model = "m";
  query.prompt_tokens = prompt_tokens;
  query.time_to_slo = Milliseconds(300);
  query.time_left = Seconds(6);
  return query;
}

/// Compares all targets, for tests that expect a certain choice.
inline DispatchPolicy LookAtAll() {
  DispatchPolicy policy;
  policy.candidates = 100;
  return policy;
}

struct SelectorFixture {
  explicit SelectorFixture(int targets, DispatchPolicy policy = LookAtAll())
      : selector(policy, 1) {
    selector.SetTargets(MakeTargets(targets, "m"), MakeCatalog(), kStart);
  }

  /// Chooses a target and records the request as sent. Returns the id of the
  /// target; empty if the request was refused.
  std::string Place(const DispatchQuery& query, TimePoint now = kStart) {
    const auto decision = selector.Choose(query, now);
    const auto* choice = std::get_if<DispatchChoice>(&decision);
    if (choice == nullptr) {
      return "";
    }
    selector.OnSent(choice->target.id, query.prompt_tokens);
    return choice->target.id;
  }

  TargetSelector selector;
};

}  // namespace filbertrack

#pragma once

/// What the load tool sends and when: an open-loop schedule drawn from a seed,
/// so that a slow answer delays no later request, and a run can be repeated.

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "filbertrack/base_time.h"

namespace filbertrack {

enum class LoadKind { kStream, kNonStreamed, kPlain, kKeyed };

std::string_view LoadKindName(LoadKind kind);

struct LoadWorkspace {
  std::string key;
  double weight = 1;
};

struct LoadPolicy {
  uint64_t seed = 1;
  Duration duration = Seconds(10);
  double requests_per_second = 10;
  /// Parts of the whole; the rest is kWhole.
  double stream_share = 1;
  double plain_share = 0;
  double keyed_share = 0;
  /// Prompt prefixes, drawn with a weight of 1/rank^skew.
  int prefixes = 16;
  double prefix_skew = 1;
  int max_tokens = 32;
  std::vector<LoadWorkspace> workspaces;
};

/// One request, due at `at` after the start of the run.
struct PlannedRequest {
  uint64_t number = 0;
  Duration offset{0};
  LoadKind kind = LoadKind::kStream;
  size_t workspace = 0;
  int prefix = 0;
  int tokens = 0;
};

/// The whole schedule of a run.
std::vector<PlannedRequest> PlanLoad(const LoadPolicy& policy);

/// The text of a token as the engines' stand-in makes it for `messages`, the
/// JSON text of the request's messages.
std::string ExpectedToken(std::string_view messages, uint64_t index);

}  // namespace filbertrack

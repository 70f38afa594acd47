#pragma once

/// Generates the open-loop request schedule of the load tool from a seed. A
/// slow answer delays no later request, and a run can be repeated exactly.

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
  /// Fractions of all requests, in total at most 1; the rest is kNonStreamed.
  double stream_share = 1;
  double plain_share = 0;
  double keyed_share = 0;
  /// Number of distinct prompt prefixes; the one of rank r (from 1) is drawn
  /// with weight 1/r^prefix_skew.
  int prefixes = 16;
  double prefix_skew = 1;
  /// Each request asks for between half of this and this number of tokens.
  int max_tokens = 32;
  std::vector<LoadWorkspace> workspaces;
};

/// One scheduled request, due at `offset` after the start of the run.
struct PlannedRequest {
  uint64_t number = 0;
  Duration offset{0};
  LoadKind kind = LoadKind::kStream;
  size_t workspace = 0;
  int prefix = 0;
  int tokens = 0;
};

/// Generates the schedule of a run, sorted by time. Arrivals form a Poisson
/// process of the policy's rate.
std::vector<PlannedRequest> PlanLoad(const LoadPolicy& policy);

/// Returns the text of token number `index` as the stand-in engine generates it
/// for `messages`, the JSON text of the request's messages.
std::string ExpectedToken(std::string_view messages, uint64_t index);

}  // namespace filbertrack

#include "filbertrack/load_plan.h"

#include <cmath>

#include "filbertrack/base_hash.h"

namespace filbertrack {

namespace {

constexpr size_t kHashDigitsInToken = 4;

LoadKind DrawKind(const LoadPolicy& policy, std::mt19937_64& random) {
  std::uniform_real_distribution<double> uniform(0, 1);
  const double drawn = uniform(random);
  if (drawn < policy.stream_share) {
    return LoadKind::kStream;
  }
  if (drawn < policy.stream_share + policy.plain_share) {
    return LoadKind::kPlain;
  }
  if (drawn < policy.stream_share + policy.plain_share + policy.keyed_share) {
    return LoadKind::kKeyed;
  }
  return LoadKind::kNonStreamed;
}

}  // namespace

std::string_view LoadKindName(LoadKind kind) {
  switch (kind) {
    case LoadKind::kStream:
      return "stream";
    case LoadKind::kNonStreamed:
      return "whole";
    case LoadKind::kPlain:
      return "plain";
    case LoadKind::kKeyed:
      return "keyed";
  }
  return "stream";
}

std::vector<PlannedRequest> PlanLoad(const LoadPolicy& policy) {
  std::mt19937_64 random(policy.seed);
  std::exponential_distribution<double> gap(policy.requests_per_second);
  std::uniform_int_distribution<int> tokens(std::max(1, policy.max_tokens / 2),
                                            std::max(1, policy.max_tokens));
  std::vector<double> prefix_weights;
  for (int rank = 1; rank <= policy.prefixes; ++rank) {
    prefix_weights.push_back(1 / std::pow(rank, policy.prefix_skew));
  }
  std::discrete_distribution<int> prefix(prefix_weights.begin(),
                                         prefix_weights.end());
  std::vector<double> workspace_weights;
  for (const LoadWorkspace& workspace : policy.workspaces) {
    workspace_weights.push_back(workspace.weight);
  }
  std::discrete_distribution<size_t> workspace(workspace_weights.begin(),
                                               workspace_weights.end());
  std::vector<PlannedRequest> plan;
  double seconds = gap(random);
  while (seconds < ToSeconds(policy.duration)) {
    PlannedRequest request;
    request.number = plan.size();
    request.offset = FromSeconds(seconds);
    request.kind = DrawKind(policy, random);
    request.workspace = workspace(random);
    request.prefix = prefix(random);
    request.tokens = tokens(random);
    plan.push_back(request);
    seconds += gap(random);
  }
  return plan;
}

std::string ExpectedToken(std::string_view messages, uint64_t index) {
  return "t" + std::to_string(index) + "-" +
         Sha256Hex(messages).substr(0, kHashDigitsInToken) + " ";
}

}  // namespace filbertrack

#include "filbertrack/site_catalog.h"

#include <algorithm>

namespace filbertrack {

namespace {

constexpr double kPerThousand = 1e-3;

std::string RouteKey(std::string_view hostname, std::string_view prefix) {
  std::string key(hostname);
  key += ' ';
  key += prefix;
  return key;
}

}  // namespace

bool IsStream(RepeatRule rule) {
  return rule == RepeatRule::kResumable || rule == RepeatRule::kOnceStream;
}

bool MayRepeat(RepeatRule rule) {
  return rule == RepeatRule::kIdempotent || rule == RepeatRule::kResumable;
}

const ModelProfile* EngineProfile::FindModel(std::string_view name) const {
  const auto found = std::find_if(
      models.begin(), models.end(),
      [name](const ModelProfile& model) { return model.name == name; });
  return found == models.end() ? nullptr : &*found;
}

Duration PassTime(const EngineProfile& engine,
                  double pace,
                  double requests,
                  double chunk_tokens) {
  const double context =
      requests * (engine.usual_prompt_tokens + engine.usual_answer_tokens / 2);
  const double step =
      ToSeconds(engine.step) + ToSeconds(engine.step_per_request) * requests +
      ToSeconds(engine.step_per_1k_context) * context * kPerThousand;
  const double steps = requests > 0 ? step * engine.stride : 0;
  const double prompt_time =
      chunk_tokens / std::max(1.0, engine.prompt_tokens_per_second);
  return FromSeconds(pace * (steps + prompt_time));
}

Catalog::Catalog(CatalogParts parts) : m_parts(std::move(parts)) {
  for (size_t i = 0; i < m_parts.routes.size(); ++i) {
    const Route& route = m_parts.routes[i];
    m_route_by_prefix[RouteKey(route.hostname, route.path_prefix)] = i;
  }
}

const ServiceProfile* Catalog::FindService(std::string_view name) const {
  const auto found = m_parts.services.find(name);
  return found == m_parts.services.end() ? nullptr : &found->second;
}

const Route* Catalog::FindRoute(std::string_view hostname,
                                std::string_view path) const {
  path = path.substr(0, path.find('?'));
  while (!path.empty()) {
    // Prefixes end with a slash, so only positions after a slash can match.
    const size_t slash = path.rfind('/');
    if (slash == std::string_view::npos) {
      return nullptr;
    }
    path = path.substr(0, slash + 1);
    const auto found = m_route_by_prefix.find(RouteKey(hostname, path));
    if (found != m_route_by_prefix.end()) {
      return &m_parts.routes[found->second];
    }
    path.remove_suffix(1);
  }
  return nullptr;
}

const Workspace* Catalog::FindWorkspace(std::string_view key) const {
  const auto found = m_parts.keys.find(std::string(key));
  return found == m_parts.keys.end() ? nullptr
                                     : &m_parts.workspaces[found->second];
}

const std::string& ChooseService(const Route& route, double draw) {
  double total = 0;
  for (const TrafficShare& share : route.shares) {
    total += share.weight;
  }
  double remaining = draw * total;
  for (const TrafficShare& share : route.shares) {
    remaining -= share.weight;
    if (remaining < 0) {
      return share.service;
    }
  }
  return route.shares.back().service;
}

bool SupersedesCatalog(const Catalog* current, const Catalog& next) {
  return current == nullptr || next.version() > current->version();
}

}  // namespace filbertrack

#pragma once

/// The configuration in force on an entry host: which requests there are, who
/// may send them, and what answers them. It is read whole and never changed.

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "filbertrack/base_time.h"

namespace filbertrack {

/// What may be done again after a request was sent.
enum class RepeatRule {
  /// Running twice does no harm.
  kIdempotent,
  /// Runs at most once.
  kOnce,
  /// A stream of events that another backend server can take up after a given
  /// event.
  kResumable,
  /// A stream of events that runs at most once.
  kOnceStream,
};

bool IsStream(RepeatRule rule);
bool MayRepeat(RepeatRule rule);

struct TrafficShare {
  std::string service;
  double weight = 1;
};

struct Route {
  std::string name;
  std::string hostname;
  /// Begins and ends with a slash.
  std::string path_prefix;
  RepeatRule repeat = RepeatRule::kOnce;
  std::vector<TrafficShare> shares;
  /// The longest that a caller is kept waiting.
  Duration timeout{0};
  /// An answer, or its first event, within this time is on time.
  Duration target_latency{0};
  /// The longest pause between events of an answer that is on time.
  Duration longest_pause{0};
  /// 0 is the most urgent.
  int priority = 0;
  /// Backend servers that one request may be sent to.
  int max_attempts = 1;
  /// Needs no key.
  bool is_public = false;
  /// Its requests reach only backend servers of these regions; empty: any.
  std::vector<std::string> regions;
};

/// A model that groups of hosts serve.
struct ModelProfile {
  std::string name;
  /// Hosts of a group.
  int members = 1;
  /// Part of the hosts' work that is this model's.
  double share = 1;
  /// Factor on all times of a group.
  double pace = 1;
  /// From the weight store onto a host.
  Duration load{0};
  /// From a host's own copy into memory.
  Duration warm_up{0};
};

/// How an engine spends its time. A pass reads at most `chunk_tokens` of
/// prompts and then makes `stride` steps, each of one token for every request
/// that writes.
struct EngineProfile {
  int slots = 1;
  double memory_tokens = 0;
  Duration step{0};
  Duration step_per_request{0};
  Duration step_per_1k_context{0};
  double prompt_tokens_per_second = 1;
  Duration prompt_per_million_pairs{0};
  int chunk_tokens = 0;
  int stride = 1;
  double loads_per_second = 1;
  int loads_at_once = 1;
  /// From the order to open a group until it serves.
  Duration open_delay{0};
  double usual_prompt_tokens = 0;
  double usual_answer_tokens = 0;
  std::vector<ModelProfile> models;

  /// Null where the model is not served.
  const ModelProfile* FindModel(std::string_view name) const;
};

struct ServiceProfile {
  std::string name;
  /// Connections that one backend server accepts from all entry hosts.
  int max_connections = 0;
  /// Only of services whose backend servers form groups.
  std::optional<EngineProfile> engine;
  /// A server that started during traffic is cold for so long; 0: never.
  Duration cold_after_start{0};
  /// Requests a second that a cold server bears; 0: it is not limited.
  double cold_requests_per_second = 0;
};

struct Workspace {
  std::string name;
  /// Goes before a route's.
  std::optional<int> priority;
  /// As of a route; where both name some, both bind.
  std::vector<std::string> regions{};
};

struct CallerLimits {
  size_t max_header_bytes = 16 * 1024;
  size_t max_body_bytes = 4 * 1024 * 1024;
  Duration header_timeout = Seconds(3);
  Duration idle_timeout = Seconds(15);
};

struct CatalogParts {
  uint64_t version = 0;
  std::vector<Route> routes;
  std::map<std::string, ServiceProfile, std::less<>> services;
  CallerLimits limits;
  /// False: requests need no key.
  bool has_workspaces = false;
  std::vector<Workspace> workspaces;
  /// Index into `workspaces` by key.
  std::unordered_map<std::string, size_t> keys;
};

class Catalog {
 public:
  explicit Catalog(CatalogParts parts);

  uint64_t version() const { return m_parts.version; }
  const std::map<std::string, ServiceProfile, std::less<>>& services() const {
    return m_parts.services;
  }
  const CallerLimits& limits() const { return m_parts.limits; }
  bool has_workspaces() const { return m_parts.has_workspaces; }
  size_t route_count() const { return m_parts.routes.size(); }

  const ServiceProfile* FindService(std::string_view name) const;

  /// The route of `hostname` with the longest prefix of `path`; the cost grows
  /// with the depth of the path, not with the number of routes. Null: none.
  const Route* FindRoute(std::string_view hostname,
                         std::string_view path) const;

  /// Null where nobody holds the key.
  const Workspace* FindWorkspace(std::string_view key) const;

 private:
  CatalogParts m_parts;
  /// Routes by host name and prefix, with a space between them.
  std::unordered_map<std::string, size_t> m_route_by_prefix;
};

/// The service that takes a request: `draw` in [0, 1) chooses by weight.
const std::string& ChooseService(const Route& route, double draw);

/// Whether `next` may replace what is in force: versions only grow, so that a
/// stale read of the store takes nothing back.
bool SupersedesCatalog(const Catalog* current, const Catalog& next);

}  // namespace filbertrack

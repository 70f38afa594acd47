#pragma once

/// The active configuration of an entry host: the routes, who may use them and
/// which services answer them. It is loaded as a whole and immutable.

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

/// Whether a request may be sent again after it was sent to a backend server.
enum class RepeatRule {
  /// May run more than once.
  kIdempotent,
  /// Runs at most once.
  kOnce,
  /// An event stream that another backend server can resume after a given
  /// event.
  kResumable,
  /// An event stream that runs at most once.
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
  /// Maximum time that a caller waits for the response.
  Duration timeout{0};
  /// A response, or its first event, meets the target within this time.
  Duration target_latency{0};
  /// Maximum gap between events of a stream that meets the target.
  Duration longest_pause{0};
  /// 0 is the highest priority.
  int priority = 0;
  /// Limit of the backend servers that one request is sent to.
  int max_attempts = 1;
  /// Requests need no key.
  bool is_public = false;
  /// Regions whose backend servers may receive the requests; empty if any may.
  std::vector<std::string> regions;
};

/// A model that is served by groups of hosts.
struct ModelProfile {
  std::string name;
  /// Number of hosts in a group.
  int members = 1;
  /// Fraction of the hosts' work that this model accounts for.
  double share = 1;
  /// Factor applied to all processing times of a group.
  double pace = 1;
  /// Time to load the weights from the weight store to a host.
  Duration load{0};
  /// Time to load a host's local copy into memory.
  Duration warm_up{0};
};

/// Timing model of an engine. A pass reads at most `chunk_tokens` prompt tokens
/// and then makes `stride` decode steps; each step yields one token for every
/// request that is generating.
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
  /// Time from the order to open a group until it serves.
  Duration open_delay{0};
  double usual_prompt_tokens = 0;
  double usual_answer_tokens = 0;
  std::vector<ModelProfile> models;

  /// Null if the model is not served.
  const ModelProfile* FindModel(std::string_view name) const;
};

/// Time of one pass of an engine in which `requests` generate tokens and
/// `chunk_tokens` prompt tokens are processed. `pace` is the model's time
/// factor relative to the engine profile.
Duration PassTime(const EngineProfile& engine,
                  double pace,
                  double requests,
                  double chunk_tokens);

struct ServiceProfile {
  std::string name;
  /// Limit of the connections to one backend server from all entry hosts
  /// together.
  int max_connections = 0;
  /// Set only for services whose backend servers form groups.
  std::optional<EngineProfile> engine;
  /// How long a server is cold if it started while there was traffic; 0 if
  /// never.
  Duration cold_after_start{0};
  /// Requests per second that a cold server can handle; 0 means no limit.
  double cold_requests_per_second = 0;
};

struct Workspace {
  std::string name;
  /// Overrides the route's priority.
  std::optional<int> priority;
  /// As in Route. If both are set, a server must satisfy both.
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
  /// If false, requests need no key.
  bool has_workspaces = false;
  std::vector<Workspace> workspaces;
  /// Index into `workspaces`, by key.
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
  const std::vector<Route>& routes() const { return m_parts.routes; }

  const ServiceProfile* FindService(std::string_view name) const;

  /// Returns the route of `hostname` with the longest matching prefix of
  /// `path`, or null. The cost depends on the depth of the path, not on the
  /// number of routes.
  const Route* FindRoute(std::string_view hostname,
                         std::string_view path) const;

  /// Null if no workspace has this key.
  const Workspace* FindWorkspace(std::string_view key) const;

 private:
  CatalogParts m_parts;
  /// Route index by host name and prefix, separated by a space.
  std::unordered_map<std::string, size_t> m_route_by_prefix;
};

/// Selects a service by weight; `draw` is a random number in [0, 1).
const std::string& ChooseService(const Route& route, double draw);

/// Whether `next` may replace the active catalog. Only a higher version may, so
/// that a stale read of the store reverts nothing.
bool SupersedesCatalog(const Catalog* current, const Catalog& next);

}  // namespace filbertrack

#pragma once

/// Resources that operators declare in the configuration, and their validation.

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "filbertrack/base_result.h"
#include "filbertrack/settings.h"

namespace filbertrack {

enum class ServiceType { kModel, kPlain };

/// A service that callers address: a model that serving groups run, or a plain
/// service with backend servers of its own.
struct Service {
  std::string name;
  ServiceType type = ServiceType::kModel;
  /// Weight of group downtime against stranded accelerators, from 0 (only
  /// stranded accelerators count) to 1 (only downtime counts).
  double downtime_weight = 0.5;
  /// Plain services only.
  std::vector<Address> backend_servers;
  /// Limit of requests in flight to each backend server.
  int max_in_flight = 64;
};

struct ModelVersion {
  std::string name;
  std::string service;
  int64_t weight_bytes = 0;
};

struct Adapter {
  std::string name;
  std::string service;
};

/// Replicas of one model version. Each replica runs on `members_per_replica`
/// hosts of one fabric domain.
struct ServingGroup {
  std::string name;
  std::string service;
  std::string model_version;
  /// Version to roll back to if `model_version` fails to load.
  std::string last_good_version;
  std::vector<std::string> adapters;
  int replicas = 1;
  int members_per_replica = 1;
  /// Hosts kept free for repairs in each domain that holds a replica.
  int spares_per_domain = 0;
};

struct Entitlement {
  std::string service;
  double requests_per_second = 0;
};

struct Workspace {
  std::string name;
  std::string key_sha256;
  /// 0 is the highest priority.
  int priority = 1;
  std::vector<Entitlement> entitlements;
};

/// All declared resources of one generation, by name.
struct Resources {
  std::map<std::string, Service, std::less<>> services;
  std::map<std::string, ModelVersion, std::less<>> model_versions;
  std::map<std::string, Adapter, std::less<>> adapters;
  std::map<std::string, ServingGroup, std::less<>> serving_groups;
  std::map<std::string, Workspace, std::less<>> workspaces;
};

/// Parses and validates a complete set: an object that maps "kind/name" to
/// fields. The error names the resource, the field, the value and the allowed
/// values.
Result<Resources> ParseResources(const nlohmann::json& set);

/// Returns the workspace whose key hashes to `key_sha256`, or null.
const Workspace* FindWorkspaceByKey(const Resources& resources,
                                    std::string_view key_sha256);

/// The service that a caller's model name refers to: the service of that name,
/// or the service of the adapter of that name. `service` is null if there is
/// neither.
struct ModelTarget {
  const Service* service = nullptr;
  std::string adapter;
};
ModelTarget FindModel(const Resources& resources, std::string_view model);

}  // namespace filbertrack

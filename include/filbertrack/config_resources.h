#pragma once

/// The resources that operators declare, and one generation of them.

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

/// What callers address: a model behind serving groups, or a plain service.
struct Service {
  std::string name;
  ServiceType type = ServiceType::kModel;
  /// From 0 (only stranded accelerators count) to 1 (only group downtime).
  double downtime_weight = 0.5;
  /// Plain services only.
  std::vector<Address> backend_servers;
  /// Per backend server.
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

/// Replicas of one model version, each on `members_per_replica` hosts of one
/// fabric domain.
struct ServingGroup {
  std::string name;
  std::string service;
  std::string model_version;
  /// Rolled back to when `model_version` fails to load.
  std::string last_good_version;
  std::vector<std::string> adapters;
  int replicas = 1;
  int members_per_replica = 1;
  /// Hosts kept free in each domain that holds a replica, to repair with.
  int spares_per_domain = 0;
};

struct Entitlement {
  std::string service;
  double requests_per_second = 0;
};

struct Workspace {
  std::string name;
  std::string key_sha256;
  /// 0 is served first.
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

/// Reads and validates a whole set: an object from "kind/name" to the fields.
/// The error names the resource, the field, the value and what is allowed.
Result<Resources> ParseResources(const nlohmann::json& set);

/// The workspace whose key hashes to `key_sha256`, or null.
const Workspace* FindWorkspaceByKey(const Resources& resources,
                                    std::string_view key_sha256);

/// The model service that a caller's model name means: a service itself, or
/// the one its adapter belongs to. Null where there is none.
struct ModelTarget {
  const Service* service = nullptr;
  std::string adapter;
};
ModelTarget FindModel(const Resources& resources, std::string_view model);

}  // namespace filbertrack

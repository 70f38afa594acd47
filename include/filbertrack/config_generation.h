#pragma once

/// Versioned configuration. A change is written in two steps: first an
/// immutable delta object, then a conditional update of the root object, which
/// names the delta and the hash of the resulting set of resources. A change
/// therefore takes effect completely or not at all, and if two operators write
/// at the same time, one of them gets a conflict. Nodes fetch deltas instead of
/// complete sets: at thousands of changes a day, complete sets would exceed
/// each node's budget for control traffic.

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <nlohmann/json.hpp>

#include "filbertrack/base_result.h"
#include "filbertrack/state_cache.h"

namespace filbertrack {

inline constexpr std::string_view kConfigRootKey = "config/root";
inline constexpr std::string_view kConfigDeltaPrefix = "config/delta/";
inline constexpr std::string_view kConfigSnapshotPrefix = "config/snapshot/";

/// A snapshot of the complete set is written every this many generations.
inline constexpr uint64_t kGenerationsPerSnapshot = 32;

/// The root object, which names the generation in force.
struct ConfigRoot {
  uint64_t generation = 0;
  std::string delta_key;
  /// ConfigSetHash() of the complete set of resources.
  std::string set_sha256;
  uint64_t snapshot_generation = 0;
  /// Empty if there is no snapshot; deltas then start from the empty set at
  /// generation 0.
  std::string snapshot_key;
};

/// Audit record of one change: who changed what, when and why.
struct ChangeRecord {
  std::string change_id;
  std::string author;
  std::string reason;
  int64_t wall_time_ms = 0;
  uint64_t generation = 0;
  std::string previous_delta_key;
  std::vector<std::string> changed;  ///< As from DiffResources().
};

/// The immutable record of one change. `change` maps "kind/name" to the new
/// fields, or to null if the resource is removed.
struct ConfigDelta {
  ChangeRecord record;
  nlohmann::json change;
};

/// All resources of one generation, as an object that maps "kind/name" to
/// fields.
struct ConfigSet {
  uint64_t generation = 0;
  nlohmann::json resources = nlohmann::json::object();
};

nlohmann::json ToJson(const ConfigRoot& root);
nlohmann::json ToJson(const ConfigDelta& delta);
nlohmann::json ToJson(const ConfigSet& set);
Result<ConfigRoot> ParseConfigRoot(std::string_view text);
Result<ConfigDelta> ParseConfigDelta(std::string_view text);
Result<ConfigSet> ParseConfigSet(std::string_view text);

std::string ConfigDeltaKey(uint64_t generation, std::string_view change_id);
std::string ConfigSnapshotKey(uint64_t generation, std::string_view change_id);

/// Returns the lower-case hexadecimal SHA-256 of the set's canonical text.
std::string ConfigSetHash(const nlohmann::json& resources);

/// Returns `current` with `change` applied; a null value removes the resource.
nlohmann::json MergeResources(const nlohmann::json& current,
                              const nlohmann::json& change);

/// Returns the added, removed and modified resources as "+kind/name",
/// "-kind/name" and "~kind/name".
std::vector<std::string> DiffResources(const nlohmann::json& before,
                                       const nlohmann::json& after);

/// The node has the generation that the root names or a newer one, or the cache
/// holds no root.
struct UpToDate {};
/// An object that must be fetched from a peer or the store before
/// FollowConfig() can continue.
struct NeedObject {
  std::string key;
};
/// A newer set is complete and has the hash that the root names.
struct AdoptSet {
  ConfigSet set;
};
/// The stored objects cannot be parsed or are inconsistent; nothing is adopted.
struct CorruptConfig {
  std::string message;
};
using FollowStep = std::variant<UpToDate, NeedObject, AdoptSet, CorruptConfig>;

/// Decides how a node with the set `own` in force reacts to the root in its
/// cache. A root of a lower or equal generation is ignored: adopting it would
/// revert a change that operators were told is in force.
FollowStep FollowConfig(const ObjectCache& cache, const ConfigSet& own);

/// Returns the keys of cached objects that are no longer needed: deltas up to
/// the snapshot that the cached root names, and all other snapshots. Unless
/// they are dropped, the memory of a process grows with every change ever made.
/// All hosts drop the same objects, so that their caches stay equal.
std::vector<std::string> ObsoleteConfigKeys(const ObjectCache& cache);

}  // namespace filbertrack

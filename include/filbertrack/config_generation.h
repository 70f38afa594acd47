#pragma once

/// Generations of the configuration. A change is written whole: an immutable
/// delta first, then one conditional update of the root object, which names
/// the delta and the hash of the set of resources that results. So a change
/// takes effect in full or not at all, and of two operators who race one gets a
/// conflict. Nodes fetch deltas, not whole sets: at thousands of changes a day
/// whole sets would cost each node more than its budget for control.

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

/// A whole set is written with every so many generations.
inline constexpr uint64_t kGenerationsPerSnapshot = 32;

/// The root object: which generation is in force.
struct ConfigRoot {
  uint64_t generation = 0;
  std::string delta_key;
  /// Of the canonical text of the whole set of resources.
  std::string set_sha256;
  uint64_t snapshot_generation = 0;
  std::string snapshot_key;  ///< Empty: the empty set at generation 0.
};

/// Who changed what, when and why.
struct ChangeRecord {
  std::string change_id;
  std::string author;
  std::string reason;
  int64_t wall_time_ms = 0;
  uint64_t generation = 0;
  std::string previous_delta_key;
  std::vector<std::string> changed;  ///< "+kind/name", "-…" or "~…".
};

/// The immutable record of one change: from "kind/name" to the new fields, or
/// to null where the resource is removed.
struct ConfigDelta {
  ChangeRecord record;
  nlohmann::json change;
};

/// The set of resources at one generation.
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

/// Lower-case hexadecimal SHA-256 of the set's canonical text.
std::string ConfigSetHash(const nlohmann::json& resources);

nlohmann::json MergeResources(const nlohmann::json& current,
                              const nlohmann::json& change);

/// What differs, as "+kind/name", "-kind/name" and "~kind/name".
std::vector<std::string> DiffResources(const nlohmann::json& before,
                                       const nlohmann::json& after);

/// The node has what the root names, or something newer.
struct UpToDate {};
/// An object that must be fetched, from a peer or the store, to go on.
struct NeedObject {
  std::string key;
};
/// A newer set is complete and its hash is the one that the root names.
struct AdoptSet {
  ConfigSet set;
};
/// Stored objects contradict each other; nothing is adopted.
struct CorruptConfig {
  std::string message;
};
using FollowStep = std::variant<UpToDate, NeedObject, AdoptSet, CorruptConfig>;

/// What a node that has `own` in force does about the root in its cache. A root
/// of a lower or equal generation changes nothing: adopting it would take back
/// a change that operators were told is in force.
FollowStep FollowConfig(const ObjectCache& cache, const ConfigSet& own);

/// Cached deltas and snapshots that nobody needs any more: those up to the
/// snapshot that the cached root names. Without dropping them a process would
/// grow by every change ever made. All hosts drop the same ones, so that their
/// caches stay equal.
std::vector<std::string> ObsoleteConfigKeys(const ObjectCache& cache);

}  // namespace filbertrack

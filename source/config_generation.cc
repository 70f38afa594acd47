#include "filbertrack/config_generation.h"

#include <algorithm>

#include "filbertrack/base_hash.h"
#include "filbertrack/base_json.h"

namespace filbertrack {

namespace {

using Json = nlohmann::json;

/// Parses `text` and converts it with `read`. Returns an error that names
/// `what` if the text is not JSON or has another structure.
template <typename Read>
auto ParseAs(std::string_view text, const std::string& what, Read read)
    -> Result<decltype(read(Json()))> {
  const auto fail = [&what](const std::string& why) {
    return Fail(ResultCode::kResourceInvalid,
                "The " + what + " cannot be parsed: " + why);
  };
  const Result<Json> value = ParseJson(text);
  if (!value) {
    return fail(value.error().message);
  }
  try {
    return read(*value);
  } catch (const Json::exception& error) {
    return fail(error.what());
  }
}

/// Deltas from a base generation to the root, newest first. If a delta is
/// missing or invalid, `complete` is false and `problem` says why.
struct Chain {
  std::vector<ConfigDelta> deltas;
  FollowStep problem;
  bool complete = false;
};

Chain CollectChain(const ObjectCache& cache,
                   const ConfigRoot& root,
                   uint64_t base_generation) {
  Chain chain;
  std::string key = root.delta_key;
  for (uint64_t generation = root.generation; generation > base_generation;
       --generation) {
    const StoredObject* object = cache.Find(key);
    if (object == nullptr) {
      chain.problem = NeedObject{key};
      return chain;
    }
    Result<ConfigDelta> delta = ParseConfigDelta(object->value);
    if (!delta || delta->record.generation != generation) {
      chain.problem =
          CorruptConfig{"The configuration change '" + key +
                        "' cannot be parsed or does not belong to generation " +
                        std::to_string(generation) + "."};
      return chain;
    }
    key = delta->record.previous_delta_key;
    chain.deltas.push_back(std::move(*delta));
  }
  chain.complete = true;
  return chain;
}

}  // namespace

Json ToJson(const ConfigRoot& root) {
  return {{"generation", root.generation},
          {"delta_key", root.delta_key},
          {"set_sha256", root.set_sha256},
          {"snapshot_generation", root.snapshot_generation},
          {"snapshot_key", root.snapshot_key}};
}

Json ToJson(const ConfigDelta& delta) {
  const ChangeRecord& record = delta.record;
  return {{"change_id", record.change_id},
          {"author", record.author},
          {"reason", record.reason},
          {"wall_time_ms", record.wall_time_ms},
          {"generation", record.generation},
          {"previous_delta_key", record.previous_delta_key},
          {"changed", record.changed},
          {"change", delta.change}};
}

Json ToJson(const ConfigSet& set) {
  return {{"generation", set.generation}, {"resources", set.resources}};
}

Result<ConfigRoot> ParseConfigRoot(std::string_view text) {
  return ParseAs(text, "configuration root", [](const Json& value) {
    return ConfigRoot{value.at("generation"), value.at("delta_key"),
                      value.at("set_sha256"), value.at("snapshot_generation"),
                      value.at("snapshot_key")};
  });
}

Result<ConfigDelta> ParseConfigDelta(std::string_view text) {
  return ParseAs(text, "configuration change", [](const Json& value) {
    ConfigDelta delta;
    delta.record = {value.at("change_id"),  value.at("author"),
                    value.at("reason"),     value.at("wall_time_ms"),
                    value.at("generation"), value.at("previous_delta_key"),
                    value.at("changed")};
    delta.change = value.at("change");
    return delta;
  });
}

Result<ConfigSet> ParseConfigSet(std::string_view text) {
  return ParseAs(text, "configuration snapshot", [](const Json& value) {
    return ConfigSet{value.at("generation"), value.at("resources")};
  });
}

std::string ConfigDeltaKey(uint64_t generation, std::string_view change_id) {
  return std::string(kConfigDeltaPrefix) + std::to_string(generation) + "-" +
         std::string(change_id);
}

std::string ConfigSnapshotKey(uint64_t generation, std::string_view change_id) {
  return std::string(kConfigSnapshotPrefix) + std::to_string(generation) + "-" +
         std::string(change_id);
}

std::string ConfigSetHash(const Json& resources) {
  return Sha256Hex(resources.dump());
}

Json MergeResources(const Json& current, const Json& change) {
  Json merged = current;
  for (const auto& [id, fields] : change.items()) {
    if (fields.is_null()) {
      merged.erase(id);
    } else {
      merged[id] = fields;
    }
  }
  return merged;
}

std::vector<std::string> DiffResources(const Json& before, const Json& after) {
  std::vector<std::string> lines;
  for (const auto& [id, fields] : after.items()) {
    if (!before.contains(id)) {
      lines.push_back("+" + id);
    } else if (before.at(id) != fields) {
      lines.push_back("~" + id);
    }
  }
  for (const auto& [id, fields] : before.items()) {
    if (!after.contains(id)) {
      lines.push_back("-" + id);
    }
  }
  return lines;
}

FollowStep FollowConfig(const ObjectCache& cache, const ConfigSet& own) {
  const StoredObject* root_object = cache.Find(kConfigRootKey);
  if (root_object == nullptr) {
    return UpToDate{};
  }
  const Result<ConfigRoot> root = ParseConfigRoot(root_object->value);
  if (!root) {
    return CorruptConfig{root.error().message};
  }
  if (root->generation <= own.generation) {
    return UpToDate{};
  }
  ConfigSet base = own;
  if (own.generation < root->snapshot_generation) {
    const StoredObject* snapshot = cache.Find(root->snapshot_key);
    if (snapshot == nullptr) {
      return NeedObject{root->snapshot_key};
    }
    Result<ConfigSet> parsed = ParseConfigSet(snapshot->value);
    if (!parsed) {
      return CorruptConfig{parsed.error().message};
    }
    base = std::move(*parsed);
  }
  const Chain chain = CollectChain(cache, *root, base.generation);
  if (!chain.complete) {
    return chain.problem;
  }
  for (auto delta = chain.deltas.rbegin(); delta != chain.deltas.rend();
       ++delta) {
    base.resources = MergeResources(base.resources, delta->change);
  }
  base.generation = root->generation;
  if (ConfigSetHash(base.resources) != root->set_sha256) {
    return CorruptConfig{"The resources of generation " +
                         std::to_string(root->generation) +
                         " do not match the hash in the configuration root."};
  }
  return AdoptSet{std::move(base)};
}

std::vector<std::string> ObsoleteConfigKeys(const ObjectCache& cache) {
  std::vector<std::string> keys;
  const StoredObject* root_object = cache.Find(kConfigRootKey);
  const Result<ConfigRoot> root = root_object == nullptr
                                      ? Fail(ResultCode::kNotFound, "")
                                      : ParseConfigRoot(root_object->value);
  if (!root) {
    return keys;
  }
  for (const StoredObject* object : cache.List(kConfigDeltaPrefix)) {
    const std::string number = object->key.substr(kConfigDeltaPrefix.size());
    if (std::strtoull(number.c_str(), nullptr, 10) <=
        root->snapshot_generation) {
      keys.push_back(object->key);
    }
  }
  for (const StoredObject* object : cache.List(kConfigSnapshotPrefix)) {
    if (object->key != root->snapshot_key) {
      keys.push_back(object->key);
    }
  }
  return keys;
}

}  // namespace filbertrack

#pragma once

/// What the operator's command does, one call after the other: reads and
/// changes the configuration in the object API, and asks entry hosts.

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "filbertrack/config_generation.h"
#include "filbertrack/config_resources.h"
#include "filbertrack/groups_state.h"
#include "filbertrack/http_client.h"
#include "filbertrack/settings.h"
#include "filbertrack/store_client.h"

namespace filbertrack {

SettingsSchema OperatorSchema();

/// The configuration as it stands in the store.
struct StoredConfig {
  ConfigRoot root;
  uint64_t root_version = 0;
  ConfigSet set;
};

/// A change that an operator asks for.
struct ChangeRequest {
  nlohmann::json change;
  std::string author;
  std::string reason;
  int64_t wall_time_ms = 0;
};

/// What a change did, or would do.
struct ChangeResult {
  uint64_t generation = 0;
  std::vector<std::string> changed;
};

/// A group with where it stands.
struct DomainReport {
  std::string domain;
  DomainState state;
  DomainHosts hosts;
};

/// One entry host's answer to "which generation is in force".
struct EntryHostReport {
  Address address;
  bool reachable = false;
  bool ready = false;
  uint64_t generation = 0;
  nlohmann::json status;
};

class OperatorClient {
 public:
  explicit OperatorClient(const Settings& settings);

  Result<StoredConfig> ReadConfig();

  /// What the change would do; refused where the result is not valid.
  Result<ChangeResult> Preview(const nlohmann::json& change);

  /// Applies the change whole or not at all. kConflict: another operator's
  /// change came first and nothing was applied. kStoreUnavailable: the store
  /// did not answer, and the message says whether the change took effect.
  Result<ChangeResult> Apply(const ChangeRequest& request);

  /// Records of the latest changes, newest first, at most `most`.
  Result<std::vector<ChangeRecord>> History(size_t max_records);

  Result<std::vector<DomainReport>> ReadDomains();

  std::vector<EntryHostReport> QueryEntryHosts();

  /// Waits until every entry host has `generation`; the error names those that
  /// have not.
  Result<bool> WaitInForce(uint64_t generation, Duration timeout);

 private:
  StoreResponse Get(const std::string& key);
  StoreResponse Put(const std::string& key,
                    const std::string& value,
                    uint64_t version);
  Result<std::vector<StoredObject>> List(const std::string& prefix);
  Result<bool> PutImmutable(const std::string& key, const std::string& value);
  Result<ChangeResult> ResolveUnknownWrite(const StoredConfig& before,
                                           const ChangeRecord& record,
                                           const ChangeRequest& request);
  Result<bool> ContainsChange(const StoredConfig& config,
                              uint64_t generation,
                              const std::string& change_id);
  void Pause(Duration delay);

  EventLoop m_loop;
  Settings m_settings;
  StoreClient m_store;
  HttpClient m_http;
};

}  // namespace filbertrack

#pragma once

/// Synchronous client of the operator's command-line tool: reads and changes
/// the configuration in the object API, and queries the status of entry hosts.
///
/// Calls that read the object API fail with kStoreUnavailable if it does not
/// answer.

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

/// The configuration as read from the store. Generation 0 and empty if the
/// store has none.
struct StoredConfig {
  ConfigRoot root;
  uint64_t root_version = 0;
  ConfigSet set;
};

/// A change requested by an operator.
struct ChangeRequest {
  /// Object that maps `kind/name` to fields; null removes a resource.
  nlohmann::json change;
  std::string author;
  std::string reason;
  int64_t wall_time_ms = 0;
};

/// The effect of a change, applied or previewed.
struct ChangeResult {
  uint64_t generation = 0;
  /// One line per difference; empty if the change has no effect.
  std::vector<std::string> changed;
};

/// The stored state of a fabric domain and the hosts that the platform lists
/// for it.
struct DomainReport {
  std::string domain;
  DomainState state;
  DomainHosts hosts;
};

/// Status of one entry host. `generation` is the one in force on it, 0 if the
/// host is unreachable.
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

  /// Returns the effect that the change would have, without applying it.
  /// kResourceInvalid: the resulting configuration would be invalid.
  Result<ChangeResult> Preview(const nlohmann::json& change);

  /// Applies the change atomically; one without effect is not written.
  /// kResourceInvalid: the resulting configuration would be invalid. kConflict:
  /// another operator's change came first and nothing was applied.
  /// kStoreUnavailable: the store did not answer; the message says that nothing
  /// was changed, or that it is unknown whether the change took effect.
  Result<ChangeResult> Apply(const ChangeRequest& request);

  /// Returns the records of the latest changes, newest first.
  Result<std::vector<ChangeRecord>> History(size_t max_records);

  Result<std::vector<DomainReport>> ReadDomains();

  /// Queries the entry hosts of the settings, one after the other.
  std::vector<EntryHostReport> QueryEntryHosts();

  /// Waits until `generation` or a later one is in force on every entry host.
  /// kNotInForce after `timeout`; the message names the entry hosts that lag or
  /// are unreachable.
  Result<bool> WaitInForce(uint64_t generation, Duration timeout);

 private:
  StoreResponse Get(const std::string& key);
  StoreResponse Put(const std::string& key,
                    const std::string& value,
                    uint64_t version);
  Result<std::vector<StoredObject>> List(const std::string& prefix);
  /// Creates an object under a key that no other change uses, with retries.
  Result<bool> PutImmutable(const std::string& key, const std::string& value);
  /// Finds out whether a write of the root that was not confirmed took effect,
  /// and applies the change again if it cannot take effect any more.
  Result<ChangeResult> ResolveUnknownWrite(const StoredConfig& before,
                                           const ChangeRecord& record,
                                           const ChangeRequest& request);
  /// Whether the history of `config`, back to `generation`, has the change.
  Result<bool> ContainsChange(const StoredConfig& config,
                              uint64_t generation,
                              const std::string& change_id);
  /// Runs the event loop for `delay`.
  void Pause(Duration delay);

  EventLoop m_loop;
  Settings m_settings;
  StoreClient m_store;
  HttpClient m_http;
};

}  // namespace filbertrack

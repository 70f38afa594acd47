#include "filbertrack/operator_client.h"

#include "filbertrack/base_hash.h"
#include "filbertrack/base_json.h"

namespace filbertrack {

namespace {

using Json = nlohmann::json;

constexpr int kStoreAttempts = 5;
constexpr Duration kStoreRetryDelay = Milliseconds(200);
constexpr Duration kStatusTimeout = Seconds(2);
constexpr Duration kPollInterval = Milliseconds(50);

tl::unexpected<Error> StoreUnavailable(const std::string& action) {
  return Fail(ResultCode::kStoreUnavailable,
              "The object API did not answer while " + action +
                  "; nothing was changed.");
}

Result<ChangeResult> ValidateChange(const Json& before,
                                    const Json& change,
                                    uint64_t generation) {
  if (!change.is_object()) {
    return Fail(
        ResultCode::kResourceInvalid,
        "The change must be a JSON object that maps kind/name to fields.");
  }
  const Json after = MergeResources(before, change);
  const Result<Resources> resources = ParseResources(after);
  if (!resources) {
    return tl::unexpected<Error>(resources.error());
  }
  return ChangeResult{generation, DiffResources(before, after)};
}

}  // namespace

SettingsSchema OperatorSchema() {
  return SettingsSchema({
      {"operator", "name", TextKey{"", true, {}},
       "Operator's name, recorded in the audit trail."},
      {"store", "address", AddressKey{""},
       "Address of the platform's object API."},
      {"store", "timeout",
       DurationKey{Seconds(2), Milliseconds(10), Seconds(60)},
       "Timeout of a call to the object API."},
      {"entry_hosts", "admin", AddressListKey{},
       "Admin addresses of the entry hosts that wait and status query."},
  });
}

OperatorClient::OperatorClient(const Settings& settings)
    : m_settings(settings),
      m_store(m_loop,
              settings.At("store", "address"),
              settings.Time("store", "timeout"),
              Seconds(1)),
      m_http(m_loop, 1) {}

StoreResponse OperatorClient::Get(const std::string& key) {
  StoreResponse result;
  for (int i = 0; i < kStoreAttempts; ++i) {
    m_store.Get(key, [&](StoreResponse answer) {
      result = std::move(answer);
      m_loop.Stop();
    });
    m_loop.Run();
    if (result.status != StoreStatus::kUnavailable) {
      break;
    }
    Pause(kStoreRetryDelay);
  }
  return result;
}

StoreResponse OperatorClient::Put(const std::string& key,
                                  const std::string& value,
                                  uint64_t version) {
  StoreResponse result;
  m_store.Put(key, value, version, [&](StoreResponse answer) {
    result = std::move(answer);
    m_loop.Stop();
  });
  m_loop.Run();
  return result;
}

Result<std::vector<StoredObject>> OperatorClient::List(
    const std::string& prefix) {
  WatchResponse result;
  m_store.Watch(prefix, 0, [&](WatchResponse answer) {
    result = std::move(answer);
    m_loop.Stop();
  });
  m_loop.Run();
  if (result.status != StoreStatus::kOk) {
    return StoreUnavailable("objects under '" + prefix + "' were read");
  }
  return std::move(result.objects);
}

void OperatorClient::Pause(Duration delay) {
  const std::unique_ptr<Timer> timer =
      m_loop.After(delay, [this] { m_loop.Stop(); });
  m_loop.Run();
}

Result<StoredConfig> OperatorClient::ReadConfig() {
  const StoreResponse root = Get(std::string(kConfigRootKey));
  if (root.status == StoreStatus::kNotFound) {
    return StoredConfig();
  }
  if (root.status != StoreStatus::kOk) {
    return StoreUnavailable("the configuration was read");
  }
  ObjectCache cache;
  cache.Offer(root.object);
  StoredConfig config;
  config.root_version = root.object.version;
  const Result<ConfigRoot> parsed = ParseConfigRoot(root.object.value);
  if (!parsed) {
    return tl::unexpected<Error>(parsed.error());
  }
  config.root = *parsed;
  while (true) {
    FollowStep step = FollowConfig(cache, config.set);
    if (auto* adopt = std::get_if<AdoptSet>(&step)) {
      config.set = std::move(adopt->set);
      return config;
    }
    if (const auto* corrupt = std::get_if<CorruptConfig>(&step)) {
      return Fail(ResultCode::kInternal, corrupt->message);
    }
    const auto* need = std::get_if<NeedObject>(&step);
    if (need == nullptr) {
      return config;
    }
    const StoreResponse object = Get(need->key);
    if (object.status != StoreStatus::kOk) {
      return StoreUnavailable("the configuration was read");
    }
    cache.Offer(object.object);
  }
}

Result<ChangeResult> OperatorClient::Preview(const Json& change) {
  const Result<StoredConfig> config = ReadConfig();
  if (!config) {
    return tl::unexpected<Error>(config.error());
  }
  return ValidateChange(config->set.resources, change,
                        config->set.generation + 1);
}

Result<bool> OperatorClient::PutImmutable(const std::string& key,
                                          const std::string& value) {
  for (int i = 0; i < kStoreAttempts; ++i) {
    const StoreResponse put = Put(key, value, 0);
    // The key contains the random id of this change, so an object that exists
    // there is its own: an earlier attempt took effect and its answer was lost.
    if (put.status == StoreStatus::kOk ||
        put.status == StoreStatus::kConflict) {
      return true;
    }
    Pause(kStoreRetryDelay);
  }
  return StoreUnavailable("the change was written");
}

Result<ChangeResult> OperatorClient::Apply(const ChangeRequest& request) {
  const Result<StoredConfig> before = ReadConfig();
  if (!before) {
    return tl::unexpected<Error>(before.error());
  }
  const uint64_t generation = before->set.generation + 1;
  Result<ChangeResult> checked =
      ValidateChange(before->set.resources, request.change, generation);
  if (!checked || checked->changed.empty()) {
    return checked;
  }
  ConfigDelta delta;
  delta.record = {RandomId(),           request.author, request.reason,
                  request.wall_time_ms, generation,     before->root.delta_key,
                  checked->changed};
  delta.change = request.change;
  const ChangeRecord& record = delta.record;
  const Json after = MergeResources(before->set.resources, request.change);
  ConfigRoot root = before->root;
  root.generation = generation;
  root.delta_key = ConfigDeltaKey(generation, record.change_id);
  root.set_sha256 = ConfigSetHash(after);
  const Result<bool> delta_written =
      PutImmutable(root.delta_key, ToJson(delta).dump());
  if (!delta_written) {
    return tl::unexpected<Error>(delta_written.error());
  }
  if (generation % kGenerationsPerSnapshot == 0) {
    root.snapshot_generation = generation;
    root.snapshot_key = ConfigSnapshotKey(generation, record.change_id);
    const Result<bool> written = PutImmutable(
        root.snapshot_key, ToJson(ConfigSet{generation, after}).dump());
    if (!written) {
      return tl::unexpected<Error>(written.error());
    }
  }
  const StoreResponse put = Put(std::string(kConfigRootKey),
                                ToJson(root).dump(), before->root_version);
  if (put.status == StoreStatus::kOk) {
    return checked;
  }
  return ResolveUnknownWrite(*before, record, request);
}

Result<ChangeResult> OperatorClient::ResolveUnknownWrite(
    const StoredConfig& before,
    const ChangeRecord& record,
    const ChangeRequest& request) {
  const Result<StoredConfig> current = ReadConfig();
  if (!current) {
    return Fail(ResultCode::kStoreUnavailable,
                "The object API did not answer. It is unknown whether change " +
                    record.change_id +
                    " took effect; 'filbertctl history' shows it if it did.");
  }
  const Result<bool> found =
      ContainsChange(*current, record.generation, record.change_id);
  if (!found) {
    return tl::unexpected<Error>(found.error());
  }
  if (*found) {
    return ChangeResult{record.generation, record.changed};
  }
  if (current->set.generation >= record.generation) {
    return Fail(ResultCode::kConflict,
                "Another operator's change was accepted first as generation " +
                    std::to_string(record.generation) +
                    "; nothing of this change was applied. Check "
                    "'filbertctl history' and apply again.");
  }
  // The write may still be in transit and take effect after it was reported as
  // failed. Rewriting the root unchanged increments its version, so that the
  // condition of the delayed write can no longer hold and a retry is safe.
  const StoreResponse fencing_write =
      Put(std::string(kConfigRootKey), ToJson(before.root).dump(),
          current->root_version);
  if (fencing_write.status != StoreStatus::kOk) {
    return ResolveUnknownWrite(before, record, request);
  }
  return Apply(request);
}

Result<bool> OperatorClient::ContainsChange(const StoredConfig& config,
                                            uint64_t generation,
                                            const std::string& change_id) {
  std::string key = config.root.delta_key;
  for (uint64_t g = config.root.generation; g >= generation && g > 0; --g) {
    const StoreResponse object = Get(key);
    if (object.status != StoreStatus::kOk) {
      return StoreUnavailable("the history was read");
    }
    const Result<ConfigDelta> delta = ParseConfigDelta(object.object.value);
    if (!delta) {
      return tl::unexpected<Error>(delta.error());
    }
    if (delta->record.change_id == change_id) {
      return true;
    }
    key = delta->record.previous_delta_key;
  }
  return false;
}

Result<std::vector<ChangeRecord>> OperatorClient::History(size_t max_records) {
  const Result<StoredConfig> config = ReadConfig();
  if (!config) {
    return tl::unexpected<Error>(config.error());
  }
  std::vector<ChangeRecord> records;
  std::string key = config->root.delta_key;
  while (!key.empty() && records.size() < max_records) {
    const StoreResponse object = Get(key);
    if (object.status != StoreStatus::kOk) {
      return StoreUnavailable("the history was read");
    }
    const Result<ConfigDelta> delta = ParseConfigDelta(object.object.value);
    if (!delta) {
      return tl::unexpected<Error>(delta.error());
    }
    records.push_back(delta->record);
    key = delta->record.previous_delta_key;
  }
  return records;
}

Result<std::vector<DomainReport>> OperatorClient::ReadDomains() {
  const Result<std::vector<StoredObject>> hosts =
      List(std::string(kPlatformHostsPrefix));
  const Result<std::vector<StoredObject>> states =
      List(std::string(kDomainStatePrefix));
  if (!hosts || !states) {
    return tl::unexpected<Error>(hosts ? states.error() : hosts.error());
  }
  std::vector<DomainReport> reports;
  for (const StoredObject& object : *hosts) {
    DomainReport report;
    report.domain = object.key.substr(kPlatformHostsPrefix.size());
    const Result<DomainHosts> list =
        ParseDomainHosts(report.domain, object.value);
    if (!list) {
      return tl::unexpected<Error>(list.error());
    }
    report.hosts = *list;
    for (const StoredObject& state : *states) {
      if (state.key != std::string(kDomainStatePrefix) + report.domain) {
        continue;
      }
      const Result<DomainState> parsed = ParseDomainState(state.value);
      if (!parsed) {
        return tl::unexpected<Error>(parsed.error());
      }
      report.state = *parsed;
    }
    reports.push_back(std::move(report));
  }
  return reports;
}

std::vector<EntryHostReport> OperatorClient::QueryEntryHosts() {
  std::vector<EntryHostReport> reports;
  for (const Address& address : m_settings.Addresses("entry_hosts", "admin")) {
    EntryHostReport report;
    report.address = address;
    std::string body;
    HttpCallRequest request;
    request.target = "/status";
    request.idle_timeout = kStatusTimeout;
    HttpCallEvents events;
    events.on_bytes = [&body](std::string_view bytes) { body += bytes; };
    events.on_end = [this](int) { m_loop.Stop(); };
    events.on_failure = [this](bool) { m_loop.Stop(); };
    const std::unique_ptr<HttpCall> call =
        m_http.Start(address, std::move(request), std::move(events));
    m_loop.Run();
    report.status = ParseJson(body).value_or(Json());
    if (report.status.is_object()) {
      report.reachable = true;
      report.ready = report.status.value("ready", false);
      report.generation = report.status.value("generation", uint64_t{0});
    }
    reports.push_back(std::move(report));
  }
  return reports;
}

Result<bool> OperatorClient::WaitInForce(uint64_t generation,
                                         Duration timeout) {
  const TimePoint deadline = MonotonicNow() + timeout;
  while (true) {
    std::string lagging;
    for (const EntryHostReport& report : QueryEntryHosts()) {
      if (report.generation < generation) {
        lagging += " " + report.address.ToString() +
                   (report.reachable ? "" : " (unreachable)");
      }
    }
    if (lagging.empty()) {
      return true;
    }
    if (MonotonicNow() >= deadline) {
      return Fail(ResultCode::kNotInForce,
                  "Generation " + std::to_string(generation) +
                      " was accepted but is not yet in force on:" + lagging +
                      ".");
    }
    Pause(kPollInterval);
  }
}

}  // namespace filbertrack

#include "filbertrack/config_resources.h"

#include <algorithm>
#include <set>

#include <nlohmann/json.hpp>

#include "filbertrack/base_hash.h"

namespace filbertrack {

namespace {

using Json = nlohmann::json;

constexpr size_t kSha256HexDigits = 64;
constexpr double kMaxRequestsPerSecond = 1e6;

/// Reads the fields of one resource and records the first error.
class FieldReader {
 public:
  FieldReader(std::string resource, const Json& fields)
      : m_resource(std::move(resource)), m_fields(fields) {
    if (!fields.is_object()) {
      SetError("", fields, "an object of fields");
    }
  }

  std::string Text(const std::string& field, const std::string& fallback) {
    const Json* value = Find(field);
    if (value == nullptr) {
      return fallback;
    }
    if (!value->is_string()) {
      SetError(field, *value, "a string");
      return fallback;
    }
    return value->get<std::string>();
  }

  double Number(const std::string& field,
                double fallback,
                double lowest,
                double highest) {
    const Json* value = Find(field);
    if (value == nullptr) {
      return fallback;
    }
    if (!value->is_number() || value->get<double>() < lowest ||
        value->get<double>() > highest) {
      SetError(field, *value,
               "a number from " + Json(lowest).dump() + " to " +
                   Json(highest).dump());
      return fallback;
    }
    return value->get<double>();
  }

  int Integer(const std::string& field, int fallback, int lowest, int highest) {
    const Json* value = Find(field);
    if (value == nullptr) {
      return fallback;
    }
    if (!value->is_number_integer() || value->get<int64_t>() < lowest ||
        value->get<int64_t>() > highest) {
      SetError(field, *value,
               "an integer from " + std::to_string(lowest) + " to " +
                   std::to_string(highest));
      return fallback;
    }
    return value->get<int>();
  }

  std::vector<std::string> Texts(const std::string& field) {
    std::vector<std::string> texts;
    const Json* value = Find(field);
    if (value == nullptr) {
      return texts;
    }
    if (!value->is_array()) {
      SetError(field, *value, "a list of strings");
      return texts;
    }
    for (const Json& entry : *value) {
      if (!entry.is_string()) {
        SetError(field, entry, "a string");
        return texts;
      }
      texts.push_back(entry.get<std::string>());
    }
    return texts;
  }

  /// Returns the raw list of a field; empty if the field is absent.
  Json List(const std::string& field) {
    const Json* value = Find(field);
    if (value == nullptr) {
      return Json::array();
    }
    if (!value->is_array()) {
      SetError(field, *value, "a list");
      return Json::array();
    }
    return *value;
  }

  void SetError(const std::string& field,
                const Json& value,
                const std::string& allowed) {
    if (!m_error.empty()) {
      return;
    }
    m_error = "The resource '" + m_resource + "', field '" + field +
              "', has the value " +
              value.dump(-1, ' ', false, Json::error_handler_t::replace) +
              "; allowed: " + allowed + ".";
  }

  /// Returns the first error, or an empty string. Fields that were not read are
  /// unknown and count as errors.
  std::string Finish() {
    if (!m_error.empty() || !m_fields.is_object()) {
      return m_error;
    }
    for (const auto& [field, value] : m_fields.items()) {
      if (!m_read_fields.contains(field)) {
        SetError(field, value, "nothing, because the field is unknown");
      }
    }
    return m_error;
  }

 private:
  const Json* Find(const std::string& field) {
    m_read_fields.insert(field);
    if (!m_fields.is_object() || !m_fields.contains(field)) {
      return nullptr;
    }
    return &m_fields[field];
  }

  std::string m_resource;
  const Json& m_fields;
  std::set<std::string> m_read_fields;
  std::string m_error;
};

Service ReadService(const std::string& name, FieldReader& reader) {
  Service service;
  service.name = name;
  const std::string type = reader.Text("type", "model");
  if (type != "model" && type != "plain") {
    reader.SetError("type", type, "model or plain");
  }
  service.type = type == "plain" ? ServiceType::kPlain : ServiceType::kModel;
  service.downtime_weight = reader.Number("downtime_weight", 0.5, 0, 1);
  service.max_in_flight = reader.Integer("max_in_flight", 64, 1, 100000);
  for (const std::string& text : reader.Texts("backend_servers")) {
    const Result<Address> address = ParseServerAddress(text);
    if (!address) {
      reader.SetError("backend_servers", text, "an IP address with a port");
      continue;
    }
    service.backend_servers.push_back(*address);
  }
  return service;
}

ServingGroup ReadServingGroup(const std::string& name, FieldReader& reader) {
  ServingGroup group;
  group.name = name;
  group.service = reader.Text("service", "");
  group.model_version = reader.Text("model_version", "");
  group.last_good_version = reader.Text("last_good_version", "");
  group.adapters = reader.Texts("adapters");
  group.replicas = reader.Integer("replicas", 1, 0, 1000);
  group.members_per_replica = reader.Integer("members_per_replica", 1, 1, 64);
  group.spares_per_domain = reader.Integer("spares_per_domain", 0, 0, 64);
  return group;
}

Workspace ReadWorkspace(const std::string& name, FieldReader& reader) {
  Workspace workspace;
  workspace.name = name;
  workspace.key_sha256 = reader.Text("key_sha256", "");
  if (workspace.key_sha256.size() != kSha256HexDigits) {
    reader.SetError("key_sha256", workspace.key_sha256,
                    "the 64 hexadecimal digits of the key's SHA-256");
  }
  workspace.priority = reader.Integer("priority", 1, 0, 9);
  std::string resource = "workspace/";
  resource += name;
  for (const Json& row : reader.List("entitlements")) {
    FieldReader fields(resource, row);
    Entitlement entitlement;
    entitlement.service = fields.Text("service", "");
    entitlement.requests_per_second =
        fields.Number("requests_per_second", 0, 0, kMaxRequestsPerSecond);
    const std::string error = fields.Finish();
    if (!error.empty()) {
      reader.SetError("entitlements", row, error);
    }
    workspace.entitlements.push_back(entitlement);
  }
  return workspace;
}

/// Returns an error for the first reference to an undeclared resource, or an
/// empty string.
std::string FindDanglingReference(const Resources& resources) {
  const auto lacks_service = [&resources](const std::string& name) {
    return !resources.services.contains(name);
  };
  const auto error = [](const std::string& resource, const std::string& field,
                        const std::string& value) {
    return "The resource '" + resource + "', field '" + field +
           "', refers to '" + value + "', which is not declared.";
  };
  for (const auto& [name, version] : resources.model_versions) {
    if (lacks_service(version.service)) {
      return error("model_version/" + name, "service", version.service);
    }
  }
  for (const auto& [name, adapter] : resources.adapters) {
    if (lacks_service(adapter.service)) {
      return error("adapter/" + name, "service", adapter.service);
    }
  }
  for (const auto& [name, group] : resources.serving_groups) {
    const std::string resource = "serving_group/" + name;
    if (lacks_service(group.service)) {
      return error(resource, "service", group.service);
    }
    if (!resources.model_versions.contains(group.model_version)) {
      return error(resource, "model_version", group.model_version);
    }
    if (!group.last_good_version.empty() &&
        !resources.model_versions.contains(group.last_good_version)) {
      return error(resource, "last_good_version", group.last_good_version);
    }
    for (const std::string& adapter : group.adapters) {
      if (!resources.adapters.contains(adapter)) {
        return error(resource, "adapters", adapter);
      }
    }
  }
  for (const auto& [name, workspace] : resources.workspaces) {
    for (const Entitlement& entitlement : workspace.entitlements) {
      if (lacks_service(entitlement.service)) {
        return error("workspace/" + name, "entitlements", entitlement.service);
      }
    }
  }
  return "";
}

tl::unexpected<Error> UnknownKindError(const std::string& id,
                                       const std::string& kind) {
  return Fail(ResultCode::kResourceInvalid,
              "The resource '" + id + "' has the kind '" + kind +
                  "'; allowed: service, model_version, adapter, "
                  "serving_group and workspace.");
}

}  // namespace

Result<Resources> ParseResources(const Json& set) {
  Resources resources;
  if (!set.is_object()) {
    return Fail(ResultCode::kResourceInvalid,
                "The set of resources must be an object from kind/name to "
                "fields.");
  }
  for (const auto& [id, fields] : set.items()) {
    const size_t slash = id.find('/');
    const std::string kind = id.substr(0, slash);
    const std::string name =
        slash == std::string::npos ? "" : id.substr(slash + 1);
    if (name.empty()) {
      return Fail(ResultCode::kResourceInvalid,
                  "The resource '" + id + "' must be written as kind/name.");
    }
    FieldReader reader(id, fields);
    if (kind == "service") {
      resources.services[name] = ReadService(name, reader);
    } else if (kind == "model_version") {
      resources.model_versions[name] = {
          name, reader.Text("service", ""),
          static_cast<int64_t>(reader.Number("weight_bytes", 0, 0, 1e15))};
    } else if (kind == "adapter") {
      resources.adapters[name] = {name, reader.Text("service", "")};
    } else if (kind == "serving_group") {
      resources.serving_groups[name] = ReadServingGroup(name, reader);
    } else if (kind == "workspace") {
      resources.workspaces[name] = ReadWorkspace(name, reader);
    } else {
      return UnknownKindError(id, kind);
    }
    const std::string error = reader.Finish();
    if (!error.empty()) {
      return Fail(ResultCode::kResourceInvalid, error);
    }
  }
  const std::string dangling = FindDanglingReference(resources);
  if (!dangling.empty()) {
    return Fail(ResultCode::kResourceInvalid, dangling);
  }
  return resources;
}

const Workspace* FindWorkspaceByKey(const Resources& resources,
                                    std::string_view key_sha256) {
  // Compares the key with all workspaces, so that the response time reveals
  // neither which workspace matched nor how much of a wrong key did.
  const Workspace* found = nullptr;
  for (const auto& [name, workspace] : resources.workspaces) {
    if (ConstantTimeEqual(workspace.key_sha256, key_sha256)) {
      found = &workspace;
    }
  }
  return found;
}

ModelTarget FindModel(const Resources& resources, std::string_view model) {
  const auto service = resources.services.find(model);
  if (service != resources.services.end()) {
    return {&service->second, ""};
  }
  const auto adapter = resources.adapters.find(model);
  if (adapter == resources.adapters.end()) {
    return {};
  }
  const auto base = resources.services.find(adapter->second.service);
  return {&base->second, adapter->first};
}

}  // namespace filbertrack

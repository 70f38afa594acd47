#include "store.h"

#include <algorithm>
#include <chrono>

#include <nlohmann/json.hpp>

namespace review {

namespace {

using Json = nlohmann::json;

constexpr const char* kPrefix = "/objects/";
/// Names on one page of a listing.
constexpr size_t kPage = 500;

Response Reply(int status, std::string body) {
  Response response;
  response.status = status;
  response.headers.emplace_back("Content-Type", "application/json");
  response.body = std::move(body);
  return response;
}

}  // namespace

Store::Store(const std::string& host, int endpoints) {
  for (int entry = 0; entry < endpoints; ++entry) {
    m_servers.push_back(
        std::make_unique<Server>(host, [this, entry](const Request& request) {
          return Handle(entry, request);
        }));
  }
}

Store::~Store() {
  {
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
  }
  m_changed.notify_all();
  m_servers.clear();
}

std::string Store::ToJson(const Object& object) {
  return R"({"metadata":{"name":")" + object.name + R"(","rev":)" +
         std::to_string(object.revision) +
         R"(,"created":1,"finalizers":[],"deleting":false},"spec":)" +
         object.spec + R"(,"status":null})";
}

void Store::Apply(const std::string& kind,
                  const std::string& name,
                  const std::string& spec) {
  Object& object = m_objects[kind][name];
  object = {name, spec, ++m_revision};
  m_history.push_back({m_revision, kind, ToJson(object), false});
  m_changed.notify_all();
}

void Store::Put(const std::string& kind,
                const std::string& name,
                const std::string& spec) {
  const std::lock_guard lock(m_mutex);
  Apply(kind, name, spec);
}

void Store::Remove(const std::string& kind, const std::string& name) {
  const std::lock_guard lock(m_mutex);
  const auto found = m_objects[kind].find(name);
  if (found == m_objects[kind].end()) {
    return;
  }
  m_history.push_back({++m_revision, kind, ToJson(found->second), true});
  m_objects[kind].erase(found);
  m_changed.notify_all();
}

void Store::ResetWatch(int entry, const std::string& kind) {
  const std::lock_guard lock(m_mutex);
  m_reset.insert(m_watches[{entry, kind}]);
  m_changed.notify_all();
}

Response Store::Handle(int entry, const Request& request) {
  const Connection connection{entry, request.connection};
  Response response = Answer(connection, request);
  const std::lock_guard lock(m_mutex);
  response.reset = m_reset.contains(connection);
  return response;
}

Response Store::Answer(const Connection& connection, const Request& request) {
  if (request.path.rfind(kPrefix, 0) != 0) {
    return Reply(404, "{}");
  }
  const std::string path = request.path.substr(std::string(kPrefix).size());
  const size_t slash = path.find('/');
  const std::string kind = path.substr(0, slash);
  const std::string name =
      slash == std::string::npos ? "" : path.substr(slash + 1);
  if (request.method != "GET") {
    return Write(request, kind, name);
  }
  if (!request.Query("watch").empty()) {
    return Watch(connection, request, kind);
  }
  if (name.empty()) {
    return List(request, kind);
  }
  const std::lock_guard lock(m_mutex);
  const auto found = m_objects[kind].find(name);
  return found == m_objects[kind].end() ? Reply(404, "{}")
                                        : Reply(200, ToJson(found->second));
}

Response Store::List(const Request& request, const std::string& kind) {
  const std::lock_guard lock(m_mutex);
  const auto& objects = m_objects[kind];
  const std::string after = request.Query("after");
  auto it = after.empty() ? objects.begin() : objects.upper_bound(after);
  std::string items;
  for (size_t count = 0; it != objects.end() && count < kPage; ++it, ++count) {
    items += (items.empty() ? "" : ",") + ToJson(it->second);
  }
  return Reply(200, R"({"items":[)" + items + R"(],"hasMore":)" +
                        (it == objects.end() ? "false" : "true") +
                        R"(,"asOf":)" + std::to_string(m_revision) + "}");
}

Response Store::Watch(const Connection& connection,
                      const Request& request,
                      const std::string& kind) {
  const uint64_t since =
      std::strtoull(request.Query("watch").c_str(), nullptr, 10);
  const long wait_ms =
      std::strtol(request.Query("waitMs").c_str(), nullptr, 10);
  std::unique_lock lock(m_mutex);
  m_watches[{connection.first, kind}] = connection;
  const auto until =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(wait_ms);
  while (true) {
    std::string events;
    for (const Event& event : m_history) {
      if (event.revision > since && event.kind == kind) {
        events += (events.empty() ? R"({"object":)" : R"(,{"object":)") +
                  event.object + R"(,"deleted":)" +
                  (event.deleted ? "true" : "false") + "}";
      }
    }
    if (!events.empty() || m_stopping || m_reset.contains(connection) ||
        std::chrono::steady_clock::now() >= until) {
      return Reply(200, R"({"events":[)" + events + R"(],"asOf":)" +
                            std::to_string(m_revision) + "}");
    }
    m_changed.wait_until(lock, until);
  }
}

Response Store::Write(const Request& request,
                      const std::string& kind,
                      const std::string& name) {
  const std::lock_guard lock(m_mutex);
  if (request.method == "DELETE") {
    return Reply(400, "{}");
  }
  const Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object() || !body.contains("metadata")) {
    return Reply(400, "{}");
  }
  const bool creates = request.method == "POST";
  const std::string target =
      creates ? body["metadata"].value("name", "") : name;
  const auto found = m_objects[kind].find(target);
  const bool exists = found != m_objects[kind].end();
  if (!creates && !exists) {
    return Reply(404, "{}");
  }
  const bool stale =
      exists && body["metadata"].contains("rev") &&
      body["metadata"]["rev"].get<uint64_t>() != found->second.revision;
  if ((creates && exists) || stale) {
    return Reply(409, ToJson(found->second));
  }
  const std::string spec = body.value("spec", Json()).dump();
  // A write that changes nothing keeps the revision.
  if (!exists || found->second.spec != spec) {
    Apply(kind, target, spec);
  }
  return Reply(200, ToJson(m_objects[kind][target]));
}

}  // namespace review

#pragma once

/// Stand-in for the platform's metadata store: objects by kind and name,
/// conditional writes, listings and watches.

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "http.h"

namespace review {

class Store {
 public:
  /// Listens on one endpoint for each entry host.
  Store(const std::string& host, int endpoints);
  ~Store();

  const Endpoint& endpoint(int entry) const {
    return m_servers[static_cast<size_t>(entry)]->endpoint();
  }

  /// Writes as the operator, a runner or another writer does. `spec` is JSON
  /// text; listings and watches send it as it is.
  void Put(const std::string& kind,
           const std::string& name,
           const std::string& spec);
  void Remove(const std::string& kind, const std::string& name);

  /// Resets the connection on which an entry host watches this kind. Its other
  /// connections are left alone.
  void ResetWatch(int entry, const std::string& kind);

 private:
  struct Object {
    std::string name;
    std::string spec;
    uint64_t revision = 0;
  };
  struct Event {
    uint64_t revision = 0;
    std::string kind;
    std::string object;
    bool deleted = false;
  };

  /// Identifies a connection to an endpoint.
  using Connection = std::pair<int, int>;

  Response Handle(int entry, const Request& request);
  Response Answer(const Connection& connection, const Request& request);
  Response List(const Request& request, const std::string& kind);
  Response Watch(const Connection& connection,
                 const Request& request,
                 const std::string& kind);
  Response Write(const Request& request,
                 const std::string& kind,
                 const std::string& name);
  void Apply(const std::string& kind,
             const std::string& name,
             const std::string& spec);
  static std::string ToJson(const Object& object);
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, std::map<std::string, Object>> m_objects;
  std::vector<Event> m_history;
  uint64_t m_revision = 1;
  bool m_stopping = false;
  std::set<Connection> m_reset;
  /// The connection of the latest watch, by entry host and kind.
  std::map<std::pair<int, std::string>, Connection> m_watches;
  std::vector<std::unique_ptr<Server>> m_servers;
};

}  // namespace review

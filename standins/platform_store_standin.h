#pragma once

/// Stand-in for the platform's metadata store, implemented from the platform's
/// documentation: objects by kind and name with revisions, conditional writes,
/// paged listings, watches, and injected faults.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "filbertrack/http_server.h"

namespace filbertrack {

struct StoreStandinFaults {
  /// All calls are answered with this HTTP status; 0: normal operation.
  int refuse_with = 0;
  /// Calls get no response; the connection stays open.
  bool silent = false;
  /// Number of next writes that are stored but whose response is lost.
  int lost_writes = 0;
  /// Delay of each call.
  Duration delay{0};
  /// Calls to second_address() are answered with 503.
  bool refuses_second = false;
};

class PlatformStoreStandin {
 public:
  explicit PlatformStoreStandin(EventLoop& loop, size_t page_size = 50);
  ~PlatformStoreStandin();

  const Address& address() const { return m_address; }
  /// Another address of the same store. Calls to it can be refused separately.
  const Address& second_address() const { return m_second_address; }
  StoreStandinFaults& faults() { return m_faults; }

  /// Writes unconditionally, as an operator or a backend server. In listings
  /// and watches, the character U+00FF in `spec` is sent as the byte 0xFF,
  /// which is invalid UTF-8.
  void Put(const std::string& kind,
           const std::string& name,
           const nlohmann::json& spec);
  /// The same with any text as the spec, which need not be valid JSON.
  void PutText(const std::string& kind,
               const std::string& name,
               const std::string& spec);
  void Remove(const std::string& kind, const std::string& name);
  /// Returns the spec, or null if there is no such object.
  nlohmann::json Get(const std::string& kind, const std::string& name) const;

  /// Sets an action to run after each listing page was sent. `page` counts the
  /// pages of all listings since the start, from 1.
  void AfterPage(std::function<void(int page)> action) {
    m_after_page = std::move(action);
  }

  /// Drops the event history and aborts the watches; a watch from an earlier
  /// revision gets 410.
  void Compact();

  uint64_t calls() const { return m_calls; }
  size_t watches() const { return m_pending_watches.size(); }

 private:
  struct Object {
    std::string name;
    uint64_t revision = 0;
    /// JSON text.
    std::string spec;
  };
  struct Event {
    uint64_t revision;
    std::string kind;
    Object object;
    bool deleted;
  };
  struct PendingWatch {
    std::shared_ptr<HttpExchange> exchange;
    std::string kind;
    uint64_t since;
    std::unique_ptr<Timer> timer;
  };
  using Exchange = std::shared_ptr<HttpExchange>;

  /// Applies the faults, then handles the call.
  void Receive(const Exchange& exchange);
  void Handle(const Exchange& exchange);
  void List(HttpExchange& exchange, const std::string& kind);
  void Watch(const Exchange& exchange, const std::string& kind);
  void Write(HttpExchange& exchange,
             const std::string& kind,
             const std::string& name);
  bool ReplyToWatch(HttpExchange& exchange,
                    const std::string& kind,
                    uint64_t since,
                    bool reply_if_empty);
  void NotifyWatches();
  static std::string ToText(const Object& object);

  EventLoop& m_loop;
  size_t m_page_size;
  HttpServer m_server;
  HttpServer m_second_server;
  Address m_address;
  Address m_second_address;
  StoreStandinFaults m_faults;
  uint64_t m_revision = 1;
  uint64_t m_compacted_revision = 0;
  std::map<std::string, std::map<std::string, Object>> m_objects;
  std::vector<Event> m_history;
  std::vector<std::unique_ptr<PendingWatch>> m_pending_watches;
  std::vector<Exchange> m_unanswered;
  uint64_t m_calls = 0;
  int m_pages = 0;
  std::function<void(int page)> m_after_page;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace filbertrack

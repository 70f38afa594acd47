#pragma once

/// Stand-in for the platform's metadata store, written from its page: objects
/// by kind and name with revisions, conditional writes, listings in pages,
/// watches, and its faults on order.

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
  /// Calls are refused with this status; 0: none are.
  int refuse_with = 0;
  /// Calls get no answer at all.
  bool silent = false;
  /// So many of the next writes are done and not answered.
  int lost_writes = 0;
  /// Each call is answered so much later.
  Duration delay{0};
  /// Hosts that use the second address are refused.
  bool refuses_second = false;
};

class PlatformStoreStandin {
 public:
  explicit PlatformStoreStandin(EventLoop& loop, size_t page_size = 50);
  ~PlatformStoreStandin();

  const Address& address() const { return m_address; }
  /// The same store for hosts that can be turned away apart from the others.
  const Address& second_address() const { return m_second_address; }
  StoreStandinFaults& faults() { return m_faults; }

  /// What the operator or a backend server writes; unconditional. The letter
  /// U+00FF in it goes out as a byte that is no UTF-8.
  void Put(const std::string& kind,
           const std::string& name,
           const nlohmann::json& spec);
  void Remove(const std::string& kind, const std::string& name);
  /// The spec; null where there is no such object.
  nlohmann::json Get(const std::string& kind, const std::string& name) const;

  /// Runs after each page of a listing was answered; pages count from 1.
  void AfterPage(std::function<void(int page)> action) {
    m_after_page = std::move(action);
  }

  /// Forgets the history and ends the watches.
  void Compact();

  uint64_t calls() const { return m_calls; }
  size_t watches() const { return m_pending_watches.size(); }

 private:
  struct Event {
    uint64_t revision;
    std::string kind;
    nlohmann::json object;
    bool deleted;
  };
  struct PendingWatch {
    std::shared_ptr<HttpExchange> exchange;
    std::string kind;
    uint64_t since;
    std::unique_ptr<Timer> timer;
  };
  using Exchange = std::shared_ptr<HttpExchange>;

  /// Faults first, then the call.
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
  void Store(const std::string& kind,
             const std::string& name,
             const nlohmann::json& spec);

  EventLoop& m_loop;
  size_t m_page_size;
  HttpServer m_server;
  HttpServer m_second_server;
  Address m_address;
  Address m_second_address;
  StoreStandinFaults m_faults;
  uint64_t m_revision = 1;
  uint64_t m_compacted_revision = 0;
  std::map<std::string, std::map<std::string, nlohmann::json>> m_objects;
  std::vector<Event> m_history;
  std::vector<std::unique_ptr<PendingWatch>> m_pending_watches;
  std::vector<Exchange> m_unanswered;
  uint64_t m_calls = 0;
  int m_pages = 0;
  std::function<void(int page)> m_after_page;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace filbertrack

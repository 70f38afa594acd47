#pragma once

/// Model runners that form groups by orders, for the review's scripts.

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "fleet.h"

namespace review {

struct EngineBounds {
  int stall_ms = 5000;
  int form_ms = 300;
  /// Times of a join: of the model that the last group had, of a staged one,
  /// and of one that has to be loaded.
  int again_ms = 200;
  int warm_ms = 1100;
  int load_ms = 1200;
  /// Members of a group.
  size_t size = 2;
};

/// All model runners of a case. Checks TWO and PARTIAL at each order and
/// request.
class Engines {
 public:
  Engines(Store& store, Runs& runs, Record& record, const EngineBounds& bounds);
  ~Engines();

  void Add(const std::string& host,
           const std::string& id,
           const std::string& service,
           const std::string& zone,
           const std::string& domain);
  /// Number of open groups of the service.
  size_t CountOpen(const std::string& service);
  /// A member, other than the head, of an open group of the service whose name
  /// an open group of `other` has, too. Empty if there is none.
  std::string FindMember(const std::string& service, const std::string& other);
  /// The runner ends without notice, and nothing starts in its place. Its entry
  /// expires after three heartbeats.
  void Crash(const std::string& id);
  std::vector<std::string> violations();

 private:
  struct Runner {
    std::string id;
    std::string service;
    std::string zone;
    std::string domain;
    std::string model;
    std::vector<std::string> staged;
    std::string group;
    uint64_t epoch = 0;
    uint64_t newest_epoch = 0;
    int rank = 0;
    std::string state;
    std::vector<std::string> members;
    bool is_dead = false;
    /// Number of orders that changed something.
    int seq = 0;
    int running = 0;
    /// Raised when the requests in progress are cut off.
    int cuts = 0;
    /// Head: since when a member has been missing; 0: none is.
    long incomplete_since = 0;
    /// Names and epochs of groups in which it has been ready.
    std::set<std::pair<std::string, uint64_t>> was_ready;
    std::unique_ptr<Server> server;
  };

  Response Handle(const std::string& id, const Request& request);
  Response Order(Runner& runner, const std::string& body);
  Response Join(Runner& runner, const std::string& body);
  Response Run(Runner& runner, const Request& request);
  void Register(const Runner& runner);
  void CheckJoin(const Runner& runner,
                 const std::string& group,
                 uint64_t epoch);
  bool IsComplete(const Runner& head);
  /// Completes joins, opens and closes that are due, and breaks heads.
  void Step();
  void After(long delay_ms, std::function<void()> action);

  Store& m_store;
  Runs& m_runs;
  Record& m_record;
  EngineBounds m_bounds;
  std::recursive_mutex m_mutex;
  std::map<std::string, Runner> m_runners;
  std::multimap<long, std::function<void()>> m_due;
  std::vector<std::string> m_violations;
  std::atomic<bool> m_stopping = false;
  std::thread m_stepper;
};

}  // namespace review

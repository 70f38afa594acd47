#pragma once

/// Client of the platform's object API over HTTP. Every write is conditional.

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "filbertrack/base_result.h"
#include "filbertrack/http_client.h"
#include "filbertrack/state_cache.h"

namespace filbertrack {

enum class StoreStatus {
  kOk,
  /// The object has another version than the write demanded.
  kConflict,
  kNotFound,
  /// No answer, or one that says nothing about the outcome. A write may have
  /// taken effect; who cares reads it back.
  kUnavailable,
};

struct StoreResponse {
  StoreStatus status = StoreStatus::kUnavailable;
  StoredObject object;
};

struct WatchResponse {
  StoreStatus status = StoreStatus::kUnavailable;
  /// Ask again from here.
  uint64_t revision = 0;
  std::vector<StoredObject> objects;
};

class StoreClient {
 public:
  /// `timeout` bounds every call but a watch, which is answered within
  /// `watch_wait` and bounded by the sum of both.
  StoreClient(EventLoop& loop,
              Address address,
              Duration timeout,
              Duration watch_wait);

  void Get(const std::string& key, std::function<void(StoreResponse)> done);

  /// Writes if the object still has `expected_version`.
  void Put(const std::string& key,
           std::string value,
           uint64_t expected_version,
           std::function<void(StoreResponse)> done);

  /// Objects under `prefix` changed after `revision`; waits for a first one.
  /// Revision 0 answers at once with all of them.
  void Watch(const std::string& prefix,
             uint64_t revision,
             std::function<void(WatchResponse)> done);

  /// Calls made so far, watches included.
  uint64_t calls() const { return m_calls; }

 private:
  struct Pending;
  void Start(HttpCallRequest request,
             Duration timeout,
             std::function<void(int status, std::string body)> done);

  EventLoop& m_loop;
  Address m_address;
  Duration m_timeout;
  Duration m_watch_wait;
  HttpClient m_http;
  std::list<std::shared_ptr<Pending>> m_pending;
  uint64_t m_calls = 0;
};

}  // namespace filbertrack

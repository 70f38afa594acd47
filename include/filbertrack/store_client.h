#pragma once

/// HTTP client of the platform's object API. Every write is conditional.

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
  /// The version of the object differs from the one that the write expected.
  kConflict,
  kNotFound,
  /// No response, or one that does not show the outcome. A write may have taken
  /// effect; a caller that needs to know reads the object back.
  kUnavailable,
};

struct StoreResponse {
  StoreStatus status = StoreStatus::kUnavailable;
  StoredObject object;
};

struct WatchResponse {
  StoreStatus status = StoreStatus::kUnavailable;
  /// Revision to pass to the next Watch().
  uint64_t revision = 0;
  std::vector<StoredObject> objects;
};

class StoreClient {
 public:
  /// `timeout` limits every call except Watch(). The store answers a watch
  /// within `watch_wait`, so the limit of a watch is the sum of both.
  StoreClient(EventLoop& loop,
              Address address,
              Duration timeout,
              Duration watch_wait);

  void Get(const std::string& key, std::function<void(StoreResponse)> done);

  /// Writes the object if it still has `expected_version`; 0 creates it.
  void Put(const std::string& key,
           std::string value,
           uint64_t expected_version,
           std::function<void(StoreResponse)> done);

  /// Retrieves the objects under `prefix` that changed after `revision`,
  /// waiting for the first change for up to `watch_wait`. Revision 0 retrieves
  /// all objects immediately.
  void Watch(const std::string& prefix,
             uint64_t revision,
             std::function<void(WatchResponse)> done);

  /// Returns the number of calls made so far, including watches.
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

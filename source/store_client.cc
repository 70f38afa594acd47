#include "filbertrack/store_client.h"

#include <nlohmann/json.hpp>

#include "filbertrack/base_json.h"

namespace filbertrack {

namespace {

using Json = nlohmann::json;

constexpr size_t kIdleConnections = 4;
constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;
constexpr int kStatusConflict = 412;

StoredObject ParseObject(const Json& value) {
  return {value.at("key"), value.at("value"), value.at("version")};
}

StoreResponse ParseStoreResponse(int status, const std::string& body) {
  StoreResponse response;
  if (status == kStatusNotFound) {
    response.status = StoreStatus::kNotFound;
    return response;
  }
  if (status == kStatusConflict) {
    response.status = StoreStatus::kConflict;
    return response;
  }
  if (status != kStatusOk) {
    return response;
  }
  try {
    // A malformed body does not show the outcome: at() throws on the null
    // value.
    response.object = ParseObject(ParseJson(body).value_or(Json()));
    response.status = StoreStatus::kOk;
  } catch (const Json::exception&) {
    response.status = StoreStatus::kUnavailable;
  }
  return response;
}

WatchResponse ParseWatchResponse(int status, const std::string& body) {
  WatchResponse response;
  if (status != kStatusOk) {
    return response;
  }
  try {
    const Json value = ParseJson(body).value_or(Json());
    response.revision = value.at("revision");
    for (const Json& object : value.at("objects")) {
      response.objects.push_back(ParseObject(object));
    }
    response.status = StoreStatus::kOk;
  } catch (const Json::exception&) {
    response = WatchResponse();
  }
  return response;
}

}  // namespace

struct StoreClient::Pending {
  std::unique_ptr<HttpCall> call;
  std::unique_ptr<Timer> timer;
  std::string body;
  std::function<void(int, std::string)> done;
};

StoreClient::StoreClient(EventLoop& loop,
                         Address address,
                         Duration timeout,
                         Duration watch_wait)
    : m_loop(loop),
      m_address(std::move(address)),
      m_timeout(timeout),
      m_watch_wait(watch_wait),
      m_http(loop, kIdleConnections) {}

void StoreClient::Get(const std::string& key,
                      std::function<void(StoreResponse)> done) {
  HttpCallRequest request;
  request.target = "/v1/objects/" + key;
  Start(std::move(request), m_timeout,
        [key, done = std::move(done)](int status, const std::string& body) {
          StoreResponse response = ParseStoreResponse(status, body);
          response.object.key = key;
          done(std::move(response));
        });
}

void StoreClient::Put(const std::string& key,
                      std::string value,
                      uint64_t expected_version,
                      std::function<void(StoreResponse)> done) {
  HttpCallRequest request;
  request.method = HttpMethod::kPut;
  request.target = "/v1/objects/" + key;
  request.headers = {{"If-Match", std::to_string(expected_version)}};
  request.body = std::move(value);
  Start(std::move(request), m_timeout,
        [done = std::move(done)](int status, const std::string& body) {
          done(ParseStoreResponse(status, body));
        });
}

void StoreClient::Watch(const std::string& prefix,
                        uint64_t revision,
                        std::function<void(WatchResponse)> done) {
  HttpCallRequest request;
  request.target = "/v1/watch?prefix=" + prefix +
                   "&since=" + std::to_string(revision) +
                   "&wait_ms=" + std::to_string(ToMilliseconds(m_watch_wait));
  Start(std::move(request), m_watch_wait + m_timeout,
        [done = std::move(done)](int status, const std::string& body) {
          done(ParseWatchResponse(status, body));
        });
}

void StoreClient::Start(HttpCallRequest request,
                        Duration timeout,
                        std::function<void(int, std::string)> done) {
  ++m_calls;
  auto pending = std::make_shared<Pending>();
  pending->done = std::move(done);
  m_pending.push_back(pending);
  const auto entry = std::prev(m_pending.end());
  const auto finish = [this, entry](int status) {
    const std::shared_ptr<Pending> ended = *entry;
    m_pending.erase(entry);
    ended->timer.reset();
    ended->call.reset();
    ended->done(status, std::move(ended->body));
  };
  HttpCallEvents events;
  events.on_bytes = [pending = pending.get()](std::string_view bytes) {
    pending->body += bytes;
  };
  events.on_end = finish;
  events.on_failure = [finish](bool) { finish(0); };
  pending->timer = m_loop.After(timeout, [finish] { finish(0); });
  pending->call =
      m_http.Start(m_address, std::move(request), std::move(events));
}

}  // namespace filbertrack

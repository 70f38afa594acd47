/// Stand-in for the platform's object API: versions, conditional updates,
/// watches, call counters, and injected faults of the kinds that the real API
/// shows.

#include <cstdio>
#include <deque>
#include <map>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include "filbertrack/http_server.h"
#include "standin_serve.h"

namespace filbertrack {
namespace {

using Json = nlohmann::json;

constexpr size_t kMaxValueBytes = 1024 * 1024;
constexpr Duration kMaxWait = Seconds(60);

struct StoreEntry {
  std::string value;
  uint64_t version = 0;
};

/// Active faults, set by test scripts with POST /v1/fault.
struct StoreFaults {
  bool down = false;
  Duration delay{0};
  /// Number of next writes that are stored but whose response is lost.
  int lost_answers = 0;
};

struct PendingWatch {
  uint64_t id;
  std::shared_ptr<HttpExchange> exchange;
  std::string prefix;
  uint64_t since;
  std::shared_ptr<Timer> timer;
};

class StoreStandin {
 public:
  explicit StoreStandin(EventLoop& loop) : m_loop(loop) {}

  void Handle(const std::shared_ptr<HttpExchange>& exchange) {
    const std::string path(exchange->path());
    if (path == "/v1/fault") {
      SetFaults(*exchange);
      return;
    }
    if (path == "/v1/stats") {
      exchange->Reply(200, {}, Json(m_calls).dump());
      return;
    }
    if (m_faults.down) {
      ++m_calls["refused"];
      exchange->Reply(503, {}, "{}");
      return;
    }
    if (m_faults.delay == Duration(0)) {
      Serve(exchange);
      return;
    }
    auto timer = std::make_shared<std::unique_ptr<Timer>>();
    *timer = m_loop.After(m_faults.delay, [this, exchange, timer] {
      Serve(exchange);
      timer->reset();
    });
  }

 private:
  static constexpr std::string_view kObjects = "/v1/objects/";

  void Serve(const std::shared_ptr<HttpExchange>& exchange) {
    const std::string_view path = exchange->path();
    if (path == "/v1/watch") {
      Watch(exchange);
      return;
    }
    if (!path.starts_with(kObjects)) {
      exchange->Reply(404, {}, "{}");
      return;
    }
    const std::string key(path.substr(kObjects.size()));
    if (exchange->method() == HttpMethod::kPut) {
      Put(*exchange, key);
      return;
    }
    ++m_calls["get"];
    const auto entry = m_entries.find(key);
    if (entry == m_entries.end()) {
      exchange->Reply(404, {}, "{}");
      return;
    }
    exchange->Reply(200, {}, Describe(key, entry->second).dump());
  }

  void Put(HttpExchange& exchange, const std::string& key) {
    ++m_calls["put"];
    const std::string expected(exchange.Header("If-Match"));
    const auto entry = m_entries.find(key);
    const uint64_t version =
        entry == m_entries.end() ? 0 : entry->second.version;
    if (expected != std::to_string(version)) {
      ++m_calls["conflict"];
      exchange.Reply(412, {}, "{}");
      return;
    }
    if (exchange.body().size() > kMaxValueBytes) {
      exchange.Reply(413, {}, "{}");
      return;
    }
    m_entries[key] = {exchange.body(), ++m_revision};
    m_changes[m_revision] = key;
    if (m_faults.lost_answers > 0) {
      --m_faults.lost_answers;
      exchange.Abort();
    } else {
      exchange.Reply(
          200, {},
          Json({{"key", key}, {"value", ""}, {"version", m_revision}}).dump());
    }
    NotifyWatches();
  }

  void Watch(const std::shared_ptr<HttpExchange>& exchange) {
    ++m_calls["watch"];
    const std::string prefix = exchange->Query("prefix");
    const uint64_t since =
        std::strtoull(exchange->Query("since").c_str(), nullptr, 10);
    const Json objects = ChangedSince(prefix, since);
    if (!objects.empty() || since == 0) {
      ReplyToWatch(*exchange, objects);
      return;
    }
    const Duration wait = std::min<Duration>(
        Milliseconds(
            std::strtoll(exchange->Query("wait_ms").c_str(), nullptr, 10)),
        kMaxWait);
    const uint64_t id = ++m_last_watch_id;
    std::shared_ptr<Timer> timer =
        m_loop.After(wait, [this, id] { RemoveWatch(id, true); });
    exchange->OnCallerDisconnected([this, id] { RemoveWatch(id, false); });
    m_pending_watches.push_back({id, exchange, prefix, since, timer});
  }

  void RemoveWatch(uint64_t id, bool answer) {
    for (auto watch = m_pending_watches.begin();
         watch != m_pending_watches.end(); ++watch) {
      if (watch->id == id) {
        const PendingWatch removed = *watch;
        m_pending_watches.erase(watch);
        if (answer) {
          ReplyToWatch(*removed.exchange, Json::array());
        }
        return;
      }
    }
  }

  void NotifyWatches() {
    std::deque<PendingWatch> pending;
    pending.swap(m_pending_watches);
    for (PendingWatch& watch : pending) {
      const Json objects = ChangedSince(watch.prefix, watch.since);
      if (objects.empty()) {
        m_pending_watches.push_back(std::move(watch));
      } else {
        ReplyToWatch(*watch.exchange, objects);
      }
    }
  }

  void ReplyToWatch(HttpExchange& exchange, const Json& objects) const {
    exchange.Reply(
        200, {}, Json({{"revision", m_revision}, {"objects", objects}}).dump());
  }

  Json ChangedSince(const std::string& prefix, uint64_t since) const {
    Json objects = Json::array();
    for (auto change = m_changes.upper_bound(since); change != m_changes.end();
         ++change) {
      const auto entry = m_entries.find(change->second);
      if (entry->second.version == change->first &&
          change->second.starts_with(prefix)) {
        objects.push_back(Describe(entry->first, entry->second));
      }
    }
    return objects;
  }

  static Json Describe(const std::string& key, const StoreEntry& entry) {
    return {{"key", key}, {"value", entry.value}, {"version", entry.version}};
  }

  void SetFaults(HttpExchange& exchange) {
    const Json order = Json::parse(exchange.body(), nullptr, false);
    if (!order.is_object()) {
      exchange.Reply(400, {}, "{}");
      return;
    }
    m_faults.down = order.value("down", false);
    m_faults.delay = Milliseconds(order.value("delay_ms", 0));
    m_faults.lost_answers = order.value("lost_answers", 0);
    if (m_faults.down) {
      std::deque<PendingWatch> pending;
      pending.swap(m_pending_watches);
      for (const PendingWatch& watch : pending) {
        watch.exchange->Abort();
      }
    }
    exchange.Reply(200, {}, "{}");
  }

  EventLoop& m_loop;
  StoreFaults m_faults;
  std::map<std::string, StoreEntry> m_entries;
  std::map<uint64_t, std::string> m_changes;
  std::deque<PendingWatch> m_pending_watches;
  std::map<std::string, uint64_t> m_calls;
  uint64_t m_revision = 0;
  uint64_t m_last_watch_id = 0;
};

}  // namespace
}  // namespace filbertrack

int main(int argc, char** argv) {
  CLI::App app("Stand-in for the platform's object API.");
  std::string listen = "127.0.0.1:0";
  app.add_option("--listen", listen, "Address to listen on.");
  CLI11_PARSE(app, argc, argv);
  filbertrack::HttpServerLimits limits;
  limits.max_body_bytes = 2 * filbertrack::kMaxValueBytes;
  return filbertrack::ServeStandin(
      listen, limits, [](filbertrack::EventLoop& loop) {
        auto store = std::make_shared<filbertrack::StoreStandin>(loop);
        return [store](auto exchange) { store->Handle(exchange); };
      });
}

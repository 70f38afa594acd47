/// Stand-in for one member of a model engine's group, or for a plain service.
/// It executes orders to join and leave groups, loads weights, streams its
/// state in heartbeat responses, and generates tokens that depend only on the
/// prompt, so that a caller can verify every response.

#include <cstdio>
#include <deque>
#include <list>
#include <map>
#include <random>
#include <set>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include "filbertrack/base_hash.h"
#include "filbertrack/groups_evidence.h"
#include "filbertrack/http_client.h"
#include "filbertrack/http_server.h"
#include "standin_serve.h"

namespace filbertrack {
namespace {

using Json = nlohmann::json;

constexpr Duration kReportInterval = Milliseconds(500);

struct EngineOptions {
  std::string listen = "127.0.0.1:0";
  std::string host = "host-0";
  bool plain = false;
  bool checks_fence = true;
  int64_t prefill_ms = 20;
  int64_t token_ms = 5;
  int64_t load_ms = 200;
  int64_t plain_ms = 1;
  int slots = 16;
  size_t cached_prefixes = 32;
  std::string weights;
  std::string bad_version;
  bool history = false;
};

/// A queued or running request.
struct Generation {
  std::shared_ptr<HttpExchange> exchange;
  std::string request_id;
  std::string prompt_hash;
  std::string prefix_hash;
  bool stream = false;
  int next = 0;
  int count = 0;
  std::string text;
  std::unique_ptr<Timer> timer;
};

struct Subscriber {
  std::shared_ptr<HttpExchange> exchange;
  std::unique_ptr<Timer> timer;
  std::string last_report;
};

std::string TokenText(const std::string& prompt_hash, int index) {
  return "t" + std::to_string(index) + "-" + prompt_hash.substr(0, 4) + " ";
}

class EngineStandin {
 public:
  EngineStandin(EventLoop& loop, const EngineOptions& options)
      : m_loop(loop),
        m_options(options),
        m_http(loop, 2),
        m_random(std::hash<std::string>()(options.host)) {
    m_report.host = options.host;
    m_report.incarnation = RandomId().substr(0, 8);
    m_report.slots = options.slots;
    m_report.prefill = Milliseconds(options.prefill_ms);
    m_report.token_interval = Milliseconds(options.token_ms);
    m_delayed_report = m_report;
    m_report_timer = loop.Every(kReportInterval, [this] { PublishReport(); });
  }

  void Handle(const std::shared_ptr<HttpExchange>& exchange) {
    const std::string_view path = exchange->path();
    if (path == "/v1/beats") {
      StartHeartbeats(exchange);
    } else if (path == "/v1/orders") {
      HandleOrder(*exchange);
    } else if (path == "/v1/executions") {
      exchange->Reply(200, {}, Json(m_executions).dump());
    } else if (path == "/v1/stats") {
      exchange->Reply(200, {},
                      Json({{"prefix_hits", m_prefix_hits},
                            {"prefix_misses", m_prefix_misses},
                            {"executions", m_executions.size()},
                            {"cancelled", m_cancelled}})
                          .dump());
    } else if (m_options.plain) {
      RunPlain(exchange);
    } else if (path == "/v1/chat/completions") {
      Accept(exchange);
    } else {
      exchange->Reply(404, {}, "{}");
    }
  }

 private:
  /// Updates the load and the cached prefixes of the reports. They lag by up to
  /// kReportInterval; group and phase are always current.
  void PublishReport() {
    m_delayed_report.running = static_cast<int>(m_running.size());
    m_delayed_report.queued = static_cast<int>(m_queue.size());
    m_delayed_report.cached_prefixes.assign(m_cache.begin(), m_cache.end());
  }

  MemberReport CurrentReport() const {
    MemberReport report = m_report;
    report.running = m_delayed_report.running;
    report.queued = m_delayed_report.queued;
    report.cached_prefixes = m_delayed_report.cached_prefixes;
    return report;
  }

  void StartHeartbeats(const std::shared_ptr<HttpExchange>& exchange) {
    const int64_t interval =
        std::strtoll(exchange->Query("interval_ms").c_str(), nullptr, 10);
    const uint64_t id = ++m_last_id;
    Subscriber& subscriber = m_subscribers[id];
    subscriber.exchange = exchange;
    exchange->OnCallerDisconnected([this, id] { m_subscribers.erase(id); });
    exchange->StartStream(200, {{"Content-Type", "application/x-ndjson"}});
    subscriber.timer =
        m_loop.Every(Milliseconds(std::max<int64_t>(interval, 10)),
                     [this, id] { SendHeartbeat(m_subscribers[id]); });
    SendHeartbeat(subscriber);
  }

  void SendHeartbeat(Subscriber& subscriber) const {
    HeartbeatLine heartbeat{MonotonicNow().time_since_epoch().count(),
                            CurrentReport()};
    const std::string report = FormatHeartbeatLine({0, heartbeat.report});
    if (report == subscriber.last_report) {
      heartbeat.report.reset();
    }
    subscriber.last_report = report;
    subscriber.exchange->Send(FormatHeartbeatLine(heartbeat));
  }

  void SendHeartbeats() {
    for (auto& [id, subscriber] : m_subscribers) {
      SendHeartbeat(subscriber);
    }
  }

  void HandleOrder(HttpExchange& exchange) {
    const Json order = Json::parse(exchange.body(), nullptr, false);
    if (!order.is_object()) {
      exchange.Reply(400, {}, "{}");
      return;
    }
    const uint64_t fence = order.value("fence", uint64_t{0});
    if (m_options.checks_fence && fence < m_report.fence) {
      exchange.Reply(409, {}, R"({"error":"old fencing number"})");
      return;
    }
    m_report.fence = std::max(m_report.fence, fence);
    CancelAll();
    if (order.value("action", "") == "leave") {
      m_report.group.clear();
      m_report.epoch = 0;
      m_report.phase = MemberPhase::kIdle;
      // An engine process outside a group has no weights loaded.
      m_report.model_version.clear();
    } else {
      m_report.group = order.value("group", "");
      m_report.epoch = order.value("epoch", uint64_t{0});
      Load(order.value("model_version", ""));
    }
    exchange.Reply(200, {}, "{}");
    SendHeartbeats();
  }

  void Load(const std::string& version) {
    m_load_call.reset();
    m_load_timer.reset();
    if (version == m_options.bad_version) {
      m_report.phase = MemberPhase::kFailed;
      return;
    }
    if (version == m_report.model_version) {
      m_report.phase = MemberPhase::kReady;
      return;
    }
    m_report.phase = MemberPhase::kLoading;
    m_report.model_version.clear();
    if (m_options.weights.empty()) {
      m_load_timer = m_loop.After(Milliseconds(m_options.load_ms),
                                  [this, version] { OnLoaded(version); });
      return;
    }
    Fetch(version);
  }

  /// Loads the weights from the weight store. A rate-limited response gives the
  /// earliest retry in Retry-After; jitter is added so that the members of a
  /// group do not retry at the same time.
  void Fetch(const std::string& version) {
    HttpCallRequest request;
    request.target = "/v1/weights/" + version;
    HttpCallEvents events;
    m_retry_after = 1;
    events.on_head = [this](int, const HttpHeaders& headers) {
      for (const auto& [name, value] : headers) {
        if (name == "Retry-After") {
          m_retry_after = std::max(1, std::atoi(value.c_str()));
        }
      }
    };
    events.on_end = [this, version](int status) {
      if (status == 200) {
        m_load_timer = m_loop.After(Milliseconds(m_options.load_ms),
                                    [this, version] { OnLoaded(version); });
      } else {
        RetryFetch(version);
      }
    };
    events.on_failure = [this, version](bool) { RetryFetch(version); };
    m_load_call = m_http.Start(*ParseAddress(m_options.weights),
                               std::move(request), std::move(events));
  }

  void RetryFetch(const std::string& version) {
    std::uniform_int_distribution<int64_t> jitter(0, 1000);
    m_load_timer =
        m_loop.After(Seconds(m_retry_after) + Milliseconds(jitter(m_random)),
                     [this, version] { Fetch(version); });
  }

  void OnLoaded(const std::string& version) {
    m_report.model_version = version;
    m_report.phase = MemberPhase::kReady;
    SendHeartbeats();
  }

  void RunPlain(const std::shared_ptr<HttpExchange>& exchange) {
    const std::string id(exchange->Header("Filbert-Request-Id"));
    RecordExecution(id, std::string(exchange->target()));
    const Json answer = {{"ran", id},
                         {"count", m_executions.size()},
                         {"path", exchange->target()},
                         {"body", exchange->body()}};
    auto timer = std::make_shared<std::unique_ptr<Timer>>();
    *timer = m_loop.After(
        Milliseconds(m_options.plain_ms),
        [exchange, id, timer,
         text = answer.dump(-1, ' ', false, Json::error_handler_t::replace)] {
          exchange->Reply(200,
                          {{"Content-Type", "application/json"},
                           {"Filbert-Request-Id", id}},
                          text);
          timer->reset();
        });
  }

  void Accept(const std::shared_ptr<HttpExchange>& exchange) {
    const bool current =
        m_report.phase == MemberPhase::kReady &&
        exchange->Header("Filbert-Group") == m_report.group &&
        exchange->Header("Filbert-Epoch") == std::to_string(m_report.epoch);
    const Json body = Json::parse(exchange->body(), nullptr, false);
    if (!current || !body.is_object() || !body.contains("messages")) {
      exchange->Reply(409, {{"Filbert-Outcome", "not-run"}}, "{}");
      return;
    }
    const uint64_t id = ++m_last_id;
    Generation& generation = m_generations[id];
    generation.exchange = exchange;
    generation.request_id = exchange->Header("Filbert-Request-Id");
    const std::string prompt = body["messages"].dump();
    generation.prompt_hash = Sha256Hex(prompt);
    generation.prefix_hash = exchange->Header("Filbert-Prefix");
    generation.stream = body.value("stream", false);
    generation.next = body.value("resume_from", 0);
    generation.count = body.value("max_tokens", 16);
    RecordExecution(generation.request_id, generation.prompt_hash);
    exchange->OnCallerDisconnected([this, id] {
      ++m_cancelled;
      Finish(id);
    });
    m_queue.push_back(id);
    StartQueued();
  }

  void RecordExecution(const std::string& id, const std::string& what) {
    m_executions.push_back(
        {{"event", "executed"},
         {"request", id},
         {"what", what},
         {"server", m_options.host},
         {"at_us", MonotonicNow().time_since_epoch().count()}});
    if (m_options.history) {
      std::fprintf(stderr, "%s\n", m_executions.back().dump().c_str());
    }
  }

  void StartQueued() {
    while (!m_queue.empty() &&
           m_running.size() < static_cast<size_t>(m_options.slots)) {
      const uint64_t id = m_queue.front();
      m_queue.pop_front();
      m_running.insert(id);
      Generation& generation = m_generations[id];
      const bool cached = TouchPrefix(generation.prefix_hash);
      const Duration prefill =
          Milliseconds(m_options.prefill_ms) / (cached ? 10 : 1);
      generation.timer =
          m_loop.After(prefill, [this, id] { StartGeneration(id); });
    }
  }

  /// Moves the prefix to the front of the LRU cache, or inserts it. Returns
  /// whether it was cached.
  bool TouchPrefix(const std::string& prefix) {
    if (prefix.empty()) {
      return false;
    }
    const auto found = std::find(m_cache.begin(), m_cache.end(), prefix);
    const bool cached = found != m_cache.end();
    ++(cached ? m_prefix_hits : m_prefix_misses);
    if (cached) {
      m_cache.erase(found);
    }
    m_cache.push_front(prefix);
    if (m_cache.size() > m_options.cached_prefixes) {
      m_cache.pop_back();
    }
    return cached;
  }

  HttpHeaders ResponseHeaders(const Generation& generation) const {
    return {
        {"Content-Type",
         generation.stream ? "text/event-stream" : "application/json"},
        {"Filbert-Request-Id", generation.request_id},
        {"Filbert-Epoch", std::to_string(m_report.epoch)},
        {"Filbert-Load", FormatAnswerLoad({static_cast<int>(m_running.size()),
                                           static_cast<int>(m_queue.size()),
                                           m_report.slots, m_report.prefill})}};
  }

  void StartGeneration(uint64_t id) {
    Generation& generation = m_generations[id];
    if (generation.stream) {
      generation.exchange->StartStream(200, ResponseHeaders(generation));
    }
    const Duration interval =
        std::max(Duration(100), Duration(Milliseconds(m_options.token_ms)));
    generation.timer =
        m_loop.Every(interval, [this, id] { GenerateToken(id); });
    GenerateToken(id);
  }

  void GenerateToken(uint64_t id) {
    Generation& generation = m_generations[id];
    if (generation.next >= generation.count) {
      End(generation);
      Finish(id);
      return;
    }
    const std::string token =
        TokenText(generation.prompt_hash, generation.next);
    generation.text += token;
    if (generation.stream) {
      const Json event = {
          {"object", "chat.completion.chunk"},
          {"choices", {{{"index", 0}, {"delta", {{"content", token}}}}}}};
      generation.exchange->Send("id: " + std::to_string(generation.next) +
                                "\ndata: " + event.dump() + "\n\n");
    }
    ++generation.next;
  }

  void End(Generation& generation) const {
    if (generation.stream) {
      generation.exchange->Send("data: [DONE]\n\n");
      generation.exchange->End();
      return;
    }
    const Json answer = {
        {"object", "chat.completion"},
        {"choices",
         {{{"index", 0},
           {"finish_reason", "length"},
           {"message",
            {{"role", "assistant"}, {"content", generation.text}}}}}}};
    generation.exchange->Reply(200, ResponseHeaders(generation), answer.dump());
  }

  void Finish(uint64_t id) {
    m_running.erase(id);
    std::erase(m_queue, id);
    m_generations.erase(id);
    StartQueued();
  }

  void CancelAll() {
    m_queue.clear();
    m_running.clear();
    m_generations.clear();
  }

  EventLoop& m_loop;
  EngineOptions m_options;
  HttpClient m_http;
  std::mt19937_64 m_random;
  MemberReport m_report;
  MemberReport m_delayed_report;
  std::unique_ptr<Timer> m_report_timer;
  std::unique_ptr<Timer> m_load_timer;
  std::unique_ptr<HttpCall> m_load_call;
  int m_retry_after = 1;
  std::map<uint64_t, Subscriber> m_subscribers;
  std::map<uint64_t, Generation> m_generations;
  std::deque<uint64_t> m_queue;
  std::set<uint64_t> m_running;
  std::list<std::string> m_cache;
  std::vector<Json> m_executions;
  uint64_t m_last_id = 0;
  uint64_t m_cancelled = 0;
  uint64_t m_prefix_hits = 0;
  uint64_t m_prefix_misses = 0;
};

}  // namespace
}  // namespace filbertrack

int main(int argc, char** argv) {
  CLI::App app("Stand-in for a member of a model engine, or a plain service.");
  filbertrack::EngineOptions options;
  app.add_option("--listen", options.listen, "Address to listen on.");
  app.add_option("--host", options.host, "Name of the member's host.");
  app.add_flag("--plain", options.plain, "Act as a plain service.");
  app.add_flag("--checks-fence,!--ignores-fence", options.checks_fence,
               "Refuse orders with an old fencing number.");
  app.add_option("--prefill-ms", options.prefill_ms,
                 "Time to the first token, in milliseconds.");
  app.add_option("--token-ms", options.token_ms,
                 "Interval between tokens, in milliseconds.");
  app.add_option("--load-ms", options.load_ms,
                 "Time to load weights, in milliseconds.");
  app.add_option("--plain-ms", options.plain_ms,
                 "Duration of a plain call, in milliseconds.");
  app.add_option("--slots", options.slots,
                 "Maximum number of concurrent requests.");
  app.add_option("--cached-prefixes", options.cached_prefixes,
                 "Capacity of the prompt prefix cache.");
  app.add_option("--weights", options.weights, "Address of the weight store.");
  app.add_option("--bad-version", options.bad_version,
                 "A version that fails to load.");
  app.add_flag("--history", options.history,
               "Write a line to standard error for each accepted request.");
  CLI11_PARSE(app, argc, argv);
  return filbertrack::ServeStandin(
      options.listen, {}, [&options](filbertrack::EventLoop& loop) {
        auto engine =
            std::make_shared<filbertrack::EngineStandin>(loop, options);
        return [engine](auto exchange) { engine->Handle(exchange); };
      });
}

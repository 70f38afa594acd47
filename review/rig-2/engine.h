#pragma once

/// A model runner: takes orders to form groups, and answers streams.

#include "rig.h"

namespace rig {

inline constexpr const char* kModel = "model-a";
inline constexpr int kGroupSize = 2;
inline constexpr double kWarmUpS = 1.1;
/// Time of a load before the first request: a tenth of 12 s.
inline constexpr double kLoadS = 1.2;
inline constexpr double kFormS = 0.3;
inline constexpr double kEventPauseS = 0.02;

inline Json EngineService(const std::string& name) {
  const Json model = {{"name", kModel}, {"size", kGroupSize},
                      {"share", 1.0},   {"pace", 1.0},
                      {"loadS", 12.0},  {"warmupS", kWarmUpS}};
  Json service = PlainService(name);
  service["engine"] = {{"slots", 17},
                       {"kvCapacityTokens", 1860000},
                       {"stride", 5},
                       {"models", Json::array({model})},
                       {"step_ms", 7.8},
                       {"per_seq_ms", 0.0947},
                       {"context_per_k", 0.0096},
                       {"read_per_s", 45900.0},
                       {"pairs_per_m", 0.433},
                       {"chunk", 2048},
                       {"report_lag_ms", 200.0},
                       {"loadsPerS", 5.0},
                       {"loads_at_once", 7},
                       {"usual", {{"prompt", 979}, {"answer", 154}}},
                       {"cachedPrefixes", 1},
                       {"far_x", 3.0},
                       {"formMs", kFormS * 1000}};
  return service;
}

class EngineRunner : public Runner {
 public:
  /// Texts of the events of a request, by its id.
  using Texts = std::function<std::vector<std::string>(const std::string&)>;

  EngineRunner(Record& record,
               Store& store,
               std::string id,
               std::string service,
               const std::string& ip,
               Texts texts)
      : Runner(record, store, std::move(id), std::move(service), ip),
        m_texts(std::move(texts)) {}

  Json Spec() override {
    const std::lock_guard lock(m_state_mutex);
    Json spec = Runner::Spec();
    spec["slots"] = 17;
    spec["seq"] = m_seq;
    spec["domain"] = "domain-a";
    spec["staged"] = m_staged ? Json::array({kModel}) : Json::array();
    const Json model = {
        {"name", kModel}, {"version", 1}, {"adapters", Json::array()}};
    spec["models"] = m_loaded ? Json::array({model}) : Json::array();
    if (!m_group.empty()) {
      spec["group"] = {{"name", m_group},
                       {"epoch", m_epoch},
                       {"rank", m_rank},
                       {"state", m_state}};
    }
    return spec;
  }

  bool IsOpen() {
    const std::lock_guard lock(m_state_mutex);
    return m_state == "open";
  }

 protected:
  Json Report() override {
    const std::lock_guard lock(m_state_mutex);
    return {{"stage", "both"},    {"busy", m_busy}, {"seq", m_seq},
            {"queued", 0},        {"running", 0},   {"kvUsed", 0},
            {"kvTotal", 1860000}, {"handles", 0}};
  }

  bool Order(int fd, const Message& request) override {
    const Json order = Json::parse(request.body);
    const int status = Begin(order);
    m_record.Line("runner " + m_id + " answers " + std::to_string(status) +
                  " to the order " + request.body);
    return SendAll(fd, Response(status, {}, ""));
  }

  bool Serve(int fd, const Message& request) override {
    const std::string request_id = Find(request.headers, "X-Attempt-Id");
    if (!IsOpen()) {
      const int status = m_rank > 0 ? 421 : 503;
      return SendAll(
          fd, Response(status,
                       {{"X-Not-Executed", "1"}, {"X-Attempt-Id", request_id}},
                       ""));
    }
    const std::string last = Find(request.headers, "Last-Event-Id");
    const size_t first = last.empty() ? 0 : std::stoul(last);
    const std::vector<std::string> texts = m_texts(request_id);
    std::vector<std::string> events;
    std::string made;
    for (size_t i = first; i < texts.size(); ++i) {
      events.push_back("id: " + std::to_string(i + 1) + "\ndata: " + texts[i] +
                       "\n\n");
      made += events.back();
    }
    Note(request, made);
    bool open = SendAll(fd, "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request_id +
                                "\r\nX-Runner-Seal: seal." + m_id +
                                "\r\nContent-Type: text/event-stream\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n");
    for (const std::string& event : events) {
      char size[24];
      std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
      open = open && SendAll(fd, size + event + "\r\n");
      Sleep(kEventPauseS);
    }
    return open && SendAll(fd, "0\r\n\r\n");
  }

 private:
  int Begin(const Json& order) {
    const std::string operation = order["operation"];
    const std::string group = order.value("group", "");
    const uint64_t epoch = order.value("epoch", uint64_t{0});
    std::unique_lock lock(m_state_mutex);
    const bool is_own = group == m_group && epoch == m_epoch;
    if (operation == "join") {
      if (epoch < m_seen_epoch) {
        return 412;
      }
      if (is_own) {
        return order["members"] == m_members ? 200 : 412;
      }
      m_seen_epoch = epoch;
      m_group = group;
      m_epoch = epoch;
      m_members = order["members"];
      m_rank = 0;
      while (m_members[m_rank] != m_id) {
        ++m_rank;
      }
      m_state = "joining";
      const double time = m_loaded ? 0.2 : m_staged ? kWarmUpS : kLoadS;
      Later(time, epoch, [this] {
        m_state = "ready";
        m_staged = m_loaded = true;
      });
    } else if (operation == "open") {
      if (is_own && m_state == "open") {
        return 200;
      }
      if (!is_own || m_rank != 0 || m_state != "ready") {
        return 409;
      }
      Later(kFormS, epoch, [this] { m_state = "open"; });
    } else if (operation == "close" || operation == "leave") {
      if (!is_own) {
        return 409;
      }
      m_state = operation == "close" ? "ready" : "";
      if (operation == "leave") {
        m_group.clear();
      }
    } else if (operation == "stage") {
      if (m_staged) {
        return 200;
      }
      Later(kLoadS, m_epoch, [this] { m_staged = true; });
    } else {
      return 400;
    }
    ++m_seq;
    lock.unlock();
    Register();
    return 202;
  }

  /// Ends an order: applies `change` unless the runner joined another group.
  void Later(double seconds, uint64_t epoch, std::function<void()> change) {
    m_busy = true;
    std::thread([this, seconds, epoch, change = std::move(change)] {
      Sleep(seconds);
      {
        const std::lock_guard lock(m_state_mutex);
        m_busy = false;
        if (epoch == m_epoch) {
          change();
        }
      }
      Register();
    }).detach();
  }

  Texts m_texts;
  std::mutex m_state_mutex;
  std::string m_group;
  uint64_t m_epoch = 0;
  uint64_t m_seen_epoch = 0;
  Json m_members;
  size_t m_rank = 0;
  std::string m_state;
  bool m_staged = false;
  bool m_loaded = false;
  bool m_busy = false;
  int m_seq = 0;
};

}  // namespace rig

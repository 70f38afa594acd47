#include "platform_runner_standin.h"

#include <algorithm>

namespace filbertrack {

namespace {

using Json = nlohmann::json;

constexpr std::string_view kSealPrefix = "seal-of-";
/// A cold server crashes if the requests of a second exceed kColdFactor times
/// ColdStart::per_second, plus kColdSlack.
constexpr double kColdFactor = 1.5;
constexpr double kColdSlack = 5;
/// Time from the start of the request until it crashes the runner.
constexpr Duration kCrashDelay = Milliseconds(5);
/// Time from a crash until the registration expires: three heartbeats on the
/// platform, shortened for tests.
constexpr Duration kRegistrationTtl = Milliseconds(600);
constexpr int kOk = 200;
constexpr int kUnavailable = 503;

}  // namespace

std::string FormatStandinEvent(const RunnerStandinOptions& options, int event) {
  const auto& texts = options.event_texts;
  const std::string text =
      texts.empty() ? "part " + std::to_string(event) +
                          std::string(options.event_padding, '.')
                    : texts[static_cast<size_t>(event) % texts.size()];
  return "id: " + std::to_string(event) + "\ndata: " + text + "\n\n";
}

PlatformRunnerStandin::PlatformRunnerStandin(EventLoop& loop,
                                             PlatformStoreStandin& store,
                                             RunnerStandinOptions options)
    : m_loop(loop),
      m_store(store),
      m_options(std::move(options)),
      m_server(loop, {}, [this](const Exchange& exchange) {
        Handle(exchange);
      }) {
  m_address = m_server.Listen({"127.0.0.1", 0}).value();
  m_published_address =
      m_options.published ? m_options.published(m_address) : m_address;
  Register("ready");
}

PlatformRunnerStandin::~PlatformRunnerStandin() {
  *m_alive = false;
}

void PlatformRunnerStandin::Register(const std::string& state) {
  Json spec = {{"service", m_options.service},
               {"address", m_published_address.ToString()},
               {"zone", m_options.data_centre},
               {"version", "v1"},
               {"slots", 4},
               {"state", state},
               {"coldRemainingMs",
                m_cold.registers ? ToMilliseconds(RemainingColdTime()) : 0},
               {"seq", 1}};
  if (!m_options.is_plain) {
    spec["domain"] = m_options.domain;
    spec["staged"] = m_staged;
    spec["models"] = Json::array();
    if (!m_model.empty()) {
      spec["models"].push_back(
          {{"name", m_model}, {"version", 1}, {"adapters", Json::array()}});
    }
    if (!m_group.empty()) {
      const auto rank =
          std::find(m_members.begin(), m_members.end(), m_options.id) -
          m_members.begin();
      spec["group"] = {{"name", m_group},
                       {"epoch", m_epoch},
                       {"rank", rank},
                       {"state", m_state}};
    }
  }
  m_store.Put("servers", m_options.id, spec);
}

void PlatformRunnerStandin::Die() {
  Stop();
  ExpireRegistration();
}

void PlatformRunnerStandin::Crash() {
  if (m_dead) {
    return;
  }
  Stop();
  if (m_options.observer != nullptr) {
    m_options.observer->OnCrash(*this);
  }
  m_loop.Call(kRegistrationTtl, [this, alive = m_alive] {
    if (*alive) {
      ExpireRegistration();
    }
  });
}

void PlatformRunnerStandin::Stop() {
  m_dead = true;
  m_server.StopListening();
  for (const Exchange& stream : m_streams) {
    stream->Abort();
  }
  m_streams.clear();
}

void PlatformRunnerStandin::Break() {
  Close(true);
  m_state = "broken";
  Register("ready");
}

void PlatformRunnerStandin::ExpireRegistration() {
  m_store.Remove("servers", m_options.id);
}

void PlatformRunnerStandin::Handle(const Exchange& exchange) {
  if (m_dead) {
    exchange->Abort();
    return;
  }
  const std::string_view expected = exchange->Header("X-Expect-Runner");
  if (!expected.empty() && expected != m_options.id) {
    exchange->Reply(421, {{"X-Runner-Id", m_options.id}}, "");
    return;
  }
  if (exchange->path() == "/report") {
    exchange->Reply(
        200, {}, Json({{"running", 0}, {"queued", 0}, {"busy", false}}).dump());
    return;
  }
  if (exchange->path() == "/health") {
    HttpHeaders headers = {{"X-Runner-Id", m_options.id}};
    if (is_cold()) {
      headers.emplace_back("X-Cold-Ms",
                           std::to_string(ToMilliseconds(RemainingColdTime())));
    }
    exchange->Reply(200, headers, "");
    return;
  }
  if (exchange->path() == "/order") {
    HandleOrder(*exchange);
    return;
  }
  Run(exchange);
}

void PlatformRunnerStandin::Join(HttpExchange& exchange, const Json& order) {
  const auto epoch = order.value("epoch", uint64_t{0});
  if (epoch < m_newest_epoch) {
    exchange.Reply(412, {}, "");
    return;
  }
  const std::string group = order.value("group", "");
  if (epoch == m_epoch && group == m_group) {
    exchange.Reply(200, {}, "");
    return;
  }
  if (m_options.observer != nullptr) {
    m_options.observer->OnJoin(*this, group);
  }
  m_newest_epoch = epoch;
  m_epoch = epoch;
  m_group = group;
  m_members = order.value("members", std::vector<std::string>());
  m_model = order.value("model", "");
  m_state = "joining";
  Register("ready");
  m_loop.Call(m_options.load, [this, alive = m_alive, epoch] {
    if (*alive && !m_dead && m_epoch == epoch && m_state == "joining") {
      m_state = "ready";
      m_staged = {m_model};
      Register("ready");
    }
  });
  exchange.Reply(202, {}, "");
}

void PlatformRunnerStandin::Close(bool cancel) {
  if (cancel) {
    for (const Exchange& stream : m_streams) {
      stream->Abort();
    }
    m_streams.clear();
  }
  m_state = m_streams.empty() ? "ready" : "closing";
}

void PlatformRunnerStandin::HandleOrder(HttpExchange& exchange) {
  ++m_orders;
  const Json order = Json::parse(exchange.body(), nullptr, false);
  const std::string operation = order.value("operation", "");
  if (operation == "join") {
    Join(exchange, order);
    return;
  }
  if (operation == "stage") {
    m_staged = {order.value("model", "")};
    Register("ready");
    exchange.Reply(202, {}, "");
    return;
  }
  const bool matches = order.value("group", "") == m_group &&
                       order.value("epoch", uint64_t{0}) == m_epoch;
  if (!matches) {
    exchange.Reply(409, {}, "");
    return;
  }
  if (operation == "open" && m_state == "ready") {
    if (m_options.observer != nullptr) {
      m_options.observer->OnOpen(*this);
    }
    m_state = "open";
  } else if (operation == "close") {
    Close(order.value("closeMode", "") == "cancel");
  } else if (operation == "leave") {
    m_group.clear();
    m_state.clear();
  } else {
    exchange.Reply(409, {}, "");
    return;
  }
  Register("ready");
  exchange.Reply(202, {}, "");
}

HttpHeaders PlatformRunnerStandin::ResponseHeaders(
    HttpExchange& exchange) const {
  const std::string id(exchange.Header("X-Attempt-Id"));
  HttpHeaders headers = {
      {"X-Attempt-Id", m_sends_wrong_attempt_id ? "another" : id},
      {"X-Runner-Seal", std::string(kSealPrefix) + m_options.id}};
  AddSignals(headers);
  return headers;
}

void PlatformRunnerStandin::AddSignals(HttpHeaders& headers) const {
  if (m_limit) {
    headers.emplace_back("Server-Limit", Json(*m_limit).dump());
  }
  if (m_leaving) {
    headers.emplace_back("Server-Leaving", "1");
  }
}

void PlatformRunnerStandin::Refuse(HttpExchange& exchange) {
  m_refusals.push_back(
      {std::string(exchange.Header("X-Attempt-Id")), MonotonicNow()});
  HttpHeaders headers = {{"X-Not-Executed", "1"}};
  AddSignals(headers);
  if (m_retry_after) {
    headers.emplace_back("Retry-After", Json(ToSeconds(*m_retry_after)).dump());
  }
  exchange.Reply(kUnavailable, headers, "");
  CheckCold();
}

void PlatformRunnerStandin::SetCold(const ColdStart& cold_start) {
  m_cold = cold_start;
  m_cold_until = MonotonicNow() + cold_start.left;
  if (cold_start.registers) {
    Register("ready");
  }
}

Duration PlatformRunnerStandin::RemainingColdTime() const {
  return std::max(Duration(0), m_cold_until - MonotonicNow());
}

size_t PlatformRunnerStandin::MaxInSecond(TimePoint since) const {
  std::vector<TimePoint> arrivals;
  for (const SeenRequest& seen : m_seen) {
    arrivals.push_back(seen.arrived);
  }
  for (const RefusedRequest& refused : m_refusals) {
    arrivals.push_back(refused.at);
  }
  std::erase_if(arrivals, [since](TimePoint at) { return at < since; });
  std::sort(arrivals.begin(), arrivals.end());
  size_t max_count = 0;
  size_t begin = 0;
  for (size_t i = 0; i < arrivals.size(); ++i) {
    while (arrivals[i] - arrivals[begin] >= Seconds(1)) {
      ++begin;
    }
    max_count = std::max(max_count, i - begin + 1);
  }
  return max_count;
}

void PlatformRunnerStandin::CheckCold() {
  const double max_requests = m_cold.per_second * kColdFactor + kColdSlack;
  if (is_cold() && static_cast<double>(MaxInSecond(
                       MonotonicNow() - Seconds(1))) > max_requests) {
    m_loop.Post([this, alive = m_alive] {
      if (*alive) {
        Crash();
      }
    });
  }
}

bool PlatformRunnerStandin::IsCrashing(HttpExchange& exchange) const {
  if (!m_options.crash_trigger.empty() &&
      exchange.body().find(m_options.crash_trigger) != std::string::npos) {
    return true;
  }
  // Only entries that another one follows; each starts the list or follows a
  // comma.
  const std::string parts =
      "," + std::string(exchange.Header("X-Prompt-Prefix"));
  return std::any_of(m_options.crash_parts.begin(), m_options.crash_parts.end(),
                     [&parts](const std::string& id) {
                       const size_t at = parts.find("," + id + ":");
                       return at != std::string::npos &&
                              parts.find(',', at + 1) != std::string::npos;
                     });
}

void PlatformRunnerStandin::Run(const Exchange& exchange) {
  if (m_full || (!m_options.is_plain && m_state != "open")) {
    Refuse(*exchange);
    return;
  }
  SeenRequest seen;
  seen.id = exchange->Header("X-Attempt-Id");
  seen.last_event = exchange->Header("Last-Event-Id");
  seen.workspace = exchange->Header("X-Tenant");
  seen.authorization = exchange->Header("Authorization");
  seen.time_left = exchange->Header("X-Deadline-Remaining");
  seen.arrived = MonotonicNow();
  m_seen.push_back(seen);
  CheckCold();
  const bool crashes = IsCrashing(*exchange);
  if (crashes) {
    m_loop.Call(kCrashDelay, [this, alive = m_alive] {
      if (*alive) {
        Crash();
      }
    });
  }
  if (crashes && m_options.is_plain) {
    m_streams.push_back(exchange);
    return;
  }
  if (m_options.is_plain) {
    if (m_drops_responses) {
      exchange->Abort();
      return;
    }
    exchange->Reply(m_fails_after_run ? kUnavailable : kOk,
                    ResponseHeaders(*exchange), "answer of " + m_options.id);
    return;
  }
  HttpHeaders headers = ResponseHeaders(*exchange);
  headers.emplace_back("Content-Type", "text/event-stream");
  exchange->StartStream(200, headers);
  m_streams.push_back(exchange);
  if (crashes) {
    return;
  }
  const size_t number = m_seen.size() - 1;
  exchange->OnCallerDisconnected([this, alive = m_alive, number] {
    if (*alive) {
      m_seen[number].ended = true;
    }
  });
  Stream(exchange, number,
         seen.last_event.empty() ? 1 : std::stoi(seen.last_event) + 1);
}

bool PlatformRunnerStandin::AbortIfUnread(const Exchange& exchange,
                                          size_t number) {
  SeenRequest& seen = m_seen[number];
  if (exchange->UnsentBytes() == 0) {
    seen.unread_since.reset();
    return false;
  }
  const TimePoint now = MonotonicNow();
  if (!seen.unread_since) {
    seen.unread_since = now;
  }
  const bool aborts = m_options.unread_timeout > Duration(0) &&
                      now - *seen.unread_since > m_options.unread_timeout;
  if (aborts) {
    ++m_unread_aborts;
    exchange->Abort();
    std::erase(m_streams, exchange);
  }
  return aborts;
}

void PlatformRunnerStandin::Stream(const Exchange& exchange,
                                   size_t number,
                                   int event) {
  const bool stalls = event == m_stall_after_event + 1;
  m_loop.Call(stalls ? m_stall : m_options.pause,
              [this, alive = m_alive, exchange, number, event] {
                if (!*alive || m_dead || !exchange->IsOpen()) {
                  return;
                }
                if (AbortIfUnread(exchange, number)) {
                  return;
                }
                if (event > m_options.events) {
                  exchange->End();
                  m_seen[number].ended = true;
                  std::erase(m_streams, exchange);
                  return;
                }
                exchange->Send(FormatStandinEvent(m_options, event));
                Stream(exchange, number, event + 1);
              });
}

}  // namespace filbertrack

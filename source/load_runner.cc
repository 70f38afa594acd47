#include "filbertrack/load_runner.h"

#include <strings.h>

#include <algorithm>

#include <nlohmann/json.hpp>

#include "filbertrack/base_hash.h"

namespace filbertrack {

namespace {

using Json = nlohmann::json;

constexpr size_t kIdleConnections = 512;
constexpr Duration kTick = Milliseconds(1);
constexpr int kStatusOk = 200;

std::string Find(const HttpHeaders& headers, const char* name) {
  for (const auto& [key, value] : headers) {
    if (strcasecmp(key.c_str(), name) == 0) {
      return value;
    }
  }
  return "";
}

Json Messages(const PlannedRequest& planned, uint64_t seed) {
  return Json::array({{{"role", "system"},
                       {"content", "prefix " + std::to_string(planned.prefix)}},
                      {{"role", "user"},
                       {"content", "request " + std::to_string(seed) + "-" +
                                       std::to_string(planned.number)}}});
}

Json Quantiles(const LatencyHistogram& latency) {
  return {{"count", latency.count()},
          {"p50_ms", ToSeconds(latency.Quantile(0.5)) * 1e3},
          {"p95_ms", ToSeconds(latency.Quantile(0.95)) * 1e3},
          {"p99_ms", ToSeconds(latency.Quantile(0.99)) * 1e3}};
}

}  // namespace

struct LoadRunner::Side {
  LoadTargets targets;
  LoadSummary summary;
  size_t next_host = 0;
};

struct LoadRunner::Open {
  uint64_t id = 0;
  size_t side = 0;
  PlannedRequest planned;
  int attempt = 0;
  TimePoint due;
  std::string messages;
  /// The request as the backend server names it, for all its tries.
  std::string what;
  bool idempotent = true;
  std::string request_id;
  std::string outcome;
  int code = 0;
  int status = 0;
  SseParser splitter;
  std::string body;
  uint64_t next_token = 0;
  TimePoint last_token;
  bool done_seen = false;
  bool wrong = false;
  std::unique_ptr<HttpCall> call;
};

LoadRunner::LoadRunner(EventLoop& loop, LoadRun run, std::ostream* lines)
    : m_loop(loop),
      m_run(std::move(run)),
      m_lines(lines),
      m_http(loop, kIdleConnections),
      m_plan(PlanLoad(m_run.policy)) {
  for (const LoadTargets& targets : m_run.sides) {
    m_sides.push_back(std::make_unique<Side>());
    m_sides.back()->targets = targets;
  }
}

LoadRunner::~LoadRunner() = default;

void LoadRunner::Run() {
  m_start = MonotonicNow();
  m_timer = m_loop.Every(kTick, [this] { SendDue(); });
  m_loop.Run();
}

void LoadRunner::SendDue() {
  const Duration elapsed = MonotonicNow() - m_start;
  while (m_next < m_plan.size() && m_plan[m_next].at <= elapsed) {
    for (size_t side = 0; side < m_sides.size(); ++side) {
      Send(side, m_plan[m_next], 0);
    }
    ++m_next;
  }
  if (m_next == m_plan.size() && m_open.empty()) {
    m_loop.Stop();
  }
}

void LoadRunner::Send(size_t side, const PlannedRequest& planned, int attempt) {
  Side& to = *m_sides[side];
  const uint64_t id = ++m_last_id;
  auto created = std::make_unique<Open>();
  Open& open = *created;
  open.id = id;
  open.side = side;
  open.planned = planned;
  open.attempt = attempt;
  open.due = m_start + planned.at;
  open.messages = Messages(planned, m_run.policy.seed).dump();
  const bool model =
      planned.kind == LoadKind::kStream || planned.kind == LoadKind::kWhole;
  open.what = model ? Sha256Hex(open.messages) : PlainPath(planned);
  open.idempotent = model || (planned.kind == LoadKind::kPlain &&
                              m_run.plain_idempotent == "true");
  ++to.summary.sent;
  const auto& hosts = to.targets.entry_hosts;
  const Address& host = hosts[to.next_host++ % hosts.size()];
  HttpCallEvents events;
  events.on_head = [&open](int status, const HttpHeaders& headers) {
    open.status = status;
    open.request_id = Find(headers, "Filbert-Request-Id");
    open.outcome = Find(headers, "Filbert-Outcome");
    open.code = std::atoi(Find(headers, "Filbert-Code").c_str());
  };
  events.on_bytes = [this, &open](std::string_view bytes) {
    OnBytes(open, bytes);
  };
  events.on_end = [this, &open](int status) { OnEnd(open, status); };
  events.on_failure = [this, &open](bool) { OnEnd(open, 0); };
  open.call = m_http.Start(host, MakeCall(planned, open), std::move(events));
  m_open.emplace(id, std::move(created));
}

std::string LoadRunner::PlainPath(const PlannedRequest& planned) const {
  return "/run/" + std::to_string(m_run.policy.seed) + "-" +
         std::to_string(planned.number);
}

HttpCallRequest LoadRunner::MakeCall(const PlannedRequest& planned,
                                     const Open& open) const {
  HttpCallRequest call;
  call.method = HttpMethod::kPost;
  call.headers = {
      {"Authorization",
       "Bearer " + m_run.policy.workspaces[planned.workspace].key},
      {"Filbert-Deadline-Ms", std::to_string(ToMilliseconds(m_run.deadline))}};
  const bool plain =
      planned.kind == LoadKind::kPlain || planned.kind == LoadKind::kKeyed;
  if (plain) {
    const bool direct = m_sides[open.side]->targets.direct;
    call.target =
        (direct ? "" : "/services/" + m_run.plain_service) + PlainPath(planned);
    call.body = "{}";
    call.headers.emplace_back("Filbert-Idempotent", m_run.plain_idempotent);
    if (planned.kind == LoadKind::kKeyed) {
      call.headers.emplace_back("Idempotency-Key",
                                std::to_string(m_run.policy.seed) + "-" +
                                    std::to_string(planned.number));
    }
    return call;
  }
  call.target = "/v1/chat/completions";
  call.headers.emplace_back("Content-Type", "application/json");
  call.body = Json({{"model", m_run.model},
                    {"stream", planned.kind == LoadKind::kStream},
                    {"max_tokens", planned.tokens},
                    {"messages", Json::parse(open.messages)}})
                  .dump();
  return call;
}

void LoadRunner::OnBytes(Open& open, std::string_view bytes) {
  if (open.planned.kind != LoadKind::kStream || open.status != kStatusOk) {
    open.body += bytes;
    return;
  }
  for (const SseEvent& event : open.splitter.Push(bytes)) {
    if (event.done) {
      open.done_seen = true;
    } else if (event.data.find("\"error\"") == std::string::npos) {
      OnToken(open, event);
    }
  }
}

void LoadRunner::OnToken(Open& open, const SseEvent& event) {
  LoadSummary& summary = m_sides[open.side]->summary;
  const TimePoint now = MonotonicNow();
  const std::string expected = ExpectedToken(open.messages, open.next_token);
  if (event.data.find("\"" + expected + "\"") == std::string::npos) {
    open.wrong = true;
  }
  if (open.next_token == 0) {
    summary.first_token.Add(now - open.due);
  } else {
    summary.max_gap = std::max(summary.max_gap, now - open.last_token);
  }
  open.last_token = now;
  ++open.next_token;
  ++summary.tokens;
}

void LoadRunner::CheckWhole(Open& open) {
  if (open.planned.kind == LoadKind::kStream) {
    open.wrong = open.wrong || !open.done_seen ||
                 open.next_token != static_cast<uint64_t>(open.planned.tokens);
    return;
  }
  if (open.planned.kind != LoadKind::kWhole) {
    open.wrong = open.body.find("\"" + open.what + "\"") == std::string::npos;
    return;
  }
  std::string text;
  for (int i = 0; i < open.planned.tokens; ++i) {
    text += ExpectedToken(open.messages, static_cast<uint64_t>(i));
  }
  open.wrong = open.body.find(text) == std::string::npos;
}

void LoadRunner::OnEnd(Open& open, int status) {
  LoadSummary& summary = m_sides[open.side]->summary;
  std::string_view result;
  if (status == kStatusOk) {
    CheckWhole(open);
    result = open.wrong ? "wrong" : "answered";
    summary.wrong += open.wrong ? 1 : 0;
    if (!open.wrong) {
      ++summary.answered;
      ++summary.answered_of_workspace
            [m_run.policy.workspaces[open.planned.workspace].key];
      summary.whole.Add(MonotonicNow() - open.due);
    }
  } else if (status == 0 && open.status == kStatusOk) {
    // The connection closed inside the answer: visibly unfinished, unless the
    // closing event had come.
    result = open.done_seen || open.wrong ? "wrong" : "broken";
    ++(open.done_seen || open.wrong ? summary.wrong : summary.broken);
  } else if (status == 0) {
    result = "no-answer";
    ++summary.no_answer;
  } else if (open.outcome == "not-run") {
    result = "not-run";
    ++summary.refused_not_run;
  } else if (open.outcome == "ran") {
    result = "ran";
    ++summary.refused_ran;
  } else {
    result = "unknown";
    ++summary.refused_unknown;
  }
  if (open.code != 0) {
    ++summary.codes[open.code];
  }
  Finish(open, result);
}

void LoadRunner::Finish(Open& open, std::string_view result) {
  const PlannedRequest planned = open.planned;
  const size_t side = open.side;
  const int attempt = open.attempt;
  if (m_lines != nullptr) {
    *m_lines << Json({{"event", "result"},
                      {"side", m_sides[side]->targets.name},
                      {"number", planned.number},
                      {"kind", LoadKindName(planned.kind)},
                      {"attempt", attempt},
                      {"request", open.request_id},
                      {"result", result},
                      {"what", open.what},
                      {"idempotent", open.idempotent},
                      {"code", open.code},
                      {"tokens", open.next_token},
                      {"due_us", planned.at.count()},
                      {"end_us", MonotonicNow().time_since_epoch().count()}})
                    .dump()
             << "\n";
  }
  m_open.erase(open.id);
  if (planned.kind == LoadKind::kKeyed && attempt + 1 < m_run.keyed_tries) {
    Send(side, planned, attempt + 1);
  }
}

std::string LoadRunner::Summary() const {
  std::string text;
  const double seconds = ToSeconds(m_run.policy.duration);
  for (const auto& side : m_sides) {
    const LoadSummary& summary = side->summary;
    Json codes = Json::object();
    for (const auto& [code, count] : summary.codes) {
      codes[std::to_string(code)] = count;
    }
    text += Json({{"event", "summary"},
                  {"side", side->targets.name},
                  {"sent", summary.sent},
                  {"answered", summary.answered},
                  {"answered_per_second",
                   static_cast<double>(summary.answered) / seconds},
                  {"tokens_per_second",
                   static_cast<double>(summary.tokens) / seconds},
                  {"not_run", summary.refused_not_run},
                  {"unknown", summary.refused_unknown},
                  {"ran", summary.refused_ran},
                  {"broken", summary.broken},
                  {"no_answer", summary.no_answer},
                  {"wrong", summary.wrong},
                  {"codes", codes},
                  {"workspaces", summary.answered_of_workspace},
                  {"longest_gap_ms", ToSeconds(summary.max_gap) * 1e3},
                  {"first_token", Quantiles(summary.first_token)},
                  {"whole", Quantiles(summary.whole)}})
                .dump() +
            "\n";
  }
  return text;
}

}  // namespace filbertrack

#include "filbertrack/load_runner.h"

#include <strings.h>

#include <algorithm>

#include <nlohmann/json.hpp>

#include "filbertrack/base_hash.h"
#include "filbertrack/base_json.h"

namespace filbertrack {

namespace {

using Json = nlohmann::json;

constexpr size_t kIdleConnections = 512;
constexpr Duration kSendInterval = Milliseconds(1);
constexpr int kStatusOk = 200;

std::string FindHeader(const HttpHeaders& headers, const char* name) {
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

struct LoadRunner::OpenRequest {
  uint64_t id = 0;
  size_t side = 0;
  PlannedRequest planned;
  int attempt = 0;
  TimePoint due;
  std::string messages;
  /// The name under which the backend server records the request; the same for
  /// all attempts.
  std::string work_id;
  bool idempotent = true;
  std::string request_id;
  std::string outcome;
  int code = 0;
  int status = 0;
  SseParser sse_parser;
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
  m_timer = m_loop.Every(kSendInterval, [this] { SendDue(); });
  m_loop.Run();
}

void LoadRunner::SendDue() {
  const Duration elapsed = MonotonicNow() - m_start;
  while (m_next_planned < m_plan.size() &&
         m_plan[m_next_planned].offset <= elapsed) {
    for (size_t side = 0; side < m_sides.size(); ++side) {
      Send(side, m_plan[m_next_planned], 0);
    }
    ++m_next_planned;
  }
  if (m_next_planned == m_plan.size() && m_open_requests.empty()) {
    m_loop.Stop();
  }
}

void LoadRunner::Send(size_t side, const PlannedRequest& planned, int attempt) {
  Side& target_side = *m_sides[side];
  const uint64_t id = ++m_last_id;
  auto created = std::make_unique<OpenRequest>();
  OpenRequest& request = *created;
  request.id = id;
  request.side = side;
  request.planned = planned;
  request.attempt = attempt;
  request.due = m_start + planned.offset;
  request.messages = Messages(planned, m_run.policy.seed).dump();
  const bool is_model_request = planned.kind == LoadKind::kStream ||
                                planned.kind == LoadKind::kNonStreamed;
  request.work_id =
      is_model_request ? Sha256Hex(request.messages) : PlainPath(planned);
  request.idempotent = is_model_request || (planned.kind == LoadKind::kPlain &&
                                            m_run.plain_idempotent == "true");
  ++target_side.summary.sent;
  const auto& hosts = target_side.targets.entry_hosts;
  const Address& host = hosts[target_side.next_host++ % hosts.size()];
  HttpCallEvents events;
  events.on_head = [&request](int status, const HttpHeaders& headers) {
    request.status = status;
    request.request_id = FindHeader(headers, "Filbert-Request-Id");
    request.outcome = FindHeader(headers, "Filbert-Outcome");
    request.code = std::atoi(FindHeader(headers, "Filbert-Code").c_str());
  };
  events.on_bytes = [this, &request](std::string_view bytes) {
    OnBytes(request, bytes);
  };
  events.on_end = [this, &request](int status) { OnEnd(request, status); };
  events.on_failure = [this, &request](bool) { OnEnd(request, 0); };
  request.call =
      m_http.Start(host, MakeCall(planned, request), std::move(events));
  m_open_requests.emplace(id, std::move(created));
}

std::string LoadRunner::PlainPath(const PlannedRequest& planned) const {
  return "/run/" + std::to_string(m_run.policy.seed) + "-" +
         std::to_string(planned.number);
}

HttpCallRequest LoadRunner::MakeCall(const PlannedRequest& planned,
                                     const OpenRequest& request) const {
  HttpCallRequest call;
  call.method = HttpMethod::kPost;
  call.headers = {
      {"Authorization",
       "Bearer " + m_run.policy.workspaces[planned.workspace].key},
      {"Filbert-Deadline-Ms", std::to_string(ToMilliseconds(m_run.deadline))}};
  const bool is_plain =
      planned.kind == LoadKind::kPlain || planned.kind == LoadKind::kKeyed;
  if (is_plain) {
    const bool direct = m_sides[request.side]->targets.direct;
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
                    {"messages", ParseJson(request.messages).value_or(Json())}})
                  .dump();
  return call;
}

void LoadRunner::OnBytes(OpenRequest& request, std::string_view bytes) {
  if (request.planned.kind != LoadKind::kStream ||
      request.status != kStatusOk) {
    request.body += bytes;
    return;
  }
  for (const SseEvent& event : request.sse_parser.Push(bytes)) {
    if (event.done) {
      request.done_seen = true;
    } else if (event.data.find("\"error\"") == std::string::npos) {
      OnToken(request, event);
    }
  }
}

void LoadRunner::OnToken(OpenRequest& request, const SseEvent& event) {
  LoadSummary& summary = m_sides[request.side]->summary;
  const TimePoint now = MonotonicNow();
  const std::string expected =
      ExpectedToken(request.messages, request.next_token);
  if (event.data.find("\"" + expected + "\"") == std::string::npos) {
    request.wrong = true;
  }
  if (request.next_token == 0) {
    summary.first_token_latency.Add(now - request.due);
  } else {
    summary.max_gap = std::max(summary.max_gap, now - request.last_token);
  }
  request.last_token = now;
  ++request.next_token;
  ++summary.tokens;
}

void LoadRunner::VerifyAnswer(OpenRequest& request) {
  if (request.planned.kind == LoadKind::kStream) {
    request.wrong =
        request.wrong || !request.done_seen ||
        request.next_token != static_cast<uint64_t>(request.planned.tokens);
    return;
  }
  if (request.planned.kind != LoadKind::kNonStreamed) {
    request.wrong =
        request.body.find("\"" + request.work_id + "\"") == std::string::npos;
    return;
  }
  std::string text;
  for (int i = 0; i < request.planned.tokens; ++i) {
    text += ExpectedToken(request.messages, static_cast<uint64_t>(i));
  }
  request.wrong = request.body.find(text) == std::string::npos;
}

void LoadRunner::OnEnd(OpenRequest& request, int status) {
  LoadSummary& summary = m_sides[request.side]->summary;
  std::string_view result;
  if (status == kStatusOk) {
    VerifyAnswer(request);
    result = request.wrong ? "wrong" : "answered";
    summary.wrong += request.wrong ? 1 : 0;
    if (!request.wrong) {
      ++summary.answered;
      ++summary.answered_of_workspace
            [m_run.policy.workspaces[request.planned.workspace].key];
      summary.total_latency.Add(MonotonicNow() - request.due);
    }
  } else if (status == 0 && request.status == kStatusOk) {
    // The connection failed before the end of the answer. The caller can tell
    // that it is truncated, unless the closing event had been received.
    result = request.done_seen || request.wrong ? "wrong" : "broken";
    ++(request.done_seen || request.wrong ? summary.wrong : summary.truncated);
  } else if (status == 0) {
    result = "no-answer";
    ++summary.no_answer;
  } else if (request.outcome == "not-run") {
    result = "not-run";
    ++summary.refused_not_run;
  } else if (request.outcome == "ran") {
    result = "ran";
    ++summary.refused_ran;
  } else {
    result = "unknown";
    ++summary.refused_unknown;
  }
  if (request.code != 0) {
    ++summary.codes[request.code];
  }
  Finish(request, result);
}

void LoadRunner::Finish(OpenRequest& request, std::string_view result) {
  const PlannedRequest planned = request.planned;
  const size_t side = request.side;
  const int attempt = request.attempt;
  if (m_lines != nullptr) {
    *m_lines << Json({{"event", "result"},
                      {"side", m_sides[side]->targets.name},
                      {"number", planned.number},
                      {"kind", LoadKindName(planned.kind)},
                      {"attempt", attempt},
                      {"request", request.request_id},
                      {"result", result},
                      {"what", request.work_id},
                      {"idempotent", request.idempotent},
                      {"code", request.code},
                      {"tokens", request.next_token},
                      {"due_us", planned.offset.count()},
                      {"end_us", MonotonicNow().time_since_epoch().count()}})
                    .dump()
             << "\n";
  }
  m_open_requests.erase(request.id);
  if (planned.kind == LoadKind::kKeyed && attempt + 1 < m_run.keyed_attempts) {
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
                  {"broken", summary.truncated},
                  {"no_answer", summary.no_answer},
                  {"wrong", summary.wrong},
                  {"codes", codes},
                  {"workspaces", summary.answered_of_workspace},
                  {"longest_gap_ms", ToSeconds(summary.max_gap) * 1e3},
                  {"first_token", Quantiles(summary.first_token_latency)},
                  {"whole", Quantiles(summary.total_latency)}})
                .dump() +
            "\n";
  }
  return text;
}

}  // namespace filbertrack

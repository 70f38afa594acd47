#include "soak_callers.h"

#include <algorithm>

namespace filbertrack::soak {

namespace {

constexpr size_t kCallers = 12;
constexpr size_t kConnectionsPerCaller = 1;
constexpr Duration kDeadline = Seconds(4);
/// A caller closes the call this long after the deadline it sent.
constexpr Duration kCancelMargin = Seconds(2);
/// A disruption excuses closed connections of calls that were open at the time
/// or started up to this long after it.
constexpr Duration kDisruptionWindow = Seconds(4);

std::string CompleteStream(const std::vector<std::string>& event_texts) {
  RunnerStandinOptions options;
  options.event_texts = event_texts;
  std::string text;
  for (int i = 1; i <= kStreamEvents; ++i) {
    text += FormatStandinEvent(options, i);
  }
  return text;
}

std::string PathOf(CallKind kind) {
  switch (kind) {
    case CallKind::kStream:
      return "/s/x";
    case CallKind::kIdempotent:
      return "/safe/x";
    case CallKind::kNonIdempotent:
      return "/once/x";
  }
  return "/";
}

HttpCallRequest MakeCall(const std::string& id, CallKind kind) {
  HttpCallRequest request;
  request.method = HttpMethod::kPost;
  request.target = PathOf(kind);
  request.headers = {
      {"Host", "h.example"},
      {"X-Attempt-Id", id},
      {"X-Model", "m"},
      {"X-Token-Usage", "100,50"},
      {"X-Deadline-Remaining", std::to_string(ToMilliseconds(kDeadline))},
      {"Authorization", "Bearer key"}};
  return request;
}

/// Sets the parts of the prompt: the first one of all streams, `parts`, and a
/// last one that no other request has.
void SetPromptParts(HttpCallRequest& request,
                    const std::string& parts,
                    uint64_t number) {
  request.headers.emplace_back("X-Prompt-Prefix",
                               std::string(kFirstPart) + ":400," + parts + "d" +
                                   std::to_string(number) + ":9");
}

}  // namespace

Callers::Callers(EventLoop& loop,
                 Fleet& fleet,
                 uint64_t seed,
                 const std::vector<std::string>& event_texts)
    : m_loop(loop),
      m_fleet(fleet),
      m_random(seed),
      m_complete_stream(CompleteStream(event_texts)) {
  for (size_t i = 0; i < kCallers; ++i) {
    m_clients.push_back(
        std::make_unique<HttpClient>(loop, kConnectionsPerCaller));
  }
}

Callers::~Callers() = default;

void Callers::Start(Duration interval) {
  m_timer = m_loop.Every(interval, [this] { Call(); });
}

void Callers::Stop() {
  m_timer.reset();
}

size_t Callers::CountAnswered() const {
  return static_cast<size_t>(std::count_if(
      m_records.begin(), m_records.end(), [](const CallRecord& record) {
        return !record.aborted && record.status == 200;
      }));
}

size_t Callers::CountAnswered(CallKind kind, TimePoint since) const {
  return static_cast<size_t>(std::count_if(
      m_records.begin(), m_records.end(), [&](const CallRecord& record) {
        return record.kind == kind && record.started_at >= since &&
               !record.aborted && record.status == 200;
      }));
}

PoisonCaller::PoisonCaller(EventLoop& loop,
                           Fleet& fleet,
                           Callers& callers,
                           PoisonKind kind,
                           uint64_t seed)
    : m_loop(loop),
      m_fleet(fleet),
      m_callers(callers),
      m_kind(kind),
      m_random(seed),
      m_client(loop, kConnectionsPerCaller) {}

PoisonCaller::~PoisonCaller() = default;

void PoisonCaller::Start(Duration interval) {
  m_timer = m_loop.Every(interval, [this] { Send(); });
}

void PoisonCaller::Stop() {
  m_timer.reset();
}

void PoisonCaller::Send() {
  auto& entries = m_fleet.entries();
  const std::string id = "p" + std::to_string(++m_copies);
  HttpCallRequest request = MakeCall(id, CallKind::kStream);
  if (m_kind == PoisonKind::kWholeRequest) {
    request.body = kPoisonBody;
  } else {
    request.body = "body of " + id;
    SetPromptParts(request, std::string(kFaultyPart) + ":300,", m_copies);
  }
  const auto end = [this, id] {
    // The crash of the server also closes streams of other callers.
    m_callers.RecordDisruption(MonotonicNow());
    m_loop.Post([this, id] { m_open.erase(id); });
  };
  HttpCallEvents events;
  events.on_bytes = [](std::string_view) {};
  events.on_end = [end](int) { end(); };
  events.on_failure = [end](bool) { end(); };
  m_open[id] = m_client.Start(entries[m_random() % entries.size()]->callers,
                              std::move(request), std::move(events));
}

void Callers::Call() {
  auto& entries = m_fleet.entries();
  const EntryProcess& entry = *entries[m_random() % entries.size()];
  m_records.emplace_back();
  CallRecord& record = m_records.back();
  record.id = "c" + std::to_string(++m_last_id);
  record.kind = static_cast<CallKind>(m_random() % 3);
  record.entry = entry.name;
  record.started_at = MonotonicNow();
  HttpCallRequest request = MakeCall(record.id, record.kind);
  if (record.kind == CallKind::kStream) {
    SetPromptParts(request, "c" + std::to_string(m_last_id % 5) + ":200,",
                   m_last_id);
  }
  const auto end = [this, &record](bool aborted) {
    record.ended = true;
    record.aborted = aborted;
    record.ended_at = MonotonicNow();
    m_loop.Post([this, id = record.id] {
      m_open.erase(id);
      m_timeouts.erase(id);
    });
  };
  HttpCallEvents events;
  events.on_head = [&record](int status, const HttpHeaders& headers) {
    record.status = status;
    record.response_id = FindHeader(headers, "X-Attempt-Id");
    record.seal = FindHeader(headers, "X-Runner-Seal");
  };
  events.on_bytes = [&record](std::string_view bytes) { record.body += bytes; };
  events.on_end = [end](int) { end(false); };
  events.on_failure = [end](bool) { end(true); };
  HttpClient& client = *m_clients[m_random() % m_clients.size()];
  m_open[record.id] =
      client.Start(entry.callers, std::move(request), std::move(events));
  m_timeouts[record.id] =
      m_loop.After(kDeadline + kCancelMargin, [this, &record] {
        record.aborted = true;
        record.ended_at = MonotonicNow();
        m_open.erase(record.id);
      });
}

bool Callers::IsUndisrupted(const CallRecord& record) const {
  return std::none_of(m_disruptions.begin(), m_disruptions.end(),
                      [&record](TimePoint at) {
                        return at >= record.started_at - kDisruptionWindow &&
                               at <= record.ended_at;
                      });
}

void Callers::CheckResponse(const CallRecord& record,
                            std::vector<std::string>& violations) const {
  const std::string name = record.id + " at " + record.entry;
  if (record.aborted) {
    const auto ran = m_run_counts.find(record.id);
    const bool was_forwarded = ran != m_run_counts.end() && ran->second > 0;
    if (was_forwarded && IsUndisrupted(record)) {
      violations.push_back(
          name + ": forwarded, then aborted without a fault (status " +
          std::to_string(record.status) + ", " +
          std::to_string(record.body.size()) + " bytes)");
    }
    return;
  }
  if (record.status == 401 || record.status == 404) {
    violations.push_back(name + ": rejected with status " +
                         std::to_string(record.status));
    return;
  }
  if (record.status != 200) {
    return;
  }
  const bool stream = record.kind == CallKind::kStream;
  const bool complete = stream ? record.body == m_complete_stream
                               : record.body.starts_with("answer of p");
  if (record.response_id != record.id || record.seal.empty() || !complete) {
    violations.push_back(name + ": wrong or incomplete response: id " +
                         record.response_id + ", seal " + record.seal + ", " +
                         std::to_string(record.body.size()) + " bytes");
  }
}

void Callers::CheckRunCount(const CallRecord& record,
                            std::vector<std::string>& violations) {
  if (record.kind != CallKind::kNonIdempotent) {
    return;
  }
  const auto found = m_run_counts.find(record.id);
  const int runs = found == m_run_counts.end() ? 0 : found->second;
  if (runs > 1) {
    violations.push_back(record.id + " ran " + std::to_string(runs) + " times");
  }
  const bool reported_not_run =
      !record.aborted && (record.status == 503 || record.status == 429);
  if (reported_not_run && runs > 0) {
    violations.push_back(record.id + " was reported as not run, but ran");
  }
}

void Callers::CountRuns() {
  m_run_counts.clear();
  for (const auto* hosts : {&m_fleet.runners(), &m_fleet.plain()}) {
    for (const auto& host : *hosts) {
      for (const SeenRequest& seen : host->standin->seen()) {
        ++m_run_counts[seen.id];
      }
    }
  }
}

void Callers::Check(std::vector<std::string>& violations) {
  CountRuns();
  for (const CallRecord& record : m_records) {
    CheckResponse(record, violations);
    CheckRunCount(record, violations);
  }
}

}  // namespace filbertrack::soak

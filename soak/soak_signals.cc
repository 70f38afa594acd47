#include "soak_signals.h"

#include <algorithm>
#include <cstdio>

namespace filbertrack::soak {

namespace {

// What the platform allows.

/// A limit holds from this long after it was first named.
constexpr Duration kLimitSettle = Seconds(3);
constexpr Duration kLimitWindow = Seconds(4);
/// Requests in a window beyond one and a half times the limit.
constexpr double kLimitSlack = 5;
constexpr double kLimitOver = 1.5;
/// An entry host counts that had passed on the limit so long before, in the
/// same process and not paused since.
constexpr Duration kTold = Milliseconds(500);
/// Requests of one entry host to a server that asked it for rest, from half a
/// second after that to the end.
constexpr Duration kRestGrace = Milliseconds(500);
constexpr size_t kMaxWhileResting = 2;
/// A call that began this long after an entry host had passed on that a server
/// leaves does not reach that server from it.
constexpr Duration kLeavingGrace = Seconds(2);

/// A fault that began before has ended.
constexpr Duration kMaxFault = Seconds(4);

// What servers say.

constexpr Duration kMinLimit = Seconds(7);
constexpr Duration kMoreLimit = Seconds(6);
constexpr Duration kMinRefusing = Milliseconds(500);
constexpr Duration kMoreRefusing = Seconds(2);
constexpr Duration kMinRest = Seconds(1);
constexpr Duration kMoreRest = Seconds(3);
constexpr Duration kLeaves = Seconds(5);
/// Servers that say nothing, so that callers are served.
constexpr size_t kMinQuiet = 2;

bool AnyWithin(const std::vector<TimePoint>& times,
               TimePoint begin,
               TimePoint end) {
  return std::any_of(times.begin(), times.end(),
                     [=](TimePoint at) { return at >= begin && at <= end; });
}

std::string SealOf(const RunnerHost& host) {
  return "seal-of-" + host.standin->id();
}

/// A time between `least` and `least` + `more`.
Duration Draw(std::mt19937_64& random, Duration least, Duration more) {
  return least + Duration(static_cast<int64_t>(
                     random() % static_cast<uint64_t>(more.count())));
}

}  // namespace

Signals::Signals(EventLoop& loop, Fleet& fleet, uint64_t seed)
    : m_loop(loop), m_fleet(fleet), m_random(seed) {}

void Signals::Start(Duration interval) {
  m_interval = interval;
  m_stopped = false;
  Next();
}

void Signals::Stop() {
  m_stopped = true;
  const TimePoint now = MonotonicNow();
  for (Span& span : m_spans) {
    span.end = std::min(span.end, now);
    if (span.kind != Kind::kLeaving) {
      span.host->standin->SetLimit({});
      span.host->standin->SetFull(false);
      span.host->standin->SetRest({});
    }
  }
}

void Signals::Next() {
  std::exponential_distribution<double> gap(1 / ToSeconds(m_interval));
  m_loop.Call(FromSeconds(gap(m_random)), [this] {
    if (!m_stopped) {
      Begin();
      Next();
    }
  });
}

RunnerHost* Signals::AnyQuiet() {
  auto& hosts = m_random() % 2 == 0 ? m_fleet.runners() : m_fleet.plain();
  std::vector<RunnerHost*> quiet;
  for (const auto& host : hosts) {
    const PlatformRunnerStandin& server = *host->standin;
    const bool serves =
        !server.is_dead() && (server.is_open() || &hosts == &m_fleet.plain());
    if (serves && !m_active.contains(host.get())) {
      quiet.push_back(host.get());
    }
  }
  return quiet.size() <= kMinQuiet ? nullptr : quiet[m_random() % quiet.size()];
}

void Signals::Begin() {
  RunnerHost* host = AnyQuiet();
  if (host == nullptr) {
    return;
  }
  switch (m_random() % 4) {
    case 0:
    case 1:
      BeginLimit(*host);
      return;
    case 2:
      BeginRest(*host);
      return;
    default:
      BeginLeaving(*host);
  }
}

void Signals::EndAfter(Duration time, std::function<void()> undo) {
  m_loop.Call(time, [this, undo = std::move(undo)] {
    if (!m_stopped) {
      undo();
    }
  });
}

void Signals::BeginLimit(RunnerHost& host) {
  const double limit = 0.2 + static_cast<double>(m_random() % 40) / 10;
  const Duration lasts = Draw(m_random, kMinLimit, kMoreLimit);
  const TimePoint now = MonotonicNow();
  m_active.insert(&host);
  m_spans.push_back({Kind::kLimit, &host, now, now + lasts, limit, {}});
  host.standin->SetLimit(limit);
  EndAfter(lasts, [this, &host] {
    host.standin->SetLimit({});
    m_active.erase(&host);
  });
}

void Signals::BeginRest(RunnerHost& host) {
  const Duration lasts = Draw(m_random, kMinRefusing, kMoreRefusing);
  const Duration rest = Draw(m_random, kMinRest, kMoreRest);
  const TimePoint now = MonotonicNow();
  m_active.insert(&host);
  m_spans.push_back({Kind::kRest, &host, now, now + lasts, 0, rest});
  host.standin->SetRest(rest);
  host.standin->SetFull(true);
  EndAfter(lasts, [this, &host] {
    host.standin->SetFull(false);
    host.standin->SetRest({});
    m_active.erase(&host);
  });
}

void Signals::BeginLeaving(RunnerHost& host) {
  const TimePoint now = MonotonicNow();
  m_active.insert(&host);
  m_spans.push_back({Kind::kLeaving, &host, now, now + kLeaves, 0, {}});
  host.standin->SetLeaving(true);
  const bool is_plain =
      std::any_of(m_fleet.plain().begin(), m_fleet.plain().end(),
                  [&host](const auto& each) { return each.get() == &host; });
  if (is_plain) {
    m_fleet.AddPlainServer();
  } else {
    m_fleet.AddRunner();
  }
  // As a server does that ends without a word to the store.
  m_loop.Call(kLeaves, [&host] {
    if (!host.standin->is_dead()) {
      host.standin->Lapse();
    }
  });
}

std::vector<Signals::Arrival> Signals::ArrivalsAt(
    const RunnerHost& host) const {
  const auto entry_of = [this](const std::string& id) {
    const auto found = m_entry_of.find(id);
    return found == m_entry_of.end() ? nullptr : found->second;
  };
  std::vector<Arrival> arrivals;
  for (const SeenRequest& seen : host.standin->seen()) {
    arrivals.push_back({seen.arrived, entry_of(seen.id), false});
  }
  for (const RefusedRequest& refused : host.standin->refusals()) {
    arrivals.push_back({refused.at, entry_of(refused.id), true});
  }
  std::sort(arrivals.begin(), arrivals.end(),
            [](const Arrival& left, const Arrival& right) {
              return left.at < right.at;
            });
  return arrivals;
}

bool Signals::WasTold(const Span& span,
                      const Callers& callers,
                      const Arrival& arrival) const {
  if (arrival.entry == nullptr) {
    return false;
  }
  const std::string seal = SealOf(*span.host);
  return std::any_of(
      callers.records().begin(), callers.records().end(),
      [&](const CallRecord& record) {
        return record.entry == arrival.entry->name && record.seal == seal &&
               record.began >= span.begin &&
               record.ended_at <= arrival.at - kTold &&
               !AnyWithin(arrival.entry->disturbed, record.began, arrival.at);
      });
}

void Signals::CheckLimit(const Span& span,
                         const Callers& callers,
                         std::vector<std::string>& violations) {
  std::vector<Arrival> arrivals = ArrivalsAt(*span.host);
  std::erase_if(arrivals, [&](const Arrival& arrival) {
    return arrival.at < span.begin + kLimitSettle || arrival.at > span.end ||
           !WasTold(span, callers, arrival);
  });
  const double most =
      kLimitOver * span.limit * ToSeconds(kLimitWindow) + kLimitSlack;
  size_t begin = 0;
  for (size_t i = 0; i < arrivals.size(); ++i) {
    ++m_checked;
    while (arrivals[i].at - arrivals[begin].at > kLimitWindow) {
      ++begin;
    }
    const size_t count = i - begin + 1;
    if (static_cast<double>(count) > most) {
      violations.push_back(span.host->standin->id() + ", limit " +
                           std::to_string(span.limit) + ", got " +
                           std::to_string(count) + " requests in 4 s");
      return;
    }
  }
}

void Signals::CheckRest(const Span& span,
                        std::vector<std::string>& violations) {
  const std::vector<Arrival> arrivals = ArrivalsAt(*span.host);
  for (const Arrival& told : arrivals) {
    if (!told.refused || told.entry == nullptr || told.at < span.begin ||
        told.at > span.end) {
      continue;
    }
    // The refusal may not have reached the entry host, or not been kept.
    const TimePoint end = told.at + span.rest;
    if (AnyWithin(span.host->disturbed, told.at - kMaxFault, end) ||
        AnyWithin(told.entry->disturbed, told.at - kMaxFault, end)) {
      continue;
    }
    ++m_checked;
    const auto late = std::count_if(
        arrivals.begin(), arrivals.end(), [&](const Arrival& other) {
          return other.entry == told.entry && other.at > told.at + kRestGrace &&
                 other.at < end;
        });
    if (static_cast<size_t>(late) > kMaxWhileResting) {
      violations.push_back(span.host->standin->id() + " asked " +
                           told.entry->name + " for rest and got " +
                           std::to_string(late) + " requests in it");
      return;
    }
  }
}

void Signals::CheckLeaving(const Span& span,
                           const Callers& callers,
                           std::vector<std::string>& violations) {
  const std::string seal = SealOf(*span.host);
  std::map<std::string, TimePoint> told;
  for (const CallRecord& record : callers.records()) {
    if (!record.broke && record.seal == seal && record.began >= span.begin) {
      const TimePoint at =
          told.try_emplace(record.entry, record.ended_at).first->second;
      told[record.entry] = std::min(at, record.ended_at);
    }
  }
  std::map<std::string, const CallRecord*> records;
  for (const CallRecord& record : callers.records()) {
    records[record.id] = &record;
  }
  for (const SeenRequest& seen : span.host->standin->seen()) {
    const auto record = records.find(seen.id);
    if (record == records.end()) {
      continue;
    }
    const CallRecord& call = *record->second;
    const auto known = told.find(call.entry);
    const EntryProcess* entry = m_entry_of[seen.id];
    if (known == told.end() || entry == nullptr ||
        call.began <= known->second + kLeavingGrace ||
        AnyWithin(entry->disturbed, known->second, seen.arrived)) {
      continue;
    }
    violations.push_back(span.host->standin->id() + " leaves, had told " +
                         call.entry + ", and got " + seen.id + " from it");
    return;
  }
  m_checked += told.size();
}

void Signals::Check(const Callers& callers,
                    std::vector<std::string>& violations) {
  for (const CallRecord& record : callers.records()) {
    for (const auto& entry : m_fleet.entries()) {
      if (entry->name == record.entry) {
        m_entry_of[record.id] = entry.get();
      }
    }
  }
  for (const Span& span : m_spans) {
    switch (span.kind) {
      case Kind::kLimit:
        CheckLimit(span, callers, violations);
        break;
      case Kind::kRest:
        CheckRest(span, violations);
        break;
      case Kind::kLeaving:
        CheckLeaving(span, callers, violations);
        break;
    }
  }
}

}  // namespace filbertrack::soak

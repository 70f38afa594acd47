#include "soak_signals.h"

#include <algorithm>
#include <cstdio>

namespace filbertrack::soak {

namespace {

// Bounds that the platform sets.

/// A limit is checked from this long after it was first sent.
constexpr Duration kLimitSettleTime = Seconds(3);
constexpr Duration kLimitWindow = Seconds(4);
/// Allowed in a window: kLimitFactor times the limit, plus kLimitSlack
/// requests.
constexpr double kLimitSlack = 5;
constexpr double kLimitFactor = 1.5;
/// Only arrivals from an entry host that forwarded a response with the limit
/// this long before, and was neither restarted nor paused since, are counted.
constexpr Duration kForwardDelay = Milliseconds(500);
/// An entry host may send kMaxDuringRetryAfter requests to a server that
/// answered it with Retry-After, from kRetryAfterGrace after that answer until
/// the time has passed.
constexpr Duration kRetryAfterGrace = Milliseconds(500);
constexpr size_t kMaxDuringRetryAfter = 2;
/// A call that started this long after its entry host forwarded a leaving
/// signal must not reach the server that sent it.
constexpr Duration kLeavingGrace = Seconds(2);

/// Longest duration of a fault: one that started earlier has ended.
constexpr Duration kMaxFault = Seconds(4);

// Durations of the signals.

constexpr Duration kMinLimitDuration = Seconds(7);
constexpr Duration kLimitDurationRange = Seconds(6);
constexpr Duration kMinRefusalDuration = Milliseconds(500);
constexpr Duration kRefusalDurationRange = Seconds(2);
constexpr Duration kMinRetryAfter = Seconds(1);
constexpr Duration kRetryAfterRange = Seconds(3);
constexpr Duration kLeavingDuration = Seconds(5);
/// Servers that stay without a signal, so that callers are served.
constexpr size_t kMinUnsignalledServers = 2;

bool AnyWithin(const std::vector<TimePoint>& times,
               TimePoint begin,
               TimePoint end) {
  return std::any_of(times.begin(), times.end(),
                     [=](TimePoint at) { return at >= begin && at <= end; });
}

std::string SealOf(const RunnerHost& host) {
  return "seal-of-" + host.standin->id();
}

/// A random duration in [min, min + range).
Duration RandomDuration(std::mt19937_64& random, Duration min, Duration range) {
  return min + Duration(static_cast<int64_t>(
                   random() % static_cast<uint64_t>(range.count())));
}

}  // namespace

Signals::Signals(EventLoop& loop, Fleet& fleet, uint64_t seed)
    : m_loop(loop), m_fleet(fleet), m_random(seed) {}

void Signals::Start(Duration interval) {
  m_interval = interval;
  m_stopped = false;
  ScheduleNext();
}

void Signals::Stop() {
  m_stopped = true;
  const TimePoint now = MonotonicNow();
  for (SignalPeriod& period : m_periods) {
    period.end = std::min(period.end, now);
    if (period.kind != Kind::kLeaving) {
      period.host->standin->SetLimit({});
      period.host->standin->SetFull(false);
      period.host->standin->SetRetryAfter({});
    }
  }
}

void Signals::ScheduleNext() {
  std::exponential_distribution<double> gap(1 / ToSeconds(m_interval));
  m_loop.Call(FromSeconds(gap(m_random)), [this] {
    if (!m_stopped) {
      StartSignal();
      ScheduleNext();
    }
  });
}

RunnerHost* Signals::RandomUnsignalledServer() {
  auto& hosts = m_random() % 2 == 0 ? m_fleet.runners() : m_fleet.plain();
  std::vector<RunnerHost*> candidates;
  for (const auto& host : hosts) {
    const PlatformRunnerStandin& server = *host->standin;
    const bool serves =
        !server.is_dead() && (server.is_open() || &hosts == &m_fleet.plain());
    if (serves && !m_active.contains(host.get())) {
      candidates.push_back(host.get());
    }
  }
  return candidates.size() <= kMinUnsignalledServers
             ? nullptr
             : candidates[m_random() % candidates.size()];
}

void Signals::StartSignal() {
  RunnerHost* host = RandomUnsignalledServer();
  if (host == nullptr) {
    return;
  }
  switch (m_random() % 4) {
    case 0:
    case 1:
      StartLimit(*host);
      return;
    case 2:
      StartRefusals(*host);
      return;
    default:
      StartLeaving(*host);
  }
}

void Signals::UndoAfter(Duration time, std::function<void()> undo) {
  m_loop.Call(time, [this, undo = std::move(undo)] {
    if (!m_stopped) {
      undo();
    }
  });
}

void Signals::StartLimit(RunnerHost& host) {
  const double limit = 0.2 + static_cast<double>(m_random() % 40) / 10;
  const Duration lasts =
      RandomDuration(m_random, kMinLimitDuration, kLimitDurationRange);
  const TimePoint now = MonotonicNow();
  m_active.insert(&host);
  m_periods.push_back({Kind::kLimit, &host, now, now + lasts, limit, {}});
  host.standin->SetLimit(limit);
  UndoAfter(lasts, [this, &host] {
    host.standin->SetLimit({});
    m_active.erase(&host);
  });
}

void Signals::StartRefusals(RunnerHost& host) {
  const Duration lasts =
      RandomDuration(m_random, kMinRefusalDuration, kRefusalDurationRange);
  const Duration retry_after =
      RandomDuration(m_random, kMinRetryAfter, kRetryAfterRange);
  const TimePoint now = MonotonicNow();
  m_active.insert(&host);
  m_periods.push_back(
      {Kind::kRetryAfter, &host, now, now + lasts, 0, retry_after});
  host.standin->SetRetryAfter(retry_after);
  host.standin->SetFull(true);
  UndoAfter(lasts, [this, &host] {
    host.standin->SetFull(false);
    host.standin->SetRetryAfter({});
    m_active.erase(&host);
  });
}

void Signals::StartLeaving(RunnerHost& host) {
  const TimePoint now = MonotonicNow();
  m_active.insert(&host);
  m_periods.push_back(
      {Kind::kLeaving, &host, now, now + kLeavingDuration, 0, {}});
  host.standin->SetLeaving(true);
  const bool is_plain =
      std::any_of(m_fleet.plain().begin(), m_fleet.plain().end(),
                  [&host](const auto& each) { return each.get() == &host; });
  if (is_plain) {
    m_fleet.AddPlainServer();
  } else {
    m_fleet.AddRunner();
  }
  // The registration expires, as for a server that exits without deregistering.
  m_loop.Call(kLeavingDuration, [&host] {
    if (!host.standin->is_dead()) {
      host.standin->ExpireRegistration();
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

bool Signals::HadReceivedSignal(const SignalPeriod& period,
                                const Callers& callers,
                                const Arrival& arrival) const {
  if (arrival.entry == nullptr) {
    return false;
  }
  const std::string seal = SealOf(*period.host);
  return std::any_of(callers.records().begin(), callers.records().end(),
                     [&](const CallRecord& record) {
                       return record.entry == arrival.entry->name &&
                              record.seal == seal &&
                              record.started_at >= period.begin &&
                              record.ended_at <= arrival.at - kForwardDelay &&
                              !AnyWithin(arrival.entry->disruptions,
                                         record.started_at, arrival.at);
                     });
}

void Signals::CheckLimit(const SignalPeriod& period,
                         const Callers& callers,
                         std::vector<std::string>& violations) {
  std::vector<Arrival> arrivals = ArrivalsAt(*period.host);
  std::erase_if(arrivals, [&](const Arrival& arrival) {
    return arrival.at < period.begin + kLimitSettleTime ||
           arrival.at > period.end ||
           !HadReceivedSignal(period, callers, arrival);
  });
  const double max_requests =
      kLimitFactor * period.limit * ToSeconds(kLimitWindow) + kLimitSlack;
  size_t begin = 0;
  for (size_t i = 0; i < arrivals.size(); ++i) {
    ++m_checked;
    while (arrivals[i].at - arrivals[begin].at > kLimitWindow) {
      ++begin;
    }
    const size_t count = i - begin + 1;
    if (static_cast<double>(count) > max_requests) {
      violations.push_back(period.host->standin->id() + ", limit " +
                           std::to_string(period.limit) + ", got " +
                           std::to_string(count) + " requests within 4 s");
      return;
    }
  }
}

void Signals::CheckRetryAfter(const SignalPeriod& period,
                              std::vector<std::string>& violations) {
  const std::vector<Arrival> arrivals = ArrivalsAt(*period.host);
  for (const Arrival& notified : arrivals) {
    if (!notified.refused || notified.entry == nullptr ||
        notified.at < period.begin || notified.at > period.end) {
      continue;
    }
    // The entry host may not have received the refusal, or may have lost it.
    const TimePoint end = notified.at + period.retry_after;
    if (AnyWithin(period.host->disruptions, notified.at - kMaxFault, end) ||
        AnyWithin(notified.entry->disruptions, notified.at - kMaxFault, end)) {
      continue;
    }
    ++m_checked;
    const auto late = std::count_if(
        arrivals.begin(), arrivals.end(), [&](const Arrival& other) {
          return other.entry == notified.entry &&
                 other.at > notified.at + kRetryAfterGrace && other.at < end;
        });
    if (static_cast<size_t>(late) > kMaxDuringRetryAfter) {
      violations.push_back(period.host->standin->id() +
                           " sent Retry-After to " + notified.entry->name +
                           " and got " + std::to_string(late) +
                           " requests before it passed");
      return;
    }
  }
}

void Signals::CheckLeaving(const SignalPeriod& period,
                           const Callers& callers,
                           std::vector<std::string>& violations) {
  const std::string seal = SealOf(*period.host);
  std::map<std::string, TimePoint> notified;
  for (const CallRecord& record : callers.records()) {
    if (!record.aborted && record.seal == seal &&
        record.started_at >= period.begin) {
      const TimePoint at =
          notified.try_emplace(record.entry, record.ended_at).first->second;
      notified[record.entry] = std::min(at, record.ended_at);
    }
  }
  std::map<std::string, const CallRecord*> records;
  for (const CallRecord& record : callers.records()) {
    records[record.id] = &record;
  }
  for (const SeenRequest& seen : period.host->standin->seen()) {
    const auto record = records.find(seen.id);
    if (record == records.end()) {
      continue;
    }
    const CallRecord& call = *record->second;
    const auto known = notified.find(call.entry);
    const EntryProcess* entry = m_entry_of[seen.id];
    if (known == notified.end() || entry == nullptr ||
        call.started_at <= known->second + kLeavingGrace ||
        AnyWithin(entry->disruptions, known->second, seen.arrived)) {
      continue;
    }
    violations.push_back(period.host->standin->id() + " is leaving; " +
                         call.entry + " knew that and still sent " + seen.id +
                         " to it");
    return;
  }
  m_checked += notified.size();
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
  for (const SignalPeriod& period : m_periods) {
    switch (period.kind) {
      case Kind::kLimit:
        CheckLimit(period, callers, violations);
        break;
      case Kind::kRetryAfter:
        CheckRetryAfter(period, violations);
        break;
      case Kind::kLeaving:
        CheckLeaving(period, callers, violations);
        break;
    }
  }
}

}  // namespace filbertrack::soak

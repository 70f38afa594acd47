#include <algorithm>
#include <cstdlib>
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "filbertrack/server_directory.h"
#include "filbertrack/store_absence.h"

/// Simulates entry hosts that lose the store together or alone, stand still,
/// and tell each other what they know, while servers leave.

namespace filbertrack {
namespace {

constexpr Duration kStep = Milliseconds(25);
constexpr Duration kWatchWait = Seconds(3);
constexpr Duration kCallTimeout = Milliseconds(3700);
constexpr Duration kBatchWindow = Milliseconds(500);
constexpr Duration kLeaseInterval = Milliseconds(500);
constexpr Duration kTakeover = Seconds(2);
constexpr Duration kRound = Milliseconds(150);
constexpr Duration kMaxDatingError = Milliseconds(200);
constexpr Duration kReportTtl = Seconds(5);
/// Time until silent watches are begun anew.
constexpr Duration kMaxSilence = Milliseconds(1500);
/// The platform's bounds.
constexpr Duration kDrainTimeout = Seconds(2);
constexpr Duration kStableWindow = Seconds(3);
constexpr Duration kReturnTime = Milliseconds(1900);
const TimePoint kBegin{Seconds(100)};
constexpr Duration kDay = Seconds(60);

struct Interval {
  TimePoint from;
  TimePoint to;

  bool Contains(TimePoint at) const { return at >= from && at < to; }
};

struct Trouble {
  enum class Kind {
    kOutage,
    kCut,
    kStop,
    /// The process ends, and another one begins at the end of the interval.
    kRestart,
    /// The watches of all hosts are silent, until they are begun anew.
    kSilence,
  } kind;
  size_t host;
  Interval when;
};

struct Departure {
  std::string server;
  TimePoint at;
  /// When a live server registers again.
  std::optional<TimePoint> back;
};

struct Reply {
  size_t to;
  TimePoint asked;
  TimePoint arrives;
  std::optional<StoreService> service;
  std::optional<TimePoint> returned;
  size_t known;
};

struct Host {
  StoreOutageDetector outage;
  ServerDirectory directory{DirectoryPolicy{}};
  bool lost = false;
  bool was_stopped = false;
  bool has_ended = false;
  TimePoint retry{};
  TimePoint last_answer = kBegin;
  std::vector<TimePoint> watch_ends;
  TimePoint next_batch{};
  /// Number of store events applied.
  size_t known = 0;
  TimePoint reachable_since = kBegin;
};

class Fleet {
 public:
  /// With `more_kinds`, days also have kinds of troubles that the seeds of
  /// earlier failures do not have.
  explicit Fleet(uint64_t seed, bool more_kinds) : m_random(seed) {
    const size_t count = 3 + m_random() % 4;
    m_hosts.resize(count);
    for (Host& host : m_hosts) {
      for (int feed = 0; feed < 3; ++feed) {
        host.watch_ends.push_back(kBegin + Draw(Duration(0), kWatchWait));
      }
      host.outage.OnAnswered(kBegin);
    }
    DrawDay();
    if (more_kinds) {
      DrawMoreKinds();
    }
    for (Host& host : m_hosts) {
      for (const Departure& departure : m_departures) {
        host.directory.Put(Server(departure.server), kBegin);
      }
    }
  }

  void Run() {
    for (m_now = kBegin; m_now < kBegin + kDay; m_now += kStep) {
      for (size_t i = 0; i < m_hosts.size(); ++i) {
        Advance(i);
      }
      Check();
    }
  }

  std::vector<std::string> failures;

 private:
  static BackendServer Server(const std::string& id) {
    BackendServer server;
    server.id = id;
    server.service = "plain";
    return server;
  }

  Duration Draw(Duration min, Duration max) {
    return Duration(std::uniform_int_distribution<int64_t>(
        min.count(), max.count())(m_random));
  }

  void DrawDay() {
    TimePoint at = kBegin + Seconds(4);
    int number = 0;
    while (at < kBegin + kDay - Seconds(12)) {
      const auto kind = static_cast<Trouble::Kind>(m_random() % 3);
      const TimePoint end = at + Draw(Milliseconds(300), Milliseconds(5500));
      m_troubles.push_back({kind, m_random() % m_hosts.size(), {at, end}});
      if (m_random() % 3 == 0) {
        // Another host is in trouble from about the same time on.
        const TimePoint from = at + Draw(Duration(0), Seconds(2));
        m_troubles.push_back(
            {m_random() % 2 == 0 ? Trouble::Kind::kCut : Trouble::Kind::kStop,
             m_random() % m_hosts.size(),
             {from, from + Draw(Milliseconds(300), Seconds(6))}});
      }
      if (kind == Trouble::Kind::kOutage && end - at >= Milliseconds(2500)) {
        m_departures.push_back({"lapsed" + std::to_string(number), end,
                                end + Draw(Duration(0), kReturnTime)});
      }
      m_departures.push_back({"left" + std::to_string(number),
                              end + Draw(Milliseconds(-300), Seconds(1)),
                              {}});
      m_departures.push_back({"later" + std::to_string(number),
                              end + Draw(Seconds(1), Seconds(5)),
                              {}});
      ++number;
      at = end + Draw(Milliseconds(300), Seconds(6));
    }
    std::sort(m_departures.begin(), m_departures.end(),
              [](const auto& a, const auto& b) { return a.at < b.at; });
  }

  void DrawMoreKinds() {
    for (Trouble& trouble : m_troubles) {
      if (trouble.kind == Trouble::Kind::kStop && m_random() % 2 == 0) {
        trouble.kind = Trouble::Kind::kRestart;
      }
    }
    for (TimePoint at = kBegin + Draw(Seconds(1), Seconds(12));
         at < kBegin + kDay; at += Draw(Seconds(4), Seconds(20))) {
      m_troubles.push_back(
          {Trouble::Kind::kSilence, 0, {at, at + kMaxSilence}});
      m_departures.push_back({"silent" + std::to_string(m_troubles.size()),
                              at + Draw(Duration(0), kMaxSilence),
                              {}});
    }
    std::sort(m_departures.begin(), m_departures.end(),
              [](const auto& a, const auto& b) { return a.at < b.at; });
  }

  bool Is(Trouble::Kind kind, size_t host, TimePoint at) const {
    return std::any_of(
        m_troubles.begin(), m_troubles.end(), [&](const Trouble& trouble) {
          return trouble.kind == kind && trouble.when.Contains(at) &&
                 (kind == Trouble::Kind::kOutage || trouble.host == host);
        });
  }
  bool IsStopped(size_t host, TimePoint at) const {
    return Is(Trouble::Kind::kStop, host, at) ||
           Is(Trouble::Kind::kRestart, host, at);
  }
  bool IsOutage(TimePoint at) const {
    return Is(Trouble::Kind::kOutage, 0, at);
  }
  bool Reaches(size_t host) const {
    return !IsOutage(m_now) && !Is(Trouble::Kind::kCut, host, m_now);
  }
  /// Whether any trouble of this kind was in force within `time` before `at`.
  bool WasTroubled(Trouble::Kind kind,
                   size_t host,
                   TimePoint at,
                   Duration time) const {
    return std::any_of(
        m_troubles.begin(), m_troubles.end(), [&](const Trouble& trouble) {
          return trouble.kind == kind &&
                 (kind == Trouble::Kind::kOutage || trouble.host == host) &&
                 trouble.when.from <= at && trouble.when.to + time > at;
        });
  }

  void Advance(size_t index) {
    Host& host = m_hosts[index];
    if (Is(Trouble::Kind::kRestart, index, m_now)) {
      host.has_ended = true;
      return;
    }
    if (IsStopped(index, m_now)) {
      host.was_stopped = true;
      return;
    }
    if (host.has_ended) {
      Restart(index);
    }
    if (host.was_stopped) {
      host.was_stopped = false;
      if (!host.lost && m_now - host.last_answer > kCallTimeout) {
        Lose(host, host.last_answer);
      }
    }
    if (Reaches(index)) {
      UseStore(index);
    } else {
      host.reachable_since = m_now;
      if (!host.lost) {
        Lose(host, m_now);
      }
    }
    Gossip(index);
    host.directory.Expire(m_now);
  }

  /// The new process learns all events anew, from the store or from peers.
  void Restart(size_t index) {
    Host& host = m_hosts[index];
    host = Host();
    host.watch_ends.assign(3, m_now + kWatchWait);
    host.last_answer = m_now;
    for (const Departure& departure : m_departures) {
      host.directory.Put(Server(departure.server), m_now);
    }
    if (Reaches(index)) {
      Answered(host);
      Learn(host, CountEvents());
    }
  }

  void Lose(Host& host, TimePoint since) {
    host.lost = true;
    host.outage.OnLost(since);
    host.retry = m_now + Draw(kStep, Milliseconds(600));
  }

  void UseStore(size_t index) {
    Host& host = m_hosts[index];
    if (host.lost && m_now < host.retry) {
      return;
    }
    if (host.lost) {
      host.lost = false;
      Update(host,
             [this](StoreOutageDetector& outage) { outage.OnReturned(m_now); });
      Answered(host);
      Learn(host, CountEvents());
    }
    const bool is_silent = Is(Trouble::Kind::kSilence, 0, m_now);
    for (TimePoint& end : host.watch_ends) {
      if (m_now >= end && !is_silent) {
        end = m_now + kWatchWait;
        Answered(host);
      }
    }
    if (!is_silent && m_now >= host.next_batch && CountEvents() > host.known) {
      host.next_batch = m_now + kBatchWindow;
      std::fill(host.watch_ends.begin(), host.watch_ends.begin() + 1,
                m_now + kWatchWait);
      Answered(host);
      Learn(host, CountEvents());
    }
    RenewLease(index);
  }

  void RenewLease(size_t index) {
    const bool vacant = m_now - m_lease_renewed > kTakeover;
    if ((index != m_holder && !vacant) ||
        (index == m_holder && m_now - m_lease_renewed < kLeaseInterval)) {
      return;
    }
    m_holder = index;
    m_lease_renewed = m_now;
    Answered(m_hosts[index]);
  }

  void Answered(Host& host) {
    host.last_answer = m_now;
    Update(host,
           [this](StoreOutageDetector& outage) { outage.OnAnswered(m_now); });
  }

  template <typename Change>
  void Update(Host& host, Change change) {
    change(host.outage);
    const auto returned = host.outage.returned();
    if (returned == host.directory.store_returned()) {
      return;
    }
    if (returned) {
      host.directory.OnStoreReturned(*returned);
    } else {
      host.directory.OnReturnDisproved(m_now);
    }
  }

  /// Events of the store so far: departures and returns, in order of time.
  std::vector<std::pair<TimePoint, std::pair<std::string, bool>>> Events()
      const {
    std::vector<std::pair<TimePoint, std::pair<std::string, bool>>> events;
    for (const Departure& departure : m_departures) {
      events.push_back({departure.at, {departure.server, false}});
      if (departure.back) {
        events.push_back({*departure.back, {departure.server, true}});
      }
    }
    std::stable_sort(
        events.begin(), events.end(),
        [](const auto& a, const auto& b) { return a.first < b.first; });
    return events;
  }
  size_t CountEvents() {
    if (m_events.empty()) {
      m_events = Events();
    }
    while (m_event_count < m_events.size() &&
           m_events[m_event_count].first <= m_now) {
      ++m_event_count;
    }
    return m_event_count;
  }

  void Learn(Host& host, size_t count) {
    for (; host.known < count; ++host.known) {
      const auto& [server, registers] = m_events[host.known].second;
      if (registers) {
        host.directory.Put(Server(server), m_now);
      } else {
        host.directory.Remove(server, m_now);
      }
    }
  }

  void Gossip(size_t index) {
    while (!m_replies.empty() && ReadReply(index)) {
    }
    const auto phase = kRound / 6 * static_cast<int64_t>(index);
    if ((m_now - kBegin + phase) % kRound >= kStep) {
      return;
    }
    for (size_t peer = 0; peer < m_hosts.size(); ++peer) {
      if (peer == index || IsStopped(peer, m_now)) {
        continue;
      }
      const StoreOutageDetector& outage = m_hosts[peer].outage;
      Reply reply{index,
                  m_now,
                  m_now + kStep,
                  outage.service(),
                  {},
                  m_hosts[peer].known};
      if (outage.returned() && m_now - *outage.returned() < kReportTtl) {
        reply.returned = outage.returned();
      }
      m_replies.push_back(reply);
    }
  }

  bool ReadReply(size_t index) {
    const auto found = std::find_if(
        m_replies.begin(), m_replies.end(), [&](const Reply& reply) {
          return reply.to == index && reply.arrives <= m_now;
        });
    if (found == m_replies.end()) {
      return false;
    }
    const Reply reply = *found;
    m_replies.erase(found);
    Host& host = m_hosts[index];
    // Ages are of some time between the request and the reading of the reply.
    const Duration error = m_now - reply.asked;
    if (reply.service) {
      const StoreService service{reply.service->since + error,
                                 reply.service->until};
      Update(host, [&service](StoreOutageDetector& outage) {
        outage.OnPeerService(service);
      });
    }
    if (reply.returned && error <= kMaxDatingError) {
      Update(host, [&reply](StoreOutageDetector& outage) {
        outage.OnPeerSawReturn(*reply.returned);
      });
    }
    if (reply.known > host.known) {
      if (host.lost) {
        host.outage.OnPeersAhead(m_now);
      }
      Learn(host, reply.known);
    }
    return true;
  }

  bool IsInTouch(size_t index) const {
    return !WasTroubled(Trouble::Kind::kCut, index, m_now, kStableWindow) &&
           !WasTroubled(Trouble::Kind::kStop, index, m_now, kStableWindow) &&
           !WasTroubled(Trouble::Kind::kRestart, index, m_now, kStableWindow);
  }

  void Check() {
    for (const Departure& departure : m_departures) {
      if (departure.at > m_now || m_now > departure.at + Seconds(6)) {
        continue;
      }
      for (size_t i = 0; i < m_hosts.size(); ++i) {
        CheckServer(departure, i);
      }
    }
  }

  void CheckServer(const Departure& departure, size_t index) {
    const bool is_used =
        m_hosts[index].directory.Find(departure.server) != nullptr;
    if (departure.back) {
      const bool was_well =
          !WasTroubled(Trouble::Kind::kCut, index, m_now, Seconds(8)) &&
          !WasTroubled(Trouble::Kind::kStop, index, m_now, Seconds(8)) &&
          !WasTroubled(Trouble::Kind::kRestart, index, m_now, Seconds(8)) &&
          !WasTroubled(Trouble::Kind::kSilence, 0, m_now, Seconds(8)) &&
          !IsOutage(m_now);
      if (!is_used && was_well) {
        Fail(departure, index, "a live server is not used");
      }
      return;
    }
    const bool is_stable =
        !WasTroubled(Trouble::Kind::kOutage, 0, departure.at, kStableWindow) &&
        !WasTroubled(Trouble::Kind::kOutage, 0, m_now, kStableWindow);
    if (is_used && is_stable && IsInTouch(index) &&
        m_now > departure.at + kDrainTimeout) {
      Fail(departure, index, "a server that left is used");
    }
  }

  void Fail(const Departure& departure, size_t index, const char* what) {
    failures.push_back(std::string(what) + ": " + departure.server + ", host " +
                       std::to_string(index) + ", " +
                       std::to_string(ToMilliseconds(m_now - departure.at)) +
                       " ms after its removal at " +
                       std::to_string(ToMilliseconds(departure.at - kBegin)));
  }

  std::mt19937_64 m_random;
  TimePoint m_now = kBegin;
  std::vector<Host> m_hosts;
  std::vector<Trouble> m_troubles;
  std::vector<Departure> m_departures;
  std::vector<std::pair<TimePoint, std::pair<std::string, bool>>> m_events;
  size_t m_event_count = 0;
  std::deque<Reply> m_replies;
  size_t m_holder = 0;
  TimePoint m_lease_renewed = kBegin;
};

/// Number of seeds to run: OUTAGE_SEEDS, or few.
uint64_t CountSeeds() {
  constexpr uint64_t kDefault = 100;
  const char* const text = std::getenv("OUTAGE_SEEDS");
  return text == nullptr ? kDefault : std::strtoull(text, nullptr, 10);
}

void CheckDay(uint64_t seed, bool more_kinds) {
  Fleet fleet(seed, more_kinds);
  fleet.Run();
  const std::string first =
      fleet.failures.empty() ? "" : fleet.failures.front();
  INFO("seed ", seed, ", ", fleet.failures.size(), " failures");
  CHECK(first == "");
}

TEST_CASE(
    "a server that left is not used longer than a bounded time, whatever "
    "hosts believe of the store") {
  // Guards against holds that are begun, or moved, by a host that alone lost
  // the store or stood still; and against live servers that are dropped after
  // an outage.
  for (uint64_t seed = 1; seed <= CountSeeds(); ++seed) {
    CheckDay(seed, false);
  }
  // Failed once: two hosts were cut off and the third one stood still.
  CheckDay(19482, false);
}

TEST_CASE(
    "a server that left is not used longer than a bounded time, with restarts "
    "and silent watches") {
  for (uint64_t seed = 1; seed <= CountSeeds(); ++seed) {
    CheckDay(seed, true);
  }
}

}  // namespace
}  // namespace filbertrack

#include "soak_departures.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>

namespace filbertrack::soak {

namespace {

/// The platform's bounds.
constexpr Duration kDrainTimeout = Seconds(2);
constexpr Duration kStableWindow = Seconds(3);
/// Time after an outage within which lapsed registrations are back.
constexpr Duration kReturnTime = Milliseconds(1900);

constexpr Duration kSendInterval = Milliseconds(12);
constexpr Duration kCallTimeout = Milliseconds(1500);
/// Longer than hosts remember the store's return.
constexpr Duration kSettleTime = Seconds(6);
/// Servers that leave at once, so that each entry host uses one of them.
constexpr int kLeavingServers = 3;
/// Share of the calls that must be served while all servers are live.
constexpr double kMinServed = 0.99;
constexpr int kOk = 200;
constexpr Duration kObservationTime = Seconds(4);

constexpr std::array<std::pair<std::string_view, StoreTrouble>, 8> kTroubles = {
    {{"none", StoreTrouble::kNone},
     {"one-cut-off", StoreTrouble::kOneCutOff},
     {"two-cut-off", StoreTrouble::kTwoCutOff},
     {"stopped", StoreTrouble::kStopped},
     {"stopped-after-outage", StoreTrouble::kStoppedAfterOutage},
     {"silent", StoreTrouble::kSilent},
     {"stalled", StoreTrouble::kStalled},
     {"outage", StoreTrouble::kOutage}}};

std::string_view HostOf(std::string_view request) {
  return request.substr(0, request.find('-'));
}

}  // namespace

std::optional<StoreTrouble> ParseTrouble(std::string_view name) {
  const auto found =
      std::find_if(kTroubles.begin(), kTroubles.end(),
                   [name](const auto& each) { return each.first == name; });
  return found == kTroubles.end() ? std::nullopt : std::optional(found->second);
}

std::string_view NameOf(StoreTrouble trouble) {
  return std::find_if(
             kTroubles.begin(), kTroubles.end(),
             [trouble](const auto& each) { return each.second == trouble; })
      ->first;
}

Departures::Departures(EventLoop& loop, Fleet& fleet, uint64_t seed)
    : m_loop(loop), m_fleet(fleet), m_random(seed), m_client(loop, 8) {
  m_send_timer = loop.Every(kSendInterval, [this] { SendRequests(); });
}

Departures::~Departures() = default;

void Departures::RunLoop(Duration time) {
  m_loop.Call(std::max(Duration(0), time), [this] { m_loop.Stop(); });
  m_loop.Run();
}

Duration Departures::Draw(Duration min, Duration max) {
  return Duration(std::uniform_int_distribution<int64_t>(
      min.count(), max.count())(m_random));
}

EntryProcess& Departures::Other(const EntryProcess& than) {
  auto& entries = m_fleet.entries();
  size_t index = m_random() % (entries.size() - 1);
  if (entries[index].get() == &than) {
    index = entries.size() - 1;
  }
  return *entries[index];
}

void Departures::SendRequests() {
  for (const auto& entry : m_fleet.entries()) {
    if (entry->paused) {
      continue;
    }
    const std::string id = entry->name + "-" + std::to_string(++m_last_id);
    HttpCallRequest request;
    request.method = HttpMethod::kPost;
    request.target = "/safe/departures";
    request.headers = {
        {"Host", "h.example"},
        {"X-Attempt-Id", id},
        {"X-Deadline-Remaining", std::to_string(ToMilliseconds(kCallTimeout))},
        {"Authorization", "Bearer key"}};
    const auto end = [this, id] {
      m_loop.Post([this, id] { m_open.erase(id); });
    };
    HttpCallEvents events;
    events.on_end = [this, end](int status) {
      ++m_answers.calls;
      m_answers.served += status == kOk ? 1 : 0;
      end();
    };
    events.on_failure = [end](bool) { end(); };
    m_open[id] =
        m_client.Start(entry->callers, std::move(request), std::move(events));
    m_loop.Call(kCallTimeout + Seconds(1), [end] { end(); });
  }
}

void Departures::MarkDisturbed(const EntryProcess& entry) {
  m_disturbed_until[entry.name] = MonotonicNow();
}

void Departures::MarkAllDisturbed() {
  for (const auto& entry : m_fleet.entries()) {
    MarkDisturbed(*entry);
  }
}

void Departures::CutOff(EntryProcess& entry, Duration time) {
  entry.store->faults().refuses = true;
  entry.store->ResetAll();
  RunLoop(time);
  entry.store->faults().refuses = false;
  MarkDisturbed(entry);
}

void Departures::StopFor(EntryProcess& entry, Duration time) {
  entry.paused = true;
  entry.process->Signal(SIGSTOP);
  RunLoop(time);
  entry.process->Signal(SIGCONT);
  entry.paused = false;
  MarkDisturbed(entry);
}

void Departures::SilenceConnections() {
  // A change of a registration lets all watches begin anew.
  m_fleet.plain().front()->standin->Register("draining");
  m_fleet.plain().front()->standin->Register("ready");
  RunLoop(Draw(Milliseconds(20), Milliseconds(700)));
  for (const auto& entry : m_fleet.entries()) {
    entry->store->Cut(kStoreClient, {.drops_new = false});
  }
  MarkAllDisturbed();
}

void Departures::Disturb(StoreTrouble trouble) {
  auto& entries = m_fleet.entries();
  EntryProcess& entry = *entries[m_random() % entries.size()];
  StoreStandinFaults& store = m_fleet.store().faults();
  switch (trouble) {
    case StoreTrouble::kOneCutOff:
      CutOff(entry, Draw(Milliseconds(1200), Seconds(5)));
      return;
    case StoreTrouble::kTwoCutOff:
      CutOff(entry, Draw(Milliseconds(1200), Seconds(4)));
      CutOff(Other(entry), Draw(Milliseconds(1200), Seconds(4)));
      return;
    case StoreTrouble::kStopped:
      StopFor(entry, Draw(Milliseconds(1200), Seconds(5)));
      return;
    case StoreTrouble::kStoppedAfterOutage:
      store.refuse_with = 503;
      RunLoop(Seconds(2));
      store.refuse_with = 0;
      MarkAllDisturbed();
      RunLoop(Draw(Milliseconds(100), Milliseconds(400)));
      StopFor(entry, Draw(Milliseconds(3000), Milliseconds(3600)));
      return;
    case StoreTrouble::kSilent:
      SilenceConnections();
      RunLoop(Draw(Milliseconds(500), Milliseconds(1000)));
      return;
    default:
      RunLoop(Seconds(1));
  }
}

TimePoint Departures::Leave(const Servers& servers, bool reports) {
  for (PlatformRunnerStandin* server : servers) {
    if (reports) {
      server->Register("draining");
    } else {
      server->ExpireRegistration();
    }
  }
  return MonotonicNow();
}

void Departures::RunRound(StoreTrouble trouble) {
  ++m_rounds;
  m_disturbed_until.clear();
  Servers leaving;
  for (int i = 0; i < kLeavingServers; ++i) {
    m_fleet.AddPlainServer();
    leaving.push_back(m_fleet.plain().back()->standin.get());
  }
  RunLoop(kSettleTime);
  if (trouble == StoreTrouble::kOutage) {
    RunOutage();
  } else if (trouble == StoreTrouble::kStalled) {
    RunStall(leaving, m_random() % 2 == 0);
  } else {
    const bool reports = m_random() % 3 == 0;
    Disturb(trouble);
    RunLoop(Draw(Milliseconds(0), Milliseconds(400)));
    const TimePoint left = Leave(leaving, reports);
    RunLoop(kObservationTime);
    CheckDeparture(trouble, leaving, reports, left);
  }
  for (PlatformRunnerStandin* server : leaving) {
    server->Die();
  }
  for (const auto& entry : m_fleet.entries()) {
    entry->store->Heal(kStoreClient);
    entry->store->ResetAll();
  }
  std::fflush(stdout);
}

void Departures::CheckDeparture(StoreTrouble trouble,
                                const Servers& servers,
                                bool reports,
                                TimePoint left) {
  std::map<std::string, size_t> late;
  size_t before = 0;
  TimePoint last = left;
  for (const PlatformRunnerStandin* server : servers) {
    for (const SeenRequest& seen : server->seen()) {
      const std::string host(HostOf(seen.id));
      const auto disturbed = m_disturbed_until.find(host);
      const bool is_in_touch =
          disturbed == m_disturbed_until.end() ||
          seen.arrived >= disturbed->second + kStableWindow;
      before += seen.arrived <= left ? 1 : 0;
      if (seen.arrived <= left || !is_in_touch) {
        continue;
      }
      last = std::max(last, seen.arrived);
      if (seen.arrived > left + kDrainTimeout) {
        ++late[host];
      }
    }
  }
  std::printf(
      "round %zu, %s, %s: %zu requests before, the last %lld ms after they "
      "left\n",
      m_rounds, std::string(NameOf(trouble)).c_str(),
      reports ? "reported" : "unreported", before,
      static_cast<long long>(ToMilliseconds(last - left)));
  for (const auto& [host, count] : late) {
    m_fleet.violations().push_back(
        "round " + std::to_string(m_rounds) + ", " +
        std::string(NameOf(trouble)) + ": " + std::to_string(count) +
        " requests of " + host + " reached servers too late, the last " +
        std::to_string(ToMilliseconds(last - left)) + " ms after they left");
  }
}

void Departures::RunStall(const Servers& leaving, bool reports) {
  auto& entries = m_fleet.entries();
  const EntryProcess& entry = *entries[m_random() % entries.size()];
  entry.process->Signal(SIGSTOP);
  RunLoop(Draw(Milliseconds(10), Milliseconds(300)));
  const TimePoint left = Leave(leaving, reports);
  // Shorter than the timeout of a watch.
  RunLoop(Draw(Milliseconds(2050), Milliseconds(3000)));
  entry.process->Signal(SIGCONT);
  RunLoop(kObservationTime);
  CheckDeparture(StoreTrouble::kStalled, leaving, reports, left);
}

void Departures::RunOutage() {
  StoreStandinFaults& store = m_fleet.store().faults();
  const bool is_silent = m_random() % 2 == 0;
  store.silent = is_silent;
  store.refuse_with = is_silent ? 0 : 503;
  // Watches that wait would be answered by the stand-in all the same.
  for (const auto& entry : m_fleet.entries()) {
    if (is_silent) {
      entry->store->Cut(kStoreClient, {.drops_new = false});
    } else {
      entry->store->ResetAll();
    }
  }
  RunLoop(Draw(Milliseconds(2500), Seconds(6)));
  // All are live, and expired while the store was away.
  Servers lapsed;
  for (const auto& host : m_fleet.plain()) {
    if (!host->standin->is_dead()) {
      lapsed.push_back(host->standin.get());
      host->standin->ExpireRegistration();
    }
  }
  store.silent = false;
  store.refuse_with = 0;
  m_answers = {};
  RunLoop(kReturnTime);
  const Answers answers = m_answers;
  for (PlatformRunnerStandin* server : lapsed) {
    server->Register("ready");
  }
  std::printf("round %zu, outage, %s: %zu of %zu calls served after it\n",
              m_rounds, is_silent ? "silent" : "refused", answers.served,
              answers.calls);
  if (static_cast<double>(answers.served) <
      kMinServed * static_cast<double>(answers.calls)) {
    m_fleet.violations().push_back(
        "round " + std::to_string(m_rounds) +
        ", outage: " + std::to_string(answers.served) + " of " +
        std::to_string(answers.calls) +
        " calls served although all servers were live");
  }
}

}  // namespace filbertrack::soak

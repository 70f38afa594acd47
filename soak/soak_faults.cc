#include "soak_faults.h"

#include <algorithm>
#include <array>
#include <csignal>

namespace filbertrack::soak {

namespace {

constexpr Duration kMaxLinkFault = Seconds(3);
constexpr Duration kMaxPause = Seconds(3);
constexpr int kMaxDelayMs = 250;
/// Live runners that KillRunner() leaves, so that a group can be formed.
constexpr size_t kMinRunners = 4;

}  // namespace

Faults::Faults(EventLoop& loop,
               Fleet& fleet,
               Callers& callers,
               uint64_t seed,
               bool more_kinds)
    : m_loop(loop),
      m_fleet(fleet),
      m_callers(callers),
      m_random(seed),
      m_more_kinds(more_kinds) {}

void Faults::Start(Duration interval) {
  m_interval = interval;
  m_stopped = false;
  ScheduleNext();
}

void Faults::Stop() {
  m_stopped = true;
  for (const auto& undo : m_undo) {
    undo();
  }
  m_undo.clear();
  m_callers.RecordDisruption(MonotonicNow());
}

void Faults::ScheduleNext() {
  std::exponential_distribution<double> gap(1 / ToSeconds(m_interval));
  const auto wait = FromSeconds(gap(m_random));
  m_loop.Call(wait, [this] {
    if (!m_stopped) {
      InjectFault();
      ScheduleNext();
    }
  });
}

void Faults::InjectFault() {
  using Fault = void (Faults::*)();
  constexpr size_t kFirstKinds = 12;
  constexpr std::array<Fault, 14> kFaults = {
      &Faults::PauseEntry,      &Faults::KillEntry,
      &Faults::StopEntry,       &Faults::ReloadEntry,
      &Faults::StoreFault,      &Faults::StoreLinkFault,
      &Faults::RunnerLinkFault, &Faults::KillRunner,
      &Faults::DrainRunner,     &Faults::ExpireRegistration,
      &Faults::DropResponses,   &Faults::ChangeConfig,
      &Faults::FailAfterRun,    &Faults::SilenceStoreConnections};
  ++m_count;
  const size_t kinds = m_more_kinds ? kFaults.size() : kFirstKinds;
  (this->*kFaults[m_random() % kinds])();
}

void Faults::UndoWithin(Duration max_delay,
                        const std::string& fault,
                        std::function<void()> undo) {
  m_fleet.LogFault(fault);
  // Both the timer and Stop() may call `undo`, so it must be idempotent.
  m_undo.push_back(undo);
  const auto wait = Duration(static_cast<int64_t>(
      m_random() % static_cast<uint64_t>(max_delay.count())));
  m_callers.RecordDisruption(MonotonicNow());
  m_loop.Call(wait, [this, fault, undo = std::move(undo)] {
    m_fleet.LogFault("end of " + fault);
    m_callers.RecordDisruption(MonotonicNow());
    undo();
  });
}

EntryProcess& Faults::RandomEntry() {
  auto& entries = m_fleet.entries();
  return *entries[m_random() % entries.size()];
}

RunnerHost* Faults::RandomLiveRunner(
    std::vector<std::unique_ptr<RunnerHost>>& hosts) {
  std::vector<RunnerHost*> live;
  for (const auto& host : hosts) {
    if (!host->standin->is_dead()) {
      live.push_back(host.get());
    }
  }
  return live.empty() ? nullptr : live[m_random() % live.size()];
}

void Faults::PauseEntry() {
  EntryProcess& entry = RandomEntry();
  entry.paused = true;
  entry.disruptions.push_back(MonotonicNow());
  entry.process->Signal(SIGSTOP);
  UndoWithin(kMaxPause, "pause " + entry.name, [&entry] {
    entry.paused = false;
    entry.disruptions.push_back(MonotonicNow());
    entry.process->Signal(SIGCONT);
  });
}

void Faults::KillEntry() {
  EntryProcess& entry = RandomEntry();
  m_fleet.LogFault("kill " + entry.name);
  m_callers.RecordDisruption(MonotonicNow());
  entry.end_signalled_at = MonotonicNow();
  entry.killed = true;
  entry.disruptions.push_back(MonotonicNow());
  entry.process->Signal(SIGKILL);
}

void Faults::StopEntry() {
  EntryProcess& entry = RandomEntry();
  m_fleet.LogFault("stop " + entry.name);
  if (!entry.end_signalled_at) {
    entry.end_signalled_at = MonotonicNow();
  }
  entry.disruptions.push_back(MonotonicNow());
  entry.process->Signal(SIGTERM);
}

void Faults::ReloadEntry() {
  const EntryProcess& entry = RandomEntry();
  m_fleet.LogFault("reload " + entry.name);
  entry.process->Signal(SIGHUP);
}

void Faults::StoreFault() {
  StoreStandinFaults& faults = m_fleet.store().faults();
  switch (m_random() % 4) {
    case 0:
      faults.refuse_with = 503;
      UndoWithin(kMaxLinkFault, "refusals of the store",
                 [&faults] { faults.refuse_with = 0; });
      return;
    case 1:
      faults.silent = true;
      UndoWithin(kMaxLinkFault, "silence of the store",
                 [&faults] { faults.silent = false; });
      return;
    case 2:
      m_fleet.LogFault("two lost writes to the store");
      faults.lost_writes += 2;
      return;
    default:
      m_fleet.LogFault("compaction of the store");
      m_fleet.store().Compact();
  }
}

void Faults::StoreLinkFault() {
  const EntryProcess& entry = RandomEntry();
  Proxy& proxy = *entry.store;
  ProxyFaults& faults = proxy.faults();
  const uint64_t kind = m_random() % 4;
  switch (kind) {
    case 0:
      faults.delay =
          Milliseconds(static_cast<int64_t>(m_random() % kMaxDelayMs));
      break;
    case 1:
      faults.drops_to_server = true;
      break;
    case 2:
      faults.drops_to_client = true;
      break;
    default:
      faults.refuses = true;
      proxy.ResetAll();
  }
  const std::string fault = "fault " + std::to_string(kind) +
                            " of the link of " + entry.name + " to the store";
  UndoWithin(kMaxLinkFault, fault, [&proxy] {
    proxy.faults() = {};
    // Connections that lost bytes cannot be continued.
    proxy.ResetAll();
  });
}

void Faults::RunnerLinkFault() {
  auto& hosts = m_random() % 2 == 0 ? m_fleet.runners() : m_fleet.plain();
  RunnerHost* host = RandomLiveRunner(hosts);
  if (host == nullptr) {
    return;
  }
  Proxy& proxy = *host->proxy;
  host->disruptions.push_back(MonotonicNow());
  const uint64_t kind = m_random() % 4;
  switch (kind) {
    case 0:
      proxy.faults().delay =
          Milliseconds(static_cast<int64_t>(m_random() % kMaxDelayMs));
      break;
    case 1:
      proxy.faults().drops_to_server = true;
      break;
    case 2:
      proxy.faults().drops_to_client = true;
      break;
    default:
      proxy.ResetAll();
  }
  const std::string fault = "fault " + std::to_string(kind) +
                            " of the link of " + host->standin->id();
  UndoWithin(kMaxLinkFault, fault, [host, &proxy] {
    host->disruptions.push_back(MonotonicNow());
    proxy.faults() = {};
    proxy.ResetAll();
  });
}

void Faults::KillRunner() {
  RunnerHost* host = RandomLiveRunner(m_fleet.runners());
  const auto live =
      std::count_if(m_fleet.runners().begin(), m_fleet.runners().end(),
                    [](const auto& each) { return !each->standin->is_dead(); });
  if (host == nullptr || static_cast<size_t>(live) <= kMinRunners) {
    return;
  }
  m_fleet.LogFault("end of server " + host->standin->id());
  m_callers.RecordDisruption(MonotonicNow());
  host->standin->Die();
  m_fleet.AddRunner();
}

void Faults::DrainRunner() {
  RunnerHost* host = RandomLiveRunner(m_fleet.runners());
  if (host == nullptr) {
    return;
  }
  host->standin->Register("draining");
  m_fleet.AddRunner();
  UndoWithin(Seconds(6), "drain of " + host->standin->id(), [host] {
    if (!host->standin->is_dead()) {
      host->standin->Die();
    }
  });
}

void Faults::ExpireRegistration() {
  RunnerHost* host = RandomLiveRunner(m_fleet.runners());
  if (host == nullptr) {
    return;
  }
  host->standin->ExpireRegistration();
  UndoWithin(Seconds(4), "expired registration of " + host->standin->id(),
             [host] {
               if (!host->standin->is_dead()) {
                 host->standin->Register("ready");
               }
             });
}

void Faults::DropResponses() {
  RunnerHost* host = RandomLiveRunner(m_fleet.plain());
  if (host == nullptr) {
    return;
  }
  host->disruptions.push_back(MonotonicNow());
  host->standin->SetDropsResponses(true);
  UndoWithin(kMaxLinkFault, "lost responses of " + host->standin->id(), [host] {
    host->disruptions.push_back(MonotonicNow());
    host->standin->SetDropsResponses(false);
  });
}

void Faults::ChangeConfig() {
  m_fleet.LogFault("another configuration");
  m_fleet.PutConfig();
}

void Faults::SilenceStoreConnections() {
  // Of all entry hosts at once; new connections work.
  for (const auto& entry : m_fleet.entries()) {
    entry->store->Cut(kStoreClient, {.drops_new = false});
  }
  UndoWithin(kMaxLinkFault, "silent connections to the store", [this] {
    for (const auto& entry : m_fleet.entries()) {
      entry->store->Heal(kStoreClient);
    }
  });
}

void Faults::FailAfterRun() {
  RunnerHost* host = RandomLiveRunner(m_fleet.plain());
  if (host == nullptr) {
    return;
  }
  host->disruptions.push_back(MonotonicNow());
  host->standin->SetFailsAfterRun(true);
  UndoWithin(kMaxLinkFault, "failures after runs of " + host->standin->id(),
             [host] {
               host->disruptions.push_back(MonotonicNow());
               host->standin->SetFailsAfterRun(false);
             });
}

}  // namespace filbertrack::soak

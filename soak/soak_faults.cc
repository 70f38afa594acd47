#include "soak_faults.h"

#include <algorithm>
#include <array>
#include <csignal>

namespace filbertrack::soak {

namespace {

constexpr Duration kMaxLinkFault = Seconds(3);
constexpr Duration kLongestPause = Seconds(3);
constexpr int kMaxDelayMs = 250;
/// Runners that stay, so that a group can be formed.
constexpr size_t kMinRunners = 4;

}  // namespace

Faults::Faults(EventLoop& loop, Fleet& fleet, Callers& callers, uint64_t seed)
    : m_loop(loop), m_fleet(fleet), m_callers(callers), m_random(seed) {}

void Faults::Start(Duration interval) {
  m_interval = interval;
  m_stopped = false;
  Next();
}

void Faults::Stop() {
  m_stopped = true;
  for (const auto& undo : m_undo) {
    undo();
  }
  m_undo.clear();
  m_callers.NoteUnplanned(MonotonicNow());
}

void Faults::Next() {
  std::exponential_distribution<double> gap(1 / ToSeconds(m_interval));
  const auto wait = FromSeconds(gap(m_random));
  m_loop.Call(wait, [this] {
    if (!m_stopped) {
      Begin();
      Next();
    }
  });
}

void Faults::Begin() {
  using Fault = void (Faults::*)();
  constexpr std::array<Fault, 12> kFaults = {
      &Faults::PauseEntry,      &Faults::KillEntry,   &Faults::StopEntry,
      &Faults::ReloadEntry,     &Faults::StoreFault,  &Faults::StoreLinkFault,
      &Faults::RunnerLinkFault, &Faults::LoseRunner,  &Faults::DrainRunner,
      &Faults::LapseRunner,     &Faults::LoseAnswers, &Faults::ChangeConfig};
  ++m_count;
  (this->*kFaults[m_random() % kFaults.size()])();
}

void Faults::Later(Duration longest, std::function<void()> undo) {
  // Undone once, by the timer or by Stop(), whichever comes first; undoing
  // twice does no harm.
  m_undo.push_back(undo);
  const auto wait = Duration(static_cast<int64_t>(
      m_random() % static_cast<uint64_t>(longest.count())));
  m_callers.NoteUnplanned(MonotonicNow());
  m_loop.Call(wait, [this, undo = std::move(undo)] {
    m_callers.NoteUnplanned(MonotonicNow());
    undo();
  });
}

EntryProcess& Faults::AnyEntry() {
  auto& entries = m_fleet.entries();
  return *entries[m_random() % entries.size()];
}

RunnerHost* Faults::AnyLiving(std::vector<std::unique_ptr<RunnerHost>>& hosts) {
  std::vector<RunnerHost*> living;
  for (const auto& host : hosts) {
    if (!host->standin->is_dead()) {
      living.push_back(host.get());
    }
  }
  return living.empty() ? nullptr : living[m_random() % living.size()];
}

void Faults::PauseEntry() {
  EntryProcess& entry = AnyEntry();
  entry.paused = true;
  entry.disturbed.push_back(MonotonicNow());
  entry.process->Signal(SIGSTOP);
  Later(kLongestPause, [&entry] {
    entry.paused = false;
    entry.disturbed.push_back(MonotonicNow());
    entry.process->Signal(SIGCONT);
  });
}

void Faults::KillEntry() {
  EntryProcess& entry = AnyEntry();
  m_callers.NoteUnplanned(MonotonicNow());
  entry.ending_since = MonotonicNow();
  entry.killed = true;
  entry.disturbed.push_back(MonotonicNow());
  entry.process->Signal(SIGKILL);
}

void Faults::StopEntry() {
  EntryProcess& entry = AnyEntry();
  if (!entry.ending_since) {
    entry.ending_since = MonotonicNow();
  }
  entry.disturbed.push_back(MonotonicNow());
  entry.process->Signal(SIGTERM);
}

void Faults::ReloadEntry() {
  AnyEntry().process->Signal(SIGHUP);
}

void Faults::StoreFault() {
  StoreStandinFaults& faults = m_fleet.store().faults();
  switch (m_random() % 4) {
    case 0:
      faults.refuse_with = 503;
      Later(kMaxLinkFault, [&faults] { faults.refuse_with = 0; });
      return;
    case 1:
      faults.silent = true;
      Later(kMaxLinkFault, [&faults] { faults.silent = false; });
      return;
    case 2:
      faults.lost_writes += 2;
      return;
    default:
      m_fleet.store().Compact();
  }
}

void Faults::StoreLinkFault() {
  Proxy& proxy = *AnyEntry().store;
  ProxyFaults& faults = proxy.faults();
  switch (m_random() % 4) {
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
  Later(kMaxLinkFault, [&proxy] {
    proxy.faults() = {};
    // Bytes were lost on these; they cannot go on.
    proxy.ResetAll();
  });
}

void Faults::RunnerLinkFault() {
  auto& hosts = m_random() % 2 == 0 ? m_fleet.runners() : m_fleet.plain();
  RunnerHost* host = AnyLiving(hosts);
  if (host == nullptr) {
    return;
  }
  Proxy& proxy = *host->proxy;
  host->disturbed.push_back(MonotonicNow());
  switch (m_random() % 4) {
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
  Later(kMaxLinkFault, [host, &proxy] {
    host->disturbed.push_back(MonotonicNow());
    proxy.faults() = {};
    proxy.ResetAll();
  });
}

void Faults::LoseRunner() {
  RunnerHost* host = AnyLiving(m_fleet.runners());
  const auto living =
      std::count_if(m_fleet.runners().begin(), m_fleet.runners().end(),
                    [](const auto& each) { return !each->standin->is_dead(); });
  if (host == nullptr || static_cast<size_t>(living) <= kMinRunners) {
    return;
  }
  m_callers.NoteUnplanned(MonotonicNow());
  host->standin->Die();
  m_fleet.AddRunner();
}

void Faults::DrainRunner() {
  RunnerHost* host = AnyLiving(m_fleet.runners());
  if (host == nullptr) {
    return;
  }
  host->standin->Register("draining");
  m_fleet.AddRunner();
  Later(Seconds(6), [host] {
    if (!host->standin->is_dead()) {
      host->standin->Die();
    }
  });
}

void Faults::LapseRunner() {
  RunnerHost* host = AnyLiving(m_fleet.runners());
  if (host == nullptr) {
    return;
  }
  host->standin->Lapse();
  Later(Seconds(4), [host] {
    if (!host->standin->is_dead()) {
      host->standin->Register("ready");
    }
  });
}

void Faults::LoseAnswers() {
  RunnerHost* host = AnyLiving(m_fleet.plain());
  if (host == nullptr) {
    return;
  }
  host->standin->SetLosesAnswers(true);
  Later(kMaxLinkFault, [host] { host->standin->SetLosesAnswers(false); });
}

void Faults::ChangeConfig() {
  m_fleet.PutConfig();
}

}  // namespace filbertrack::soak

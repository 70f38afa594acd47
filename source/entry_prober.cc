#include "filbertrack/entry_prober.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "filbertrack/log.h"

namespace filbertrack {

namespace {

std::string_view HealthName(HostHealth health) {
  switch (health) {
    case HostHealth::kAnswers:
      return "answers";
    case HostHealth::kSilent:
      return "silent";
    case HostHealth::kGone:
      return "gone";
  }
  return "silent";
}

bool IsProbed(const BackendServer& server, const Catalog& catalog) {
  const ServiceProfile* service = catalog.FindService(server.service);
  return service != nullptr && service->engine && !server.draining;
}

}  // namespace

EntryProber::EntryProber(EngineClient& engines,
                         const ProbePolicy& policy,
                         Clock clock,
                         Schedule schedule)
    : m_engines(engines),
      m_policy(policy),
      m_clock(std::move(clock)),
      m_schedule(std::move(schedule)) {}

EntryProber::~EntryProber() {
  *m_alive = false;
}

void EntryProber::DiscardRounds() {
  for (auto& [id, probe] : m_probes) {
    if (!probe.answered) {
      // Answers still in flight carry the number of a discarded round.
      probe.round = 0;
      probe.in_flight = 0;
      probe.unanswered_since.reset();
    }
  }
  m_collected.clear();
}

void EntryProber::Clear() {
  *m_alive = false;
  m_alive = std::make_shared<bool>(true);
  m_probe_results.clear();
  m_probes.clear();
  m_silent_at.clear();
  m_collected.clear();
  m_interval_factor = 1;
}

void EntryProber::Tick(const ServerDirectory& directory,
                       const Catalog& catalog) {
  const auto is_unknown = [&directory](const auto& row) {
    return directory.Find(row.first) == nullptr;
  };
  std::erase_if(m_probes, is_unknown);
  std::erase_if(m_probe_results, is_unknown);
  const TimePoint now = m_clock();
  ForgetOldRounds(now);
  RecoverInterval(now);
  size_t allowed = RefillBudget(directory.servers().size(), now);
  for (const auto& [id, server] : directory.servers()) {
    if (!IsProbed(server, catalog)) {
      continue;
    }
    ForgetEarlierInstance(server);
    const ProbeState& probe = m_probes[id];
    const int divisor = server.membership ? 1 : m_policy.idle_divisor;
    const Duration interval = m_policy.interval * divisor * m_interval_factor;
    const bool is_due = probe.round == 0 || probe.unanswered_since ||
                        now - probe.started_at >= interval;
    if (probe.in_flight == 0 && is_due && allowed > 0) {
      --allowed;
      m_budget -= 1;
      StartRound(server);
    }
  }
}

void EntryProber::ForgetEarlierInstance(const BackendServer& server) {
  ProbeState& probe = m_probes[server.id];
  if (IsNewerInstance(server.process_start_ms, probe.process_start_ms)) {
    // Answers still in flight carry the number of a discarded round.
    probe = ProbeState{};
    m_probe_results.erase(server.id);
  }
  probe.process_start_ms = server.process_start_ms;
}

void EntryProber::StartRound(const BackendServer& server) {
  ProbeState& probe = m_probes[server.id];
  m_rounds.push_back({m_clock(), false, IsSilent(server.id)});
  probe.round = m_forgotten_rounds + m_rounds.size();
  probe.answered = false;
  probe.started_at = m_clock();
  const uint64_t round = probe.round;
  if (!m_policy.hedged) {
    SendProbe(server, m_policy.timeout);
    return;
  }
  // Counted as in flight already, so that a failed first probe does not end the
  // round before the second one is sent.
  ++probe.in_flight;
  m_schedule(m_policy.hedge_delay, [this, server, round, alive = m_alive] {
    if (*alive) {
      SendHedge(server, round);
    }
  });
  SendProbe(server, m_policy.timeout);
}

void EntryProber::SendHedge(const BackendServer& server, uint64_t round) {
  const auto found = m_probes.find(server.id);
  if (found == m_probes.end() || found->second.round != round) {
    return;
  }
  --found->second.in_flight;
  if (!found->second.answered) {
    SendProbe(server, m_policy.timeout - m_policy.hedge_delay);
  }
}

void EntryProber::SendProbe(const BackendServer& server, Duration timeout) {
  ProbeState& probe = m_probes[server.id];
  ++probe.in_flight;
  m_engines.Probe(server, timeout,
                  [this, id = server.id, round = probe.round,
                   alive = m_alive](const ProbeAnswer& answer) {
                    if (*alive) {
                      OnProbeAnswer(id, round, answer);
                    }
                  });
}

void EntryProber::OnProbeAnswer(const std::string& id,
                                uint64_t round,
                                const ProbeAnswer& answer) {
  const auto found = m_probes.find(id);
  if (found == m_probes.end() || found->second.round != round) {
    return;
  }
  ProbeState& probe = found->second;
  --probe.in_flight;
  if (answer.wrong_server || answer.answered) {
    MarkAnswered(round);
    probe.unanswered_since.reset();
  }
  if (answer.wrong_server) {
    probe.answered = true;
    probe.completed = true;
    RecordResult(id, {HostHealth::kGone, false, probe.process_start_ms});
    return;
  }
  if (answer.answered) {
    probe.answered = true;
    probe.completed = true;
    RecordResult(id,
                 {HostHealth::kAnswers, answer.busy, answer.process_start_ms});
    return;
  }
  if (probe.in_flight == 0 && !probe.answered) {
    OnUnanswered(id, probe);
  }
}

void EntryProber::OnUnanswered(const std::string& id, ProbeState& probe) {
  if (!probe.unanswered_since) {
    probe.unanswered_since = probe.started_at;
  }
  const Verdict verdict = Evaluate(*probe.unanswered_since);
  if (verdict == Verdict::kUndecided) {
    return;
  }
  UpdateLateness(verdict == Verdict::kProberLate, m_clock());
  probe.unanswered_since.reset();
  if (verdict == Verdict::kSilent) {
    probe.completed = true;
    ReportSilent(id, probe.process_start_ms);
  }
}

void EntryProber::ReportSilent(const std::string& id,
                               uint64_t process_start_ms) {
  const TimePoint now = m_clock();
  const bool was_silent = IsSilent(id);
  while (!m_silent_at.empty() &&
         now - m_silent_at.front() > m_policy.confirm_window) {
    m_silent_at.pop_front();
  }
  if (!was_silent) {
    m_silent_at.push_back(now);
  }
  if (was_silent || !m_confirm) {
    RecordResult(id, {HostHealth::kSilent, false, process_start_ms});
    return;
  }
  m_collected.push_back(id);
  if (m_collected.size() == 1) {
    m_schedule(m_policy.confirm_delay, [this, alive = m_alive] {
      if (*alive) {
        ReportCollected();
      }
    });
  }
}

void EntryProber::ReportCollected() {
  const std::vector<std::string> hosts = std::exchange(m_collected, {});
  if (m_silent_at.size() < m_policy.confirm_from) {
    OnConfirmed(hosts, {});
    return;
  }
  m_confirm(hosts,
            [this, hosts, alive = m_alive](const std::set<std::string>& heard) {
              if (*alive) {
                OnConfirmed(hosts, heard);
              }
            });
}

void EntryProber::OnConfirmed(std::span<const std::string> hosts,
                              const std::set<std::string>& answered) {
  size_t disputed = 0;
  for (const std::string& id : hosts) {
    const auto probe = m_probes.find(id);
    if (answered.contains(id)) {
      ++disputed;
    } else if (probe != m_probes.end() && !probe->second.answered) {
      RecordResult(
          id, {HostHealth::kSilent, false, probe->second.process_start_ms});
    }
  }
  if (disputed > 0) {
    Log(LogLevel::kWarning, "silence-disputed",
        {{"hosts", hosts.size()}, {"answer_others", disputed}});
    m_on_disputed(disputed);
  }
}

bool EntryProber::IsSilent(std::string_view id) const {
  const auto found = m_probe_results.find(id);
  return found != m_probe_results.end() &&
         found->second.health != HostHealth::kAnswers;
}

void EntryProber::MarkAnswered(uint64_t round) {
  if (round > m_forgotten_rounds) {
    m_rounds[round - m_forgotten_rounds - 1].answered = true;
  }
}

EntryProber::Verdict EntryProber::Evaluate(TimePoint started_at) const {
  const TimePoint now = m_clock();
  size_t rounds = 0;
  size_t answered = 0;
  for (const Round& round : m_rounds) {
    const bool counts =
        round.started_at >= started_at - m_policy.comparison_window &&
        now - round.started_at >= m_policy.hedge_delay && !round.was_silent;
    rounds += counts ? 1 : 0;
    answered += counts && round.answered ? 1 : 0;
  }
  if (rounds < m_policy.min_rounds) {
    return m_interval_factor > 1 ? Verdict::kUndecided : Verdict::kSilent;
  }
  const bool late = static_cast<double>(answered) <
                    m_policy.min_answered * static_cast<double>(rounds);
  return late ? Verdict::kProberLate : Verdict::kSilent;
}

void EntryProber::ForgetOldRounds(TimePoint now) {
  const Duration retention =
      2 * m_interval_factor * (m_policy.timeout + m_policy.comparison_window);
  while (!m_rounds.empty() && now - m_rounds.front().started_at > retention) {
    m_rounds.pop_front();
    ++m_forgotten_rounds;
  }
}

void EntryProber::UpdateLateness(bool late, TimePoint now) {
  if (late != m_was_late) {
    m_was_late = late;
    Log(LogLevel::kWarning, late ? "prober-late" : "prober-timely",
        {{"rounds", m_rounds.size()}, {"stretch", m_interval_factor}});
  }
  if (!late) {
    return;
  }
  // Probes that were sent before the latest change are still answered late.
  const Duration settle_time = m_policy.timeout + m_policy.interval;
  if (m_interval_factor < m_policy.max_interval_factor &&
      now - m_factor_changed_at > settle_time) {
    m_interval_factor *= 2;
    m_factor_changed_at = now;
  }
}

size_t EntryProber::RefillBudget(size_t hosts, TimePoint now) {
  const Duration since = now - m_ticked_at;
  m_ticked_at = now;
  if (m_interval_factor == 1) {
    m_budget = 0;
    return hosts;
  }
  const double interval = ToSeconds(m_policy.interval * m_interval_factor);
  const double earned = m_policy.rate_headroom * static_cast<double>(hosts) *
                        ToSeconds(since) / interval;
  m_budget = std::min(std::max(0.0, m_budget) + earned, earned + 1);
  return static_cast<size_t>(m_budget);
}

void EntryProber::RecoverInterval(TimePoint now) {
  if (m_interval_factor > 1 &&
      now - m_factor_changed_at > m_policy.recovery_interval) {
    m_interval_factor /= 2;
    m_factor_changed_at = now;
  }
}

void EntryProber::RecordResult(const std::string& id,
                               const HostProbeResult& result) {
  HostProbeResult& probe_result = m_probe_results[id];
  const bool restarted =
      IsNewerInstance(result.process_start_ms, probe_result.process_start_ms);
  const bool changed = probe_result.health != result.health;
  probe_result = result;
  if (changed || restarted) {
    Log(LogLevel::kInfo, "host-health",
        {{"host", id},
         {"health", HealthName(probe_result.health)},
         {"restarted", restarted}});
  }
}

bool EntryProber::AllProbed(const ServerDirectory& directory,
                            std::string_view service) const {
  for (const auto& [id, server] : directory.servers()) {
    if (server.service != service || server.draining) {
      continue;
    }
    const auto probe = m_probes.find(id);
    if (probe == m_probes.end() || !probe->second.completed) {
      return false;
    }
  }
  return true;
}

}  // namespace filbertrack

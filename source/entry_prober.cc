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

void EntryProber::Clear() {
  *m_alive = false;
  m_alive = std::make_shared<bool>(true);
  m_probe_results.clear();
  m_probes.clear();
  m_stretch = 1;
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
  Recover(now);
  size_t allowed = Allowance(directory.servers().size(), now);
  for (const auto& [id, server] : directory.servers()) {
    if (!IsProbed(server, catalog)) {
      continue;
    }
    ForgetEarlierInstance(server);
    const Probe& probe = m_probes[id];
    const int divisor = server.membership ? 1 : m_policy.idle_divisor;
    const Duration interval = m_policy.interval * divisor * m_stretch;
    const bool due = probe.round == 0 || probe.unanswered_since ||
                     now - probe.asked_at >= interval;
    if (probe.open == 0 && due && allowed > 0) {
      --allowed;
      m_allowance -= 1;
      Ask(server);
    }
  }
}

void EntryProber::ForgetEarlierInstance(const BackendServer& server) {
  Probe& probe = m_probes[server.id];
  if (IsNewerInstance(server.process_start_ms, probe.process_start_ms)) {
    // Answers that are still to come belong to a round that is none now.
    probe = Probe{};
    m_probe_results.erase(server.id);
  }
  probe.process_start_ms = server.process_start_ms;
}

void EntryProber::Ask(const BackendServer& server) {
  Probe& probe = m_probes[server.id];
  m_rounds.push_back({m_clock(), false, IsSilent(server.id)});
  probe.round = m_forgotten_rounds + m_rounds.size();
  probe.answered = false;
  probe.asked_at = m_clock();
  const uint64_t round = probe.round;
  if (!m_policy.asks_twice) {
    AskOnce(server, m_policy.patience);
    return;
  }
  // Counted as open already, so that the round does not end before it is asked.
  ++probe.open;
  m_schedule(m_policy.second_after, [this, server, round, alive = m_alive] {
    if (*alive) {
      AskAgain(server, round);
    }
  });
  AskOnce(server, m_policy.patience);
}

void EntryProber::AskAgain(const BackendServer& server, uint64_t round) {
  const auto found = m_probes.find(server.id);
  if (found == m_probes.end() || found->second.round != round) {
    return;
  }
  --found->second.open;
  if (!found->second.answered) {
    AskOnce(server, m_policy.patience - m_policy.second_after);
  }
}

void EntryProber::AskOnce(const BackendServer& server, Duration timeout) {
  Probe& probe = m_probes[server.id];
  ++probe.open;
  m_engines.Probe(server, timeout,
                  [this, id = server.id, round = probe.round,
                   alive = m_alive](const ProbeAnswer& answer) {
                    if (*alive) {
                      OnAnswer(id, round, answer);
                    }
                  });
}

void EntryProber::OnAnswer(const std::string& id,
                           uint64_t round,
                           const ProbeAnswer& answer) {
  const auto found = m_probes.find(id);
  if (found == m_probes.end() || found->second.round != round) {
    return;
  }
  Probe& probe = found->second;
  --probe.open;
  if (answer.wrong_server || answer.answered) {
    MarkAnswered(round);
    probe.unanswered_since.reset();
  }
  if (answer.wrong_server) {
    probe.answered = true;
    probe.ended = true;
    Note(id, {HostHealth::kGone, false, probe.process_start_ms});
    return;
  }
  if (answer.answered) {
    probe.answered = true;
    probe.ended = true;
    Note(id, {HostHealth::kAnswers, answer.busy, answer.process_start_ms});
    return;
  }
  if (probe.open == 0 && !probe.answered) {
    OnUnanswered(id, probe);
  }
}

void EntryProber::OnUnanswered(const std::string& id, Probe& probe) {
  if (!probe.unanswered_since) {
    probe.unanswered_since = probe.asked_at;
  }
  const Verdict verdict = Judge(*probe.unanswered_since);
  if (verdict == Verdict::kUndecided) {
    return;
  }
  NoteLate(verdict == Verdict::kLate, m_clock());
  probe.unanswered_since.reset();
  if (verdict == Verdict::kSilent) {
    probe.ended = true;
    Note(id, {HostHealth::kSilent, false, probe.process_start_ms});
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

EntryProber::Verdict EntryProber::Judge(TimePoint asked_at) const {
  const TimePoint now = m_clock();
  size_t rounds = 0;
  size_t answered = 0;
  for (const Round& round : m_rounds) {
    const bool counts = round.asked_at >= asked_at - m_policy.same_time &&
                        now - round.asked_at >= m_policy.second_after &&
                        !round.expected;
    rounds += counts ? 1 : 0;
    answered += counts && round.answered ? 1 : 0;
  }
  if (rounds < m_policy.min_rounds) {
    return m_stretch > 1 ? Verdict::kUndecided : Verdict::kSilent;
  }
  const bool late = static_cast<double>(answered) <
                    m_policy.min_answered * static_cast<double>(rounds);
  return late ? Verdict::kLate : Verdict::kSilent;
}

void EntryProber::ForgetOldRounds(TimePoint now) {
  const Duration life =
      2 * m_stretch * (m_policy.patience + m_policy.same_time);
  while (!m_rounds.empty() && now - m_rounds.front().asked_at > life) {
    m_rounds.pop_front();
    ++m_forgotten_rounds;
  }
}

void EntryProber::NoteLate(bool late, TimePoint now) {
  if (late != m_was_late) {
    m_was_late = late;
    Log(LogLevel::kWarning, late ? "prober-late" : "prober-timely",
        {{"rounds", m_rounds.size()}, {"stretch", m_stretch}});
  }
  if (!late) {
    return;
  }
  // What was asked before the latest change still comes back late.
  const Duration settled = m_policy.patience + m_policy.interval;
  if (m_stretch < m_policy.most_stretch && now - m_stretched_at > settled) {
    m_stretch *= 2;
    m_stretched_at = now;
  }
}

size_t EntryProber::Allowance(size_t hosts, TimePoint now) {
  const Duration since = now - m_ticked_at;
  m_ticked_at = now;
  if (m_stretch == 1) {
    m_allowance = 0;
    return hosts;
  }
  const double interval = ToSeconds(m_policy.interval * m_stretch);
  const double earned = m_policy.spread_headroom * static_cast<double>(hosts) *
                        ToSeconds(since) / interval;
  m_allowance = std::min(std::max(0.0, m_allowance) + earned, earned + 1);
  return static_cast<size_t>(m_allowance);
}

void EntryProber::Recover(TimePoint now) {
  if (m_stretch > 1 && now - m_stretched_at > m_policy.recovery) {
    m_stretch /= 2;
    m_stretched_at = now;
  }
}

void EntryProber::Note(const std::string& id,
                       const HostProbeResult& now_found) {
  HostProbeResult& probe_result = m_probe_results[id];
  const bool restarted = IsNewerInstance(now_found.process_start_ms,
                                         probe_result.process_start_ms);
  const bool changed = probe_result.health != now_found.health;
  probe_result = now_found;
  if (changed || restarted) {
    Log(LogLevel::kInfo, "host-health",
        {{"host", id},
         {"health", HealthName(probe_result.health)},
         {"restarted", restarted}});
  }
}

bool EntryProber::AllAsked(const ServerDirectory& directory,
                           std::string_view service) const {
  for (const auto& [id, server] : directory.servers()) {
    if (server.service != service || server.draining) {
      continue;
    }
    const auto probe = m_probes.find(id);
    if (probe == m_probes.end() || !probe->second.ended) {
      return false;
    }
  }
  return true;
}

}  // namespace filbertrack

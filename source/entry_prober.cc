#include "filbertrack/entry_prober.h"

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

EntryProber::EntryProber(EngineLink& engines,
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
  m_findings.clear();
  m_probes.clear();
}

void EntryProber::Tick(const ServerDirectory& directory,
                       const Catalog& catalog) {
  const auto is_unknown = [&directory](const auto& row) {
    return directory.Find(row.first) == nullptr;
  };
  std::erase_if(m_probes, is_unknown);
  std::erase_if(m_findings, is_unknown);
  const TimePoint now = m_clock();
  for (const auto& [id, server] : directory.servers()) {
    if (!IsProbed(server, catalog)) {
      continue;
    }
    const Probe& probe = m_probes[id];
    const Duration interval = server.membership
                                  ? m_policy.interval
                                  : m_policy.interval * m_policy.idle_divisor;
    const bool due = probe.round == 0 || now - probe.asked_at >= interval;
    if (probe.open == 0 && due) {
      Ask(server);
    }
  }
}

void EntryProber::Ask(const BackendServer& server) {
  Probe& probe = m_probes[server.id];
  ++probe.round;
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
  if (answer.wrong_server) {
    probe.answered = true;
    probe.ended = true;
    Note(id, HostHealth::kGone, false);
    return;
  }
  if (answer.answered) {
    probe.answered = true;
    probe.ended = true;
    Note(id, HostHealth::kAnswers, answer.busy);
    return;
  }
  if (probe.open == 0 && !probe.answered) {
    probe.ended = true;
    Note(id, HostHealth::kSilent, false);
  }
}

void EntryProber::Note(const std::string& id, HostHealth health, bool busy) {
  HostFinding& finding = m_findings[id];
  finding.busy = busy;
  if (finding.health == health) {
    return;
  }
  finding.health = health;
  Log(LogLevel::kInfo, "host-health",
      {{"host", id}, {"health", HealthName(health)}});
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

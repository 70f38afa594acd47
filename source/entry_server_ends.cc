#include "filbertrack/entry_server_ends.h"

#include <utility>

namespace filbertrack {

std::string_view EndEvidenceName(EndEvidence evidence) {
  switch (evidence) {
    case EndEvidence::kNoAnswer:
      return "no answer";
    case EndEvidence::kOtherProcess:
      return "different process answered";
    case EndEvidence::kReregistered:
      return "registered again";
  }
  return "no answer";
}

std::string_view AttemptProgressName(AttemptProgress progress) {
  switch (progress) {
    case AttemptProgress::kNoAnswer:
      return "no-answer";
    case AttemptProgress::kBegun:
      return "begun";
    case AttemptProgress::kAnswering:
      return "answering";
  }
  return "no-answer";
}

ServerEndCheck::~ServerEndCheck() {
  *m_alive = false;
}

void ServerEndCheck::OnBroken(const BackendServer& server,
                              BrokenAttempt attempt) {
  const TimePoint now = m_clock();
  std::erase_if(m_known_ends, [this, now](const auto& row) {
    return now - row.second.at > m_policy.known_end_ttl;
  });
  const auto known = m_known_ends.find(server.id);
  if (known != m_known_ends.end() &&
      known->second.process_start_ms == server.process_start_ms) {
    m_on_end({server,
              known->second.evidence,
              now - known->second.at,
              {std::move(attempt)}});
    return;
  }
  const auto running = m_checks.find(server.id);
  if (running != m_checks.end()) {
    if (running->second.attempts.size() < m_policy.max_attempts) {
      running->second.attempts.push_back(std::move(attempt));
    }
    return;
  }
  if (m_checks.size() >= m_policy.max_checked) {
    return;
  }
  m_checks[server.id] = {server, {std::move(attempt)}, now, 0};
  SendProbe(server.id);
}

void ServerEndCheck::SendProbe(const std::string& id) {
  Check& check = m_checks.at(id);
  ++check.probes_sent;
  m_engines.Probe(check.server, m_policy.answer_timeout,
                  [this, alive = m_alive, id](const ProbeAnswer& answer) {
                    if (*alive) {
                      OnProbeAnswer(id, answer);
                    }
                  });
}

void ServerEndCheck::OnProbeAnswer(const std::string& id,
                                   const ProbeAnswer& answer) {
  const auto found = m_checks.find(id);
  if (found == m_checks.end()) {
    return;
  }
  Check& check = found->second;
  const bool is_newer =
      IsNewerInstance(answer.process_start_ms, check.server.process_start_ms);
  const bool is_alive = answer.answered && !answer.wrong_server && !is_newer;
  const bool is_silent = !answer.answered && !answer.wrong_server;
  if (is_silent && check.probes_sent < m_policy.max_probes) {
    SendProbe(id);
    return;
  }
  const Check ended = std::move(check);
  m_checks.erase(found);
  if (is_alive) {
    return;
  }
  const EndEvidence evidence =
      is_silent ? EndEvidence::kNoAnswer : EndEvidence::kOtherProcess;
  const TimePoint now = m_clock();
  m_known_ends[id] = {ended.server.process_start_ms, evidence, now};
  m_on_end({ended.server, evidence, now - ended.since, ended.attempts});
}

void ServerEndCheck::OnReregistered(const BackendServer& server,
                                    BrokenAttempt attempt) {
  m_known_ends[server.id] = {server.process_start_ms,
                             EndEvidence::kReregistered, m_clock()};
  m_on_end(
      {server, EndEvidence::kReregistered, Duration(0), {std::move(attempt)}});
}

}  // namespace filbertrack

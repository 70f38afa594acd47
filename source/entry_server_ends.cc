#include "filbertrack/entry_server_ends.h"

#include <utility>

namespace filbertrack {

std::string_view EndEvidenceName(EndEvidence evidence) {
  switch (evidence) {
    case EndEvidence::kNoAnswer:
      return "no answer";
    case EndEvidence::kOtherProcess:
      return "another process answered";
    case EndEvidence::kRegisteredAnew:
      return "registered anew";
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
  std::erase_if(m_known, [this, now](const auto& row) {
    return now - row.second.at > m_policy.known_for;
  });
  const auto known = m_known.find(server.id);
  if (known != m_known.end() && known->second.born_ms == server.born_ms) {
    m_on_end({server,
              known->second.evidence,
              now - known->second.at,
              {std::move(attempt)}});
    return;
  }
  const auto running = m_checks.find(server.id);
  if (running != m_checks.end()) {
    if (running->second.attempts.size() < m_policy.most_attempts) {
      running->second.attempts.push_back(std::move(attempt));
    }
    return;
  }
  if (m_checks.size() >= m_policy.most_checked) {
    return;
  }
  m_checks[server.id] = {server, {std::move(attempt)}, now, 0};
  Ask(server.id);
}

void ServerEndCheck::Ask(const std::string& id) {
  Check& check = m_checks.at(id);
  ++check.asked;
  m_engines.Probe(check.server, m_policy.answer_timeout,
                  [this, alive = m_alive, id](const ProbeAnswer& answer) {
                    if (*alive) {
                      OnAnswer(id, answer);
                    }
                  });
}

void ServerEndCheck::OnAnswer(const std::string& id,
                              const ProbeAnswer& answer) {
  const auto found = m_checks.find(id);
  if (found == m_checks.end()) {
    return;
  }
  Check& check = found->second;
  const bool later = IsLaterLife(answer.born_ms, check.server.born_ms);
  const bool lives = answer.answered && !answer.wrong_server && !later;
  const bool is_silent = !answer.answered && !answer.wrong_server;
  if (is_silent && check.asked < m_policy.most_asked) {
    Ask(id);
    return;
  }
  const Check ended = std::move(check);
  m_checks.erase(found);
  if (lives) {
    return;
  }
  const EndEvidence evidence =
      is_silent ? EndEvidence::kNoAnswer : EndEvidence::kOtherProcess;
  const TimePoint now = m_clock();
  m_known[id] = {ended.server.born_ms, evidence, now};
  m_on_end({ended.server, evidence, now - ended.since, ended.attempts});
}

void ServerEndCheck::OnRegisteredAnew(const BackendServer& server,
                                      BrokenAttempt attempt) {
  m_known[server.id] = {server.born_ms, EndEvidence::kRegisteredAnew,
                        m_clock()};
  m_on_end({server,
            EndEvidence::kRegisteredAnew,
            Duration(0),
            {std::move(attempt)}});
}

}  // namespace filbertrack

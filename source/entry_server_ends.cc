#include "filbertrack/entry_server_ends.h"

#include <nlohmann/json.hpp>

#include "filbertrack/log.h"

namespace filbertrack {

namespace {

std::string_view EvidenceName(EndEvidence evidence) {
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

}  // namespace

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
    Tell(server, known->second.evidence, {std::move(attempt)});
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
  m_checks[server.id] = {server, {std::move(attempt)}, 0};
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
  m_known[id] = {ended.server.born_ms, evidence, m_clock()};
  Tell(ended.server, evidence, ended.attempts);
}

void ServerEndCheck::OnRegisteredAnew(const BackendServer& server,
                                      BrokenAttempt attempt) {
  m_known[server.id] = {server.born_ms, EndEvidence::kRegisteredAnew,
                        m_clock()};
  Tell(server, EndEvidence::kRegisteredAnew, {std::move(attempt)});
}

void ServerEndCheck::Tell(const BackendServer& server,
                          EndEvidence evidence,
                          std::vector<BrokenAttempt> attempts) const {
  nlohmann::json requests = nlohmann::json::array();
  for (const BrokenAttempt& attempt : attempts) {
    requests.push_back(attempt.digest + " " +
                       std::string(AttemptProgressName(attempt.progress)));
  }
  Log(LogLevel::kWarning, "server-ended",
      {{"server", server.id},
       {"born_ms", server.born_ms},
       {"evidence", EvidenceName(evidence)},
       {"digests", std::move(requests)}});
  m_on_end({server, evidence, std::move(attempts)});
}

}  // namespace filbertrack

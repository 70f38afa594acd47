#include "filbertrack/entry_backpressure.h"

#include <nlohmann/json.hpp>

#include "filbertrack/log.h"

namespace filbertrack {

void EntryBackpressure::OnAnswer(const DispatchTarget& target,
                                 const AnswerFacts& facts,
                                 TimePoint sent,
                                 TimePoint now) {
  if (!facts.rate_limit && !facts.sealed) {
    // Not by the server's own hand, so it does not lift a limit.
    return;
  }
  const ServerLife server{target.id, target.born_ms};
  if (!m_limits.OnAnswer({server, facts.rate_limit, sent}, now)) {
    return;
  }
  nlohmann::json fields = {{"server", server.id}, {"from", "answer"}};
  if (facts.rate_limit) {
    fields["per_second"] = *facts.rate_limit;
  }
  Log(LogLevel::kInfo, facts.rate_limit ? "server-limit" : "server-unlimited",
      fields);
}

std::optional<double> EntryBackpressure::LimitOf(
    const DispatchTarget& target) const {
  return m_limits.LimitOf({target.id, target.born_ms});
}

}  // namespace filbertrack

#include "filbertrack/entry_backpressure.h"

#include <nlohmann/json.hpp>

#include "filbertrack/log.h"

namespace filbertrack {

namespace {

void LogLimit(const ServerInstance& server,
              const std::optional<double>& limit,
              std::string_view from) {
  nlohmann::json fields = {{"server", server.id}, {"from", from}};
  if (limit) {
    fields["per_second"] = *limit;
  }
  Log(LogLevel::kInfo, limit ? "server-limit" : "server-unlimited", fields);
}

}  // namespace

void EntryBackpressure::OnAnswer(const DispatchTarget& target,
                                 const AnswerFacts& facts,
                                 TimePoint sent,
                                 TimePoint now) {
  const ServerInstance server = InstanceOf(target);
  if (facts.backoff) {
    m_state.OnBackoff(server, *facts.backoff, now);
  }
  if (facts.leaving && m_state.OnLeaving(server, now)) {
    Log(LogLevel::kInfo, "server-leaving",
        {{"server", server.id}, {"from", "answer"}});
  }
  if (!facts.rate_limit && !facts.sealed) {
    // A response without the server's seal does not remove the limit by lacking
    // a limit header.
    return;
  }
  const LimitObservation reading{server, facts.rate_limit, sent};
  if (m_state.OnAnswer(reading, now)) {
    LogLimit(reading.server, reading.limit, "answer");
  }
}

void EntryBackpressure::OnCold(const DispatchTarget& target,
                               double per_second,
                               TimePoint until,
                               TimePoint now) {
  if (m_state.OnCold({InstanceOf(target), per_second, until}, now)) {
    Log(LogLevel::kInfo, "server-cold",
        {{"server", target.id},
         {"left_ms", ToMilliseconds(until - now)},
         {"per_second", per_second}});
  }
}

void EntryBackpressure::OnPeerUpdate(const LimitUpdate& update,
                                     std::string_view peer,
                                     TimePoint now) {
  for (const LimitRecord& record : update.words) {
    if (m_state.OnPeerUpdate(record, now)) {
      LogLimit(record.server, record.limit, peer);
    }
  }
}

}  // namespace filbertrack

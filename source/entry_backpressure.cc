#include "filbertrack/entry_backpressure.h"

#include <nlohmann/json.hpp>

#include "filbertrack/log.h"

namespace filbertrack {

namespace {

void LogLimit(const ServerLife& server,
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
  const ServerLife server = LifeOf(target);
  if (facts.rest) {
    m_state.OnRest(server, *facts.rest, now);
  }
  if (facts.leaving && m_state.OnLeaving(server, now)) {
    Log(LogLevel::kInfo, "server-leaving",
        {{"server", server.id}, {"from", "answer"}});
  }
  if (!facts.rate_limit && !facts.sealed) {
    // Not by the server's own hand, so it does not lift a limit.
    return;
  }
  const LimitReading reading{server, facts.rate_limit, sent};
  if (m_state.OnAnswer(reading, now)) {
    LogLimit(reading.server, reading.limit, "answer");
  }
}

void EntryBackpressure::OnCold(const DispatchTarget& target,
                               double per_second,
                               TimePoint until,
                               TimePoint now) {
  if (m_state.OnCold({LifeOf(target), per_second, until}, now)) {
    Log(LogLevel::kInfo, "server-cold",
        {{"server", target.id},
         {"left_ms", ToMilliseconds(until - now)},
         {"per_second", per_second}});
  }
}

void EntryBackpressure::OnNews(const LimitNews& news,
                               std::string_view peer,
                               TimePoint now) {
  for (const LimitWord& word : news.words) {
    if (m_state.OnNews(word, now)) {
      LogLimit(word.server, word.limit, peer);
    }
  }
}

}  // namespace filbertrack

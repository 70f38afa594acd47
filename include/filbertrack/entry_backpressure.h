#pragma once

/// What an entry host knows of the load that backend servers ask for.

#include <cstddef>
#include <optional>

#include "filbertrack/backpressure_limits.h"
#include "filbertrack/dispatch_board.h"
#include "filbertrack/entry_ports.h"

namespace filbertrack {

class EntryBackpressure {
 public:
  /// The head of an answer of the target, to a request sent at `sent`.
  void OnAnswer(const DispatchTarget& target,
                const AnswerFacts& facts,
                TimePoint sent,
                TimePoint now);

  /// Requests a second that the target takes from all entry hosts; nullopt: it
  /// names no limit.
  std::optional<double> LimitOf(const DispatchTarget& target) const;

  /// Servers that name a limit.
  size_t CountLimited() const { return m_limits.CountLimited(); }

 private:
  LimitLedger m_limits;
};

}  // namespace filbertrack

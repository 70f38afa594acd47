#pragma once

/// The rate limits that backend servers name in their answers.

#include <cstddef>
#include <map>
#include <optional>

#include "filbertrack/base_time.h"
#include "filbertrack/server_life.h"

namespace filbertrack {

/// What the head of one answer says of its server's limit.
struct LimitReading {
  ServerLife server;
  /// Requests a second, from all entry hosts together; nullopt: none is named.
  std::optional<double> limit;
  /// When the request was sent.
  TimePoint sent;
};

class LimitLedger {
 public:
  /// True if the limit of the server changed. An answer without a limit counts
  /// only if its request was sent after the limit was last named: answers on
  /// different connections may overtake each other.
  bool OnAnswer(const LimitReading& reading, TimePoint now);

  /// Requests a second; nullopt: the server names no limit.
  std::optional<double> LimitOf(const ServerLife& server) const;

  size_t CountLimited() const { return m_words.size(); }

 private:
  struct Word {
    double limit = 0;
    /// When an answer last named it.
    TimePoint at;
  };

  std::map<ServerLife, Word> m_words;
};

}  // namespace filbertrack

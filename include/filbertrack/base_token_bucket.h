#pragma once

/// A token bucket that refills by the time passed to its functions.

#include "filbertrack/base_time.h"

namespace filbertrack {

class TokenBucket {
 public:
  /// Starts full, with `burst` tokens; a `burst` below 1 counts as 1.
  TokenBucket(double per_second, double burst, TimePoint now);

  /// A bucket that starts with no tokens.
  static TokenBucket Empty(double per_second, double burst, TimePoint now);

  /// Keeps the tokens accumulated so far, up to the new `burst`.
  void SetRate(double per_second, double burst, TimePoint now);

  /// Takes one token; returns false, and takes none, if less than one is left.
  bool TryTake(TimePoint now);

  /// Time until a token is available, capped at 60 s.
  Duration UntilNext(TimePoint now) const;

  double per_second() const { return m_per_second; }

 private:
  double TokensAt(TimePoint now) const;

  double m_per_second;
  double m_burst;
  double m_tokens;
  TimePoint m_updated;
};

}  // namespace filbertrack

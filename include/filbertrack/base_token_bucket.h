#pragma once

/// A token bucket, refilled by the time it is given.

#include "filbertrack/base_time.h"

namespace filbertrack {

class TokenBucket {
 public:
  /// Starts full. `burst` is at least one token.
  TokenBucket(double per_second, double burst, TimePoint now);

  /// Starts without a token.
  static TokenBucket Empty(double per_second, double burst, TimePoint now);

  void SetRate(double per_second, double burst, TimePoint now);

  bool TryTake(TimePoint now);

  /// How long until a token is there.
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

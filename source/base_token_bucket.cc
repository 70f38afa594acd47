#include "filbertrack/base_token_bucket.h"

#include <algorithm>

namespace filbertrack {

namespace {

constexpr Duration kMaxWait = Seconds(60);

}  // namespace

TokenBucket::TokenBucket(double per_second, double burst, TimePoint now)
    : m_per_second(per_second),
      m_burst(std::max(1.0, burst)),
      m_tokens(m_burst),
      m_updated(now) {}

TokenBucket TokenBucket::Empty(double per_second, double burst, TimePoint now) {
  TokenBucket bucket(per_second, burst, now);
  bucket.m_tokens = 0;
  return bucket;
}

void TokenBucket::SetRate(double per_second, double burst, TimePoint now) {
  m_tokens = TokensAt(now);
  m_updated = now;
  m_per_second = per_second;
  m_burst = std::max(1.0, burst);
  m_tokens = std::min(m_tokens, m_burst);
}

bool TokenBucket::TryTake(TimePoint now) {
  m_tokens = TokensAt(now);
  m_updated = now;
  if (m_tokens < 1) {
    return false;
  }
  m_tokens -= 1;
  return true;
}

Duration TokenBucket::UntilNext(TimePoint now) const {
  const double missing = 1 - TokensAt(now);
  if (missing <= 0) {
    return Duration(0);
  }
  if (m_per_second <= 0) {
    return kMaxWait;
  }
  const auto wait = FromSeconds(missing / m_per_second);
  return std::min(wait, kMaxWait);
}

double TokenBucket::TokensAt(TimePoint now) const {
  return std::min(m_burst,
                  m_tokens + ToSeconds(now - m_updated) * m_per_second);
}

}  // namespace filbertrack

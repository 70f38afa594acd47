#pragma once

/// Request digests and server instances by number, for tests.

#include <string>

#include "filbertrack/poison_ledger.h"

namespace filbertrack {

inline const TimePoint kStart{Seconds(1000)};

inline RequestDigest MakeDigest(int number) {
  return DigestRequest({"POST", "h", "/s/x", "w", std::to_string(number)});
}

inline ServerInstance MakeServerInstance(int number) {
  return {"s" + std::to_string(number), 0};
}

}  // namespace filbertrack

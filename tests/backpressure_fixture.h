#pragma once

/// Start time and names of entry hosts for the tests of backpressure.

#include <string>
#include <vector>

#include "filbertrack/base_time.h"

namespace filbertrack {

inline const TimePoint kStart{Seconds(1000)};

inline std::vector<std::string> HostNames(size_t count) {
  std::vector<std::string> names;
  for (size_t i = 0; i < count; ++i) {
    names.push_back("e" + std::to_string(i));
  }
  return names;
}

}  // namespace filbertrack

#pragma once

/// Names one process of a backend server.

#include <cstdint>
#include <string>
#include <tuple>

namespace filbertrack {

/// One process of a backend server.
struct ServerLife {
  std::string id;
  /// Start of the process, Unix ms; 0: not told.
  uint64_t born_ms = 0;

  bool operator<(const ServerLife& other) const {
    return std::tie(id, born_ms) < std::tie(other.id, other.born_ms);
  }
};

}  // namespace filbertrack

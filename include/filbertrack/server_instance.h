#pragma once

/// Identifies one process of a backend server.

#include <cstdint>
#include <string>
#include <tuple>

namespace filbertrack {

struct ServerInstance {
  std::string id;
  /// Start of the process, Unix time in ms; 0 if unknown.
  uint64_t process_start_ms = 0;

  bool operator<(const ServerInstance& other) const {
    return std::tie(id, process_start_ms) <
           std::tie(other.id, other.process_start_ms);
  }
};

}  // namespace filbertrack

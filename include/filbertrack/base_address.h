#pragma once

/// The address of a TCP endpoint.

#include <cstdint>
#include <string>
#include <tuple>

namespace filbertrack {

struct Address {
  std::string host;  ///< A numeric IP address.
  uint16_t port = 0;

  std::string ToString() const { return host + ":" + std::to_string(port); }

  // Not defaulted: this header is also included from a C++17 translation unit.
  bool operator==(const Address& other) const {
    return port == other.port && host == other.host;
  }
  bool operator<(const Address& other) const {
    return std::tie(host, port) < std::tie(other.host, other.port);
  }
};

}  // namespace filbertrack

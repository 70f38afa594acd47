#pragma once

/// Encoding of the rate limits of backend servers in gossip messages.

#include <nlohmann/json.hpp>

#include "filbertrack/backpressure_limits.h"

namespace filbertrack {

nlohmann::json PackLimits(const LimitUpdate& update);

/// Throws nlohmann::json::exception or InvalidField if `value` is malformed.
LimitUpdate UnpackLimits(const nlohmann::json& value);

}  // namespace filbertrack

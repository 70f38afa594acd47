#pragma once

/// Limits that servers name, as peers' messages hold them.

#include <nlohmann/json.hpp>

#include "filbertrack/backpressure_limits.h"

namespace filbertrack {

nlohmann::json PackLimits(const LimitNews& news);

/// Throws as the reading of a peer's message does.
LimitNews UnpackLimits(const nlohmann::json& value);

}  // namespace filbertrack

#pragma once

/// Limits that servers name, as peers' messages hold them.

#include <nlohmann/json.hpp>

#include "filbertrack/backpressure_limits.h"

namespace filbertrack {

nlohmann::json PackLimits(const LimitUpdate& update);

/// Throws as the reading of a peer's message does.
LimitUpdate UnpackLimits(const nlohmann::json& value);

}  // namespace filbertrack

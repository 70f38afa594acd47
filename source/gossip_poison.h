#pragma once

/// Facts of requests under which servers end, as peers' messages hold them.

#include <nlohmann/json.hpp>

#include "filbertrack/poison_ledger.h"

namespace filbertrack {

nlohmann::json PackPoison(const PoisonUpdate& update);

/// Throws as the reading of a peer's message does.
PoisonUpdate UnpackPoison(const nlohmann::json& value);

}  // namespace filbertrack

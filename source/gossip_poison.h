#pragma once

/// Encoding of facts about poison requests, during which backend servers end,
/// in gossip messages.

#include <nlohmann/json.hpp>

#include "filbertrack/poison_ledger.h"

namespace filbertrack {

nlohmann::json PackPoison(const PoisonUpdate& update);

/// Throws nlohmann::json::exception or InvalidField if `value` is malformed.
PoisonUpdate UnpackPoison(const nlohmann::json& value);

}  // namespace filbertrack

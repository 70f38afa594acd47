#include "gossip_limits.h"

#include <cmath>

#include "gossip_read.h"

namespace filbertrack {

namespace {

/// Null means that the server no longer names a limit.
std::optional<double> ReadLimit(const Json& value) {
  if (value.is_null()) {
    return std::nullopt;
  }
  const auto limit = value.get<double>();
  if (!std::isfinite(limit) || limit < 0) {
    throw InvalidField{value.dump() + " is not a request limit of 0 or more."};
  }
  return limit;
}

}  // namespace

Json PackLimits(const LimitUpdate& update) {
  Json rows = Json::array();
  for (const LimitRecord& word : update.words) {
    rows.push_back(Json::array({word.server.id, word.server.process_start_ms,
                                word.limit ? Json(*word.limit) : Json(),
                                ToMilliseconds(word.age)}));
  }
  return Json::array({update.revision, std::move(rows)});
}

LimitUpdate UnpackLimits(const Json& value) {
  LimitUpdate update{ReadVersion(value.at(0)), {}};
  for (const Json& row : value.at(1)) {
    update.words.push_back(
        {{row.at(0).get<std::string>(), ReadVersion(row.at(1))},
         ReadLimit(row.at(2)),
         ReadAge(row.at(3))});
  }
  return update;
}

}  // namespace filbertrack

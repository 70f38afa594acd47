#include "gossip_poison.h"

#include "gossip_read.h"

namespace filbertrack {

namespace {

enum class FactKind : int {
  kEndedUnder = 1,
  kFoundAlive = 2,
  kCleared = 3,
  kBlocked = 4,
  kTried = 5,
};

/// Maximum number of server ends and of trials for one request; more than a
/// fleet has servers.
constexpr int kMaxEnds = 1'000'000;

/// Encodes a fact as [kind, age in ms, ...].
struct PackFact {
  int64_t age_ms;

  Json operator()(const EndedDuringRequest& fact) const {
    return Json::array({static_cast<int>(FactKind::kEndedUnder), age_ms,
                        fact.digest, fact.server.id,
                        fact.server.process_start_ms,
                        static_cast<int>(fact.progress)});
  }
  Json operator()(const FoundAlive& fact) const {
    return Json::array({static_cast<int>(FactKind::kFoundAlive), age_ms,
                        fact.server.id, fact.server.process_start_ms});
  }
  Json operator()(const Cleared& fact) const {
    return Json::array(
        {static_cast<int>(FactKind::kCleared), age_ms, fact.digest});
  }
  Json operator()(const Blocked& fact) const {
    return Json::array(
        {static_cast<int>(FactKind::kBlocked), age_ms, fact.digest, fact.ends});
  }
  Json operator()(const TrialsSent& fact) const {
    return Json::array(
        {static_cast<int>(FactKind::kTried), age_ms, fact.digest, fact.trials});
  }
};

RequestDigest ReadDigest(const Json& value) {
  RequestDigest digest = value.get<std::string>();
  if (!IsRequestDigest(digest)) {
    throw InvalidField{value.dump() + " is not a request digest."};
  }
  return digest;
}

EndProgress ReadProgress(const Json& value) {
  return static_cast<EndProgress>(
      ReadInteger<int>(value, static_cast<int>(EndProgress::kAnswering),
                       static_cast<int>(EndProgress::kBegun)));
}

PoisonFact UnpackFact(const Json& row) {
  const auto kind =
      ReadInteger<int>(row.at(0), static_cast<int>(FactKind::kEndedUnder),
                       static_cast<int>(FactKind::kTried));
  switch (static_cast<FactKind>(kind)) {
    case FactKind::kEndedUnder:
      return EndedDuringRequest{
          {row.at(3).get<std::string>(), ReadVersion(row.at(4))},
          ReadDigest(row.at(2)),
          ReadProgress(row.at(5))};
    case FactKind::kFoundAlive:
      return FoundAlive{{row.at(2).get<std::string>(), ReadVersion(row.at(3))}};
    case FactKind::kCleared:
      return Cleared{ReadDigest(row.at(2))};
    case FactKind::kBlocked:
      return Blocked{ReadDigest(row.at(2)),
                     ReadInteger<int>(row.at(3), 1, kMaxEnds)};
    case FactKind::kTried:
      return TrialsSent{ReadDigest(row.at(2)),
                        ReadInteger<int>(row.at(3), 1, kMaxEnds)};
  }
  throw InvalidField{row.at(0).dump() + " is not a fact kind."};
}

}  // namespace

Json PackPoison(const PoisonUpdate& update) {
  Json rows = Json::array();
  for (const TimedPoisonFact& row : update.facts) {
    rows.push_back(std::visit(PackFact{ToMilliseconds(row.age)}, row.fact));
  }
  return Json::array({update.revision, std::move(rows)});
}

PoisonUpdate UnpackPoison(const Json& value) {
  PoisonUpdate update{ReadVersion(value.at(0)), {}};
  for (const Json& row : value.at(1)) {
    update.facts.push_back({UnpackFact(row), ReadAge(row.at(1))});
  }
  return update;
}

}  // namespace filbertrack

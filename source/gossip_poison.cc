#include "gossip_poison.h"

#include <set>

#include "gossip_read.h"

namespace filbertrack {

namespace {

enum class FactKind : int {
  kEndedUnder = 1,
  kFoundAlive = 2,
  kCleared = 3,
  kBlocked = 4,
  kTried = 5,
  kPartCleared = 6,
  kPartsBlocked = 7,
  kPartsTried = 8,
};

/// Index of the parts in a row of kind kEndedUnder. Hosts of earlier versions
/// do not send it.
constexpr size_t kEndParts = 6;
/// Index of the rows about parts, which hosts of earlier versions cannot read,
/// in an update. It is left out if there are none.
constexpr size_t kPartRows = 2;

/// Maximum number of server ends and of trials for one request; more than a
/// fleet has servers.
constexpr int kMaxEnds = 1'000'000;

/// Encodes a fact as [kind, age in ms, ...].
struct PackFact {
  int64_t age_ms;

  Json operator()(const EndedDuringRequest& fact) const {
    Json row =
        Json::array({static_cast<int>(FactKind::kEndedUnder), age_ms,
                     fact.digest, fact.server.id, fact.server.process_start_ms,
                     static_cast<int>(fact.progress)});
    if (!fact.parts.empty()) {
      row.push_back(fact.parts);
    }
    return row;
  }
  Json operator()(const FoundAlive& fact) const {
    return Json::array({static_cast<int>(FactKind::kFoundAlive), age_ms,
                        fact.server.id, fact.server.process_start_ms});
  }
  Json operator()(const Cleared& fact) const {
    return Json::array(
        {static_cast<int>(FactKind::kCleared), age_ms, fact.digest});
  }
  Json operator()(const PartCleared& fact) const {
    return Json::array(
        {static_cast<int>(FactKind::kPartCleared), age_ms, fact.part});
  }
  Json operator()(const Blocked& fact) const {
    if (!fact.parts.empty()) {
      return Json::array({static_cast<int>(FactKind::kPartsBlocked), age_ms,
                          fact.parts, fact.ends});
    }
    return Json::array(
        {static_cast<int>(FactKind::kBlocked), age_ms, fact.digest, fact.ends});
  }
  Json operator()(const TrialsSent& fact) const {
    if (!fact.parts.empty()) {
      return Json::array({static_cast<int>(FactKind::kPartsTried), age_ms,
                          fact.parts, fact.trials});
    }
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

PromptPart ReadPart(const Json& value) {
  PromptPart part = value.get<std::string>();
  if (!IsPromptPart(part)) {
    throw InvalidField{value.dump() + " is not the id of a prompt's part."};
  }
  return part;
}

/// The parts in ascending order, without repetitions.
std::vector<PromptPart> ReadParts(const Json& value) {
  if (!value.is_array() || value.size() > kMaxPromptParts) {
    throw InvalidField{"the parts of a prompt are not a list of at most " +
                       std::to_string(kMaxPromptParts) + " ids."};
  }
  std::set<PromptPart> parts;
  for (const Json& part : value) {
    parts.insert(ReadPart(part));
  }
  return {parts.begin(), parts.end()};
}

/// Parts of a block, of which there is at least one.
std::vector<PromptPart> ReadBlockedParts(const Json& value) {
  std::vector<PromptPart> parts = ReadParts(value);
  if (parts.empty()) {
    throw InvalidField{"a block names no part."};
  }
  return parts;
}

PoisonFact UnpackFact(const Json& row) {
  const auto kind =
      ReadInteger<int>(row.at(0), static_cast<int>(FactKind::kEndedUnder),
                       static_cast<int>(FactKind::kPartsTried));
  switch (static_cast<FactKind>(kind)) {
    case FactKind::kEndedUnder:
      return EndedDuringRequest{
          {row.at(3).get<std::string>(), ReadVersion(row.at(4))},
          ReadDigest(row.at(2)),
          ReadProgress(row.at(5)),
          row.size() > kEndParts ? ReadParts(row.at(kEndParts))
                                 : std::vector<PromptPart>()};
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
    case FactKind::kPartCleared:
      return PartCleared{ReadPart(row.at(2))};
    case FactKind::kPartsBlocked:
      return Blocked{{},
                     ReadInteger<int>(row.at(3), 1, kMaxEnds),
                     0,
                     ReadBlockedParts(row.at(2))};
    case FactKind::kPartsTried:
      return TrialsSent{{},
                        ReadInteger<int>(row.at(3), 1, kMaxEnds),
                        ReadBlockedParts(row.at(2))};
  }
  throw InvalidField{row.at(0).dump() + " is not a fact kind."};
}

}  // namespace

Json PackPoison(const PoisonUpdate& update) {
  Json rows = Json::array();
  Json part_rows = Json::array();
  for (const TimedPoisonFact& row : update.facts) {
    Json packed = std::visit(PackFact{ToMilliseconds(row.age)}, row.fact);
    const bool is_part =
        packed.at(0).get<int>() >= static_cast<int>(FactKind::kPartCleared);
    (is_part ? part_rows : rows).push_back(std::move(packed));
  }
  Json value = Json::array({update.revision, std::move(rows)});
  if (!part_rows.empty()) {
    value.push_back(std::move(part_rows));
  }
  return value;
}

PoisonUpdate UnpackPoison(const Json& value) {
  PoisonUpdate update{ReadVersion(value.at(0)), {}};
  const auto unpack = [&update](const Json& rows) {
    for (const Json& row : rows) {
      update.facts.push_back({UnpackFact(row), ReadAge(row.at(1))});
    }
  };
  unpack(value.at(1));
  if (value.size() > kPartRows) {
    unpack(value.at(kPartRows));
  }
  return update;
}

}  // namespace filbertrack

#include "filbertrack/placement_message.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

#include "filbertrack/base_cbor.h"
#include "gossip_read.h"
#include "placement_visit.h"

namespace filbertrack {

namespace {

/// Maximum number of prompt tokens of one request.
constexpr int64_t kMaxTokens = 1'000'000'000'000;
/// Maximum length of a duration, in microseconds: about three years.
constexpr int64_t kMaxMicroseconds = 100'000'000'000'000;
/// Bound of a route's priority in either direction. The catalog allows as much.
constexpr int kMaxPriority = 1'000'000'000;
/// Major type 5 of CBOR, a map, in the upper three bits of the first byte.
constexpr unsigned kCborMap = 5;

enum class AnswerKind : int { kGrant, kRefusal, kQueued, kChooseLocally };
enum class EventKind : int { kSent, kFirst, kEnded, kWithdrawn };

/// Reads an integer of 64 bits, such as an id, of which all values are valid.
uint64_t ReadId(const Json& value) {
  if (!value.is_number_unsigned()) {
    throw InvalidField{value.dump() + " is not an unsigned integer."};
  }
  return value.get<uint64_t>();
}

int64_t PackTokens(double tokens) {
  return std::llround(ClampTokens(tokens));
}

double ReadTokens(const Json& value) {
  return static_cast<double>(ReadInteger<int64_t>(value, 0, kMaxTokens));
}

Duration ReadDuration(const Json& value, int64_t min = 0) {
  return Duration(ReadInteger<int64_t>(value, min, kMaxMicroseconds));
}

std::string ReadName(const Json& value) {
  auto name = value.get<std::string>();
  if (name.empty()) {
    throw InvalidField{"a name is empty."};
  }
  return name;
}

/// Reads the value of an enumeration whose values are 0 to `last`.
template <typename Enum>
Enum ReadEnum(const Json& value, Enum last) {
  return static_cast<Enum>(ReadInteger<int>(value, 0, static_cast<int>(last)));
}

Json PackName(const std::string& name) {
  return name;
}

template <typename Row, typename Pack>
Json PackRows(const std::vector<Row>& rows, Pack pack) {
  Json packed = Json::array();
  for (const Row& row : rows) {
    packed.push_back(pack(row));
  }
  return packed;
}

template <typename Read>
auto ReadRows(const Json& rows, Read read) {
  std::vector<decltype(read(rows))> result;
  if (!rows.is_array()) {
    throw InvalidField{"a list is not an array."};
  }
  result.reserve(rows.size());
  for (const Json& row : rows) {
    result.push_back(read(row));
  }
  return result;
}

std::vector<std::string> ReadNames(const Json& value) {
  return ReadRows(value, ReadName);
}

Json PackAnswer(const PlacementAnswer& answer) {
  const auto kind = static_cast<int>(answer.index());
  return std::visit(
      Overloaded{
          [kind](const PlacementGrant& grant) {
            return Json::array({kind, grant.id, grant.target,
                                grant.predicted.count(), grant.requests});
          },
          [kind](const PlacementRefusal& refusal) {
            return Json::array(
                {kind, refusal.id, static_cast<int>(refusal.reason),
                 refusal.retry_after.count(), refusal.predicted.count()});
          },
          [kind](const PlacementQueued& queued) {
            return Json::array({kind, queued.id, queued.position});
          },
          [kind](const ChooseLocally& local) {
            return Json::array({kind, local.id});
          }},
      answer);
}

PlacementAnswer ReadAnswer(const Json& row) {
  const uint64_t id = ReadId(row.at(1));
  switch (ReadEnum(row.at(0), AnswerKind::kChooseLocally)) {
    case AnswerKind::kGrant:
      return PlacementGrant{id, ReadName(row.at(2)), ReadDuration(row.at(3)),
                            ReadCount(row.at(4))};
    case AnswerKind::kRefusal:
      return PlacementRefusal{
          id, ReadEnum(row.at(2), DispatchDenial::kNoneInRegions),
          ReadDuration(row.at(3)), ReadDuration(row.at(4))};
    case AnswerKind::kQueued:
      return PlacementQueued{id, ReadCount(row.at(2))};
    case AnswerKind::kChooseLocally:
      break;
  }
  return ChooseLocally{id};
}

Json PackEvent(const PlacementEvent& event) {
  const auto kind = static_cast<int>(event.index());
  return std::visit(
      Overloaded{[kind](const PlacementSent& sent) {
                   return Json::array({kind, sent.id, sent.target,
                                       PackTokens(sent.prompt_tokens)});
                 },
                 [kind](const PlacementFirst& first) {
                   return Json::array(
                       {kind, first.id, first.target, first.measured.count()});
                 },
                 [kind](const PlacementEnded& ended) {
                   return Json::array({kind, ended.id, ended.target,
                                       ended.prompt_pending,
                                       static_cast<int>(ended.result)});
                 },
                 [kind](const PlacementWithdrawn& withdrawn) {
                   return Json::array({kind, withdrawn.id});
                 }},
      event);
}

PlacementEvent ReadEvent(const Json& row) {
  const uint64_t id = ReadId(row.at(1));
  switch (ReadEnum(row.at(0), EventKind::kWithdrawn)) {
    case EventKind::kSent:
      return PlacementSent{id, ReadName(row.at(2)), ReadTokens(row.at(3))};
    case EventKind::kFirst:
      return PlacementFirst{id, ReadName(row.at(2)), ReadDuration(row.at(3))};
    case EventKind::kEnded:
      return PlacementEnded{id, ReadName(row.at(2)), row.at(3).get<bool>(),
                            ReadEnum(row.at(4), DispatchResult::kAbandoned)};
    case EventKind::kWithdrawn:
      break;
  }
  return PlacementWithdrawn{id};
}

Json PackLoad(const PlacementLoad& load) {
  return Json::array({load.id, load.target, PackTokens(load.prompt_tokens),
                      load.prompt_pending, load.age.count()});
}

PlacementLoad ReadLoad(const Json& row) {
  // Hosts before version 0.13 do not send the age.
  return {ReadId(row.at(0)), ReadName(row.at(1)), ReadTokens(row.at(2)),
          row.at(3).get<bool>(),
          row.size() > 4 ? ReadDuration(row.at(4)) : Duration(0)};
}

Json PackPool(const PoolKey& pool) {
  return Json::array({pool.service, pool.model});
}

PoolKey ReadPool(const Json& row) {
  return {ReadName(row.at(0)), row.at(1).get<std::string>()};
}

Json PackEstimate(const PlacementEstimate& estimate) {
  return Json::array({estimate.pool.service, estimate.pool.model,
                      estimate.request_time.count(), estimate.overhead.count(),
                      estimate.error.count()});
}

PlacementEstimate ReadEstimate(const Json& row) {
  return {ReadPool(row), ReadDuration(row.at(2)), ReadDuration(row.at(3)),
          ReadDuration(row.at(4))};
}

/// Adds a list that is left out if it is empty.
template <typename Row, typename Pack>
void PackOptional(Json& fields,
                  const char* name,
                  const std::vector<Row>& rows,
                  Pack pack) {
  if (!rows.empty()) {
    fields[name] = PackRows(rows, pack);
  }
}

template <typename Read>
auto ReadOptional(const Json& fields, const char* name, Read read) {
  const auto found = fields.find(name);
  return ReadRows(found == fields.end() ? Json::array() : *found, read);
}

Json PackAsk(const PlacementAsk& ask) {
  return Json::array({ask.id, ask.pool.service, ask.pool.model,
                      PackTokens(ask.prompt_tokens), ask.time_to_slo.count(),
                      ask.time_left.count(), ask.priority, ask.workspace,
                      ask.came_back, ask.excluded, ask.route_regions,
                      ask.workspace_regions});
}

PlacementAsk ReadAsk(const Json& row) {
  return {ReadId(row.at(0)),
          {ReadName(row.at(1)), row.at(2).get<std::string>()},
          ReadTokens(row.at(3)),
          ReadDuration(row.at(4), -kMaxMicroseconds),
          ReadDuration(row.at(5), -kMaxMicroseconds),
          ReadInteger<int>(row.at(6), -kMaxPriority, kMaxPriority),
          row.at(7).get<std::string>(),
          row.at(8).get<bool>(),
          ReadNames(row.at(9)),
          ReadNames(row.at(10)),
          ReadNames(row.at(11))};
}

std::string Encode(std::string_view kind, Json fields) {
  fields["p"] = kPlacementProtocol;
  fields["k"] = kind;
  return ToCbor(fields);
}

/// Checks the protocol version and the message kind, and decodes the fields
/// with `read`. Turns exceptions of `read` into a kBadRequest failure.
template <typename Message, typename Read>
Result<Message> Decode(std::string_view bytes,
                       std::string_view kind,
                       Read read) {
  const auto value = ParseCbor(bytes);
  if (!value) {
    return Fail(ResultCode::kBadRequest,
                "placement message is not valid CBOR.");
  }
  try {
    if (ReadVersion(value->at("p")) != kPlacementProtocol) {
      return Fail(ResultCode::kBadRequest,
                  "placement message has protocol version " +
                      value->at("p").dump() + "; expected " +
                      std::to_string(kPlacementProtocol) + ".");
    }
    if (value->at("k").get_ref<const std::string&>() != kind) {
      return Fail(ResultCode::kBadRequest,
                  "placement message has kind " + value->at("k").dump() +
                      "; expected \"" + std::string(kind) + "\".");
    }
    return read(*value);
  } catch (const Json::exception& error) {
    return Fail(
        ResultCode::kBadRequest,
        std::string("cannot decode placement message: ") + error.what());
  } catch (const InvalidField& error) {
    return Fail(ResultCode::kBadRequest,
                "cannot decode placement message: " + error.message);
  }
}

}  // namespace

double ClampTokens(double tokens) {
  return std::isnan(tokens)
             ? 0
             : std::clamp(tokens, 0.0, static_cast<double>(kMaxTokens));
}

bool IsPlacementMessage(std::string_view bytes) {
  return !bytes.empty() &&
         static_cast<unsigned char>(bytes.front()) >> 5 == kCborMap;
}

std::string EncodePlacementRequest(const PlacementRequest& request) {
  Json fields = {{"asker", request.asker},
                 {"inc", request.incarnation},
                 {"seq", request.sequence},
                 {"sync", request.is_sync},
                 {"loads", PackRows(request.loads, PackLoad)},
                 {"events", PackRows(request.events, PackEvent)},
                 {"asks", PackRows(request.asks, PackAsk)}};
  PackOptional(fields, "moved", request.moved, PackPool);
  PackOptional(fields, "unresponsive", request.unresponsive, PackName);
  PackOptional(fields, "estimates", request.estimates, PackEstimate);
  return Encode("place", std::move(fields));
}

std::string EncodePlacementReply(const PlacementReply& reply) {
  Json fields = {{"placer", reply.placer},
                 {"inc", reply.incarnation},
                 {"seq", reply.sequence},
                 {"places", reply.places},
                 {"sync", reply.wants_sync},
                 {"answers", PackRows(reply.answers, PackAnswer)}};
  PackOptional(fields, "estimates", reply.estimates, PackEstimate);
  return Encode("placed", std::move(fields));
}

std::string EncodePlacementNotice(const PlacementNotice& notice) {
  Json fields = {{"placer", notice.placer},
                 {"inc", notice.incarnation},
                 {"answers", PackRows(notice.answers, PackAnswer)}};
  PackOptional(fields, "replaced", notice.replaced, PackName);
  return Encode("notice", std::move(fields));
}

std::string EncodePlacementNoticeReply(const PlacementNoticeReply& reply) {
  return Encode("noticed", {{"declined", reply.declined}});
}

Result<PlacementRequest> DecodePlacementRequest(std::string_view bytes) {
  return Decode<PlacementRequest>(bytes, "place", [](const Json& fields) {
    return PlacementRequest{ReadName(fields.at("asker")),
                            ReadId(fields.at("inc")),
                            ReadId(fields.at("seq")),
                            fields.at("sync").get<bool>(),
                            ReadRows(fields.at("loads"), ReadLoad),
                            ReadRows(fields.at("events"), ReadEvent),
                            ReadRows(fields.at("asks"), ReadAsk),
                            ReadOptional(fields, "moved", ReadPool),
                            ReadOptional(fields, "unresponsive", ReadName),
                            ReadOptional(fields, "estimates", ReadEstimate)};
  });
}

Result<PlacementReply> DecodePlacementReply(std::string_view bytes) {
  return Decode<PlacementReply>(bytes, "placed", [](const Json& fields) {
    return PlacementReply{ReadName(fields.at("placer")),
                          ReadId(fields.at("inc")),
                          ReadId(fields.at("seq")),
                          fields.at("places").get<bool>(),
                          fields.at("sync").get<bool>(),
                          ReadRows(fields.at("answers"), ReadAnswer),
                          ReadOptional(fields, "estimates", ReadEstimate)};
  });
}

Result<PlacementNotice> DecodePlacementNotice(std::string_view bytes) {
  return Decode<PlacementNotice>(bytes, "notice", [](const Json& fields) {
    return PlacementNotice{ReadName(fields.at("placer")),
                           ReadId(fields.at("inc")),
                           ReadRows(fields.at("answers"), ReadAnswer),
                           ReadOptional(fields, "replaced", ReadName)};
  });
}

Result<PlacementNoticeReply> DecodePlacementNoticeReply(
    std::string_view bytes) {
  return Decode<PlacementNoticeReply>(bytes, "noticed", [](const Json& fields) {
    return PlacementNoticeReply{ReadRows(fields.at("declined"), ReadId)};
  });
}

}  // namespace filbertrack

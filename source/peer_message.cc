#include "filbertrack/peer_message.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "filbertrack/base_cbor.h"

namespace filbertrack {

namespace {

using Json = nlohmann::json;

enum class MessageKind : int {
  kExchangeAsk = 1,
  kExchangeAnswer = 2,
  kKeyedAsk = 3,
  kKeyedAnswer = 4,
};

constexpr size_t kMostRows = 100000;

Json Pack(const PeerState& state) {
  return Json::array({state.node, state.incarnation, state.address.ToString(),
                      state.data_centre, state.leaving, state.generation,
                      state.division});
}

PeerState UnpackState(const Json& value) {
  PeerState state;
  state.node = value.at(0);
  state.incarnation = value.at(1);
  const Result<Address> address = ParseAddress(value.at(2).get<std::string>());
  state.address = address ? *address : Address();
  state.data_centre = value.at(3);
  state.leaving = value.at(4);
  state.generation = value.at(5);
  state.division = value.at(6);
  return state;
}

Json Pack(const LoanWish& wish) {
  return Json::array({wish.workspace, wish.service, wish.requests_per_second});
}

LoanWish UnpackWish(const Json& value) {
  return {value.at(0), value.at(1), value.at(2)};
}

Json Pack(const GroupEvidence& evidence) {
  return Json::array({evidence.group, evidence.epoch, evidence.whole,
                      ToMilliseconds(evidence.age), evidence.load});
}

GroupEvidence UnpackEvidence(const Json& value) {
  return {value.at(0), value.at(1), value.at(2),
          Milliseconds(value.at(3).get<uint32_t>()), value.at(4)};
}

Json Pack(const PeerNews& news) {
  return Json::array({Pack(news.state), ToMilliseconds(news.age)});
}

PeerNews UnpackNews(const Json& value) {
  return {UnpackState(value.at(0)), Milliseconds(value.at(1).get<uint32_t>())};
}

Json Pack(const ObjectVersion& version) {
  return Json::array({version.key, version.version});
}

ObjectVersion UnpackVersion(const Json& value) {
  return {value.at(0), value.at(1)};
}

Json Pack(const StoredObject& object) {
  return Json::array({object.key, object.version, object.value});
}

StoredObject UnpackObject(const Json& value) {
  return {value.at(0), value.at(2), value.at(1)};
}

Json Pack(const KeyedOrder& order) {
  return Json::array(
      {order.key, Json::binary({order.payload.begin(), order.payload.end()})});
}

std::string UnpackBytes(const Json& value) {
  const Json::binary_t& bytes = value.get_binary();
  return {bytes.begin(), bytes.end()};
}

KeyedOrder UnpackOrder(const Json& value) {
  return {value.at(0), UnpackBytes(value.at(1))};
}

Json Pack(const std::string& text) {
  return Json::binary({text.begin(), text.end()});
}

template <typename Row>
Json PackRows(const std::vector<Row>& rows) {
  Json list = Json::array();
  for (const Row& row : rows) {
    list.push_back(Pack(row));
  }
  return list;
}

template <typename Row>
std::vector<Row> UnpackRows(const Json& list, Row (*unpack)(const Json&)) {
  std::vector<Row> rows;
  if (!list.is_array() || list.size() > kMostRows) {
    throw Json::type_error::create(302, "not a list of rows", &list);
  }
  rows.reserve(list.size());
  for (const Json& value : list) {
    rows.push_back(unpack(value));
  }
  return rows;
}

Json PackByteList(const std::vector<uint8_t>& bytes) {
  return Json::binary(bytes);
}

struct Packer {
  Json operator()(const ExchangeAsk& ask) const {
    return Json::array({MessageKind::kExchangeAsk, kPeerProtocol,
                        Pack(ask.from), ask.cache_digest, ask.table_digest,
                        ask.wanted_objects, PackRows(ask.loan_wishes)});
  }
  Json operator()(const ExchangeAnswer& answer) const {
    return Json::array(
        {MessageKind::kExchangeAnswer, kPeerProtocol, Pack(answer.from),
         answer.cache_digest, PackRows(answer.inventory),
         PackRows(answer.objects), PackRows(answer.peers),
         PackByteList(answer.peer_ages), PackRows(answer.evidence),
         PackByteList(answer.evidence_bytes), PackRows(answer.loans)});
  }
  Json operator()(const KeyedAsk& ask) const {
    return Json::array({MessageKind::kKeyedAsk, kPeerProtocol, ask.from,
                        PackRows(ask.orders)});
  }
  Json operator()(const KeyedAnswer& answer) const {
    return Json::array(
        {MessageKind::kKeyedAnswer, kPeerProtocol, PackRows(answer.verdicts)});
  }
};

PeerMessage Unpack(const Json& value) {
  switch (value.at(0).get<MessageKind>()) {
    case MessageKind::kExchangeAsk:
      return ExchangeAsk{UnpackState(value.at(2)), value.at(3), value.at(4),
                         value.at(5).get<std::vector<std::string>>(),
                         UnpackRows(value.at(6), UnpackWish)};
    case MessageKind::kExchangeAnswer:
      return ExchangeAnswer{UnpackState(value.at(2)),
                            value.at(3),
                            UnpackRows(value.at(4), UnpackVersion),
                            UnpackRows(value.at(5), UnpackObject),
                            UnpackRows(value.at(6), UnpackNews),
                            value.at(7).get_binary(),
                            UnpackRows(value.at(8), UnpackEvidence),
                            value.at(9).get_binary(),
                            UnpackRows(value.at(10), UnpackWish)};
    case MessageKind::kKeyedAsk:
      return KeyedAsk{value.at(2), UnpackRows(value.at(3), UnpackOrder)};
    case MessageKind::kKeyedAnswer:
      return KeyedAnswer{UnpackRows(value.at(2), UnpackBytes)};
  }
  throw Json::other_error::create(501, "unknown kind of message", &value);
}

}  // namespace

std::string EncodePeerMessage(const PeerMessage& message) {
  return ToCbor(std::visit(Packer(), message));
}

Result<PeerMessage> DecodePeerMessage(std::string_view bytes) {
  if (bytes.size() > kMostPeerMessageBytes) {
    return Fail(ResultCode::kBadRequest, "A peer's message is too large.");
  }
  const Json value = ParseCbor(bytes).value_or(Json());
  if (!value.is_array() || value.size() < 2 ||
      value[1] != Json(kPeerProtocol)) {
    return Fail(ResultCode::kBadRequest,
                "A peer's message is not of protocol version " +
                    std::to_string(kPeerProtocol) + ".");
  }
  try {
    return Unpack(value);
  } catch (const Json::exception& error) {
    return Fail(
        ResultCode::kBadRequest,
        std::string("A peer's message cannot be read: ") + error.what());
  }
}

uint8_t PackAge(Duration age, Duration unit, uint8_t most) {
  // Rounded up: an age may look older than it is, and never younger.
  const int64_t units = (age + unit - Duration(1)) / unit;
  return static_cast<uint8_t>(
      std::clamp<int64_t>(units, 0, static_cast<int64_t>(most)));
}

}  // namespace filbertrack

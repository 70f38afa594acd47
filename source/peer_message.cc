#include "filbertrack/peer_message.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "filbertrack/base_cbor.h"

namespace filbertrack {

namespace {

using Json = nlohmann::json;

enum class MessageKind : int {
  kExchangeRequest = 1,
  kExchangeReply = 2,
  kKeyedRequest = 3,
  kKeyedReply = 4,
};

/// Rows of any list of a message.
constexpr size_t kMaxRows = 100000;

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

Json Pack(const EntitlementLoan& loan) {
  return Json::array({loan.workspace, loan.service, loan.requests_per_second});
}

EntitlementLoan UnpackLoan(const Json& value) {
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

Json Pack(const PeerUpdate& update) {
  return Json::array({Pack(update.state), ToMilliseconds(update.age)});
}

PeerUpdate UnpackPeerUpdate(const Json& value) {
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

Json Pack(const KeyedOperation& operation) {
  return Json::array({operation.key, Json::binary({operation.payload.begin(),
                                                   operation.payload.end()})});
}

std::string UnpackBytes(const Json& value) {
  const Json::binary_t& bytes = value.get_binary();
  return {bytes.begin(), bytes.end()};
}

KeyedOperation UnpackOperation(const Json& value) {
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
  if (!list.is_array() || list.size() > kMaxRows) {
    throw Json::type_error::create(
        302, "expected an array within the row limit", &list);
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
  Json operator()(const ExchangeRequest& request) const {
    return Json::array({MessageKind::kExchangeRequest, kPeerProtocol,
                        Pack(request.from), request.cache_digest,
                        request.table_digest, request.wanted_objects,
                        PackRows(request.loan_requests)});
  }
  Json operator()(const ExchangeReply& reply) const {
    return Json::array(
        {MessageKind::kExchangeReply, kPeerProtocol, Pack(reply.from),
         reply.cache_digest, PackRows(reply.inventory), PackRows(reply.objects),
         PackRows(reply.peers), PackByteList(reply.peer_ages),
         PackRows(reply.evidence), PackByteList(reply.evidence_bytes),
         PackRows(reply.loans)});
  }
  Json operator()(const KeyedRequest& request) const {
    return Json::array({MessageKind::kKeyedRequest, kPeerProtocol, request.from,
                        PackRows(request.orders)});
  }
  Json operator()(const KeyedReply& reply) const {
    return Json::array(
        {MessageKind::kKeyedReply, kPeerProtocol, PackRows(reply.verdicts)});
  }
};

PeerMessage Unpack(const Json& value) {
  switch (value.at(0).get<MessageKind>()) {
    case MessageKind::kExchangeRequest:
      return ExchangeRequest{UnpackState(value.at(2)), value.at(3), value.at(4),
                             value.at(5).get<std::vector<std::string>>(),
                             UnpackRows(value.at(6), UnpackLoan)};
    case MessageKind::kExchangeReply:
      return ExchangeReply{UnpackState(value.at(2)),
                           value.at(3),
                           UnpackRows(value.at(4), UnpackVersion),
                           UnpackRows(value.at(5), UnpackObject),
                           UnpackRows(value.at(6), UnpackPeerUpdate),
                           value.at(7).get_binary(),
                           UnpackRows(value.at(8), UnpackEvidence),
                           value.at(9).get_binary(),
                           UnpackRows(value.at(10), UnpackLoan)};
    case MessageKind::kKeyedRequest:
      return KeyedRequest{value.at(2),
                          UnpackRows(value.at(3), UnpackOperation)};
    case MessageKind::kKeyedReply:
      return KeyedReply{UnpackRows(value.at(2), UnpackBytes)};
  }
  throw Json::other_error::create(501, "unknown message kind", &value);
}

}  // namespace

std::string EncodePeerMessage(const PeerMessage& message) {
  return ToCbor(std::visit(Packer(), message));
}

Result<PeerMessage> DecodePeerMessage(std::string_view bytes) {
  if (bytes.size() > kMaxPeerMessageBytes) {
    return Fail(ResultCode::kBadRequest, "Peer message is too large.");
  }
  const Json value = ParseCbor(bytes).value_or(Json());
  if (!value.is_array() || value.size() < 2 ||
      value[1] != Json(kPeerProtocol)) {
    return Fail(ResultCode::kBadRequest,
                "Peer message does not have protocol version " +
                    std::to_string(kPeerProtocol) + ".");
  }
  try {
    return Unpack(value);
  } catch (const Json::exception& error) {
    return Fail(ResultCode::kBadRequest,
                std::string("Cannot decode peer message: ") + error.what());
  }
}

uint8_t PackAge(Duration age, Duration unit, uint8_t max_units) {
  // Rounded up, since data must never appear fresher than it is.
  const int64_t units = (age + unit - Duration(1)) / unit;
  return static_cast<uint8_t>(
      std::clamp<int64_t>(units, 0, static_cast<int64_t>(max_units)));
}

}  // namespace filbertrack

#include "filbertrack/gossip_message.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <limits>
#include <set>
#include <utility>

#include <nlohmann/json.hpp>

#include "filbertrack/base_cbor.h"
#include "filbertrack/base_compress.h"
#include "filbertrack/base_hash.h"
#include "gossip_limits.h"
#include "gossip_poison.h"
#include "gossip_read.h"

namespace filbertrack {

namespace {

/// Encodes an absent duration.
constexpr int64_t kNoDuration = -1;
/// Size limit of the decompressed registrations of one message. 3,300
/// registrations of some hundred bytes each take a tenth of it.
constexpr size_t kMaxServersBytes = 16 * 1024 * 1024;
/// Keeps capacities within the range of an int, in which they are compared.
constexpr double kMaxCapacity = 1e9;

constexpr std::string_view kWatchPurpose = "watch";
/// Maximum number of prompt tokens at one target.
constexpr int64_t kMaxTokens = 1'000'000'000'000;

/// Index of the evacuations in the encoded state of a host.
constexpr size_t kEvacuationsField = 13;
/// Index of the period in which the store served some host.
constexpr size_t kServiceField = 14;
/// Index of the data about poison requests, in requests and replies alike.
constexpr size_t kPoisonField = 4;
constexpr size_t kWantsNearField = 5;
/// Indexes of the data about rate limits of backend servers.
constexpr size_t kLimitsKnownField = 6;
constexpr size_t kLimitsField = 5;
/// Indexes of the data about forwarded requests, which is usually absent.
constexpr size_t kWantsOfferField = 7;
constexpr size_t kOwnPoisonField = 8;
constexpr size_t kOfferField = 6;

enum class GossipMessageKind : int {
  kAsk = 1,
  kAnswer = 2,
  kProbeAsk = 3,
  kProbeAnswer = 4
};

Json PackLoads(const std::vector<GossipLoad>& loads) {
  Json rows = Json::array();
  for (const GossipLoad& load : loads) {
    rows.push_back(Json::array({load.target, load.requests,
                                static_cast<int64_t>(load.prompt_tokens)}));
  }
  return rows;
}

std::vector<GossipLoad> UnpackLoads(const Json& rows) {
  std::vector<GossipLoad> loads;
  loads.reserve(rows.size());
  for (const Json& row : rows) {
    loads.push_back(
        {row.at(0).get<std::string>(), ReadCount(row.at(1)),
         static_cast<double>(ReadInteger<int64_t>(row.at(2), 0, kMaxTokens))});
  }
  return loads;
}

Json PackHosts(const std::vector<GossipHost>& hosts) {
  Json rows = Json::array();
  for (const GossipHost& host : hosts) {
    rows.push_back(Json::array({host.name, host.store_fails,
                                ToMilliseconds(host.age), host.capacity}));
  }
  return rows;
}

std::vector<GossipHost> UnpackHosts(const Json& rows) {
  std::vector<GossipHost> hosts;
  hosts.reserve(rows.size());
  for (const Json& row : rows) {
    hosts.push_back({row.at(0).get<std::string>(), row.at(1).get<bool>(),
                     ReadAge(row.at(2)), ReadCount(row.at(3))});
  }
  return hosts;
}

Json Pack(const GossipState& state) {
  const int64_t since_return = state.store_back_for
                                   ? ToMilliseconds(*state.store_back_for)
                                   : kNoDuration;
  Json remote_loads = Json::array();
  for (const DataCentreLoads& sum : state.remote_loads) {
    remote_loads.push_back(
        Json::array({sum.data_centre, ToMilliseconds(sum.age),
                     PackLoads(sum.loads), PackHosts(sum.hosts)}));
  }
  Json fields = Json::array(
      {state.node, state.address, state.ready, state.store_fails, since_return,
       state.config_version, state.servers_revision, PackLoads(state.loads),
       state.data_centre, state.covers_data_centre, PackHosts(state.hosts),
       state.capacity, std::move(remote_loads)});
  // Usually there are none; omitting the field saves its bytes.
  if (state.evacuations.revision != 0 || state.store_service) {
    fields.push_back(Json::array(
        {state.evacuations.revision, state.evacuations.data_centres}));
  }
  if (state.store_service) {
    const auto encode = [](Duration age) {
      return std::min(ToMilliseconds(age), kMaxAgeMs);
    };
    fields.push_back(Json::array({encode(state.store_service->since),
                                  encode(state.store_service->until)}));
  }
  return fields;
}

GossipState UnpackState(const Json& value) {
  GossipState state;
  state.node = value.at(0).get<std::string>();
  state.address = value.at(1).get<std::string>();
  state.ready = value.at(2).get<bool>();
  state.store_fails = value.at(3).get<bool>();
  const auto since_return =
      ReadInteger<int64_t>(value.at(4), kNoDuration, kMaxAgeMs);
  if (since_return != kNoDuration) {
    state.store_back_for = Milliseconds(since_return);
  }
  state.config_version = ReadVersion(value.at(5));
  state.servers_revision = ReadVersion(value.at(6));
  state.loads = UnpackLoads(value.at(7));
  state.data_centre = value.at(8).get<std::string>();
  state.covers_data_centre = value.at(9).get<bool>();
  state.hosts = UnpackHosts(value.at(10));
  state.capacity = ReadCount(value.at(11));
  for (const Json& row : value.at(12)) {
    state.remote_loads.push_back({row.at(0).get<std::string>(),
                                  ReadAge(row.at(1)), UnpackLoads(row.at(2)),
                                  UnpackHosts(row.at(3))});
  }
  if (value.size() > kEvacuationsField) {
    const Json& evacuations = value.at(kEvacuationsField);
    state.evacuations = {
        ReadVersion(evacuations.at(0)),
        evacuations.at(1).get<std::set<std::string, std::less<>>>()};
  }
  if (value.size() > kServiceField) {
    const Json& service = value.at(kServiceField);
    state.store_service = {ReadAge(service.at(0)), ReadAge(service.at(1))};
  }
  return state;
}

Json ToBytes(const std::string& text) {
  return Json::binary(std::vector<uint8_t>(text.begin(), text.end()));
}

/// Compresses registrations, which are similar to each other: 760 of them
/// shrink to an eighth of their size.
Json PackServers(const std::vector<LoggedObject>& servers) {
  if (servers.empty()) {
    return ToBytes("");
  }
  Json rows = Json::array();
  for (const LoggedObject& object : servers) {
    rows.push_back(Json::array({object.id, object.version, object.text}));
  }
  return ToBytes(Compress(ToCbor(rows)));
}

std::vector<LoggedObject> UnpackServers(const Json& value) {
  const auto& packed = value.get_binary();
  if (packed.empty()) {
    return {};
  }
  const auto bytes =
      Decompress({reinterpret_cast<const char*>(packed.data()), packed.size()},
                 kMaxServersBytes);
  const auto rows = bytes ? ParseCbor(*bytes) : std::nullopt;
  std::vector<LoggedObject> servers;
  // If decompression or parsing failed, at() throws on the null row below.
  for (const Json& row : rows ? *rows : Json::array({Json()})) {
    servers.push_back({row.at(0).get<std::string>(), ReadVersion(row.at(1)),
                       row.at(2).get<std::string>()});
  }
  return servers;
}

Json Envelope(GossipMessageKind kind, Json body) {
  return Json::array(
      {kGossipProtocol, static_cast<int>(kind), std::move(body)});
}

/// Checks the protocol version and the message kind, and decodes the body with
/// `read`. Turns exceptions of `read` into a kBadRequest failure.
template <typename Message, typename Read>
Result<Message> Decode(std::string_view bytes,
                       GossipMessageKind kind,
                       Read read) {
  const auto value = ParseCbor(bytes);
  if (!value) {
    return Fail(ResultCode::kBadRequest, "peer message is not valid CBOR.");
  }
  try {
    if (ReadVersion(value->at(0)) != kGossipProtocol) {
      return Fail(ResultCode::kBadRequest,
                  "peer message has protocol version " + value->at(0).dump() +
                      "; expected " + std::to_string(kGossipProtocol) + ".");
    }
    if (ReadCount(value->at(1)) != static_cast<int>(kind)) {
      return Fail(ResultCode::kBadRequest,
                  "peer message has kind " + value->at(1).dump() +
                      "; expected " + std::to_string(static_cast<int>(kind)) +
                      ".");
    }
    return read(value->at(2));
  } catch (const Json::exception& error) {
    return Fail(ResultCode::kBadRequest,
                std::string("cannot decode peer message: ") + error.what());
  } catch (const InvalidField& error) {
    return Fail(ResultCode::kBadRequest,
                "cannot decode peer message: " + error.message);
  }
}

}  // namespace

std::string EncodeGossipRequest(const GossipRequest& request) {
  Json body = Json::array(
      {Pack(request.state), request.wants_config, request.wants_servers,
       request.wants_remote_loads, request.known_poison_revision,
       request.wants_local_loads, request.known_limits_revision});
  const bool has_poison = request.own_poison_revision != 0;
  if (request.wants_forward_offer || has_poison) {
    body.push_back(request.wants_forward_offer);
  }
  if (has_poison) {
    body.push_back(request.own_poison_revision);
  }
  return ToCbor(Envelope(GossipMessageKind::kAsk, std::move(body)));
}

std::string EncodeGossipReply(const GossipReply& reply) {
  Json body = Json::array({Pack(reply.state), ToBytes(reply.config),
                           PackServers(reply.servers), reply.servers_complete,
                           PackPoison(reply.poison), PackLimits(reply.limits)});
  if (reply.forward_offer) {
    const ForwardOffer& offer = *reply.forward_offer;
    body.push_back(Json::array({offer.port, offer.token, offer.accepts}));
  }
  return ToCbor(Envelope(GossipMessageKind::kAnswer, std::move(body)));
}

Result<GossipRequest> DecodeGossipRequest(std::string_view bytes) {
  return Decode<GossipRequest>(
      bytes, GossipMessageKind::kAsk, [](const Json& body) {
        GossipRequest request{UnpackState(body.at(0)), body.at(1).get<bool>(),
                              body.at(2).get<bool>(), body.at(3).get<bool>()};
        // Hosts of earlier versions do not send the following fields.
        if (body.size() > kPoisonField) {
          request.known_poison_revision = ReadVersion(body.at(kPoisonField));
        }
        if (body.size() > kWantsNearField) {
          request.wants_local_loads = body.at(kWantsNearField).get<bool>();
        }
        if (body.size() > kLimitsKnownField) {
          request.known_limits_revision =
              ReadVersion(body.at(kLimitsKnownField));
        }
        if (body.size() > kWantsOfferField) {
          request.wants_forward_offer = body.at(kWantsOfferField).get<bool>();
        }
        if (body.size() > kOwnPoisonField) {
          request.own_poison_revision = ReadVersion(body.at(kOwnPoisonField));
        }
        return request;
      });
}

Result<GossipReply> DecodeGossipReply(std::string_view bytes) {
  return Decode<GossipReply>(
      bytes, GossipMessageKind::kAnswer, [](const Json& body) {
        GossipReply reply;
        reply.state = UnpackState(body.at(0));
        const auto& config = body.at(1).get_binary();
        reply.config.assign(config.begin(), config.end());
        reply.servers = UnpackServers(body.at(2));
        reply.servers_complete = body.at(3).get<bool>();
        if (body.size() > kPoisonField) {
          reply.poison = UnpackPoison(body.at(kPoisonField));
        }
        if (body.size() > kLimitsField) {
          reply.limits = UnpackLimits(body.at(kLimitsField));
        }
        if (body.size() > kOfferField) {
          const Json& offer = body.at(kOfferField);
          reply.forward_offer = ForwardOffer{
              ReadInteger<uint16_t>(offer.at(0), 1, UINT16_MAX),
              offer.at(1).get<std::string>(), offer.at(2).get<bool>()};
        }
        return reply;
      });
}

namespace {

Result<std::vector<std::string>> DecodeServers(std::string_view bytes,
                                               GossipMessageKind kind) {
  return Decode<std::vector<std::string>>(bytes, kind, [](const Json& body) {
    return body.get<std::vector<std::string>>();
  });
}

}  // namespace

std::string EncodeProbeRequest(const std::vector<std::string>& servers) {
  return ToCbor(Envelope(GossipMessageKind::kProbeAsk, servers));
}

std::string EncodeProbeReply(const std::vector<std::string>& servers) {
  return ToCbor(Envelope(GossipMessageKind::kProbeAnswer, servers));
}

Result<std::vector<std::string>> DecodeProbeRequest(std::string_view bytes) {
  return DecodeServers(bytes, GossipMessageKind::kProbeAsk);
}

Result<std::vector<std::string>> DecodeProbeReply(std::string_view bytes) {
  return DecodeServers(bytes, GossipMessageKind::kProbeAnswer);
}

int CapacityOf(double link_mbps, double processor_share) {
  return static_cast<int>(
      std::clamp(std::round(link_mbps * processor_share), 1.0, kMaxCapacity));
}

namespace {

int ClassOf(int capacity) {
  return std::bit_width(static_cast<unsigned>(std::max(1, capacity)));
}

/// Sorts hosts by descending capacity class, then by descending rendezvous
/// weight for `purpose`. The order does not depend on the order of the input.
void Rank(std::string_view purpose, std::vector<FleetHost>& hosts) {
  // Computes one hash for each host instead of one for each comparison.
  std::vector<std::pair<std::pair<int, uint64_t>, size_t>> ranks;
  ranks.reserve(hosts.size());
  for (const FleetHost& host : hosts) {
    ranks.push_back(
        {{ClassOf(host.capacity), RendezvousWeight(purpose, host.name)},
         ranks.size()});
  }
  std::sort(ranks.begin(), ranks.end(),
            [](const auto& left, const auto& right) {
              return left.first > right.first;
            });
  std::vector<FleetHost> ranked;
  ranked.reserve(hosts.size());
  for (const auto& [rank, index] : ranks) {
    ranked.push_back(std::move(hosts[index]));
  }
  hosts = std::move(ranked);
}

}  // namespace

bool IsStronger(int left, int right) {
  return ClassOf(left) > ClassOf(right);
}

uint64_t WatchWeight(std::string_view host) {
  return RendezvousWeight(kWatchPurpose, host);
}

std::vector<std::string> ChooseWatchers(std::vector<FleetHost> hosts,
                                        size_t count) {
  Rank(kWatchPurpose, hosts);
  std::set<std::string_view> covered;
  std::vector<std::string> chosen;
  std::vector<std::string> others;
  for (const FleetHost& host : hosts) {
    const bool first = covered.insert(host.data_centre).second;
    (first ? chosen : others).push_back(host.name);
  }
  for (const std::string& other : others) {
    if (chosen.size() < count) {
      chosen.push_back(other);
    }
  }
  return chosen;
}

std::vector<std::string> ChooseRelays(std::vector<FleetHost> hosts,
                                      size_t count) {
  Rank("relay", hosts);
  std::vector<std::string> chosen;
  for (const FleetHost& host : hosts) {
    if (chosen.size() < count) {
      chosen.push_back(host.name);
    }
  }
  return chosen;
}

GossipReply MakeGossipReply(const GossipState& own,
                            const std::string& own_config,
                            const ChangeLog& servers,
                            const GossipRequest& request) {
  const GossipState& requester = request.state;
  GossipReply reply;
  reply.state = own;
  if (request.wants_config && requester.config_version < own.config_version) {
    reply.config = own_config;
  }
  if (!request.wants_servers ||
      requester.servers_revision >= own.servers_revision) {
    return reply;
  }
  auto missed = servers.Since(requester.servers_revision);
  reply.servers_complete = !missed.has_value();
  reply.servers = missed ? std::move(*missed) : servers.All();
  return reply;
}

}  // namespace filbertrack

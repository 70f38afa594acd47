#include "filbertrack/gateway_peers.h"

#include <algorithm>
#include <set>

#include <nlohmann/json.hpp>

#include "filbertrack/log.h"

namespace filbertrack {

namespace {

constexpr Duration kSeedInterval = Seconds(1);
/// The store is probed when the last confirmation of this host's configuration
/// is older than this.
constexpr Duration kMaxConfirmationAge = Milliseconds(1000);
constexpr Duration kProbeInterval = Milliseconds(500);
/// The set of live hosts must be unchanged for this long before a new division
/// of the entitlements is written.
constexpr Duration kMembershipSettleTime = Seconds(2);
/// The connection to a peer that is no longer queried is closed after this
/// time.
constexpr Duration kNeighbourIdleTimeout = Seconds(5);
constexpr Duration kRequestTimeout = Seconds(1);

PeerState SelfState(const Settings& settings) {
  PeerState self;
  self.node = settings.Text("node", "name");
  self.incarnation = static_cast<uint64_t>(WallTimeMs());
  self.data_centre = settings.Text("node", "data_centre");
  return self;
}

PeerPolicy TablePolicy(const Settings& settings) {
  PeerPolicy policy;
  policy.neighbours =
      static_cast<size_t>(settings.Integer("peers", "neighbours"));
  return policy;
}

}  // namespace

GatewayPeers::GatewayPeers(EventLoop& loop,
                           const Settings& settings,
                           StoreClient& store,
                           ObjectCache& cache,
                           FleetView& fleet,
                           EntitlementParts& parts,
                           GatewayPeerEvents events)
    : m_loop(loop),
      m_settings(settings),
      m_store(store),
      m_cache(cache),
      m_fleet(fleet),
      m_parts(parts),
      m_events(std::move(events)),
      m_key(settings.Text("peers", "key")),
      m_interval(settings.Time("peers", "interval")),
      m_table(SelfState(settings), TablePolicy(settings)),
      m_division(settings.Text("node", "name")) {
  m_division_policy.loan_ttl = m_loan_policy.loan_ttl;
  m_timer = loop.Every(m_interval, [this] { Tick(); });
}

GatewayPeers::~GatewayPeers() = default;

Result<Address> GatewayPeers::Listen() {
  m_server = std::make_unique<PeerServer>(
      m_loop, m_key,
      [this](std::string_view payload, const PeerServer::Answer& reply) {
        OnPeerMessage(payload, reply);
      });
  const Address& wanted = m_settings.At("peers", "listen");
  Address bound;
  if (!m_server->Listen(wanted, &bound)) {
    return Fail(ResultCode::kInternal,
                "Cannot listen on the address '" + wanted.ToString() +
                    "' of section [peers], key 'listen'; it must be an unused "
                    "address of this host.");
  }
  m_table.self().address = bound;
  return bound;
}

ExchangeState GatewayPeers::MakeExchangeState() {
  return {m_table, m_cache, m_fleet, m_parts, m_loan_policy};
}

void GatewayPeers::OnPeerMessage(std::string_view payload,
                                 const PeerServer::Answer& reply) {
  const Result<PeerMessage> message = DecodePeerMessage(payload);
  if (!message) {
    Log(LogLevel::kWarning, "peer-refused", {{"why", message.error().message}});
    return;
  }
  if (const auto* request = std::get_if<ExchangeRequest>(&*message)) {
    ExchangeState state = MakeExchangeState();
    reply(
        EncodePeerMessage(MakeExchangeReply(state, *request, MonotonicNow())));
  } else if (const auto* keyed = std::get_if<KeyedRequest>(&*message)) {
    m_events.on_keyed(*keyed, [reply](const KeyedReply& verdicts) {
      reply(EncodePeerMessage(verdicts));
    });
  }
}

void GatewayPeers::Tick() {
  const TimePoint now = MonotonicNow();
  QueryNeighbours(now);
  QuerySeeds(now);
  m_table.Forget(now);
  UpdateConfirmations(now);
  ProbeStore(now);
  UpdateDivision(now);
}

void GatewayPeers::QueryNeighbours(TimePoint now) {
  std::erase_if(m_neighbours, [now](const auto& entry) {
    return now - entry.second.asked_at > kNeighbourIdleTimeout;
  });
  for (const PeerState& peer : m_table.Neighbours(++m_round, now)) {
    Query(peer.node, peer.address, now);
  }
}

void GatewayPeers::QuerySeeds(TimePoint now) {
  if (now - m_seeds_queried_at < kSeedInterval) {
    return;
  }
  m_seeds_queried_at = now;
  std::map<std::string, Address> not_live;
  std::set<Address> live_addresses;
  const std::vector<std::string> live = m_table.Live(now);
  for (const auto& [name, record] : m_table.records()) {
    if (std::binary_search(live.begin(), live.end(), name)) {
      live_addresses.insert(record.state.address);
    } else if (!record.state.leaving) {
      // The peer is known only from a request that it sent, or has not been
      // heard from recently.
      not_live.emplace(name, record.state.address);
    }
  }
  for (const Address& seed : m_settings.Addresses("peers", "seeds")) {
    if (!live_addresses.contains(seed) && !(seed == m_table.self().address)) {
      not_live.emplace("seed " + seed.ToString(), seed);
    }
  }
  for (const auto& [name, address] : not_live) {
    Query(name, address, now);
  }
}

void GatewayPeers::Query(const std::string& name,
                         const Address& address,
                         TimePoint now) {
  Neighbour& neighbour = m_neighbours[name];
  if (neighbour.client == nullptr || !(neighbour.address == address)) {
    neighbour.address = address;
    neighbour.client = std::make_unique<PeerClient>(m_loop, m_key, address);
  }
  if (neighbour.client->busy()) {
    return;
  }
  neighbour.asked_at = now;
  ExchangeState state = MakeExchangeState();
  ExchangeRequest request =
      MakeExchangeRequest(state, name, std::move(neighbour.wanted), now);
  neighbour.wanted.clear();
  std::string payload = EncodePeerMessage(request);
  neighbour.client->Ask(
      std::move(payload), kRequestTimeout,
      [this, name, request = std::move(request),
       now](const std::string* reply) { OnReply(name, request, now, reply); });
}

void GatewayPeers::OnReply(const std::string& name,
                           const ExchangeRequest& request,
                           TimePoint asked_at,
                           const std::string* payload) {
  if (payload == nullptr) {
    return;
  }
  const Result<PeerMessage> message = DecodePeerMessage(*payload);
  const ExchangeReply* reply =
      message ? std::get_if<ExchangeReply>(&*message) : nullptr;
  if (reply == nullptr) {
    Log(LogLevel::kWarning, "peer-refused",
        {{"peer", name}, {"why", "the reply cannot be parsed"}});
    return;
  }
  ExchangeState state = MakeExchangeState();
  ExchangeEffect effect = ApplyExchangeReply(state, request, *reply, asked_at);
  const auto neighbour = m_neighbours.find(name);
  if (neighbour != m_neighbours.end()) {
    neighbour->second.wanted = std::move(effect.wanted);
    if (!neighbour->second.wanted.empty()) {
      // Requests the missing objects immediately instead of in the next round:
      // a change passes through several hosts, and the waits for a round would
      // add up.
      Query(name, neighbour->second.address, MonotonicNow());
    }
  }
  if (effect.objects_changed) {
    m_events.on_objects();
  }
  if (!effect.groups.empty()) {
    m_events.on_evidence(effect.groups);
  }
}

void GatewayPeers::OnObjects() {
  const StoredObject* object = m_cache.Find(kDivisionKey);
  if (object == nullptr) {
    return;
  }
  const Result<Division> division = ParseDivision(object->value);
  if (!division) {
    Log(LogLevel::kError, "division-refused",
        {{"why", division.error().message}});
    return;
  }
  m_division.OnDivision(*division, MonotonicNow());
  m_table.self().division = m_division.division().epoch;
}

void GatewayPeers::SetGeneration(uint64_t generation) {
  m_table.self().generation = generation;
}

void GatewayPeers::SetLeaving() {
  m_table.self().leaving = true;
}

double GatewayPeers::Share(TimePoint now) const {
  return m_division.Share(m_division_policy, now);
}

void GatewayPeers::UpdateConfirmations(TimePoint now) {
  const Division& division = m_division.division();
  const size_t half = (division.nodes.size() + 1) / 2;
  const auto confirmed = ConfirmedAt(m_table, division.nodes, half, now,
                                     [&division](const PeerState& peer) {
                                       return peer.division == division.epoch;
                                     });
  if (confirmed) {
    m_division.OnConfirmed(*confirmed);
  }
  const auto majority_left = ConfirmedAt(
      m_table, division.previous_nodes, division.previous_nodes.size() / 2 + 1,
      now, [&division](const PeerState& peer) {
        return peer.division >= division.epoch;
      });
  if (majority_left) {
    m_division.OnMajorityLeft(m_division_policy, now);
  }
  const uint64_t own = m_table.self().generation;
  const auto not_behind = ConfirmedAt(
      m_table, division.nodes, half, now,
      [own](const PeerState& peer) { return peer.generation <= own; });
  if (not_behind) {
    m_config_confirmed_at =
        std::max(m_config_confirmed_at.value_or(*not_behind), *not_behind);
  }
}

bool GatewayPeers::MayBeBehind(TimePoint now) const {
  return !m_config_confirmed_at ||
         now - *m_config_confirmed_at > m_division_policy.confirmation_ttl;
}

void GatewayPeers::ProbeStore(TimePoint now) {
  // While peers confirm each other, the store is not queried: one query per
  // host and second would grow with the fleet.
  const bool confirmed = m_config_confirmed_at &&
                         now - *m_config_confirmed_at <= kMaxConfirmationAge &&
                         m_division.Share(m_division_policy, now) > 0;
  if (confirmed || now - m_store_probed_at < kProbeInterval) {
    return;
  }
  m_store_probed_at = now;
  const auto apply = [this](const StoreResponse& response,
                            const std::function<void()>& on_read) {
    if (response.status != StoreStatus::kOk) {
      return;
    }
    if (m_cache.Offer(response.object)) {
      m_events.on_objects();
    }
    on_read();
  };
  m_store.Get(std::string(kDivisionKey),
              [this, apply, now](const StoreResponse& response) {
                apply(response, [this, now] { m_division.OnConfirmed(now); });
              });
  m_store.Get(std::string(kConfigRootKey),
              [this, apply, now](const StoreResponse& response) {
                apply(response, [this, &response, now] {
                  const Result<ConfigRoot> root =
                      ParseConfigRoot(response.object.value);
                  if (root && root->generation <= m_table.self().generation) {
                    m_config_confirmed_at = now;
                  }
                });
              });
}

void GatewayPeers::UpdateDivision(TimePoint now) {
  std::vector<std::string> live = m_table.Live(now);
  if (live != m_live) {
    m_live = std::move(live);
    m_live_unchanged_since = now;
    m_events.on_membership();
    return;
  }
  if (now - m_live_unchanged_since < kMembershipSettleTime ||
      m_writing_division || m_live == m_division.division().nodes ||
      m_live.empty() || !m_division.IsSettled(now) ||
      !m_table.IsChosen(kDivisionKey, "", 1, now)) {
    return;
  }
  WriteDivision(m_live);
}

void GatewayPeers::WriteDivision(const std::vector<std::string>& live) {
  const StoredObject* object = m_cache.Find(kDivisionKey);
  Division next;
  next.epoch = m_division.division().epoch + 1;
  next.nodes = live;
  next.previous_nodes = m_division.division().nodes;
  m_writing_division = true;
  m_store.Put(std::string(kDivisionKey), FormatDivision(next),
              object == nullptr ? 0 : object->version,
              [this](const StoreResponse& written) {
                // Reads the object back in any case: it shows whether the write
                // took effect.
                m_store.Get(std::string(kDivisionKey),
                            [this](const StoreResponse& response) {
                              m_writing_division = false;
                              if (response.status == StoreStatus::kOk &&
                                  m_cache.Offer(response.object)) {
                                m_events.on_objects();
                              }
                            });
                if (written.status == StoreStatus::kOk) {
                  Log(LogLevel::kInfo, "division-written",
                      nlohmann::json::object());
                }
              });
}

void GatewayPeers::SendKeyedRequest(
    const std::string& node,
    const KeyedRequest& request,
    Duration timeout,
    std::function<void(const KeyedReply* reply)> done) {
  const auto record = m_table.records().find(node);
  if (record == m_table.records().end()) {
    done(nullptr);
    return;
  }
  std::unique_ptr<PeerClient>& client = m_keyed_clients[node];
  if (client == nullptr || !client->IsTo(record->second.state.address)) {
    client = std::make_unique<PeerClient>(m_loop, m_key,
                                          record->second.state.address);
  }
  if (client->busy()) {
    done(nullptr);
    return;
  }
  client->Ask(EncodePeerMessage(request), timeout,
              [done = std::move(done)](const std::string* payload) {
                if (payload == nullptr) {
                  done(nullptr);
                  return;
                }
                const Result<PeerMessage> message = DecodePeerMessage(*payload);
                done(message ? std::get_if<KeyedReply>(&*message) : nullptr);
              });
}

}  // namespace filbertrack
